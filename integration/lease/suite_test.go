// Package lease tests worker leases with real processes. Runs of a task must never overlap,
// evicted tasks must start again once and in time, and nothing must be evicted without need.
package lease

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cranberryford/internal/cfdriver"
)

func TestLease(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "lease")
}

var _ = BeforeSuite(cfdriver.Build)
