// Package path tests the system end to end with real processes: calls, jobs, watches and
// the operators' command line.
package path

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cranberryford/internal/cfdriver"
)

func TestPath(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "path")
}

var _ = BeforeSuite(cfdriver.Build)
