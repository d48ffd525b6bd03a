package cfstate

import (
	"time"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cfrecord"
)

// Rejection is the reason why a record was rejected. It is empty if the record was applied.
type Rejection string

// The reasons for rejecting a record.
const (
	notRejected          Rejection = ""
	rejectedEpoch        Rejection = "of another epoch"
	rejectedDuplicate    Rejection = "batch seen before"
	rejectedMembership   Rejection = "not the next membership"
	rejectedWorker       Rejection = "worker not usable"
	rejectedInstance     Rejection = "worker has another instance"
	rejectedCapacity     Rejection = "worker's capacity exceeded"
	rejectedTask         Rejection = "task not waiting"
	rejectedNumber       Rejection = "assignment number not new"
	rejectedUnassigned   Rejection = "not the task's assignment"
	rejectedBusy         Rejection = "tasks still assigned"
	rejectedNoChange     Rejection = "nothing changes"
	rejectedUnknownPlan  Rejection = "plan unknown or expired"
	rejectedPlanConflict Rejection = "plan overtaken by another change"
	rejectedInvalidPlan  Rejection = "plan not valid"
	rejectedTooManyPlans Rejection = "too many plans wait"
	rejectedKey          Rejection = "key claimed before"
	rejectedPermission   Rejection = "no permission for it"
)

// Outcome is the result of applying one record.
type Outcome struct {
	Record    *cfrecord.Record
	Rejection Rejection
	// Detail says more about the rejection. It is often empty.
	Detail string
}

// recordContext is what a record needs to be applied: the state, and the offset and the author
// of the record's batch. at is State.At, which can be later than the time of the batch. detail
// becomes Outcome.Detail.
type recordContext struct {
	state  *State
	off    cfcore.Offset
	at     time.Time
	by     cfcore.EntryID
	detail string
}

// Apply applies the batch at offset off and returns the outcome of each record. A batch is
// rejected as a whole if its ID is among the IDs of the last MaxSeenBatches batches. Snapshot
// records are accepted without effect, because they only repeat an earlier state.
func (s *State) Apply(off cfcore.Offset, b *cfrecord.Batch) []Outcome {
	s.Offset = off
	if b.At.After(s.At) {
		s.At = b.At
	}
	if !s.markSeen(b.ID) {
		s.RejectedCounts[string(rejectedDuplicate)]++
		return duplicateOutcomes(b)
	}
	out := make([]Outcome, len(b.Records))
	for i := range b.Records {
		rc := &recordContext{state: s, off: off, at: s.At, by: b.By}
		rejection := rc.applyRecord(&b.Records[i])
		if rejection != notRejected {
			s.RejectedCounts[string(rejection)]++
		}
		out[i] = Outcome{Record: &b.Records[i], Rejection: rejection, Detail: rc.detail}
	}
	s.dropExpired()
	return out
}

func duplicateOutcomes(b *cfrecord.Batch) []Outcome {
	out := make([]Outcome, len(b.Records))
	for i := range b.Records {
		out[i] = Outcome{Record: &b.Records[i], Rejection: rejectedDuplicate}
	}
	return out
}

// markSeen records a batch ID and reports whether it is new.
func (s *State) markSeen(id cfrecord.BatchID) bool {
	if _, ok := s.Seen[id]; ok {
		return false
	}
	s.Seen[id] = struct{}{}
	s.SeenOrder = append(s.SeenOrder, id)
	if len(s.SeenOrder) > MaxSeenBatches {
		delete(s.Seen, s.SeenOrder[0])
		s.SeenOrder = s.SeenOrder[1:]
	}
	return true
}

func (rc *recordContext) applyRecord(r *cfrecord.Record) Rejection {
	switch {
	case r.Claim != nil:
		return rc.claimEpoch(r.Claim)
	case r.Candidate != nil:
		return rc.addCandidate(r.Candidate)
	case r.Gone != nil:
		return rc.removeCandidate(r.Gone)
	case r.Planned != nil:
		return rc.addPlan(r.Planned)
	case r.Confirmed != nil:
		return rc.confirmPlan(r.Confirmed)
	case r.KeyClaim != nil:
		return rc.claimKey(r.KeyClaim)
	case r.KeyAnswer != nil:
		return rc.setKeyAnswer(r.KeyAnswer)
	case r.KeyRelease != nil:
		return rc.releaseKey(r.KeyRelease)
	case r.Snapshot != nil:
		return notRejected
	}
	return rc.applyDecision(r)
}

