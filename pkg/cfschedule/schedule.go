// Package cfschedule makes the decisions of the planner, the entry that assigns tasks to
// workers, fences workers and changes the membership. It computes the records to append to
// the log from the replicated state, the reports of agents and entries, and the current
// time. It does no I/O and reads no clock.
package cfschedule

import (
	"math/rand/v2"
	"time"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cfgrant"
	"cranberryford/pkg/cfrecord"
	"cranberryford/pkg/cfstate"
)

// Settings holds the limits, timeouts and delays of the planner's decisions.
type Settings struct {
	// Timing gives the grant period and the eviction wait. Timing must be the same in all
	// entries.
	Timing cfgrant.Timing
	// A worker counts as unreachable unless its last report is younger than WorkerTimeout. A
	// worker that stays unreachable for another WorkerTimeout is fenced.
	WorkerTimeout time.Duration
	// An entry is removed from the members and candidates if it answers no poll for
	// EntryTimeout. The time counts from when its last answered poll was sent, or from when
	// this planner first saw the entry, whichever is later.
	EntryTimeout time.Duration
	// MaxBatch is the number of records after which a decision ends. The limit is checked
	// between workers and between tasks, so a decision can contain more records.
	MaxBatch int
	// HeadroomPercent is the part of each worker's CPU and memory, in percent, that is kept
	// free of batch tasks.
	HeadroomPercent int
	// A worker is quarantined once runs of QuarantineAfter different workloads have failed on
	// the worker, with no completed batch run in between (see cfstate.Worker.FailStreak).
	QuarantineAfter int
	// QuarantineFor is the duration of a quarantine, counted from when this planner first
	// sees the quarantine. Afterwards the worker gets tasks again, but is on probation: its
	// FailStreak keeps all workloads but the last one. If the FailStreak listed exactly
	// QuarantineAfter workloads, one failed run of a workload that it does not list now is
	// enough for a new quarantine.
	QuarantineFor time.Duration
	// RetryAfter is the delay before a failed task is assigned again, counted from when this
	// planner first sees the failure.
	RetryAfter time.Duration
	// SlowdownLimit limits the expected total slowdown of the services on a worker (see
	// cfcore.InterferenceModel). A batch task that would exceed the limit on a worker is not
	// placed there until it has been pending for SlowdownWait. A SlowdownLimit of 0 means no
	// limit.
	SlowdownLimit float64
	SlowdownWait  time.Duration
}

// WorkerView is what this entry knows of a worker from the reports of the worker's agent.
type WorkerView struct {
	Worker     cfcore.WorkerID
	Instance   cfcore.InstanceID
	DataCentre string
	Rack       string
	Capacity   cfcore.Resources
	// Runs holds the runs in the worker's last report.
	Runs []cfcore.Run
	// LastReportAt is when the last report was received, by this entry or by the entry that
	// relayed it. LastDirectReportAt is when this entry last received a report from the agent
	// itself. LastDirectReportAt is zero if no report has come from the agent itself.
	LastReportAt       time.Time
	LastDirectReportAt time.Time
	// Leaving is set while the worker's VM shuts down.
	Leaving bool
}

// Input holds what a decision depends on, besides the Settings and the times that the
// Scheduler keeps.
type Input struct {
	// Self is the entry that decides, the planner.
	Self  cfcore.EntryID
	State *cfstate.State
	// Workers holds the last report of each worker that has reported to this entry, directly
	// or through another entry.
	Workers map[cfcore.WorkerID]*WorkerView
	// Entries holds the answers of the other entries to this entry's polls.
	Entries *cfgrant.Table
	// Now is the time on this entry's clock.
	Now  time.Time
	Rand *rand.Rand
	// Interference estimates the interference between tasks. If Interference is nil, no
	// slowdown is expected.
	Interference cfcore.InterferenceModel
}

// Scheduler makes the planner's decisions. From one decision to the next, the Scheduler keeps
// the times at which timeouts and delays start. It is not safe for concurrent use.
type Scheduler struct {
	settings Settings
	placer   cfcore.Placer
	// confirmedFences holds, for each worker, the last FenceWorker record that this planner
	// has seen applied by a majority of the members.
	confirmedFences map[cfcore.WorkerID]confirmedFence
	// The next three maps hold times on this planner's clock: when a worker was first seen
	// unreachable, when a worker was first seen quarantined, and when an entry was first seen.
	unreachableSince map[cfcore.WorkerID]time.Time
	quarantinedAt    map[cfcore.WorkerID]time.Time
	entryFirstSeen   map[cfcore.EntryID]time.Time
	// lastFailures holds, for each task, the latest failure that this planner has seen.
	lastFailures map[cfcore.TaskID]failure
}

// confirmedFence describes a FenceWorker record that a majority has applied. offset is the
// offset of the record, and at is when this planner first saw that a majority has applied it.
type confirmedFence struct {
	offset cfcore.Offset
	at     time.Time
}

// failure is the latest failure of a task. count is the task's number of failures, and at
// is when this planner first saw that number.
type failure struct {
	count int
	at    time.Time
}

// New returns a Scheduler with the given settings and placement policy.
func New(s Settings, p cfcore.Placer) *Scheduler {
	return &Scheduler{
		settings: s, placer: p,
		confirmedFences:  map[cfcore.WorkerID]confirmedFence{},
		unreachableSince: map[cfcore.WorkerID]time.Time{},
		quarantinedAt:    map[cfcore.WorkerID]time.Time{},
		entryFirstSeen:   map[cfcore.EntryID]time.Time{},
		lastFailures:     map[cfcore.TaskID]failure{},
	}
}

// decision collects the records of one call of Decide. state is in.State.
type decision struct {
	*Scheduler
	in    Input
	state *cfstate.State
	out   []cfrecord.Record
}

func (d *decision) addRecord(r cfrecord.Record) { d.out = append(d.out, r) }

// full reports whether the decision has reached MaxBatch records.
func (d *decision) full() bool { return len(d.out) >= d.settings.MaxBatch }

// grantView returns this entry's view for the methods of cfgrant.Table. IsFenced is not
// set, because only Table.Check needs it.
func (d *decision) grantView() cfgrant.View {
	return cfgrant.View{Self: d.in.Self, Version: d.state.MemberVersion, Members: d.state.Members}
}

// Decide returns the records that the planner should append next, or none. The caller must
// append the records as one batch, and must not call Decide again before that batch has been
// read from the log and applied to the state.
func (sc *Scheduler) Decide(in Input) []cfrecord.Record {
	d := &decision{Scheduler: sc, in: in, state: in.State}
	d.updateMembers()
	for _, v := range d.sortedViews() {
		if d.full() {
			return d.out
		}
		d.processReport(v)
	}
	for _, w := range d.sortedWorkers() {
		if d.full() {
			return d.out
		}
		d.checkReachable(w)
		d.stopDrainedRuns(w)
		d.updateQuarantine(w)
	}
	d.placeTasks()
	return d.out
}
