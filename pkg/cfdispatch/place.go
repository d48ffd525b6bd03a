package cfdispatch

import (
	"slices"
	"sort"
	"time"

	"cranberryford/pkg/cfcore"
)

// lookEvery is how often the planner looks for what only the time has changed. It is a small
// part of the shortest time that such decisions wait for, 300 ms.
const lookEvery = 50 * time.Millisecond

// Plan starts what can be started now.
func (p *Planner) Plan(now time.Time) {
	look := now.Sub(p.lookedAt) >= lookEvery
	if !look && !p.changed {
		return
	}
	p.changed = false
	for _, w := range p.fleet {
		w.reserved = cfcore.Resources{}
	}
	p.full = map[shape][]cfcore.Resources{}
	if look {
		p.lookedAt = now
		p.moveOff(now)
		p.moveStuck(now)
	}
	blocked := len(p.expected) > 0
	for _, j := range p.queue(now, func(j *job) bool { return !blocked || !j.inherited }) {
		for k := range j.steps {
			if now.Before(j.Due(k)) {
				continue
			}
			for s := range j.steps[k] {
				if p.stepReady(j, k, s) {
					p.startStep(now, j, &j.steps[k][s])
				}
			}
		}
	}
}

func (p *Planner) stepReady(j *job, k, s int) bool {
	if j.steps[k][s].remaining == 0 {
		return false
	}
	for _, a := range j.Steps[s].After {
		if j.steps[k][a].remaining > 0 {
			return false
		}
	}
	return true
}

// queue returns the jobs that match and have something to start, the most urgent first.
func (p *Planner) queue(now time.Time, match func(*job) bool) []*job {
	var out []*job
	for _, j := range p.open {
		if match(j) && (j.live < j.remaining || j.duplicable) {
			out = append(out, j)
		}
	}
	sort.Slice(out, func(a, b int) bool { return less(now, out[a], out[b]) })
	return out
}

// less orders jobs by priority; among those, jobs that can still be on time come
// before those that are late, and an earlier objective before a later one.
func less(now time.Time, a, b *job) bool {
	if a.queue.Priority != b.queue.Priority {
		return a.queue.Priority < b.queue.Priority
	}
	if la, lb := a.hopeless(now), b.hopeless(now); la != lb {
		return lb
	}
	if !a.objective.Equal(b.objective) {
		return a.objective.Before(b.objective)
	}
	return a.ID < b.ID
}

// hopeless reports whether a job is past the time after which its caller has no use
// for it: three times its objective.
func (j *job) hopeless(now time.Time) bool {
	return !j.LongRunning() && now.Sub(j.Accepted) > 3*j.objective.Sub(j.Accepted)
}

func (p *Planner) startStep(now time.Time, j *job, st *stepState) {
	if j.Steps[st.tasks[0].name.Step].Gang {
		p.startGang(now, st)
		return
	}
	for _, t := range st.tasks {
		if !t.done && p.wantsCopy(now, t) {
			p.copyTask(now, t)
		}
		if t.done || len(t.runs) > 0 {
			continue
		}
		w := p.choose(now, t)
		if w == nil {
			if t.waitsInTurn() {
				t.j.starve(now)
				return
			}
			if !p.reserve(now, t) {
				return
			}
			continue
		}
		t.waiting, t.j.starving = time.Time{}, time.Time{}
		p.start(now, t, w, p.newRun())
	}
}

// waitsInTurn reports whether the task waits where fillers would crowd. One that lasts
// would wait for others that last.
func (t *task) waitsInTurn() bool { return t.step.Filler && !t.step.LongRunning }

// starveAfter is how long a job of fillers may have nothing running because of others;
// the platform lets a job wait for 3 s beside room for it.
const starveAfter = 1500 * time.Millisecond

// starve notes that a filler found no processor time left.
func (j *job) starve(now time.Time) {
	if j.live == 0 && j.starving.IsZero() {
		j.starving = now
	}
}

// starved reports whether nothing of a job has run for so long that a task of it has
// to start.
func (j *job) starved(now time.Time) bool {
	return j.live == 0 && !j.starving.IsZero() && now.Sub(j.starving) >= starveAfter
}

// choose returns the worker that a task should run on, or nil.
func (p *Planner) choose(now time.Time, t *task) *worker {
	k := t.shape(now)
	if p.isFull(k, t) {
		return nil
	}
	w := p.chooseAmong(now, t, func(*worker) bool { return true })
	if w == nil {
		p.noteFull(k, t)
	}
	return w
}

// maxCandidates is the number of workers that have room for a task and are rated for it.
const maxCandidates = 100

// chooseAmong returns the worker that a task should run on of those that match, or nil. In
// a large fleet the best of some is nearly as good as the best of all; tasks that serve stay
// for long, and are placed by what is on all workers.
func (p *Planner) chooseAmong(now time.Time, t *task, match func(*worker) bool) *worker {
	most, first := maxCandidates, 0
	if t.serves() {
		most = len(p.fleet)
	}
	if len(p.fleet) > most {
		p.next = (p.next + 1) % len(p.fleet)
		first = p.next
	}
	var best *worker
	var bestScore float64
	for i, found := 0, 0; i < len(p.fleet) && found < most; i++ {
		w := p.fleet[(first+i)%len(p.fleet)]
		if !match(w) || !p.allowed(now, t, w) {
			continue
		}
		found++
		score := p.score(now, t, w)
		if best == nil || score > bestScore || score == bestScore && w.agent < best.agent {
			best, bestScore = w, score
		}
	}
	return best
}

// allowed reports whether a worker may run a task now. Load: a burst of fillers, for
// which memory is no bound. Side by side all of them would be late; in turn those come
// through that the fleet has time for.
func (p *Planner) allowed(now time.Time, t *task, w *worker) bool {
	if !w.used.Add(w.reserved).Add(t.step.Room()).Fits(w.state.Capacity) {
		return false
	}
	if t.waitsInTurn() && w.crowd(t) > maxCrowd && !t.j.starved(now) {
		return false
	}
	return p.suitable(now, t, w)
}

// suitable reports whether a worker may run a task once it has room for it.
func (p *Planner) suitable(now time.Time, t *task, w *worker) bool {
	_, ok := t.ticketOn(now, w)
	return ok && p.fitting(now, t, w)
}

// fitting reports whether a worker may run a task once it has room for it, and a ticket
// where the queue asks for one.
func (p *Planner) fitting(now time.Time, t *task, w *worker) bool {
	if !w.usable(now, p.cfg.Suspect) || w.state.Service != t.j.queue.Service {
		return false
	}
	if now.Before(w.failures.until) {
		return false
	}
	if r := t.step.Requirement; r != "" && !slices.Contains(w.state.Labels, r) {
		return false
	}
	return t.step.MaxPerWorker == 0 || p.peers(t, w) < t.step.MaxPerWorker
}

// peers returns how many tasks of a task's step and occurrence may run on a worker.
func (p *Planner) peers(t *task, w *worker) int {
	n := 0
	for _, o := range t.state().tasks {
		for _, r := range o.runs {
			if r.w == w {
				n++
			}
		}
	}
	return n
}
