// Package third tests the last third of all pairs of overlapping faults with real processes.
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

var _ = DescribeTable("the system recovers from two overlapping faults", cfdriver.CheckPair(70), cfdriver.Pairs(2, 3))
