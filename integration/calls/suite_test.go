// Package calls tests the guarantees for callers with real processes. Answers are complete and
// calls that are not idempotent execute at most once, also under overload, under failures and
// during a graceful shutdown.
package calls

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cranberryford/internal/cfdriver"
)

func TestCalls(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "calls")
}

var _ = BeforeSuite(cfdriver.Build)
