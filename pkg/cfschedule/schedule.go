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
	Timing cfgrant.Timing
	// WorkerTimeout is the time without a report after which a worker is fenced.
	WorkerTimeout time.Duration
	// EntryTimeout is the time without an answer to a poll after which an entry is removed
	// from the members and candidates.
	EntryTimeout time.Duration
	// MaxBatch is the number of records at which a decision stops adding more.
	MaxBatch int
	// HeadroomPercent is the part of each worker's CPU and memory, in percent, that batch
	// tasks may not use.
	HeadroomPercent int
	// QuarantineAfter is the number of different workloads that must fail in a row on
	// a worker to quarantine it.
	QuarantineAfter int
	// QuarantineFor is the duration of a quarantine. The worker then gets tasks again,
	// on probation.
	QuarantineFor time.Duration
	// RetryAfter is the delay before a failed task is assigned again.
	RetryAfter time.Duration
	// SlowdownLimit limits the expected total slowdown of the services on a worker (see
	// cfcore.InterferenceModel). A batch task that would exceed the limit waits for another
	// worker, but no longer than SlowdownWait. A SlowdownLimit of 0 means no limit.
	SlowdownLimit float64
	SlowdownWait  time.Duration
}

// WorkerView is the last report of a worker's agent.
type WorkerView struct {
	Worker     cfcore.WorkerID
	Instance   cfcore.InstanceID
	DataCentre string
	Rack       string
	Capacity   cfcore.Resources
	Runs       []cfcore.Run
	// LastReportAt is when this entry, or the entry that relayed the report, received it.
	// LastDirectReportAt is when this entry last received a report from the agent itself; zero
	// if it never has.
	LastReportAt       time.Time
	LastDirectReportAt time.Time
	// Leaving is set while the VM shuts down.
	Leaving bool
}

// Input holds everything that a decision depends on.
type Input struct {
	Self    cfcore.EntryID
	State   *cfstate.State
	Workers map[cfcore.WorkerID]*WorkerView
	// Entries holds the answers of the other entries to this entry's polls.
	Entries *cfgrant.Table
	Now     time.Time
	Rand    *rand.Rand
	// Interference estimates the interference between tasks. It may be nil.
	Interference cfcore.InterferenceModel
}

// Scheduler makes decisions. Between decisions it keeps the times from which timeouts and
// delays count. It is not safe for concurrent use.
type Scheduler struct {
	settings Settings
	placer   cfcore.Placer
	// fencedAt holds when this planner first saw that a majority of the members has applied
	// a worker's FenceWorker record, and the offset of that record.
	fencedAt map[cfcore.WorkerID]confirmedFence
	// These hold when this planner first saw that a worker is unreachable, that it is
	// quarantined, that an entry exists, and that a task has failed.
	unreachableSince map[cfcore.WorkerID]time.Time
	quarantinedAt    map[cfcore.WorkerID]time.Time
	entryFirstSeen   map[cfcore.EntryID]time.Time
	failedAt         map[cfcore.TaskID]failure
}

type confirmedFence struct {
	offset cfcore.Offset
	at     time.Time
}

type failure struct {
	count int
	at    time.Time
}

// New returns a Scheduler with the given settings and placement policy.
func New(s Settings, p cfcore.Placer) *Scheduler {
	return &Scheduler{
		settings: s, placer: p,
		fencedAt:         map[cfcore.WorkerID]confirmedFence{},
		unreachableSince: map[cfcore.WorkerID]time.Time{},
		quarantinedAt:    map[cfcore.WorkerID]time.Time{},
		entryFirstSeen:   map[cfcore.EntryID]time.Time{},
		failedAt:         map[cfcore.TaskID]failure{},
	}
}

// decision collects the records of one call of Decide.
type decision struct {
	*Scheduler
	in  Input
	s   *cfstate.State
	out []cfrecord.Record
}

func (d *decision) add(r cfrecord.Record) { d.out = append(d.out, r) }

func (d *decision) full() bool { return len(d.out) >= d.settings.MaxBatch }

// grantView returns this entry's view for cfgrant.Table. IsFenced is not set, because only
// cfgrant.Table.Check needs it.
func (d *decision) grantView() cfgrant.View {
	return cfgrant.View{Self: d.in.Self, Version: d.s.MemberVersion, Members: d.s.Members}
}

// Decide returns the records that the planner should append next, or none. The caller
// appends them as one batch, and calls Decide again after it has read that batch from the
// log and applied it to the state.
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
		d.drain(w)
		d.quarantine(w)
	}
	d.place()
	return d.out
}
