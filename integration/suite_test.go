// Package integration proves the scheduler with real processes behind a proxy
// that injects faults.
package integration

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"
)

func TestIntegration(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "integration")
}

var _ = BeforeSuite(func() {
	var err error
	programPath, err = gexec.Build("cranberryford/cmd/cranberryford")
	Expect(err).NotTo(HaveOccurred())
	standinPath, err = gexec.Build("cranberryford/cmd/cfstandin")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(gexec.CleanupBuildArtifacts)
})
