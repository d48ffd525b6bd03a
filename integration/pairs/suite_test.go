// Package pairs proves with real processes that faults which come twice or together
// break no promise.
package pairs

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cranberryford/internal/cfdriver"
)

func TestPairs(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "pairs")
}

var _ = BeforeSuite(cfdriver.Build)
