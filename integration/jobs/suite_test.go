// Package jobs tests the job scheduler with real processes and a stand-in of the platform.
// Under failure, accepted jobs must not be lost and must complete once, and runs of a task
// must never overlap.
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
