// Package cfdispatch decides which task of which job runs on which worker. Next to each worker
// runs an agent, which reports on the worker and carries out the planner's orders there. The
// package does no I/O and reads no clock: the entry that uses it passes in the time and the
// agents' reports, sends the orders and records the progress that the planner returns.
package cfdispatch

import (
	"time"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cfinterference"
	"cranberryford/pkg/cfjob"
)

// Settings are the planner's periods and limits.
type Settings struct {
	// Epoch is the planner's fencing token.
	Epoch cfcore.Epoch
	// GrantTime is how long an agent may extend leases after its last request to the planner.
	GrantTime time.Duration
	// LeaseTime is how long a lease lasts on the worker's clock.
	LeaseTime time.Duration
	// ResendAfter is the time after which an order without a result is sent again.
	ResendAfter time.Duration
	// SuspectAfter is the time without a report after which an agent gets no new starts.
	SuspectAfter time.Duration
}

// Constants derived from the platform's guarantees, and the layout of run numbers.
const (
	// clockSlack is the fraction by which clocks may differ in speed: the platform guarantees
	// that a worker's clock is at most 2 % slow, and the same is added for the clocks of agents
	// and entries.
	clockSlack = 0.04
	// leaseExpiryMargin is added to each wait for a lease to expire. It covers the time between
	// a check of the clock and the sending of a message.
	leaseExpiryMargin = 300 * time.Millisecond
	// startedDelay is how long the start of a job may stay unrecorded. The job counts as waiting
	// until then, and the platform allows a count of waiting jobs to be 2 s old.
	startedDelay = 500 * time.Millisecond
	// runBits is the number of low bits of a run number that hold the planner's counter. The
	// epoch is above them.
	runBits = 24
)

// LeaseExpiryTime returns how long after the last response to an agent all leases on its worker
// have certainly expired.
func (s Settings) LeaseExpiryTime() time.Duration {
	return time.Duration(float64(s.GrantTime+s.LeaseTime)*(1+clockSlack)) + leaseExpiryMargin
}

// phase is the state of a run.
type phase int

const (
	// starting is a run whose start order has no result yet; it may be running.
	starting phase = iota
	running
	// stopping is a run that was ordered to stop and may still be running.
	stopping
)

// run is one execution of a task on a worker. The planner keeps it as long as it may exist
// there.
type run struct {
	task *task
	// id is the run number. The runs of a gang's members have the same one.
	id        uint64
	w         *worker
	phase     phase
	startedAt time.Time
	// sentAt is when the last start or stop order was sent. It is zero while a stop is not
	// sent yet, and for an adopted run without an order.
	sentAt time.Time
	// startSentAt is when the start order was last sent.
	startSentAt time.Time
	checkpoint  string
	ticket      string
	// percent is the last reported progress, and for a long-running task 100 while it is working.
	percent int
	// progressedAt is when percent was first reported or last rose; zero before the first report.
	progressedAt time.Time
	// gauge is the last reported gauge: the tail latency in milliseconds of a latency-critical
	// run, or the CPU usage in thousandths of a core of any other run.
	gauge int
	// speedPercent is the speed that was last ordered, or unknownPercent.
	speedPercent int
	// speedSentAt is when the speed was last sent.
	speedSentAt time.Time
}

// task is one task of a job.
type task struct {
	j    *job
	name cfcore.TaskName
	// pos is the task's position in its job, as in cfjob.Job.Position.
	pos  int
	step *cfjob.Step
	done bool
	// failed, checkpoint and lastRun are persistent, see cfjob.TaskProgress.
	failed     []uint64
	checkpoint string
	lastRun    uint64
	// runs are the runs that may exist.
	runs []*run
	// stallMoves is how often the task was moved because its run stalled.
	stallMoves int
	// waitingSince is when the task first found no free capacity; zero if it doesn't wait.
	waitingSince time.Time
	// avoidAgent is the agent of the worker where the task last failed, stalled or was slow.
	avoidAgent string
}

// stepState is the progress of a step of one occurrence.
type stepState struct {
	tasks     []*task
	remaining int
	advice    advice
}

// job is a job that the planner knows. It may have ended; Forget removes it.
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
	// objective is when the job should be complete.
	objective time.Time
	// dirty is set if progress must be recorded without delay. A job in Planner.dirty for which it
	// is not set has only its start to record, since startUnrecordedSince.
	dirty                bool
	startUnrecordedSince time.Time
	// inherited is set for jobs that an earlier planner may have started.
	inherited bool
	// duplicable is set if a step of the job allows second runs of its tasks.
	duplicable bool
	// starvingSince is since when the job has had no live run for lack of free CPU; zero if it
	// is not starving.
	starvingSince time.Time
	liveRuns      int
}

func (j *job) isOver() bool { return j.cancelled || j.outcome != cfjob.OutcomeNone }

