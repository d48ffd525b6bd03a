package cfdispatch_test

import (
	"testing"
	"time"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cfdispatch"
	"cranberryford/pkg/cfrecord"
	"cranberryford/pkg/cfwire"
)

// FuzzReport checks that a planner does not panic, whatever an agent's report contains.
func FuzzReport(f *testing.F) {
	codec, err := cfrecord.NewCodec()
	if err != nil {
		f.Fatal(err)
	}
	task := cfcore.TaskName{Job: "j"}
	for _, m := range []cfwire.JobReport{
		{},
		{Worker: &cfcore.WorkerState{ID: "w", Service: "dispatch", Born: epochStart}, Lists: &cfcore.RunLists{Born: epochStart}},
		{Lists: &cfcore.RunLists{Running: []cfcore.RunningTask{{Task: task, Run: 1, Percent: 50, Gauge: 60}}}},
		{Lists: &cfcore.RunLists{Ended: []cfcore.EndedTask{{Number: 1, Task: task, Run: 1, How: cfcore.EndFailed}}}},
		{Results: []cfwire.JobOrderResult{{Task: task, Run: 1, Refusal: cfcore.ExecutorNoTicket}}},
		{Lost: &cfwire.JobWorkerUnreachable{For: time.Hour, Left: true}},
	} {
		data, err := codec.Marshal(&m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		m := &cfwire.JobReport{}
		if codec.Unmarshal(data, m) != nil {
			return
		}
		fl := newFleet(t, newPlanner(), "a", "b")
		critical := latencyCriticalStep("s", 2)
		fl.add("j", newStep(2, 500), critical, bestEffortStep("f", 2))
		fl.runPlanner()
		for range 2 {
			fl.ApplyReport(fl.now, "a", m)
			fl.report("b")
			fl.now = fl.now.Add(400 * time.Millisecond)
			fl.Plan(fl.now)
			fl.TakeOrders(fl.now)
			_, ends := fl.TakeUnrecordedProgress(fl.now, true)
			fl.MarkEndsRecorded(ends)
		}
		fl.ExpireLeases(fl.now.Add(time.Minute), fl.now.Add(time.Minute))
	})
}

// FuzzRestore checks that a planner does not panic, whatever the learned data contains.
func FuzzRestore(f *testing.F) {
	codec, err := cfrecord.NewCodec()
	if err != nil {
		f.Fatal(err)
	}
	data, err := codec.Marshal(newPlanner().Learned())
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Fuzz(func(_ *testing.T, data []byte) {
		l := &cfdispatch.Learned{}
		if codec.Unmarshal(data, l) != nil {
			return
		}
		p := newPlanner()
		p.RestoreLearned(l)
		p.Learned()
	})
}
