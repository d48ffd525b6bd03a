// Package second proves with real processes that a third of the pairs of faults, which
// come together, breaks no promise.
package second

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cranberryford/internal/cfdriver"
)

func TestPairs(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "pairs, second part")
}

var _ = BeforeSuite(cfdriver.Build)

var _ = DescribeTable("two faults at once break no promise", cfdriver.CheckPair(60), cfdriver.Pairs(1, 3))
