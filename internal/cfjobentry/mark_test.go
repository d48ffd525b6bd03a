package cfjobentry

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cfjob"
)

// The times of day of two machines differ by seconds. A new planner whose clock is behind took records of 7.4 s
// for those of 5 s, and so for knowledge of late starts that are not on record.
func TestRecordsAreInvalidAfter5sAlthoughTheClockIsBehind(t *testing.T) {
	for name, c := range map[string]struct {
		behind, steps, age time.Duration
		valid              bool
	}{
		"the clocks agree":                    {age: 4900 * time.Millisecond, valid: true},
		"the clocks agree, later":             {age: 5100 * time.Millisecond},
		"behind":                              {behind: 2400 * time.Millisecond, age: 4900 * time.Millisecond, valid: true},
		"behind, later":                       {behind: 2400 * time.Millisecond, age: 7400 * time.Millisecond},
		"set back since the mark, later":      {steps: -2400 * time.Millisecond, age: 7400 * time.Millisecond},
		"set back since the mark, soon after": {steps: -2400 * time.Millisecond, age: 2 * time.Second, valid: true},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			ctl, boot := newTestControl(t)
			clock := ctl.Clock.(*clockwork.FakeClock)
			clock.Advance(time.Hour)
			r, err := ctl.codec.RecordsMark(clock.Now().Add(c.behind))
			g.Expect(err).NotTo(HaveOccurred())
			ctl.handlePageRead(t.Context(), pageRead{page: cfcore.StorePage{Records: []cfcore.KeyedRecord{r}, Next: 1, End: 1}})
			clock.Advance(c.age + c.steps)
			*boot += fakeBootClock(c.age)
			ctl.handlePageRead(t.Context(), pageRead{from: 1, page: cfcore.StorePage{Next: 1, End: 1}})
			g.Expect(ctl.recordsValid()).To(Equal(c.valid))
		})
	}
}

// Until then, a late start of an agent that has not reported is possibly not on record. The records of silent agents
// precede the mark.
func TestNewPlannerMarksRecordsOnceItHasRecordedSilentAgents(t *testing.T) {
	g := NewWithT(t)
	c, _ := newTestControl(t)
	clock := c.Clock.(*clockwork.FakeClock)
	c.stored.Agents, c.stored.MarkedAt = map[string]time.Time{"a": clock.Now()}, clock.Now()
	c.becomePlanner(cfjob.Claim{Epoch: 2, Instance: "i"})
	mark, err := c.codec.RecordsMark(clock.Now())
	g.Expect(err).NotTo(HaveOccurred())
	keys := func() (out []string) {
		for _, r := range c.plan.extraRecords {
			out = append(out, r.Key)
		}
		return out
	}
	for range 10 {
		c.recordLateStarts(clock.Now())
		g.Expect(keys()).To(BeEmpty())
		clock.Advance(100 * time.Millisecond)
	}
	c.recordLateStarts(clock.Now())
	g.Expect(keys()).To(Equal([]string{c.codec.DropAgent("a").Key, mark.Key}))
	clock.Advance(900 * time.Millisecond)
	c.recordLateStarts(clock.Now())
	g.Expect(keys()).To(HaveLen(2))
	clock.Advance(100 * time.Millisecond)
	c.recordLateStarts(clock.Now())
	g.Expect(keys()).To(HaveLen(3))
}

func TestNewPlannerRecordsLateStartsOfAgentsWithOutdatedRecords(t *testing.T) {
	g := NewWithT(t)
	c, _ := newTestControl(t)
	clock := c.Clock.(*clockwork.FakeClock)
	c.stored.Agents, c.stored.MarkedAt = map[string]time.Time{"a": clock.Now()}, clock.Now()
	clock.Advance(6 * time.Second)
	c.becomePlanner(cfjob.Claim{Epoch: 2, Instance: "i"})
	c.recordLateStarts(clock.Now())
	clock.Advance(time.Second)
	c.recordLateStarts(clock.Now())
	late, err := c.codec.LateAgent("a")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(c.plan.extraRecords).To(ContainElement(late))
}
