package cfdispatch

import (
	"time"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cfjob"
)

// EventKind is the type of an Event. Its text is the message of the event's log line.
type EventKind string

// The kinds of events.
const (
	// EventEnded is the end of a run.
	EventEnded EventKind = "run ended"
	// EventDropped is a start that the worker refused, or a run that the worker does not have.
	EventDropped EventKind = "run dropped: worker refused the start or does not have the run"
	// EventLost is a run that can no longer exist: all leases on its worker have expired,
	// the worker has left, or the run belonged to an earlier incarnation of the worker.
	EventLost EventKind = "run lost: worker's leases expired, or worker left or restarted"
	// EventUnexpected is a listed run that the planner does not adopt and therefore stops, see
	// Event.Reason.
	EventUnexpected EventKind = "worker lists an unexpected run; stopping it"
	// EventOtherRun is the successful end of a run whose task has another run. The planner
	// stops the other run, to which the event's agent, run and incarnation belong.
	EventOtherRun EventKind = "task is done and has another run; stopping that run"
	// EventWaitsForStart is a task that does not start because of an earlier start without an answer, which
	// Agent's worker can still execute. EventSecondStart is one that starts all the same.
	EventWaitsForStart EventKind = "task waits: an earlier start got no answer and can still be executed"
	EventSecondStart   EventKind = "task starts although an earlier start can still be executed"
	// EventStalled is a run that makes no progress and that the planner therefore stops.
	EventStalled EventKind = "run stalled; stopping it"
	// EventAdopted is a run that an earlier planner started and that this planner adopts.
	EventAdopted EventKind = "run adopted from an earlier planner"
	// EventOutcome is the end of a job.
	EventOutcome EventKind = "job ended"
	// EventQuarantined is the start of a quarantine that follows a failed run. During the
	// quarantine the worker gets no starts. There is no event if a refused start or a
	// stalled run leads to the quarantine.
	EventQuarantined EventKind = "worker quarantined: runs of different jobs failed in a row"
	// EventOverTarget is a time, now over, for which a latency-critical run was over its
	// target beside best-effort tasks.
	EventOverTarget EventKind = "tail latency was over its target beside best-effort tasks"
	// EventPaused and EventResumed are the pause of all best-effort tasks on a worker, and its end.
	EventPaused  EventKind = "best-effort tasks paused: a tail latency is over its target"
	EventResumed EventKind = "best-effort tasks resumed"
	// EventUnderserved and EventServedAgain are the start and the end of a time for which a
	// latency-critical job is served much less than the others of its queue.
	EventUnderserved EventKind = "latency-critical job is served much less than the others of its queue"
	EventServedAgain EventKind = "latency-critical job is served like the others of its queue again"
)

// Event is a change of a run, a job or a worker as seen by the planner, for logs. Fields
// that do not apply to the event's kind are zero.
type Event struct {
	Kind  EventKind
	Agent string
	Task  cfcore.TaskName
	Run   uint64
	// How is how the run ended.
	How cfcore.RunEnd
	// Reason is why a run is unexpected. Born is when the incarnation of the worker started
	// that lists it.
	Reason string
	Born   time.Time
	// Refusal is why a start was refused. It is cfcore.ExecutorStale for a stop of a run
	// that the worker does not have.
	Refusal cfcore.ExecutorKind
	// Attempts is the number of the task's failed runs so far.
	Attempts int
	Outcome  cfjob.Outcome
	// Took is how long a run has lasted as far as the planner knows, or the time from the
	// acceptance of a job to its end. AfterObjective is the time from the job's objective
	// to its end, and negative if the job ended before its objective.
	Took           time.Duration
	AfterObjective time.Duration
	// Image is the image of a run that was over its target, and Neighbours are the images of the
	// best-effort tasks beside it. BestEffort is the number of best-effort runs that are paused or
	// resumed. Level is the served share of a job, see serviceLevel.
	Image      string
	Neighbours []string
	BestEffort int
	Level      float64
}

// maxEvents is the maximum number of events kept until the next call of TakeEvents. Further
// events are discarded.
const maxEvents = 4096

// addEvent adds an event to those that the next call of TakeEvents returns.
func (p *Planner) addEvent(e Event) {
	if len(p.events) < maxEvents {
		p.events = append(p.events, e)
	}
}

// addRunEvent adds an event about a run that the planner keeps.
func (p *Planner) addRunEvent(kind EventKind, r *run, now time.Time) {
	p.addEvent(Event{Kind: kind, Agent: r.w.agent, Task: r.task.name, Run: r.id, Took: now.Sub(r.startedAt)})
}

// addLevelEvent adds an event about a job's service level. Its Took is how long the job has been
// underserved.
func (p *Planner) addLevelEvent(kind EventKind, now time.Time, j *job) {
	p.addEvent(Event{Kind: kind, Task: cfcore.TaskName{Job: j.ID}, Level: j.level.mean, Took: now.Sub(j.level.underservedAt)})
}

// addOutcomeEvent adds the event of a job's end, and sets hasUnrecordedOutcome.
func (p *Planner) addOutcomeEvent(now time.Time, j *job) {
	p.hasUnrecordedOutcome = true
	p.addEvent(Event{
		Kind: EventOutcome, Task: cfcore.TaskName{Job: j.ID}, Outcome: j.outcome,
		Took: now.Sub(j.Accepted), AfterObjective: now.Sub(j.objective),
	})
}

// TakeEvents returns the events since the previous call.
func (p *Planner) TakeEvents() []Event {
	out := p.events
	p.events = nil
	return out
}
