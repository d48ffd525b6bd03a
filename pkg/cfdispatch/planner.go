// Package cfdispatch decides which task of which job runs on which worker. Each worker has an
// agent next to it. The agent reports on the worker and sends it the planner's orders. The
// package does no I/O and reads no clock: the entry that uses it passes in the time and the
// agents' reports, sends the orders to the agents, and records the progress that the planner
// returns.
package cfdispatch

import (
	"time"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cfinterference"
	"cranberryford/pkg/cfjob"
)

// Settings are the epoch and the periods of a planner.
type Settings struct {
	// Epoch is the planner's fencing token.
	Epoch cfcore.Epoch
	// ClaimedAt is when this planner claimed its epoch. If it is zero, earlier planners give orders for
	// defaultAuthority after the claim.
	ClaimedAt time.Time
	// RecordedAt is when the records of agents were last marked as complete. If it is zero, they were at the claim.
	RecordedAt time.Time
	// PredecessorEnded is set if the planner before had ended, or had resigned, when this planner claimed its epoch.
	PredecessorEnded bool
	// An agent may extend leases for GrantTime, counted from when it sent its last request
	// that the planner has answered.
	GrantTime time.Duration
	// LeaseTime is how long a lease lasts on the worker's clock.
	LeaseTime time.Duration
	// ResendAfter is the time after which an order is sent again: a start that has no result
	// yet, or a stop of a run that has not ended as far as the planner knows.
	ResendAfter time.Duration
	// An agent gets no new starts if its last report arrived SuspectAfter ago or earlier.
	SuspectAfter time.Duration
}

// Constants derived from the platform's guarantees, and the layout of run numbers.
const (
	// clockSlack is the maximum relative difference in speed between two clocks. The
	// platform guarantees that a worker's clock is at most 2 % slow. Another 2 % are added
	// for the clocks of agents and entries.
	clockSlack = 0.04
	// leaseExpiryMargin is added to each wait for a lease to expire. It covers the time from a
	// check of the clock to the sending of the message that depends on this check.
	leaseExpiryMargin = 300 * time.Millisecond
	// longLeaseExpiry is the time after which the longest lease has certainly expired.
	longLeaseExpiry = cfcore.MaxLease*(100+100*clockSlack)/100 + leaseExpiryMargin
	// defaultAuthority is the default of the setting lease.authority.
	defaultAuthority = 2 * time.Second
	// startedDelay is how long the planner delays the record of a job's start. If other
	// progress of the job must be recorded within this time, one record holds both. The
	// delay is limited because the job counts as waiting until its start is on record, and
	// the platform allows a count of waiting jobs to be 2 s old.
	startedDelay = 500 * time.Millisecond
	// runBits is the number of low bits of a run number that hold the planner's counter. The
	// epoch is above them.
	runBits = 24
)

// LeaseExpiryTime returns the time from the planner's last response to an agent until all
// leases on the agent's worker have certainly expired.
func (s Settings) LeaseExpiryTime() time.Duration {
	return time.Duration(float64(s.GrantTime+s.LeaseTime)*(1+clockSlack)) + leaseExpiryMargin
}

// phase is the planner's view of a run.
type phase int

const (
	// starting means that the start order has no result yet. The run possibly exists
	// already.
	starting phase = iota
	// running means that the worker has confirmed or listed the run.
	running
	// stopping means that the planner has decided to stop the run, which possibly still
	// runs.
	stopping
)