// Planner holds the state of one planner. It is not safe for concurrent use.
type Planner struct {
	cfg     Settings
	jobs    map[string]*job
	workers map[string]*worker
	// fleet holds all workers, sorted by agent name.
	fleet []*worker
	// runCount is how many run numbers were assigned.
	runCount uint64
	// copies is the number of second runs that were started.
	copies uint64
	// expected are the agents that an earlier planner may have sent starts to and whose runs this
	// planner does not know yet.
	expected map[string]bool
	// expectedUntil is when the leases of all runs that an earlier planner may have started on
	// the workers of expected agents have expired.
	expectedUntil time.Time
	// gone are the agents whose workers have left since the last call of ExpireLeases.
	gone []GoneAgent
	// dirty holds the jobs whose progress must be recorded, by ID.
	dirty          map[string]*job
	durationRatios durations
	headroomModel  *cfinterference.HeadroomModel
	orders         map[string]*Orders
	events         []Event
	// hasUnrecordedOutcome is set once a job has ended, until the next call of UnrecordedProgress.
	hasUnrecordedOutcome bool
	// open holds the jobs that have not ended, by ID.
	open map[string]*job
	// changed is set if a task may be able to start that could not before. lastScan is when Plan
	// last ran the scans that don't depend on changes (see scanInterval); zero makes them due.
	changed  bool
	lastScan time.Time
	// pendingStops are the runs whose stop was decided since the last call of TakeOrders.
	// lastResendScan is when runs were last scanned for orders to repeat.
	pendingStops   []*run
	lastResendScan time.Time
	// lastExpiryScan is when workers were last scanned for expired leases.
	lastExpiryScan time.Time
	// noFit holds the demands that fit on no worker in the current planning pass.
	// searchOffset is where the search for a worker begins in a large fleet.
	noFit        map[placementKey][]cfcore.Resources
	searchOffset int
	// ackPending are the workers whose agents must be notified of recorded ends.
	// unrecordedAgents are the agents that are not on record yet.
	ackPending       map[*worker]bool
	unrecordedAgents map[string]bool
}

// New returns the planner of an epoch. agents are those that earlier planners may have sent
// starts to. until is the time by which the leases of all runs that those planners started have
// expired; the planner waits no longer than that for an agent's first run lists.
func New(cfg Settings, agents []string, until time.Time) *Planner {
	p := &Planner{
		cfg: cfg, jobs: map[string]*job{}, workers: map[string]*worker{}, expected: map[string]bool{},
		expectedUntil: until, dirty: map[string]*job{}, durationRatios: durations{}, headroomModel: cfinterference.NewHeadroomModel(), orders: map[string]*Orders{},
		open: map[string]*job{}, ackPending: map[*worker]bool{}, unrecordedAgents: map[string]bool{}, noFit: map[placementKey][]cfcore.Resources{}, changed: true,
	}
	for _, a := range agents {
		p.expected[a] = true
	}
	return p
}

// AddJob adds an accepted job. inherited is set if an earlier planner may have started it.
// AddJob ignores a job that was added before, and one that has ended unless it is inherited.
func (p *Planner) AddJob(now time.Time, e *cfjob.StoredJob, q cfjob.Queue, inherited bool) {
	if p.jobs[e.Job.ID] != nil || e.Ended() && !inherited {
		return
	}
	j := &job{Job: e.Job, queue: q, cancelled: e.Cancelled != nil, inherited: inherited}
	if pr := e.Progress; pr != nil {
		j.outcome, j.ended, j.started = pr.Outcome, pr.Ended, pr.Started
	}
	p.jobs[j.ID] = j
	if j.isOver() {
		return
	}
	p.open[j.ID], p.changed = j, true
	j.build(e.Progress)
	j.objective = now.Add(time.Duration(float64(p.criticalPath(j))*max(q.Stretch, 1)) + q.Latency)
	if j.Accepted.Before(now) && inherited {
		j.objective = j.objective.Add(j.Accepted.Sub(now))
	}
}

// build creates the tasks of a job and restores their recorded progress.
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

// state returns the state of the task's step in its occurrence.
func (t *task) state() *stepState { return &t.j.steps[t.name.Occurrence][t.name.Step] }

// restore adopts the recorded progress of a task.
func (t *task) restore(pr *cfjob.Progress) {
	if pr == nil {
		return
	}
	t.done = pr.IsDone(t.pos)
	if tp, ok := pr.Tasks[t.pos]; ok {
		t.failed, t.checkpoint, t.lastRun = tp.Failed, tp.Checkpoint, tp.Run
	}
}

// Cancel ends a job: its tasks no longer start, and its runs are stopped.
func (p *Planner) Cancel(id string) {
	j := p.jobs[id]
	if j == nil || j.isOver() {
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

// lookup returns the task with a name, or nil.
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

// newRun returns a run number that is higher than all earlier ones of this planner and of the
// planners before it.
func (p *Planner) newRun() uint64 {
	p.runCount++
	return uint64(p.cfg.Epoch)<<runBits | p.runCount
}

// SetQueues applies a newer configuration. A job whose queue no longer exists keeps the
// queue's previous settings.
func (p *Planner) SetQueues(cfg *cfjob.Config) {
	p.changed = true
	for _, j := range p.jobs {
		if q, ok := cfg.Queue(j.Queue.Name); ok {
			j.queue = *q
		}
	}
}
