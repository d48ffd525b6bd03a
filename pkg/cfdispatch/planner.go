// Package cfdispatch decides which task of which job runs on which worker. It is
// pure: time, reports and facts come in, and orders and facts to keep come out.
package cfdispatch

import (
	"time"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cfharm"
	"cranberryford/pkg/cfjob"
)

// Settings are the planner's periods and limits.
type Settings struct {
	// Epoch is the planner's fencing token.
	Epoch cfcore.Epoch
	// GrantTime is how long an agent may extend leases after it asked the planner.
	GrantTime time.Duration
	// LeaseTime is how long a lease lasts on the worker's clock.
	LeaseTime time.Duration
	// Resend is the time after which an order without a result is sent again.
	Resend time.Duration
	// Suspect is the silence after which an agent gets no new starts.
	Suspect time.Duration
}

// Periods that rest on the platform's promises.
const (
	// clockSlack is the part by which a worker's clock may be slow: 2 % by the
	// platform's word, and the same again for the clocks of agents and entries.
	clockSlack = 0.04
	// lapseMargin is added to every wait for a lease, for delays between a check of
	// the clock and the sending.
	lapseMargin = 300 * time.Millisecond
	// startedDelay is how long the fact that a job has begun may stay unwritten; the
	// platform allows a count of waiting jobs to be 2 s old.
	startedDelay = 500 * time.Millisecond
	// runBits is the number of bits of a run's number below the epoch.
	runBits = 24
)

// LapseTime returns how long after the last answer to an agent all leases on its
// worker have surely ended.
func (s Settings) LapseTime() time.Duration {
	return time.Duration(float64(s.GrantTime+s.LeaseTime)*(1+clockSlack)) + lapseMargin
}

// phase is how far a run is.
type phase int

const (
	// starting is a run whose start has no result yet; it may run.
	starting phase = iota
	running
	// stopping is a run that was told to stop and may still run.
	stopping
)

// run is one run of a task that may exist on a worker.
type run struct {
	task  *task
	id    uint64
	w     *worker
	phase phase
	begun time.Time
	sent  time.Time
	// ordered is when the start was last sent.
	ordered    time.Time
	checkpoint string
	ticket     string
	percent    int
	// progressed is when the percentage last rose.
	progressed time.Time
	gauge      int
	// pace is the share of its speed at which the run was told to work, in percent.
	pace int
	// paceSent is when the pace was last sent.
	paceSent time.Time
}

// task is one task of a job.
type task struct {
	j          *job
	name       cfcore.TaskName
	pos        int
	step       *cfjob.Step
	done       bool
	failed     []uint64
	checkpoint string
	lastRun    uint64
	runs       []*run
	// moves is how often the task was moved because it stood still.
	moves int
	// waiting is since when the task could start but for want of room.
	waiting time.Time
	// avoid is the worker on which the task failed last.
	avoid string
}

// stepState is how far a step of one occurrence is.
type stepState struct {
	tasks     []*task
	remaining int
	advice    advice
}

// job is a job that has not ended, or has runs that have not.
type job struct {
	*cfjob.Job
	queue     cfjob.Queue
	cancelled bool
	outcome   cfjob.Outcome
	ended     time.Time
	started   bool
	// steps are indexed by occurrence and step.
	steps     [][]stepState
	remaining int
	// objective is when the job should be completed.
	objective time.Time
	dirty     bool
	lazySince time.Time
	// inherited is set for jobs that an older planner can have started.
	inherited bool
	// duplicable is set where tasks of the job may run twice.
	duplicable bool
	// starving is since when the job has had nothing running for want of processor time.
	starving time.Time
	live     int
}

func (j *job) over() bool { return j.cancelled || j.outcome != cfjob.OutcomeNone }

// Planner holds the state of one planner. It belongs to one goroutine.
type Planner struct {
	cfg     Settings
	jobs    map[string]*job
	workers map[string]*worker
	// fleet are the workers in the order of their agents' names.
	fleet   []*worker
	nextRun uint64
	// copies is the number of second runs of tasks.
	copies uint64
	// expected are the agents that an older planner may have sent starts to, and
	// that have not reported to this one.
	expected map[string]bool
	// expectedUntil is when all that an older planner can have started has lapsed.
	expectedUntil time.Time
	// gone are agents whose workers have left since Lapse was called last.
	gone     []Gone
	dirty    map[string]*job
	learnt   durations
	pressure *cfharm.Pressure
	orders   map[string]*Orders
	events   []Event
	urgent   bool
	// open are the jobs that have not ended.
	open map[string]*job
	// changed is set where something may start that could not before, and lookedAt when
	// everything was last looked at.
	changed  bool
	lookedAt time.Time
	// halts are runs that were told to stop, and whose orders are not sent yet. resentAt is
	// when orders were last looked through for a repetition.
	halts    []*run
	resentAt time.Time
	// lapsedAt is when workers were last looked through for leases that have ended.
	lapsedAt time.Time
	// full is what found no room in the present decision, and next is where the search for
	// a worker begins in a large fleet.
	full map[shape][]cfcore.Resources
	next int
	// noted are the workers whose agents are to be told that ends are on record, and
	// unrecorded those that are not on record yet.
	noted      map[*worker]bool
	unrecorded map[string]bool
}

