package cfdispatch_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cfdispatch"
)

// eventsOf returns the planner's events of a kind since the last call.
func (h *interferenceSim) eventsOf(kind cfdispatch.EventKind) []cfdispatch.Event {
	var out []cfdispatch.Event
	for _, e := range h.TakeEvents() {
		if e.Kind == kind {
			out = append(out, e)
		}
	}
	return out
}

func TestTimeOverTargetIsReportedWithItsNeighbours(t *testing.T) {
	h := newInterferenceSim(t, 1)
	h.submit("service", latencyCriticalStep("a", 1))
	h.submit("x", longBestEffortStep("x", 2))
	h.submit("y", longBestEffortStep("y", 1))
	for range 10 {
		h.advance()
	}
	h.TakeEvents()
	h.extraLoad = 0.9
	for range 3 {
		h.advance()
	}
	h.extraLoad = -0.4
	h.advance()
	events := h.eventsOf(cfdispatch.EventOverTarget)
	h.Expect(events).To(HaveLen(1))
	h.Expect(events[0].Task.Job).To(Equal("service"))
	h.Expect(events[0].Took).To(BeNumerically("~", 3*simStep, simStep))
	h.Expect(events[0].Neighbours).To(Equal([]string{"x", "y"}))
}

// After a pause begins, an order takes 0.1 s, a tail latency covers 0.5 s, and the next report comes
// within 0.3 s. A pause that has had its effect must end then.
func TestBestEffortTasksResumeOnceTailsAreSeenWithinTargets(t *testing.T) {
	h := newInterferenceSim(t, 1)
	h.submit("service", latencyCriticalStep("a", 1))
	h.submit("x", longBestEffortStep("x", 2))
	h.advance()
	h.extraLoad = 0.9
	for len(h.eventsOf(cfdispatch.EventPaused)) == 0 {
		h.advance()
	}
	h.extraLoad = 0
	for range 4 {
		h.advance()
	}
	events := h.eventsOf(cfdispatch.EventResumed)
	h.Expect(events).To(HaveLen(1))
	h.Expect(events[0].Took).To(BeNumerically("<=", 900*time.Millisecond))
}

func TestPausesAreReported(t *testing.T) {
	h := newInterferenceSim(t, 1)
	h.submit("service", latencyCriticalStep("a", 1))
	h.submit("x", longBestEffortStep("x", 2))
	h.advance()
	h.extraLoad = 0.9
	for range 10 {
		h.advance()
	}
	events := h.eventsOf(cfdispatch.EventPaused)
	h.Expect(events).To(HaveLen(1))
	h.Expect(events[0].BestEffort).To(Equal(2))
	h.Expect(events[0].Took).To(BeNumerically(">", 2*time.Second))
}

// A best-effort task that starts on a paused worker runs at full speed until the next report, so
// that the tail latency stays over its target.
func TestPausedWorkerGetsNoBestEffortTasks(t *testing.T) {
	h := newInterferenceSim(t, 1)
	h.submit("service", latencyCriticalStep("a", 1))
	h.submit("x", longBestEffortStep("x", 2))
	h.advance()
	h.extraLoad = 0.9
	for len(h.eventsOf(cfdispatch.EventPaused)) == 0 {
		h.advance()
	}
	h.submit("y", bestEffortStep("y", 1))
	h.planAndApply()
	h.Expect(h.runs["w0"]).To(HaveLen(3))
	h.extraLoad = 0
	for range 4 {
		h.advance()
	}
	h.Expect(h.runs["w0"]).To(HaveLen(4), "after the pause")
}

