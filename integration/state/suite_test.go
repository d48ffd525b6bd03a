// Package state tests plans, placement and recovery under failure with real processes. No
// record of the log must be lost or applied twice.
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