// New returns a planner of an epoch. agents are those that older planners may have
// sent starts to; until is when whatever they started has lapsed, if they do not
// report before.
func New(cfg Settings, agents []string, until time.Time) *Planner {
	p := &Planner{
		cfg: cfg, jobs: map[string]*job{}, workers: map[string]*worker{}, expected: map[string]bool{},
		expectedUntil: until, dirty: map[string]*job{}, learnt: durations{}, pressure: cfharm.NewPressure(), orders: map[string]*Orders{},
		open: map[string]*job{}, noted: map[*worker]bool{}, unrecorded: map[string]bool{}, full: map[shape][]cfcore.Resources{}, changed: true,
	}
	for _, a := range agents {
		p.expected[a] = true
	}
	return p
}

// AddJob adds an accepted job. inherited is set where an older planner may have
// started it.
func (p *Planner) AddJob(now time.Time, e *cfjob.Entry, q cfjob.Queue, inherited bool) {
	if p.jobs[e.Job.ID] != nil || e.Ended() && !inherited {
		return
	}
	j := &job{Job: e.Job, queue: q, cancelled: e.Cancelled != nil, inherited: inherited}
	if pr := e.Progress; pr != nil {
		j.outcome, j.ended, j.started = pr.Outcome, pr.Ended, pr.Started
	}
	p.jobs[j.ID] = j
	if j.over() {
		return
	}
	p.open[j.ID], p.changed = j, true
	j.build(e.Progress)
	j.objective = now.Add(time.Duration(float64(p.chain(j))*max(q.Stretch, 1)) + q.Latency)
	if j.Accepted.Before(now) && inherited {
		j.objective = j.objective.Add(j.Accepted.Sub(now))
	}
}

// build makes the tasks of a job, less what is done.
func (j *job) build(pr *cfjob.Progress) {
	pos := 0
	for k := range j.Occurrences() {
		steps := make([]stepState, len(j.Steps))
		for s := range j.Steps {
			st := &steps[s]
			for i := range j.Steps[s].Count {
				t := &task{j: j, pos: pos, step: &j.Steps[s], name: cfcore.TaskName{Job: j.ID, Occurrence: k, Step: s, Index: i}}
				t.restore(pr)
				j.duplicable = j.duplicable || t.step.Duplicable
				if !t.done {
					st.remaining++
					j.remaining++
				}
				st.tasks = append(st.tasks, t)
				pos++
			}
		}
		j.steps = append(j.steps, steps)
	}
}

// state returns the step of the task's occurrence.
func (t *task) state() *stepState { return &t.j.steps[t.name.Occurrence][t.name.Step] }

func (t *task) restore(pr *cfjob.Progress) {
	if pr == nil {
		return
	}
	t.done = pr.IsDone(t.pos)
	if tp, ok := pr.Tasks[t.pos]; ok {
		t.failed, t.checkpoint, t.lastRun = tp.Failed, tp.Checkpoint, tp.Run
	}
}

// Cancel ends a job: nothing of it starts any more, and what runs is stopped.
func (p *Planner) Cancel(id string) {
	j := p.jobs[id]
	if j == nil || j.over() {
		return
	}
	j.cancelled = true
	delete(p.open, id)
	p.stopAll(j)
}

func (p *Planner) stopAll(j *job) {
	for _, steps := range j.steps {
		for s := range steps {
			for _, t := range steps[s].tasks {
				for _, r := range t.runs {
					p.stop(r)
				}
			}
		}
	}
}

// lookup returns the task of a name, or nil.
func (p *Planner) lookup(n cfcore.TaskName) *task {
	j := p.jobs[n.Job]
	if j == nil || n.Occurrence < 0 || n.Occurrence >= len(j.steps) || n.Step < 0 || n.Step >= len(j.steps[n.Occurrence]) {
		return nil
	}
	tasks := j.steps[n.Occurrence][n.Step].tasks
	if n.Index < 0 || n.Index >= len(tasks) {
		return nil
	}
	return tasks[n.Index]
}

// newRun returns a number that is higher than that of any run of this planner and
// of all before it.
func (p *Planner) newRun() uint64 {
	p.nextRun++
	return uint64(p.cfg.Epoch)<<runBits | p.nextRun
}

// SetQueues puts a newer configuration in force. A job whose queue it no longer has
// keeps the terms that it had.
func (p *Planner) SetQueues(cfg *cfjob.Config) {
	p.changed = true
	for _, j := range p.jobs {
		if q, ok := cfg.Queue(j.Queue.Name); ok {
			j.queue = *q
		}
	}
}
