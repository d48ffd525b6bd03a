package cfdispatch_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cfdispatch"
	"cranberryford/pkg/cfjob"
	"cranberryford/pkg/cfwire"
)

var (
	epochStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	settings   = cfdispatch.Settings{
		Epoch: 3, GrantTime: 2 * time.Second, LeaseTime: 5 * time.Second,
		Resend: 600 * time.Millisecond, Suspect: 800 * time.Millisecond,
	}
	queue = cfjob.Queue{Name: "plans", Service: "dispatch", MaxAttempts: 2, Stretch: 2, Latency: time.Second}
)

// fleet plays agents and their workers against a planner.
type fleet struct {
	*WithT
	*cfdispatch.Planner
	now     time.Time
	workers map[string]*fakeWorker
	// stoppedTasks are the tasks that were told to stop.
	stoppedTasks map[cfcore.TaskName]bool
}

type fakeWorker struct {
	state cfcore.WorkerState
	runs  map[string]cfwire.JobStart
	ended []cfcore.EndedTask
	// tails are the gauges that running tasks report, by step.
	tails map[int]int
	// progress is what running tasks report beyond 50 percent.
	progress int
	paces    map[string]int
	stops    []string
	noted    uint64
}

func newFleet(t *testing.T, p *cfdispatch.Planner, agents ...string) *fleet {
	f := &fleet{WithT: NewWithT(t), Planner: p, now: epochStart, workers: map[string]*fakeWorker{}, stoppedTasks: map[cfcore.TaskName]bool{}}
	for i, a := range agents {
		f.workers[a] = &fakeWorker{
			state: cfcore.WorkerState{
				ID: "w-" + a, Service: "dispatch", Labels: []string{"a", fmt.Sprintf("rack-%d", i)},
				Capacity: cfcore.Resources{MilliCores: 4000, MemoryMB: 8000}, Born: epochStart,
			},
			runs: map[string]cfwire.JobStart{}, tails: map[int]int{}, paces: map[string]int{},
		}
	}
	f.report()
	for _, a := range agents {
		f.Recorded(a)
	}
	return f
}

func newPlanner() *cfdispatch.Planner { return cfdispatch.New(settings, nil, epochStart) }

func key(n cfcore.TaskName, run uint64) string {
	return fmt.Sprintf("%s.%d.%d.%d/%d", n.Job, n.Occurrence, n.Step, n.Index, run)
}

// report lets all agents report what their workers run.
func (f *fleet) report(agents ...string) {
	for a, w := range f.workers {
		if len(agents) > 0 && a != agents[0] {
			continue
		}
		lists := &cfcore.RunLists{Born: w.state.Born, Clock: f.now.Sub(epochStart), Ended: w.ended}
		for _, s := range w.runs {
			lists.Running = append(lists.Running, cfcore.RunningTask{
				Task: s.Task, Run: s.Run, Checkpoint: "cp-" + s.Task.Job, Percent: 50 + w.progress, Gauge: w.tails[s.Task.Step],
			})
		}
		f.Report(f.now, a, &cfwire.JobReport{Worker: &w.state, Lists: lists})
	}
}

// step lets the planner decide and the workers carry the orders out.
func (f *fleet) step() []string {
	f.Plan(f.now)
	var started []string
	for a, o := range f.Take(f.now) {
		w := f.workers[a]
		for _, s := range o.Starts {
			w.runs[key(s.Task, s.Run)] = s
			started = append(started, fmt.Sprintf("%s.%d@%s", s.Task.Job, s.Task.Step, a))
		}
		for _, s := range o.Stops {
			w.stops = append(w.stops, s.Task.Job)
			f.stoppedTasks[s.Task] = true
		}
		for _, s := range o.Paces {
			w.paces[s.Task.Job] = s.Percent
		}
		w.noted = max(w.noted, o.Noted)
	}
	return started
}

// end ends all runs of a job on the workers.
func (f *fleet) end(job string, how cfcore.RunEnd) {
	for _, w := range f.workers {
		for k, s := range w.runs {
			if s.Task.Job == job {
				delete(w.runs, k)
				w.ended = append(w.ended, cfcore.EndedTask{Number: uint64(len(w.ended) + 1), Task: s.Task, Run: s.Run, How: how})
			}
		}
	}
	f.report()
}

