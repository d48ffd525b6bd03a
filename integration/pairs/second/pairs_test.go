// Package second tests the second third of all pairs of overlapping faults with real processes.
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

var _ = DescribeTable("the system recovers from two overlapping faults", cfdriver.CheckPair(60), cfdriver.Pairs(1, 3))
