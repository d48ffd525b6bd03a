// Package calls tests the guarantees for callers with real processes: complete answers,
// no duplicate executions, overload, failures and graceful shutdown.
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
