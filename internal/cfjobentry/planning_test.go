package cfjobentry

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"cranberryford/pkg/cfcommon"
	"cranberryford/pkg/cfconfig"
	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cfjob"
	"cranberryford/pkg/cfrecord"
)

// fakeBootClock is a boot clock that tests set.
type fakeBootClock time.Duration

func (c *fakeBootClock) Now() time.Duration { return time.Duration(*c) }

// newTestControl returns the control of an entry at the time of one minute on its boot clock.
func newTestControl(t *testing.T) (*control, *fakeBootClock) {
	codec, err := cfrecord.NewCodec()
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	e := &Entry{
		Common: &cfcommon.Common{Log: zerolog.Nop(), Clock: clockwork.NewFakeClock(), Scope: tally.NoopScope, Codec: codec},
		cfg:    cfconfig.DefaultJobEntry(), codec: cfjob.Codec{Codec: codec}, instance: "i", events: make(chan event, queueCapacity),
	}
	e.cfg.Name = "e"
	e.relay = newRelay(e)
	c := newControl(e)
	clock := fakeBootClock(time.Minute)
	c.bootClock, c.confirmedAt = &clock, time.Minute
	return c, &clock
}

// A page that does not reach the end of the records can precede the claim of a newer planner.
func TestLeadershipIsConfirmedOnlyByReadsThatReachTheEnd(t *testing.T) {
	g := NewWithT(t)
	c, clock := newTestControl(t)
	*clock += fakeBootClock(time.Second)
	c.handlePageRead(t.Context(), pageRead{from: 0, page: cfcore.StorePage{Next: 1, End: 2}, sentAt: c.bootTime()})
	g.Expect(c.confirmedAt).To(Equal(time.Minute))
	c.handlePageRead(t.Context(), pageRead{from: 1, page: cfcore.StorePage{Next: 2, End: 2}, sentAt: c.bootTime()})
	g.Expect(c.confirmedAt).To(Equal(time.Minute + time.Second))
}