func (f *fleet) add(id string, steps ...cfjob.Step) {
	f.AddJob(f.now, &cfjob.Entry{Job: &cfjob.Job{ID: id, Queue: queue, Steps: steps, Accepted: f.now}}, queue, false)
}

// outcome returns what would be kept of a job.
func (f *fleet) outcome(id string) cfjob.Outcome {
	facts, seen := f.Facts(f.now, true)
	f.Noted(seen)
	for _, fact := range facts {
		if fact.ID == id {
			return fact.Progress.Outcome
		}
	}
	return ""
}

func step(count int, milliCores int64) cfjob.Step {
	return cfjob.Step{Count: count, Resources: cfcore.Resources{MilliCores: milliCores, MemoryMB: 100}, Estimate: time.Second}
}

func TestStepsWaitForEarlierOnes(t *testing.T) {
	f := newFleet(t, newPlanner(), "a", "b")
	second := step(1, 100)
	second.After = []int{0}
	f.add("j", step(2, 100), second)
	f.Expect(f.step()).To(HaveLen(2))
	f.report()
	f.Expect(f.step()).To(BeEmpty())
	f.end("j", cfcore.EndDone)
	f.Expect(f.step()).To(ConsistOf(HavePrefix("j.1@")))
	f.end("j", cfcore.EndDone)
	f.Expect(f.outcome("j")).To(Equal(cfjob.OutcomeCompleted))
}

func TestRoomIsNeverOverbooked(t *testing.T) {
	f := newFleet(t, newPlanner(), "a")
	f.add("j", step(5, 1500))
	f.Expect(f.step()).To(HaveLen(2), "4,000 thousandths of a core hold two tasks of 1,500")
	f.report()
	f.Expect(f.step()).To(BeEmpty())
}

func TestFillersTakeMemoryOnly(t *testing.T) {
	f := newFleet(t, newPlanner(), "a")
	fillers := step(3, 1500)
	fillers.Filler = true
	f.add("j", fillers)
	f.Expect(f.step()).To(HaveLen(3), "more processor time than the worker has")
	f.add("full", step(1, 4000))
	f.Expect(f.step()).To(HaveLen(1), "fillers take none of the capacity")
}

// The platform takes a job for lost that has nothing running for 3 s beside room.
func TestEachJobOfFillersHasSomethingRunning(t *testing.T) {
	const lostAfter = 3 * time.Second
	f := newFleet(t, newPlanner(), "a")
	fillers := step(3, 1500)
	fillers.Filler = true
	begun := map[string]time.Duration{}
	for i := range 6 {
		f.add(fmt.Sprintf("j%d", i), fillers)
	}
	for range 10 {
		for _, s := range f.step() {
			id, _, _ := strings.Cut(s, ".")
			if _, ok := begun[id]; !ok {
				begun[id] = f.now.Sub(epochStart)
			}
		}
		f.now = f.now.Add(300 * time.Millisecond)
		f.report()
	}
	f.Expect(begun).To(HaveLen(6))
	for id, at := range begun {
		f.Expect(at).To(BeNumerically("<", lostAfter-time.Second), id)
	}
}

func TestRequirementsAndSpread(t *testing.T) {
	f := newFleet(t, newPlanner(), "a", "b", "c")
	f.workers["b"].state.Labels[0] = "special"
	f.report()
	needs := step(1, 100)
	needs.Requirement = "special"
	f.add("needs", needs)
	f.Expect(f.step()).To(ConsistOf("needs.0@b"))
	apart := step(5, 100)
	apart.MaxPerWorker = 1
	f.add("apart", apart)
	f.Expect(f.step()).To(HaveLen(3), "one task on each worker")
}

func TestAttemptsAreCountedOnce(t *testing.T) {
	f := newFleet(t, newPlanner(), "a", "b", "c")
	f.add("j", step(1, 100))
	f.step()
	f.end("j", cfcore.EndFailed)
	f.report() // the same end is listed again
	f.Expect(f.outcome("j")).To(BeEmpty())
	f.Expect(f.step()).To(HaveLen(1))
	f.end("j", cfcore.EndFailed)
	f.Expect(f.outcome("j")).To(Equal(cfjob.OutcomeFailed))
}

