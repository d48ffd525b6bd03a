package jobs

import (
	"github.com/onsi/gomega/gexec"
	"github.com/onsi/gomega/types"
)

// exited matches a session whose process has exited.
func exited() types.GomegaMatcher { return gexec.Exit() }
