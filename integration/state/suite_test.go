// Package state proves with real processes that plans, placement and recovery hold
// under failure, and that what the log says is never lost or doubled.
package state

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cranberryford/internal/cfdriver"
)

func TestState(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "state")
}

var _ = BeforeSuite(cfdriver.Build)
