// Package jobs tests the job scheduler with real processes and a stand-in of the platform:
// under failure, accepted jobs are kept and complete once, and runs of a task never
// overlap.
package jobs

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestJobs(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "jobs")
}