func TestGangStartsWholeWithOneNumber(t *testing.T) {
	f := newFleet(t, newPlanner(), "a", "b")
	gang := step(3, 2500)
	gang.Gang = true
	f.add("j", gang)
	f.Expect(f.step()).To(BeEmpty(), "two workers hold two members only")
	gang.Count = 2
	f.add("k", gang)
	f.Expect(f.step()).To(HaveLen(2))
	runs := map[uint64]bool{}
	for _, w := range f.workers {
		for _, s := range w.runs {
			runs[s.Run] = true
		}
	}
	f.Expect(runs).To(HaveLen(1))
}

// A worker that cannot be reached may still run its tasks until every lease on it
// has surely ended.
func TestTasksMoveOnlyWhenTheirLeaseHasEnded(t *testing.T) {
	f := newFleet(t, newPlanner(), "a", "b")
	checkpointing := step(1, 100)
	checkpointing.Checkpointing = true
	f.add("j", checkpointing)
	on := strings.TrimPrefix(f.step()[0], "j.0@")
	f.report()
	other := map[string]string{"a": "b", "b": "a"}[on]
	silent := f.now
	for f.now.Sub(silent) < settings.LapseTime() {
		f.now = f.now.Add(200 * time.Millisecond)
		f.report(other)
		f.Lapse(f.now)
		if f.now.Sub(silent) <= settings.LapseTime() {
			f.Expect(f.step()).To(BeEmpty(), "after %s", f.now.Sub(silent))
		}
	}
	f.Lapse(f.now)
	f.Expect(f.step()).To(ConsistOf("j.0@" + other))
	for _, s := range f.workers[other].runs {
		f.Expect(s.Checkpoint).To(Equal("cp-j"))
	}
}

// A new planner may not start what an older one may have started on an agent that
// has not reported yet.
func TestNewPlannerWaitsForUnheardAgents(t *testing.T) {
	p := cfdispatch.New(settings, []string{"a", "b"}, epochStart.Add(time.Minute))
	f := newFleet(t, p, "a")
	job := &cfjob.Entry{Job: &cfjob.Job{ID: "old", Queue: queue, Steps: []cfjob.Step{step(1, 100)}, Accepted: f.now}}
	f.AddJob(f.now, job, queue, true)
	f.add("new", step(1, 100))
	f.Expect(f.step()).To(ConsistOf("new.0@a"), "a job that was accepted since cannot have been started before")
	f.now = f.now.Add(time.Minute + time.Second)
	f.report()
	f.Lapse(f.now)
	f.Expect(f.step()).To(ConsistOf("old.0@a"))
}

func TestNewPlannerTakesOverWhatRuns(t *testing.T) {
	old := newFleet(t, newPlanner(), "a")
	old.add("j", step(1, 100))
	old.step()
	f := newFleet(t, cfdispatch.New(settings, []string{"a"}, epochStart.Add(time.Minute)), "a")
	f.AddJob(f.now, &cfjob.Entry{Job: &cfjob.Job{ID: "j", Queue: queue, Steps: []cfjob.Step{step(1, 100)}}}, queue, true)
	f.workers = old.workers
	f.report()
	f.Expect(f.step()).To(BeEmpty())
	f.end("j", cfcore.EndDone)
	f.Expect(f.outcome("j")).To(Equal(cfjob.OutcomeCompleted))
}

func TestCancelledJobsAreStopped(t *testing.T) {
	f := newFleet(t, newPlanner(), "a")
	f.add("j", step(2, 100))
	f.step()
	f.report()
	f.Cancel("j")
	f.step()
	f.Expect(f.workers["a"].stops).To(Equal([]string{"j", "j"}))
	f.now = f.now.Add(settings.Resend)
	f.report()
	f.step()
	f.Expect(f.workers["a"].stops).To(HaveLen(4), "a stop without a result is sent again")
}

