package cfdispatch

import (
	"time"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cfjob"
)

// EventKind says what an Event is about.
type EventKind string

// The kinds of events.
const (
	// EventEnded is the end of a run.
	EventEnded EventKind = "run ended"
	// EventDropped is a start that the worker refused, or a run that it does not have.
	EventDropped EventKind = "run is not there"
	// EventLapsed is a run whose leases have surely ended, or whose worker is gone.
	EventLapsed EventKind = "run given up with its worker"
	// EventStuck is a run that shows no progress, and is stopped for it.
	EventStuck EventKind = "run stands still"
	// EventAdopted is a run that an older planner had started.
	EventAdopted EventKind = "run taken over"
	// EventOutcome is the end of a job.
	EventOutcome EventKind = "job ended"
	// EventAside is a worker that gets no starts for a while.
	EventAside EventKind = "worker set aside: runs of different jobs failed in a row"
)

// Event is what the planner came to believe, for logs.
type Event struct {
	Kind  EventKind
	Agent string
	Task  cfcore.TaskName
	Run   uint64
	How   cfcore.RunEnd
	// Refusal is why a start was refused.
	Refusal cfcore.ExecutorKind
	// Attempts is the number of the task's runs that failed so far.
	Attempts int
	Outcome  cfjob.Outcome
	// Took is how long a run went on, or a job since it was accepted; Late is how long
	// after its objective a job ended, and negative before it.
	Took time.Duration
	Late time.Duration
}

// maxEvents bounds the events that wait to be taken.
const maxEvents = 4096

func (p *Planner) note(e Event) {
	if len(p.events) < maxEvents {
		p.events = append(p.events, e)
	}
}

func (p *Planner) noteRun(kind EventKind, r *run, now time.Time) {
	p.note(Event{Kind: kind, Agent: r.w.agent, Task: r.task.name, Run: r.id, Took: now.Sub(r.begun)})
}

func (p *Planner) noteOutcome(now time.Time, j *job) {
	p.urgent = true
	p.note(Event{
		Kind: EventOutcome, Task: cfcore.TaskName{Job: j.ID}, Outcome: j.outcome,
		Took: now.Sub(j.Accepted), Late: now.Sub(j.objective),
	})
}

// Events returns what happened since it was called last.
func (p *Planner) Events() []Event {
	out := p.events
	p.events = nil
	return out
}
