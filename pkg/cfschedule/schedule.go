// Package cfschedule makes the planner's decisions: a pure function from the
// state of the log, what agents and entries report, and the time, to records.
package cfschedule

import (
	"math/rand/v2"
	"time"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cffold"
	"cranberryford/pkg/cfgrant"
	"cranberryford/pkg/cfrecord"
)

// Settings are the planner's limits.
type Settings struct {
	Timing cfgrant.Timing
	// Silence is how long a worker may be silent before it is barred.
	Silence time.Duration
	// EntrySilence is how long a member may be silent before it is taken out.
	EntrySilence time.Duration
	// MaxBatch bounds the records of one decision.
	MaxBatch int
	// HeadroomPercent of each worker is not given to batch tasks.
	HeadroomPercent int
	// QuarantineAfter is the number of different workloads that fail in a row on
	// a worker before it is quarantined.
	QuarantineAfter int
	// QuarantineFor is how long a quarantine lasts before a probe.
	QuarantineFor time.Duration
	// RetryAfter is how long a failed task waits before it is assigned again.
	RetryAfter time.Duration
	// HarmLimit is the slowdown of the services on a worker above which a batch
	// task waits for another place, for up to HarmWait.
	HarmLimit float64
	HarmWait  time.Duration
}

// WorkerView is what a worker's agent reported last.
type WorkerView struct {
	Worker     cfcore.WorkerID
	Instance   cfcore.InstanceID
	DataCentre string
	Rack       string
	Capacity   cfcore.Resources
	Runs       []cfcore.Run
	// HeardAt is when the report came in, to this entry or to another one that
	// passed it on; DirectAt is when this entry last heard the agent itself.
	HeardAt  time.Time
	DirectAt time.Time
	// Leaving is set when the VM shuts down.
	Leaving bool
}

// Input is all that a decision rests on.
type Input struct {
	Self    cfcore.EntryID
	State   *cffold.State
	Workers map[cfcore.WorkerID]*WorkerView
	Entries *cfgrant.Table
	Now     time.Time
	Rand    *rand.Rand
	// Harm is what is known of how tasks slow each other. It may be nil.
	Harm cfcore.Harm
}

// Scheduler remembers when it saw what it waits for. It belongs to one goroutine.
type Scheduler struct {
	settings Settings
	placer   cfcore.Placer
	// listedAt is when a majority was first seen to list a worker as barred, for
	// the Bar at the offset.
	listedAt map[cfcore.WorkerID]listed
	// since is when this planner first saw a worker of the log, or its quarantine.
	firstSeen     map[cfcore.WorkerID]time.Time
	quarantinedAt map[cfcore.WorkerID]time.Time
	memberSeen    map[cfcore.EntryID]time.Time
	failedAt      map[cfcore.TaskID]failure
}

type listed struct {
	bar cfcore.Offset
	at  time.Time
}

type failure struct {
	count int
	at    time.Time
}

// New returns a scheduler.
func New(s Settings, p cfcore.Placer) *Scheduler {
	return &Scheduler{
		settings: s, placer: p,
		listedAt:      map[cfcore.WorkerID]listed{},
		firstSeen:     map[cfcore.WorkerID]time.Time{},
		quarantinedAt: map[cfcore.WorkerID]time.Time{},
		memberSeen:    map[cfcore.EntryID]time.Time{},
		failedAt:      map[cfcore.TaskID]failure{},
	}
}

// decision collects the records of one call of Decide.
type decision struct {
	*Scheduler
	in  Input
	s   *cffold.State
	out []cfrecord.Record
}

func (d *decision) add(r cfrecord.Record) { d.out = append(d.out, r) }

func (d *decision) full() bool { return len(d.out) >= d.settings.MaxBatch }

func (d *decision) view() cfgrant.View {
	return cfgrant.View{Self: d.in.Self, Version: d.s.MemberVersion, Members: d.s.Members}
}

// Decide returns the records that the planner should append next. The caller
// appends them as one batch, and calls again when it has read the batch back.
func (sc *Scheduler) Decide(in Input) []cfrecord.Record {
	d := &decision{Scheduler: sc, in: in, s: in.State}
	d.entries()
	for _, v := range d.sortedViews() {
		if d.full() {
			return d.out
		}
		d.worker(v)
	}
	for _, w := range d.sortedWorkers() {
		if d.full() {
			return d.out
		}
		d.silent(w)
		d.drain(w)
		d.quarantine(w)
	}
	d.place()
	return d.out
}