func TestEndsAreNotedAfterTheyAreKept(t *testing.T) {
	f := newFleet(t, newPlanner(), "a")
	f.add("j", step(1, 100))
	f.step()
	f.end("j", cfcore.EndDone)
	facts, seen := f.Facts(f.now, false)
	f.Expect(facts).To(HaveLen(1))
	f.step()
	f.Expect(f.workers["a"].noted).To(BeZero())
	f.Noted(seen)
	f.step()
	f.Expect(f.workers["a"].noted).To(BeEquivalentTo(1))
}

func TestFailingWorkerIsSetAside(t *testing.T) {
	f := newFleet(t, newPlanner(), "a", "b")
	pin := func(id string) {
		s := step(1, 100)
		s.Requirement = "rack-0"
		f.add(id, s)
	}
	pin("x")
	pin("y")
	f.Expect(f.step()).To(HaveLen(2))
	f.end("x", cfcore.EndFailed)
	f.end("y", cfcore.EndFailed)
	pin("z")
	f.Expect(f.step()).To(BeEmpty(), "two jobs in a row have failed on a")
	f.now = f.now.Add(2100 * time.Millisecond)
	f.report()
	f.Expect(f.step()).To(HaveLen(3))
}

// The load: a filler beside a task whose tail is over its target.
func TestFillersAreHaltedBeforeHarmLasts(t *testing.T) {
	const harmTime = 4 * time.Second
	f := newFleet(t, newPlanner(), "a")
	serves := step(1, 100)
	serves.LongRunning, serves.TailTarget = true, 50*time.Millisecond
	filler := step(1, 2000)
	filler.Filler = true
	f.add("watch", serves, filler)
	f.step()
	w := f.workers["a"]
	over := f.now
	var halted time.Duration
	for f.now.Sub(over) < harmTime && halted == 0 {
		w.tails[0] = 200
		f.now = f.now.Add(300 * time.Millisecond)
		f.report()
		f.step()
		if pace, ok := w.paces["watch"]; ok && pace == 0 {
			halted = f.now.Sub(over)
		}
	}
	f.Expect(halted).To(And(BeNumerically(">", time.Second), BeNumerically("<", harmTime-time.Second)))
	w.tails[0] = 20
	for range 5 {
		f.now = f.now.Add(300 * time.Millisecond)
		f.report()
		f.step()
	}
	f.Expect(w.paces["watch"]).To(Equal(100), "the filler goes on")
}

func TestSchedule(t *testing.T) {
	f := newFleet(t, newPlanner(), "a")
	f.AddJob(f.now, &cfjob.Entry{Job: &cfjob.Job{
		ID: "j", Queue: queue, Steps: []cfjob.Step{step(1, 100)}, Accepted: f.now,
		Schedule: &cfjob.Schedule{Count: 2, FirstRun: f.now.Add(time.Second), Period: time.Second},
	}}, queue, false)
	f.Expect(f.step()).To(BeEmpty())
	f.now = f.now.Add(time.Second)
	f.report()
	f.Expect(f.step()).To(HaveLen(1))
	f.now = f.now.Add(time.Second)
	f.report()
	f.Expect(f.step()).To(HaveLen(1))
}

// An older planner may have halted a filler just before it ended.
func TestAdoptedFillersGoOn(t *testing.T) {
	filler := step(1, 2000)
	filler.Filler = true
	old := newFleet(t, newPlanner(), "a")
	old.add("j", filler)
	old.step()
	f := newFleet(t, cfdispatch.New(settings, []string{"a"}, epochStart.Add(time.Minute)), "a")
	f.AddJob(f.now, &cfjob.Entry{Job: &cfjob.Job{ID: "j", Queue: queue, Steps: []cfjob.Step{filler}}}, queue, true)
	f.workers = old.workers
	f.workers["a"].paces["j"] = 0
	f.report()
	f.step()
	f.Expect(f.workers["a"].paces["j"]).To(Equal(100))
}