// run is one execution of a task on a worker. The planner keeps a run until it knows that
// the run has ended or will never start.
type run struct {
	task *task
	// id is the run number. The members of a gang have the same run number.
	id    uint64
	w     *worker
	phase phase
	// born is when the incarnation of the worker started that the run was started on, or that
	// last listed the run.
	born time.Time
	// startedAt is when the planner placed or adopted the run. When the result of the
	// start order confirms the run, startedAt becomes the time of this result.
	startedAt time.Time
	// sentAt is when the last start or stop order for the run was sent. It is zero while a
	// stop has not been sent yet. It is also zero for an adopted run until the first stop.
	sentAt time.Time
	// awaitsResult is set while the last start order has no result and the run is not listed. instance is
	// the instance of the agent that it was sent to. awaitsSince is when the first start order since the last result
	// was sent; if an earlier planner sent it, when that planner last heard of the agent.
	awaitsResult bool
	awaitsSince  time.Time
	instance     int
	// isRestored is set for a run that is known from an Absence, and that its worker has not listed since. A result
	// of its start does not show that it still runs.
	isRestored bool
	// isCopy is set for the second run of a task. Its start is ordered once.
	isCopy bool
	// checkpoint is the last reported checkpoint. Before the first one, it is the
	// checkpoint that the run was started from. ticket is the ticket in the start order;
	// empty if there is none.
	checkpoint string
	ticket     string
	// percent is the last reported progress. A long-running task reports 100 while it is
	// working.
	percent int
	// listedAt is when the worker last listed the run as running.
	listedAt time.Time
	// progressedAt is when percent was first reported or last rose; zero before the first report.
	progressedAt time.Time
	// gauge is the last reported gauge. A latency-critical run reports its tail latency in
	// milliseconds, any other run its CPU usage in thousandths of a core.
	gauge int
	// speedPercent is the last ordered speed. It is fullPercent after a start, and
	// unknownPercent after an adoption.
	speedPercent int
	// speedSentAt is when a speed was last ordered. Before the first such order, it is when
	// the run was placed, and zero for an adopted run.
	speedSentAt time.Time
	// overSince is the time since which a latency-critical run has been over its target beside
	// best-effort tasks; zero if it is not. neighbours are the images of these tasks.
	overSince  time.Time
	neighbours []string
}

// task is the planner's state of one task of a job.
type task struct {
	j    *job
	o    *occurrence
	name cfcore.TaskName
	// pos is the task's position in the job, see cfjob.Job.Position.
	pos  int
	step *cfjob.Step
	done bool
	// failedRuns, checkpoint and lastRun are persistent, see cfjob.TaskProgress.
	failedRuns []uint64
	checkpoint string
	lastRun    uint64
	// runs are the runs of the task that the planner keeps, see run.
	runs []*run
	// stallMoves is how often the task was moved because its run stalled.
	stallMoves int
	// waitingSince is when the task first found no free capacity; zero if the task is not
	// waiting.
	waitingSince time.Time
	// boundSince is when the task first could not start because of its bindings; zero if it did not try since the
	// last start.
	boundSince time.Time
	// avoidAgent is the agent of the worker where the task last failed, stalled or was slow.
	avoidAgent string
}

// job is the planner's state of a job. A job that has ended is kept until it is removed by
// Forget.
type job struct {
	*cfjob.Job
	// queue is the current configuration of the job's queue. The field Queue of the
	// embedded Job is the configuration from when the job was accepted.
	queue     cfjob.Queue
	cancelled bool
	outcome   cfjob.Outcome
	endedAt   time.Time
	started   bool
	// occurrences are the occurrences in memory, by index. Those before nextOccurrence that are
	// not in memory are done.
	occurrences    []*occurrence
	nextOccurrence int
	// tasksPerOccurrence is zero for a job that had ended when it was added.
	tasksPerOccurrence int
	// done holds the positions of the tasks that are done. remaining is the number of tasks of
	// the occurrences in memory that are not done.
	done      cfjob.Positions
	remaining int
	// saved holds the tasks whose state must be recorded, by part of the progress and position
	// (see cfjob.PartOf). unrecordedParts are the parts that have changed since they were
	// last recorded.
	saved           map[int]map[int]*task
	unrecordedParts map[int]bool
	// objective is when the job should be complete.
	objective time.Time
	// dirty is set if progress must be recorded without delay. If a job in
	// Planner.unrecordedJobs is not dirty, only its start must be recorded, which can wait
	// (see startedDelay). startUnrecordedSince is when this planner marked the job as started
	// (see markStarted). Since then, the start has been waiting to be recorded. The field
	// keeps its value after the start is recorded.
	dirty                bool
	startUnrecordedSince time.Time
	// inherited is set for jobs that an earlier planner may have started.
	inherited bool
	// duplicable is set if a step of the job allows second runs of its tasks.
	duplicable bool
	// starvingSince is the time since which the job has had no live run because no worker
	// had enough free CPU; zero if the job is not starving.
	starvingSince time.Time
	// placing is the number of members of a gang that have a run while others are being placed.
	placing int
	// liveRuns is the number of runs of the job that the planner keeps, see run.
	liveRuns int
	level    serviceLevel
}

