package cfdispatch_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cfwire"
)

// A start that is repeated is as late as its first order. The record said "no late starts" for 0.2 s after a repetition.
func TestRepeatedStartWithoutAResultStaysOnRecord(t *testing.T) {
	f := newFleet(t, newPlanner(), "a")
	f.add("j", newStep(1, 100))
	f.report("a")
	f.Expect(f.runPlanner()).To(HaveLen(1))
	w := f.workers["a"]
	recorded := 0
	for range 200 {
		f.now = f.now.Add(50 * time.Millisecond)
		f.ApplyReport(f.now, "a", &cfwire.JobReport{Worker: &w.state, Lists: &cfcore.RunLists{Born: w.state.Born, Clock: time.Hour}})
		f.TakeOrders(f.now)
		for _, r := range f.TakeAgentRecords(f.now) {
			recorded++
			f.Expect(r.HasLateStarts).To(BeTrue(), "at %s", f.now)
		}
	}
	f.Expect(recorded).To(Equal(1))
}