// An order to halt a filler may be carried out after the one that let it go on.
func TestFillersThatStandStillAreToldAgainToGoOn(t *testing.T) {
	filler := step(1, 2000)
	filler.Filler = true
	f := newFleet(t, newPlanner(), "a")
	f.add("j", filler)
	f.step()
	f.workers["a"].paces["j"] = 0
	for range 10 {
		f.now = f.now.Add(300 * time.Millisecond)
		f.report()
		f.step()
	}
	f.Expect(f.workers["a"].paces["j"]).To(Equal(100))
}

// The load: a worker full of tasks that are less urgent, with more of them waiting.
func TestUrgentTaskGetsRoomFromLessUrgentOnes(t *testing.T) {
	f := newFleet(t, newPlanner(), "a")
	low := queue
	low.Priority = 2
	batch := step(12, 1000)
	batch.Checkpointing = true
	f.AddJob(f.now, &cfjob.Entry{Job: &cfjob.Job{ID: "batch", Queue: low, Steps: []cfjob.Step{batch}, Accepted: f.now}}, low, false)
	f.Expect(f.step()).To(HaveLen(4))
	f.report()
	f.add("urgent", step(1, 2500))
	w := f.workers["a"]
	for range 5 {
		f.Expect(f.step()).To(BeEmpty())
		f.now = f.now.Add(100 * time.Millisecond)
		f.report()
	}
	f.Expect(w.stops).To(Equal([]string{"batch", "batch", "batch"}), "no more than are needed")
	n := 0
	for k, s := range w.runs {
		if n++; n <= 3 {
			delete(w.runs, k)
			w.ended = append(w.ended, cfcore.EndedTask{Number: uint64(n), Task: s.Task, Run: s.Run, How: cfcore.EndStopped})
		}
	}
	f.report()
	f.Expect(f.step()).To(ContainElement("urgent.0@a"))
}

func TestDrainingWorkerIsEmptied(t *testing.T) {
	f := newFleet(t, newPlanner(), "a", "b")
	long, short, plain := step(1, 100), step(1, 100), step(1, 100)
	long.LongRunning = true
	short.Checkpointing, short.Estimate = true, 100*time.Millisecond
	for _, s := range []*cfjob.Step{&long, &short, &plain} {
		s.Requirement = "rack-0"
	}
	f.add("long", long)
	f.add("short", short)
	f.add("plain", plain)
	f.Expect(f.step()).To(HaveLen(3))
	f.workers["b"].state.Labels[1] = "rack-0"
	f.workers["a"].state.Draining, f.workers["a"].state.Remaining = true, 3*time.Second
	f.report()
	f.Expect(f.step()).To(BeEmpty())
	f.Expect(f.workers["a"].stops).To(Equal([]string{"long"}), "the others are done in time, or would start anew")
	f.end("long", cfcore.EndStopped)
	f.Expect(f.step()).To(ConsistOf("long.0@b"))
}

func TestRunsThatStandStillMove(t *testing.T) {
	f := newFleet(t, newPlanner(), "a", "b")
	f.add("j", step(1, 100))
	on := strings.TrimPrefix(f.step()[0], "j.0@")
	for i := range 10 {
		f.now = f.now.Add(300 * time.Millisecond)
		if i < 4 {
			f.workers[on].progress += 5
		}
		f.report()
		f.step()
		if i < 7 {
			f.Expect(f.workers[on].stops).To(BeEmpty(), "look %d", i)
		}
	}
	f.Expect(f.workers[on].stops).NotTo(BeEmpty())
	f.end("j", cfcore.EndStopped)
	f.Expect(f.step()).To(HaveLen(1))
	f.Expect(f.workers[on].runs).To(BeEmpty(), "it goes on elsewhere")
}

func TestSlowTaskThatMayRunTwiceDoes(t *testing.T) {
	f := newFleet(t, newPlanner(), "a", "b")
	plain, twice := step(20, 100), step(1, 100)
	twice.Duplicable = true
	f.add("plain", plain)
	f.add("twice", twice)
	f.Expect(f.step()).To(HaveLen(21))
	var again []string
	for range 10 {
		f.now = f.now.Add(300 * time.Millisecond)
		for _, w := range f.workers {
			w.progress++
		}
		f.report()
		again = append(again, f.step()...)
	}
	f.Expect(again).To(ConsistOf(HavePrefix("twice.0@")))
	f.end("twice", cfcore.EndDone)
	f.Expect(f.outcome("twice")).To(Equal(cfjob.OutcomeCompleted))
}