// isOver reports whether the job has ended or was cancelled.
func (j *job) isOver() bool { return j.cancelled || j.outcome != cfjob.OutcomeNone }

// Planner assigns the tasks of jobs to workers during one epoch. It is not safe for
// concurrent use.
type Planner struct {
	cfg     Settings
	jobs    map[string]*job
	workers map[string]*worker
	// fleet holds all workers, sorted by agent name.
	fleet []*worker
	// lastReports holds, by agent, the sequence number of the newest applied report. It outlasts
	// the worker, which is removed once its leases have expired.
	lastReports map[string]uint64
	// removedIDs holds, by agent, the ID of the worker that was removed last, which can return.
	removedIDs map[string]string
	// runCount is the number of run numbers assigned so far.
	runCount uint64
	// copyCount is the number of second runs started so far.
	copyCount uint64
	// expectedAgents are the agents whose first run lists the planner waits for. An earlier
	// planner may have sent them starts.
	expectedAgents map[string]bool
	// The planner waits for expectedAgents until it is confirmed to be in force after
	// expectedUntil, see ExpireLeases. By then, the leases of all runs that earlier planners
	// started have expired.
	expectedUntil time.Time
	// silentAgents are the agents that have not reported until expectedUntil and are still on record.
	silentAgents map[string]bool
	// restartedAgents are the agents that possibly had an instance before the present one, with the same
	// worker ID.
	restartedAgents map[string]bool
	// inheritedRecords are the agents that were on record before this planner, and are not taken off the record.
	inheritedRecords map[string]bool
	// absent are the agents whose absence is on record, or is being recorded, with Absence.LeasesUntil. returning are
	// those of them that have reported their workers, and returned those that TakeReturnedAgents has not returned yet.
	absent    map[string]time.Time
	returning map[string]bool
	returned  []string
	// storeReadAt is a time: the planner has all jobs that were stored before it.
	storeReadAt time.Time
	// unrecordedJobs holds the jobs whose progress must be recorded, by ID.
	unrecordedJobs map[string]*job
	// durationRatios and headroomModel hold what the planner has learned, see Learned.
	durationRatios queueRatios
	headroomModel  *cfinterference.HeadroomModel
	// orders holds the orders that the next call of TakeOrders returns, by agent name.
	// events holds the events that the next call of TakeEvents returns.
	orders map[string]*Orders
	events []Event
	// hasUnrecordedOutcome is set from the end of a job until the next call of
	// TakeUnrecordedProgress.
	hasUnrecordedOutcome bool
	// open holds the jobs that have neither ended nor been cancelled, by ID.
	open map[string]*job
	// changed is set if a task that could not start before can possibly start now. lastScan
	// is when Plan last ran the scans that don't depend on changes (see scanInterval); a
	// zero lastScan makes them due.
	changed  bool
	lastScan time.Time
	// levelsUpdatedAt is when the service levels of jobs were last updated. hasUnderserved is set if
	// a job was underserved then.
	levelsUpdatedAt time.Time
	hasUnderserved  bool
	// pendingStops are the runs that the planner has decided to stop since the last call of
	// TakeOrders. lastResendScan is when runs were last scanned for orders to repeat.
	pendingStops   []*run
	lastResendScan time.Time
	// lastExpiryScan is when workers were last scanned for expired leases. confirmedAt is the newest time for which it
	// is certain that no newer planner was in force, see ExpireLeases.
	lastExpiryScan time.Time
	confirmedAt    time.Time
	// noFit holds the demands that were found to fit on no worker in the current planning
	// pass. searchOffset is an index in fleet. A search for a worker starts there if the fleet
	// has more workers than the search may score. Each such search first moves searchOffset
	// to the next worker. All other searches start at index 0 and don't change searchOffset.
	noFit        map[placementKey][]cfcore.Resources
	searchOffset int
	// ackPending are the workers whose agents must be told that ends of runs are on record.
	// unrecordedAgents are the agents that are not on record yet.
	ackPending       map[*worker]bool
	unrecordedAgents map[string]bool
	bindings         bindings
	// recordingSince is when TakeAgentRecords was first called, and lastRecordScan when it last scanned.
	recordingSince time.Time
	lastRecordScan time.Time
	formerEnds     []*formerEnds
}

