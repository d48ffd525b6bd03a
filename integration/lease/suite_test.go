// Package lease proves with real processes that a task never runs in two places,
// and that evicted work resumes once.
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