// A task that stands still wherever it runs is not moved for ever.
func TestTaskThatStandsStillEverywhereIsMovedSeldom(t *testing.T) {
	f := newFleet(t, newPlanner(), "a", "b")
	f.add("j", step(1, 100))
	starts := len(f.step())
	for range 200 {
		f.now = f.now.Add(300 * time.Millisecond)
		f.report()
		if starts += len(f.step()); len(f.workers["a"].stops)+len(f.workers["b"].stops) > 0 {
			f.workers["a"].stops, f.workers["b"].stops = nil, nil
			f.end("j", cfcore.EndStopped)
		}
	}
	f.Expect(starts).To(And(BeNumerically(">", 1), BeNumerically("<", 6)), "starts in a minute")
}

// A job counts as waiting until it is on record that it has begun.
func TestStartedGangIsOnRecord(t *testing.T) {
	f := newFleet(t, newPlanner(), "a", "b")
	gang := step(2, 100)
	gang.Gang = true
	f.add("j", gang)
	f.Expect(f.step()).To(HaveLen(2))
	facts, _ := f.Facts(f.now.Add(time.Second), false)
	f.Expect(facts).To(HaveLen(1))
	f.Expect(facts[0].Progress.Started).To(BeTrue())
}

// The older planner may have ended before it put on record that a job had begun.
func TestAdoptedJobIsOnRecordAsStarted(t *testing.T) {
	old := newFleet(t, newPlanner(), "a")
	old.add("j", step(1, 100))
	old.step()
	f := newFleet(t, cfdispatch.New(settings, []string{"a"}, epochStart.Add(time.Minute)), "a")
	f.AddJob(f.now, &cfjob.Entry{Job: &cfjob.Job{ID: "j", Queue: queue, Steps: []cfjob.Step{step(1, 100)}}}, queue, true)
	f.workers = old.workers
	f.report()
	facts, _ := f.Facts(f.now.Add(time.Second), false)
	f.Expect(facts).To(HaveLen(1))
	f.Expect(facts[0].Progress.Started).To(BeTrue())
}

// The load: a worker whose refusals come back within 2 ms. Each start is priced, and
// takes time of both processes.
func TestRefusedStartsAreNotRepeatedAtOnce(t *testing.T) {
	f := newFleet(t, newPlanner(), "a")
	f.add("j", step(1, 100))
	starts := 0
	for range 500 {
		f.Plan(f.now)
		var results []cfwire.JobOrderResult
		if o := f.Take(f.now)["a"]; o != nil {
			for _, s := range o.Starts {
				starts++
				results = append(results, cfwire.JobOrderResult{Task: s.Task, Run: s.Run, Refusal: cfcore.ExecutorFull})
			}
		}
		f.now = f.now.Add(2 * time.Millisecond)
		f.Report(f.now, "a", &cfwire.JobReport{Results: results})
	}
	f.Expect(starts).To(BeNumerically("<=", 10), "in a second")
	f.Expect(starts).To(BeNumerically(">", 1), "the worker is tried again")
}

func TestAgentsOfWorkersThatLeftAreNotOnRecord(t *testing.T) {
	f := newFleet(t, newPlanner(), "a", "b")
	left := &cfwire.JobReport{Lost: &cfwire.JobWorkerUnreached{Left: true}}
	f.Report(f.now, "a", left)
	f.Report(f.now, "a", left)
	f.Expect(f.Lapse(f.now)).To(Equal([]cfdispatch.Gone{{Agent: "a", Left: true}}), "said once")
	f.Recorded("a")
	f.Expect(f.Unrecorded()).To(BeEmpty())
	f.add("j", step(2, 1000))
	f.Expect(f.step()).To(ConsistOf("j.0@b", "j.0@b"))

	f.workers["a"].state.Born = epochStart.Add(time.Second)
	f.report("a")
	f.Expect(f.Unrecorded()).To(ConsistOf("a"), "another life")
}