// New returns the planner of an epoch. Earlier planners may have sent starts to the given
// agents. The new planner therefore starts no task of an inherited job until it has the
// run lists of these agents. The wait ends at expectedUntil at the latest. By then, the
// leases of all runs that earlier planners started must have expired, except those of starts without an
// answer (see bindings).
func New(cfg Settings, agents []string, expectedUntil time.Time) *Planner {
	p := &Planner{
		cfg: cfg, jobs: map[string]*job{}, workers: map[string]*worker{}, lastReports: map[string]uint64{}, removedIDs: map[string]string{}, expectedAgents: map[string]bool{}, silentAgents: map[string]bool{}, restartedAgents: map[string]bool{}, inheritedRecords: map[string]bool{}, absent: map[string]time.Time{}, returning: map[string]bool{},
		expectedUntil: expectedUntil, unrecordedJobs: map[string]*job{}, durationRatios: queueRatios{}, headroomModel: cfinterference.NewHeadroomModel(), orders: map[string]*Orders{},
		open: map[string]*job{}, ackPending: map[*worker]bool{}, unrecordedAgents: map[string]bool{}, noFit: map[placementKey][]cfcore.Resources{}, changed: true,
	}
	if p.cfg.ClaimedAt.IsZero() {
		p.cfg.ClaimedAt = expectedUntil.Add(-cfg.LeaseExpiryTime() - defaultAuthority)
	}
	for _, a := range agents {
		p.expectedAgents[a], p.restartedAgents[a], p.inheritedRecords[a] = true, true, true
	}
	// The last start of an earlier planner was sent before the last lease that it allowed began.
	p.bindings = newBindings(agents, expectedUntil.Add(maxBinding-cfg.LeaseTime))
	return p
}

// AddJob adds an accepted job. q is the current configuration of the job's queue. inherited
// is set if an earlier planner may have started the job. AddJob ignores a job that was
// added before. A job that has ended is kept as well: when its records are dropped, it can
// look like one that has not ended.
func (p *Planner) AddJob(now time.Time, e *cfjob.StoredJob, q cfjob.Queue, inherited bool) {
	if p.jobs[e.Job.ID] != nil {
		return
	}
	j := &job{
		Job: e.Job, queue: q, cancelled: e.Cancellation != nil, inherited: inherited,
		saved: map[int]map[int]*task{}, unrecordedParts: map[int]bool{},
	}
	if pr := e.Progress; pr != nil {
		j.outcome, j.endedAt, j.started = pr.Outcome, pr.EndedAt, pr.Started
	}
	p.jobs[j.ID] = j
	if j.isOver() {
		return
	}
	p.open[j.ID], p.changed = j, true
	j.restoreProgress(e)
	j.objective = now.Add(time.Duration(float64(p.criticalPath(j))*max(q.Stretch, 1)) + q.Latency)
	if j.Accepted.Before(now) && inherited {
		j.objective = j.objective.Add(j.Accepted.Sub(now))
	}
	p.buildDueOccurrences(now, j)
	p.adoptListedRuns(now, j.ID)
	p.applyPostponedEnds(now)
}

// Cancel ends a job: its tasks no longer start, and its runs are stopped.
func (p *Planner) Cancel(id string) {
	j := p.jobs[id]
	if j == nil || j.isOver() {
		return
	}
	j.cancelled = true
	delete(p.open, id)
	p.stopAllRuns(j)
	j.dropTasksIfOver()
}

// stopAllRuns stops the runs of all tasks of a job. It does not check canBeStopped, so more
// tasks of a step than its MaxUnavailable can become unavailable.
func (p *Planner) stopAllRuns(j *job) {
	j.allTasks(func(t *task) {
		for _, r := range t.runs {
			p.stopRun(r)
		}
	})
}

// newRunNumber returns a run number that is higher than all earlier ones of this planner
// and of the planners before it.
func (p *Planner) newRunNumber() uint64 {
	p.runCount++
	return uint64(p.cfg.Epoch)<<runBits | p.runCount
}

// SetQueues applies a newer configuration of the queues. A job whose queue no longer exists
// keeps the previous configuration of that queue.
func (p *Planner) SetQueues(cfg *cfjob.Config) {
	p.changed = true
	for _, j := range p.jobs {
		if q, ok := cfg.Queue(j.Queue.Name); ok {
			j.queue = *q
		}
	}
}
