// Package third proves with real processes that a third of the pairs of faults, which
// come together, breaks no promise.
package third

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cranberryford/internal/cfdriver"
)

func TestPairs(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "pairs, third part")
}

var _ = BeforeSuite(cfdriver.Build)

var _ = DescribeTable("two faults at once break no promise", cfdriver.CheckPair(70), cfdriver.Pairs(2, 3))