// applyDecision applies a record of a type that only the planner of the current epoch is
// allowed to write.
func (rc *recordContext) applyDecision(r *cfrecord.Record) Rejection {
	switch {
	case r.Members != nil:
		return rc.applyInEpoch(r.Members.Epoch, func() Rejection { return rc.setMembers(r.Members) })
	case r.WorkerUp != nil:
		return rc.applyInEpoch(r.WorkerUp.Epoch, func() Rejection { return rc.addWorker(r.WorkerUp) })
	case r.Fence != nil:
		return rc.applyInEpoch(r.Fence.Epoch, func() Rejection { return rc.fenceWorker(r.Fence) })
	case r.Unfence != nil:
		return rc.applyInEpoch(r.Unfence.Epoch, func() Rejection { return rc.unfenceWorker(r.Unfence) })
	case r.Quarantine != nil:
		return rc.applyInEpoch(r.Quarantine.Epoch, func() Rejection { return rc.setQuarantine(r.Quarantine) })
	case r.Assign != nil:
		return rc.applyInEpoch(r.Assign.Epoch, func() Rejection { return rc.assignTask(r.Assign) })
	case r.Stop != nil:
		return rc.applyInEpoch(r.Stop.Epoch, func() Rejection { return rc.stopRun(r.Stop) })
	case r.Checkpoint != nil:
		return rc.applyInEpoch(r.Checkpoint.Epoch, func() Rejection { return rc.setCheckpoint(r.Checkpoint) })
	case r.Ended != nil:
		return rc.applyInEpoch(r.Ended.Epoch, func() Rejection { return rc.endRun(r.Ended) })
	}
	return rejectedNoChange
}

// applyInEpoch calls apply if e is the current epoch and the author of the batch is the
// planner of that epoch. Otherwise it rejects the record.
func (rc *recordContext) applyInEpoch(e cfcore.Epoch, apply func() Rejection) Rejection {
	if e != rc.state.Epoch || rc.by != rc.state.Planner {
		return rejectedEpoch
	}
	return apply()
}

// addEvent adds an event to the audit trail, with the author of the batch as Who and
// without a plan.
func (rc *recordContext) addEvent(what, subject, cause string) {
	rc.addEventBy(string(rc.by), "", what, subject, cause)
}

// addEventBy adds an event to the audit trail and returns the event. plan is empty for an
// event that follows from no plan.
func (rc *recordContext) addEventBy(who string, plan cfcore.PlanID, what, subject, cause string) Event {
	e := Event{Offset: rc.off, At: rc.at, Who: who, Plan: plan, What: what, Subject: subject, Cause: cause}
	rc.state.Audit = appendBounded(rc.state.Audit, e, MaxAudit)
	return e
}

// addTaskEvent adds an event to the audit trail and to the history of a task.
func (rc *recordContext) addTaskEvent(t *Task, what, cause string) {
	plan := cfcore.PlanID("")
	if w := rc.state.Workloads[t.Workload]; w != nil {
		plan = w.Plan
	}
	e := rc.addEventBy(string(rc.by), plan, what, string(t.ID), cause)
	t.History = appendBounded(t.History, e, MaxHistory)
}

// appendBounded appends e to list and drops the oldest events beyond limit.
func appendBounded(list []Event, e Event, limit int) []Event {
	list = append(list, e)
	if len(list) > limit {
		list = list[len(list)-limit:]
	}
	return list
}

// dropExpired drops the plans and keys that are older than their TTL. It also drops the
// oldest plans, keys and ended tasks beyond their maximum numbers. Ages are relative to
// s.At, not to a clock.
func (s *State) dropExpired() {
	for len(s.PlanOrder) > 0 {
		id := s.PlanOrder[0]
		p := s.Plans[id]
		if p != nil && s.At.Sub(p.At) < PlanTTL && len(s.PlanOrder) <= MaxPlans {
			break
		}
		delete(s.Plans, id)
		s.PlanOrder = s.PlanOrder[1:]
	}
	s.dropExpiredKeys()
	for len(s.EndedTasks) > MaxEndedTasks {
		s.dropTask(s.EndedTasks[0])
		s.EndedTasks = s.EndedTasks[1:]
	}
}

func (s *State) dropExpiredKeys() {
	for len(s.KeyOrder) > 0 {
		n := s.KeyOrder[0]
		k := s.Key(n.Service, n.Key)
		if k != nil && s.At.Sub(k.At) < KeyTTL && len(s.KeyOrder) <= MaxKeys {
			return
		}
		s.dropKey(n)
		s.KeyOrder = s.KeyOrder[1:]
	}
}

func (s *State) dropKey(n KeyName) {
	delete(s.Keys[n.Service], n.Key)
	if len(s.Keys[n.Service]) == 0 {
		delete(s.Keys, n.Service)
	}
}

// dropTask deletes an ended task. It deletes the task's workload with its last task. Until then,
// the workload remembers which tasks were done or have failed.
func (s *State) dropTask(id cfcore.TaskID) {
	t := s.Tasks[id]
	if t == nil {
		return
	}
	delete(s.Tasks, id)
	w := s.Workloads[t.Workload]
	if w == nil {
		return
	}
	w.Kept = max(0, w.Kept-1)
	if w.Live == 0 && w.Kept == 0 {
		delete(s.Workloads, t.Workload)
		return
	}
	if t.Status != TaskCancelled {
		w.setDropped(t.Index)
	}
}
