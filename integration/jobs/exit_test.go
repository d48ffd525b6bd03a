package jobs

import (
	"github.com/onsi/gomega/gexec"
	"github.com/onsi/gomega/types"
)

// gexecExit matches a session whose process has ended.
func gexecExit() types.GomegaMatcher { return gexec.Exit() }
