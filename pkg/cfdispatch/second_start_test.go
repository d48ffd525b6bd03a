package cfdispatch_test

import (
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cfjob"
	"cranberryford/pkg/cfwire"
)

// lateStart is a start on worker a that got no answer at first. The worker, or its next incarnation, can execute
// it until the time until. isUnknown is set once another instance of the agent reports, which does not know of it.
type lateStart struct {
	run       cfwire.JobStart
	until     time.Time
	isUnknown bool
}

func newLateStart(f *fleet, run cfwire.JobStart) *lateStart {
	return &lateStart{run: run, until: f.now.Add(cfcore.MaxOrderDelay)}
}

// report delivers a report of the agent, which lists the start until it can be executed no more.
func (l *lateStart) report(f *fleet, results ...cfwire.JobOrderResult) {
	w := f.workers["a"]
	r := &cfwire.JobReport{
		Worker: &w.state, Lists: &cfcore.RunLists{Born: w.state.Born, Clock: f.now.Sub(w.state.Born) + time.Hour, Ended: w.ended}, Results: results,
	}
	left := l.until.Add(cfcore.MaxLease).Sub(f.now)
	switch {
	case !f.now.Before(l.until):
	case l.isUnknown:
		r.UnknownStarts = left
	default:
		r.Unanswered = []cfwire.JobUnansweredStart{{Task: l.run.Task, Run: l.run.Run, For: left, IsLate: true}}
	}
	f.ApplyReport(f.now, "a", r)
}

// refuse lets the worker refuse all starts of a task that the planner orders, and returns their run numbers.
func (l *lateStart) refuse(f *fleet, refusal cfcore.ExecutorKind) []uint64 {
	var numbers []uint64
	var results []cfwire.JobOrderResult
	for k, s := range f.workers["a"].runs {
		delete(f.workers["a"].runs, k)
		numbers = append(numbers, s.Run)
		results = append(results, cfwire.JobOrderResult{Task: s.Task, Run: s.Run, Refusal: refusal})
	}
	l.report(f, results...)
	return numbers
}

// otherNumbers returns the numbers of other starts.
func (l *lateStart) otherNumbers(numbers []uint64) []uint64 {
	return slices.DeleteFunc(numbers, func(n uint64) bool { return n == l.run.Run })
}

// end lets the worker list an end of the run.
func (l *lateStart) end(f *fleet, how cfcore.RunEnd) {
	w := f.workers["a"]
	clear(w.runs)
	w.ended = []cfcore.EndedTask{{Number: 1, Task: l.run.Task, Run: l.run.Run, How: how}}
	l.report(f, cfwire.JobOrderResult{Task: l.run.Task, Run: l.run.Run})
}

