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

// Settings are the planner's limits.
type Settings struct {
	// Timing gives the grant period and the eviction wait. It must be the same in all
	// entries.
	Timing cfgrant.Timing
	// WorkerTimeout is the time without a report after which a worker counts as unreachable.
	// A worker that stays unreachable for another WorkerTimeout is fenced.
	WorkerTimeout time.Duration
	// EntryTimeout is the time without an answer to a poll after which an entry is removed
	// from the members and candidates.
	EntryTimeout time.Duration
	// MaxBatch is the number of records at which a decision stops adding more.
	MaxBatch int
	// HeadroomPercent is the part of each worker's CPU and memory, in percent, that is kept
	// free of batch tasks.
	HeadroomPercent int
	// QuarantineAfter is the number of different workloads that must fail in a row on a
	// worker to quarantine it.
	QuarantineAfter int
	// QuarantineFor is the duration of a quarantine, counted from when this planner first
	// sees the quarantine. Afterwards the worker gets tasks again, on probation.
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
	Runs       []cfcore.Run
	// LastReportAt is when the last report was received, by this entry or by the entry that
	// relayed it. LastDirectReportAt is when this entry last received a report from the agent
	// itself. It is zero if there was no such report.
	LastReportAt       time.Time
	LastDirectReportAt time.Time
	// Leaving is set while the worker's VM shuts down.
	Leaving bool
}

// Input holds everything that a decision depends on.
type Input struct {
	// Self is the entry that decides, the planner.
	Self  cfcore.EntryID
	State *cfstate.State
	// Workers holds the last report of each worker that has reported to this entry, directly
	// or through another entry.
	Workers map[cfcore.WorkerID]*WorkerView
	// Entries holds the answers of the other entries to this entry's polls.
	Entries *cfgrant.Table
	Now     time.Time
	Rand    *rand.Rand
	// Interference estimates the interference between tasks. nil means that no slowdown is
	// expected.
	Interference cfcore.InterferenceModel
}

// Scheduler makes decisions. From one decision to the next it keeps the times at which its
// timeouts and delays start. It is not safe for concurrent use.
type Scheduler struct {
	settings Settings
	placer   cfcore.Placer
	// confirmedFences holds, for each worker, the last FenceWorker record that this planner
	// has seen applied by a majority of the members.
	confirmedFences map[cfcore.WorkerID]confirmedFence
	// Each of the next three maps holds a time on this planner's clock: when the planner
	// first saw that a worker is unreachable, that a worker is quarantined, and that an entry
	// exists.
	unreachableSince map[cfcore.WorkerID]time.Time
	quarantinedAt    map[cfcore.WorkerID]time.Time
	entryFirstSeen   map[cfcore.EntryID]time.Time
	// lastFailures holds, for each task, the latest failure that this planner has seen.
	lastFailures map[cfcore.TaskID]failure
}

// confirmedFence is the fence of a worker. offset is the offset of the FenceWorker record,
// and at is when this planner first saw that a majority has applied the record.
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

// decision collects the records of one call of Decide. s is the state in the input.
type decision struct {
	*Scheduler
	in  Input
	s   *cfstate.State
	out []cfrecord.Record
}

func (d *decision) add(r cfrecord.Record) { d.out = append(d.out, r) }

// full reports whether the decision has reached MaxBatch records.
func (d *decision) full() bool { return len(d.out) >= d.settings.MaxBatch }

// grantView returns this entry's view for the methods of cfgrant.Table. IsFenced is not
// set, because only Table.Check needs it.
func (d *decision) grantView() cfgrant.View {
	return cfgrant.View{Self: d.in.Self, Version: d.s.MemberVersion, Members: d.s.Members}
}

// Decide returns the records that the planner should append next, or none. The caller
// appends the records as one batch. It calls Decide again only after that batch has been
// read from the log and applied to the state.
func (sc *Scheduler) Decide(in Input) []cfrecord.Record {
	d := &decision{Scheduler: sc, in: in, s: in.State}
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
	d.place()
	return d.out
}
