// Package jobs proves with real processes that jobs on the platform are accepted
// once, run in one place, and are remembered, under failure.
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
