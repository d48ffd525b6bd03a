package cfjobentry

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cfjob"
	"cranberryford/pkg/cfwire"
)

// The records of a job are dropped one after the other.
func TestDroppedJobIsNotStartedAgain(t *testing.T) {
	g := NewWithT(t)
	ctl, clock := newTestControl(t)
	ctl.stored.Agents = map[string]time.Time{"a": {}}
	now := ctl.Clock.Now()
	j := &cfjob.Job{ID: "j", Queue: cfjob.Queue{Name: "q", Service: "s", MaxAttempts: 2}, Steps: []cfjob.Step{{Count: 1, Estimate: time.Second}}, Accepted: now.Add(-time.Hour)}
	ctl.stored.Jobs["j"] = &cfjob.StoredJob{Job: j, Progress: &cfjob.Progress{Outcome: cfjob.OutcomeCompleted, EndedAt: now.Add(-ctl.cfg.Planning.Keep - time.Minute), Started: true}}
	ctl.becomePlanner(cfjob.Claim{Epoch: 2, Instance: "i"})
	*clock += fakeBootClock(3 * time.Second)
	ctl.confirmedAt = ctl.bootTime()
	w := cfcore.WorkerState{ID: "w", Service: "s", Born: now, Clock: time.Hour, Capacity: cfcore.Resources{MilliCores: 1000, MemoryMB: 1000}}
	ctl.plan.ApplyReport(now, "a", &cfwire.JobReport{Worker: &w, Lists: &cfcore.RunLists{Born: now}})
	ctl.plan.MarkAgentRecorded("a")
	ctl.dropJobs(now)
	g.Expect(ctl.plan.extraRecords).To(HaveLen(3))
	rs := ctl.plan.extraRecords
	for i := range rs {
		rs[i].Offset = ctl.stored.Next + int64(i)
	}
	ctl.handlePageRead(t.Context(), pageRead{from: ctl.stored.Next, page: cfcore.StorePage{Records: rs, Next: ctl.stored.Next + 3, End: ctl.stored.Next + 3}, sentAt: ctl.bootTime()})
	g.Expect(ctl.stored.Jobs).To(BeEmpty())
	ctl.plan.Plan(now)
	var starts int
	for _, o := range ctl.plan.TakeOrders(now) {
		starts += len(o.Starts)
	}
	g.Expect(starts).To(Equal(0))
}