// The next incarnation of the worker executes both starts, and a done end of the first one counts.
func TestTaskGetsNoSecondRunNumberOnAWorkerThatCanExecuteItsStartLate(t *testing.T) {
	refuses := func(kind cfcore.ExecutorKind) func(*fleet, *lateStart) {
		return func(f *fleet, l *lateStart) { l.refuse(f, kind) }
	}
	ends := func(how cfcore.RunEnd) func(*fleet, *lateStart) {
		return func(f *fleet, l *lateStart) { l.end(f, how) }
	}
	for name, c := range map[string]struct {
		step cfjob.Step
		play func(*fleet, *lateStart)
		// refusal is that of later starts.
		refusal cfcore.ExecutorKind
		// waits is the time without a second start; zero if there must be none as long as the first one can be executed.
		waits time.Duration
	}{
		"the worker has no room for its repetition":           {newStep(1, 100), refuses(cfcore.ExecutorNoCapacity), cfcore.ExecutorNoCapacity, 0},
		"the worker refuses its repetition and is to stop it": {newStep(1, 100), refuses(cfcore.ExecutorStale), cfcore.ExecutorStale, 0},
		"the worker is unhealthy":                             {newStep(1, 100), refuses(cfcore.ExecutorUnhealthy), cfcore.ExecutorUnhealthy, 0},
		"a task that lasts":                                   {longRunningStep(), refuses(cfcore.ExecutorStale), cfcore.ExecutorStale, 3 * time.Second},
		"the next incarnation has no room for its repetition": {newStep(1, 100), func(f *fleet, l *lateStart) {
			clear(f.workers["a"].runs)
			f.workers["a"].state.Born = f.now
			l.report(f)
			f.now = f.now.Add(100 * time.Millisecond)
			l.report(f)
			f.Expect(f.runPlanner()).To(ConsistOf("j.0@a"))
			f.Expect(l.refuse(f, cfcore.ExecutorNoCapacity)).To(ConsistOf(l.run.Run))
		}, cfcore.ExecutorNoCapacity, 0},
		"the next instance of the agent is to stop it": {newStep(1, 100), func(f *fleet, l *lateStart) {
			f.BeginInstance("a")
			l.isUnknown = true
			l.refuse(f, cfcore.ExecutorStale)
		}, cfcore.ExecutorStale, 0},
		"its run has lapsed":  {newStep(1, 100), ends(cfcore.EndLeaseExpired), "", 0},
		"its run was stopped": {newStep(1, 100), ends(cfcore.EndStopped), "", 0},
		"its run has failed":  {newStep(1, 100), ends(cfcore.EndFailed), "", 0},
	} {
		t.Run(name, func(t *testing.T) {
			f, run := newBoundFleet(t, c.step)
			l := newLateStart(f, run)
			l.report(f)
			f.now = f.now.Add(700 * time.Millisecond)
			c.play(f, l)
			until := l.until
			if c.waits > 0 {
				until = f.now.Add(c.waits)
			}
			for f.now = f.now.Add(100 * time.Millisecond); f.now.Before(until); f.now = f.now.Add(100 * time.Millisecond) {
				l.report(f)
				f.report("b")
				started := f.runPlanner()
				f.Expect(l.otherNumbers(l.refuse(f, c.refusal))).To(BeEmpty(), "after %s, beside %d", f.now.Sub(epochStart), run.Run)
				f.Expect(started).NotTo(ContainElement("j.0@b"))
			}
		})
	}
}

// A worker that is full for a while has room again before the start can be executed no more.
func TestStartThatWasRefusedForRoomIsRepeatedUnderItsNumber(t *testing.T) {
	f, run := newBoundFleet(t, newStep(1, 100))
	l := newLateStart(f, run)
	f.now = f.now.Add(700 * time.Millisecond)
	l.report(f)
	l.refuse(f, cfcore.ExecutorNoCapacity)
	var numbers []uint64
	for range 10 {
		f.now = f.now.Add(100 * time.Millisecond)
		l.report(f)
		f.runPlanner()
		numbers = append(numbers, l.refuse(f, cfcore.ExecutorNoCapacity)...)
	}
	f.Expect(numbers).NotTo(BeEmpty(), "within 1 s")
	f.Expect(l.otherNumbers(numbers)).To(BeEmpty())
}

// The wait ends with the first start, on any worker.
func TestTaskWithARefusedStartRunsOnceItIsProvedOver(t *testing.T) {
	f, run := newBoundFleet(t, newStep(1, 100))
	l := newLateStart(f, run)
	l.report(f)
	l.refuse(f, cfcore.ExecutorStale)
	for f.now.Before(l.until) {
		f.now = f.now.Add(100 * time.Millisecond)
		l.report(f)
		f.runPlanner()
		l.refuse(f, cfcore.ExecutorStale)
	}
	started := []string{}
	for range 3 {
		f.now = f.now.Add(100 * time.Millisecond)
		l.report(f)
		f.report("b")
		started = append(started, f.runPlanner()...)
	}
	f.Expect(started).To(ConsistOf(HavePrefix("j.0@")))
}

// It must run again within 7 calm seconds, also if there is no other worker.
func TestLongRunningTaskStartsAgainAlthoughItsWorkerRefusesTheNumberOfItsLateStart(t *testing.T) {
	f, run := newBoundFleet(t, longRunningStep())
	f.workers["b"].state.Draining = true
	f.report("b")
	l := newLateStart(f, run)
	l.report(f)
	l.refuse(f, cfcore.ExecutorStale)
	start := f.now
	for len(f.runPlanner()) == 0 && f.now.Before(l.until) {
		f.now = f.now.Add(100 * time.Millisecond)
		l.report(f)
	}
	f.Expect(f.now.Sub(start)).To(BeNumerically("~", 3*time.Second, 300*time.Millisecond))
}