// Tail latencies are reported in whole milliseconds: 50 can be 50.9, which is over a target of 50.
func TestBestEffortTasksArePausedAtATailLatencyThatIsRoundedToItsTarget(t *testing.T) {
	f := newFleet(t, newPlanner(), "a")
	f.workers["a"].state.Capacity = cfcore.Resources{MilliCores: 16000, MemoryMB: 64000}
	f.add("service", latencyCriticalStep("a", 1))
	f.add("x", longBestEffortStep("x", 2))
	f.report()
	f.runPlanner()
	f.workers["a"].gauges[0] = int(tailTarget / time.Millisecond)
	for range 10 {
		f.now = f.now.Add(simStep)
		f.report()
		f.runPlanner()
	}
	f.Expect(f.workers["a"].speeds).To(HaveKeyWithValue("x", 0))
}

// The order to pause is lost once. The platform allows interference for 4 s on end, so that the order
// must be repeated before that.
func TestLostOrderToPauseIsRepeatedWithin4sOverTarget(t *testing.T) {
	h := newInterferenceSim(t, 1)
	h.submit("service", latencyCriticalStep("a", 1))
	h.submit("x", longBestEffortStep("x", 2))
	h.advance()
	h.extraLoad = 0.9
	start := h.now
	for len(h.eventsOf(cfdispatch.EventPaused)) == 0 {
		h.advance()
	}
	for _, r := range h.runs["w0"] {
		r.speedPercent = 100
	}
	isPaused := func() bool {
		for _, r := range h.runs["w0"] {
			if r.step.BestEffort && r.speedPercent > 0 {
				return false
			}
		}
		return true
	}
	for !isPaused() && h.now.Sub(start) < time.Minute {
		h.advance()
	}
	h.Expect(h.now.Sub(start)).To(BeNumerically("<=", 4*time.Second+simStep))
}

// pausedSim returns a worker with a latency-critical task over its target and two paused
// best-effort tasks. Most of its CPU and memory is free.
func pausedSim(t *testing.T) *interferenceSim {
	h := newInterferenceSim(t, 1)
	h.submit("service", latencyCriticalStep("a", 1))
	h.submit("x", longBestEffortStep("x", 2))
	h.advance()
	h.extraLoad = 0.9
	for len(h.eventsOf(cfdispatch.EventPaused)) == 0 {
		h.advance()
	}
	return h
}

// A pause bars best-effort tasks from a worker, but not tasks that reserve their CPU.
func TestPauseDoesNotKeepTasksThatReserveCPUFromStarting(t *testing.T) {
	for _, hasMonitor := range []bool{false, true} {
		h := pausedSim(t)
		plain := newStep(1, 2000)
		plain.Estimate = 10 * time.Second
		h.submit("plain", plain)
		if hasMonitor {
			// Its objective is earlier.
			monitor := bestEffortStep("monitor", 1)
			monitor.LongRunning, monitor.Estimate = true, time.Second
			h.submit("monitor", monitor)
		}
		h.planAndApply()
		started := 0
		for _, r := range h.runs["w0"] {
			if r.start.Task.Job == "plain" {
				started++
			}
		}
		h.Expect(started).To(Equal(1), "the task that reserves its CPU starts; waiting best-effort task: %v", hasMonitor)
	}
}

// A task that stays over its target after the last best-effort task beside it has ended is over it
// because of its own load.
func TestTimeOverTargetEndsWithTheLastBestEffortTask(t *testing.T) {
	h := newInterferenceSim(t, 1)
	h.submit("service", latencyCriticalStep("a", 1))
	h.submit("x", longBestEffortStep("x", 1))
	for range 10 {
		h.advance()
	}
	h.TakeEvents()
	h.extraLoad = 0.9
	for range 3 {
		h.advance()
	}
	for k, r := range h.runs["w0"] {
		if r.step.BestEffort {
			h.endRun("w0", k, r, cfcore.EndDone)
		}
	}
	for range 30 {
		h.advance()
	}
	h.extraLoad = -0.4
	h.advance()
	events := h.eventsOf(cfdispatch.EventOverTarget)
	h.Expect(events).To(HaveLen(1))
	h.Expect(events[0].Took).To(BeNumerically("<=", 5*simStep))
}
