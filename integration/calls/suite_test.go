// Package calls proves with real processes what callers are promised.
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
