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
	notRejected        Rejection = ""
	rejectedEpoch      Rejection = "of another epoch"
	rejectedDuplicate  Rejection = "batch seen before"
	rejectedMembership Rejection = "not the next membership"
	rejectedWorker     Rejection = "worker not usable"
	rejectedInstance   Rejection = "worker has another instance"
	rejectedCapacity   Rejection = "worker's capacity exceeded"
	rejectedTask       Rejection = "task not waiting"
	rejectedNumber     Rejection = "assignment number not new"
	rejectedUnassigned Rejection = "not the task's assignment"
	rejectedBusy       Rejection = "tasks still assigned"
	rejectedNoChange   Rejection = "nothing changes"
	rejectedPlan       Rejection = "plan unknown or expired"
	rejectedConflict   Rejection = "plan overtaken by another change"
	rejectedInvalid    Rejection = "plan not valid"
	rejectedFull       Rejection = "too many plans wait"
	rejectedKey        Rejection = "key claimed before"
	rejectedPermission Rejection = "no permission for it"
)

// Outcome is the result of applying one record.
type Outcome struct {
	Record    *cfrecord.Record
	Rejection Rejection
	// Detail explains the rejection further; often empty.
	Detail string
}

// recordContext is the context for applying one record.
type recordContext struct {
	s      *State
	off    cfcore.Offset
	at     time.Time
	by     cfcore.EntryID
	detail string
}

// Apply applies the batch at offset off to the state and returns the outcome of each
// record. A batch whose ID was seen before is rejected as a whole. Snapshot records do not
// change the state.
func (s *State) Apply(off cfcore.Offset, b *cfrecord.Batch) []Outcome {
	s.Offset = off
	if b.At.After(s.At) {
		s.At = b.At
	}
	if !s.markSeen(b.ID) {
		s.Void[string(rejectedDuplicate)]++
		return duplicateOutcomes(b)
	}
	out := make([]Outcome, len(b.Records))
	for i := range b.Records {
		rc := &recordContext{s: s, off: off, at: s.At, by: b.By}
		v := rc.apply(&b.Records[i])
		if v != notRejected {
			s.Void[string(v)]++
		}
		out[i] = Outcome{Record: &b.Records[i], Rejection: v, Detail: rc.detail}
	}
	s.expire()
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

func (rc *recordContext) apply(r *cfrecord.Record) Rejection {
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

// applyDecision applies the record types that only the planner of the current epoch may
// write.
func (rc *recordContext) applyDecision(r *cfrecord.Record) Rejection {
	switch {
	case r.Members != nil:
		return rc.checkEpoch(r.Members.Epoch, func() Rejection { return rc.setMembers(r.Members) })
	case r.WorkerUp != nil:
		return rc.checkEpoch(r.WorkerUp.Epoch, func() Rejection { return rc.addWorker(r.WorkerUp) })
	case r.Bar != nil:
		return rc.checkEpoch(r.Bar.Epoch, func() Rejection { return rc.fenceWorker(r.Bar) })
	case r.Unbar != nil:
		return rc.checkEpoch(r.Unbar.Epoch, func() Rejection { return rc.unfenceWorker(r.Unbar) })
	case r.Quarantine != nil:
		return rc.checkEpoch(r.Quarantine.Epoch, func() Rejection { return rc.setQuarantine(r.Quarantine) })
	case r.Assign != nil:
		return rc.checkEpoch(r.Assign.Epoch, func() Rejection { return rc.assignTask(r.Assign) })
	case r.Stop != nil:
		return rc.checkEpoch(r.Stop.Epoch, func() Rejection { return rc.stopRun(r.Stop) })
	case r.Checkpoint != nil:
		return rc.checkEpoch(r.Checkpoint.Epoch, func() Rejection { return rc.setCheckpoint(r.Checkpoint) })
	case r.Ended != nil:
		return rc.checkEpoch(r.Ended.Epoch, func() Rejection { return rc.endRun(r.Ended) })
	}
	return rejectedNoChange
}

// checkEpoch calls apply if the record was written by the planner of the current epoch, and
// rejects the record otherwise.
func (rc *recordContext) checkEpoch(e cfcore.Epoch, apply func() Rejection) Rejection {
	if e != rc.s.Epoch || rc.by != rc.s.Planner {
		return rejectedEpoch
	}
	return apply()
}

// audit adds an event by the author of the batch to the audit trail.
func (rc *recordContext) audit(what, subject, cause string) {
	rc.auditBy(string(rc.by), "", what, subject, cause)
}

func (rc *recordContext) auditBy(who string, plan cfcore.PlanID, what, subject, cause string) Event {
	e := Event{Offset: rc.off, At: rc.at, Who: who, Plan: plan, What: what, Subject: subject, Cause: cause}
	rc.s.Audit = appendBounded(rc.s.Audit, e, MaxAudit)
	return e
}

// auditTask adds an event to a task's history and to the audit trail.
func (rc *recordContext) auditTask(t *Task, what, cause string) {
	plan := cfcore.PlanID("")
	if w := rc.s.Workloads[t.Workload]; w != nil {
		plan = w.Plan
	}
	e := rc.auditBy(string(rc.by), plan, what, string(t.ID), cause)
	t.History = appendBounded(t.History, e, MaxHistory)
}

func appendBounded(list []Event, e Event, limit int) []Event {
	list = append(list, e)
	if len(list) > limit {
		list = list[len(list)-limit:]
	}
	return list
}

// expire drops plans and keys that are older than their TTL, and the oldest plans, keys and
// ended tasks beyond their maximum number. Ages are relative to At, not to a clock.
func (s *State) expire() {
	for len(s.PlanOrder) > 0 {
		id := s.PlanOrder[0]
		p := s.Plans[id]
		if p != nil && s.At.Sub(p.At) < PlanTTL && len(s.PlanOrder) <= MaxPlans {
			break
		}
		delete(s.Plans, id)
		s.PlanOrder = s.PlanOrder[1:]
	}
	s.expireKeys()
	for len(s.Finished) > MaxEndedTasks {
		s.dropTask(s.Finished[0])
		s.Finished = s.Finished[1:]
	}
}

func (s *State) expireKeys() {
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

// dropTask deletes an ended task, and its workload if no task of the workload is live.
func (s *State) dropTask(id cfcore.TaskID) {
	t := s.Tasks[id]
	if t == nil {
		return
	}
	delete(s.Tasks, id)
	w := s.Workloads[t.Workload]
	if w != nil && w.Live == 0 {
		delete(s.Workloads, t.Workload)
	}
}
