package cfstandin

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"

	"cranberryford/pkg/cfcore"
)

// A worker that was frozen beyond the end of a lease can receive a report request before
// its next tick. The report must not list the expired run as running.
func TestRunWithExpiredLeaseIsNotReportedAsRunning(t *testing.T) {
	g := NewWithT(t)
	clock := clockwork.NewFakeClock()
	v := NewVM(VMSettings{}, clock, RunHooks{})
	g.Expect(v.startRun(cfcore.RunSpec{Assignment: 1, Until: time.Second})).To(Succeed())
	clock.Advance(999 * time.Millisecond)
	g.Expect(v.report().Runs[0].State).To(Equal(cfcore.RunRunning))
	clock.Advance(time.Millisecond)
	g.Expect(v.report().Runs[0].State).To(Equal(cfcore.RunLeaseExpired))
}
