// Package first tests the first third of all pairs of overlapping faults with real processes.
package first

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cranberryford/internal/cfdriver"
)

func TestPairs(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "pairs, first part")
}

var _ = BeforeSuite(cfdriver.Build)

var _ = DescribeTable("the system recovers from two overlapping faults", cfdriver.CheckPair(50), cfdriver.Pairs(0, 3))
