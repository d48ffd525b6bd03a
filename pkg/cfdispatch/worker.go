package cfdispatch

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"cranberryford/pkg/cfcore"
)

// worker is one agent with the life of the worker beside it.
type worker struct {
	// agent names the agent.
	agent string
	state cfcore.WorkerState
	// known is set once the worker has listed its runs to this planner.
	known bool
	// unreached is set while the agent says that the worker does not answer.
	unreached bool
	// recorded is set once the store knows that tasks may be sent to the agent.
	recorded bool
	// left is set once the worker said that it leaves, until another life of it comes.
	left bool
	// heard is when the agent's last report came in, and answered when an answer was
	// last sent that lets it extend leases.
	heard    time.Time
	answered time.Time
	// drainsUntil is when a draining worker may end, by its last word.
	drainsUntil time.Time
	runs        map[*run]bool
	used        cfcore.Resources
	// reserved is the room that waits for an urgent task, as of the last decision.
	reserved cfcore.Resources
	// filling is the processor time that filler tasks would like to have, and serving what
	// is reserved for tasks that serve.
	filling int64
	serving int64
	// overSince is since when a tail is over its target, and haltedAt when the fillers
	// were halted; zero where they are not.
	overSince time.Time
	haltedAt  time.Time
	// unwatched is set until this planner first looks at the tails.
	unwatched bool
	// seen is the number of the last end that was taken in, and noted that of the
	// last one on record.
	seen  uint64
	noted uint64
	// told is the number that the agent was told last.
	told     uint64
	failures failureStreak
	// refusedAt is when the worker last refused a start.
	refusedAt time.Time
}

// refusePause is how long a worker gets no starts after it refused one: its next lists
// tell why by then.
const refusePause = 100 * time.Millisecond

func (w *worker) add(r *run) {
	w.runs[r] = true
	w.used = w.used.Add(r.task.step.Room())
	w.count(r.task, 1)
}

func (w *worker) remove(r *run) {
	if !w.runs[r] {
		return
	}
	delete(w.runs, r)
	w.used = w.used.Sub(r.task.step.Room())
	w.count(r.task, -1)
}

// count adds a number of runs of a task to the sums that are kept of a worker's runs.
func (w *worker) count(t *task, n int64) {
	if t.step.Filler {
		w.filling += n * t.step.Resources.MilliCores
	}
	if t.serves() {
		w.serving += n * t.step.Resources.MilliCores
	}
}

// usable reports whether the worker may get starts now.
func (w *worker) usable(now time.Time, suspect time.Duration) bool {
	return w.known && w.recorded && !w.unreached && !w.state.Draining && now.Sub(w.heard) < suspect &&
		now.Sub(w.refusedAt) >= refusePause
}

// failureStreak notes runs that failed without one that succeeded between them.
type failureStreak struct {
	// jobs are the different jobs that failed since the last success.
	jobs  map[string]bool
	until time.Time
	// times is how often in a row the worker was set aside.
	times int
}

// Limits on workers that fail what they start.
const (
	// streakLimit is the number of different jobs that may fail in a row before a
	// worker is set aside. One can be the job's own fault; two in a row from
	// different jobs are rarely so.
	streakLimit = 2
	// asideTime is how long a worker is set aside first; it doubles up to
	// maxAsideTime while the worker goes on failing.
	asideTime         = 2 * time.Second
	maxAsideTime      = 30 * time.Second
	maxAsideDoublings = 8
)

// fail notes a run that failed, and reports whether the worker is set aside for it.
func (f *failureStreak) fail(now time.Time, jobID string) bool {
	if f.jobs == nil {
		f.jobs = map[string]bool{}
	}
	f.jobs[jobID] = true
	if len(f.jobs) < streakLimit || now.Before(f.until) {
		return false
	}
	f.until = now.Add(min(asideTime<<f.times, maxAsideTime))
	f.times = min(f.times+1, maxAsideDoublings)
	return true
}

func (f *failureStreak) succeed() { *f = failureStreak{} }

// addWorker adds a worker that was not known.
func (p *Planner) addWorker(w *worker) {
	p.workers[w.agent] = w
	i, _ := slices.BinarySearchFunc(p.fleet, w.agent, byAgent)
	p.fleet = slices.Insert(p.fleet, i, w)
	p.unrecorded[w.agent] = true
}

func (p *Planner) removeWorker(w *worker) {
	delete(p.workers, w.agent)
	delete(p.unrecorded, w.agent)
	if i, ok := slices.BinarySearchFunc(p.fleet, w.agent, byAgent); ok {
		p.fleet = slices.Delete(p.fleet, i, i+1)
	}
}

func byAgent(w *worker, agent string) int { return cmp.Compare(w.agent, agent) }

// Unrecorded returns the agents that get no starts before they are on record.
func (p *Planner) Unrecorded() []string { return slices.Sorted(maps.Keys(p.unrecorded)) }

// Recorded says that an agent is on record, and that later planners will ask it.
func (p *Planner) Recorded(agent string) {
	if w := p.workers[agent]; w != nil && !w.left {
		w.recorded, p.changed = true, true
		delete(p.unrecorded, agent)
	}
}
