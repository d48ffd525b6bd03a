package cffold

import (
	"time"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cfrecord"
)

// Void is why a record has no effect. The empty value means that it has one.
type Void string

// The reasons for a void record.
const (
	voidNone       Void = ""
	voidEpoch      Void = "of another epoch"
	voidRepeated   Void = "batch seen before"
	voidMembership Void = "not the next membership"
	voidWorker     Void = "worker not usable"
	voidInstance   Void = "worker has another instance"
	voidCapacity   Void = "worker's capacity exceeded"
	voidTask       Void = "task not waiting"
	voidNumber     Void = "assignment number not new"
	voidUnassigned Void = "not the task's assignment"
	voidBusy       Void = "tasks still assigned"
	voidNoChange   Void = "nothing changes"
	voidPlan       Void = "plan unknown or expired"
	voidConflict   Void = "plan overtaken by another change"
	voidInvalid    Void = "plan not valid"
	voidFull       Void = "too many plans wait"
	voidKey        Void = "key claimed before"
	voidPermission Void = "no permission for it"
)

// Outcome is what became of one record.
type Outcome struct {
	Record *cfrecord.Record
	Void   Void
	// Detail tells more about a void record.
	Detail string
}

// step is the context of one record.
type step struct {
	s      *State
	off    cfcore.Offset
	at     time.Time
	by     cfcore.EntryID
	detail string
}

// Apply folds the batch at offset off into the state and returns the outcome of
// each record. Snapshot records change nothing here.
func (s *State) Apply(off cfcore.Offset, b *cfrecord.Batch) []Outcome {
	s.Offset = off
	if b.At.After(s.At) {
		s.At = b.At
	}
	if !s.see(b.ID) {
		s.Void[string(voidRepeated)]++
		return repeated(b)
	}
	out := make([]Outcome, len(b.Records))
	for i := range b.Records {
		st := &step{s: s, off: off, at: s.At, by: b.By}
		v := st.apply(&b.Records[i])
		if v != voidNone {
			s.Void[string(v)]++
		}
		out[i] = Outcome{Record: &b.Records[i], Void: v, Detail: st.detail}
	}
	s.expire()
	return out
}

func repeated(b *cfrecord.Batch) []Outcome {
	out := make([]Outcome, len(b.Records))
	for i := range b.Records {
		out[i] = Outcome{Record: &b.Records[i], Void: voidRepeated}
	}
	return out
}

// see remembers a batch and reports whether it is new.
func (s *State) see(id cfrecord.BatchID) bool {
	if _, ok := s.Seen[id]; ok {
		return false
	}
	s.Seen[id] = struct{}{}
	s.SeenOrder = append(s.SeenOrder, id)
	if len(s.SeenOrder) > MaxSeen {
		delete(s.Seen, s.SeenOrder[0])
		s.SeenOrder = s.SeenOrder[1:]
	}
	return true
}

func (st *step) apply(r *cfrecord.Record) Void {
	switch {
	case r.Claim != nil:
		return st.claim(r.Claim)
	case r.Candidate != nil:
		return st.candidate(r.Candidate)
	case r.Gone != nil:
		return st.gone(r.Gone)
	case r.Planned != nil:
		return st.planned(r.Planned)
	case r.Confirmed != nil:
		return st.confirmed(r.Confirmed)
	case r.KeyClaim != nil:
		return st.keyClaim(r.KeyClaim)
	case r.KeyAnswer != nil:
		return st.keyAnswer(r.KeyAnswer)
	case r.KeyRelease != nil:
		return st.keyRelease(r.KeyRelease)
	case r.Snapshot != nil:
		return voidNone
	}
	return st.applyDecision(r)
}

// applyDecision folds what only the planner of the current epoch may write.
func (st *step) applyDecision(r *cfrecord.Record) Void {
	switch {
	case r.Members != nil:
		return st.inEpoch(r.Members.Epoch, func() Void { return st.members(r.Members) })
	case r.WorkerUp != nil:
		return st.inEpoch(r.WorkerUp.Epoch, func() Void { return st.workerUp(r.WorkerUp) })
	case r.Bar != nil:
		return st.inEpoch(r.Bar.Epoch, func() Void { return st.bar(r.Bar) })
	case r.Unbar != nil:
		return st.inEpoch(r.Unbar.Epoch, func() Void { return st.unbar(r.Unbar) })
	case r.Quarantine != nil:
		return st.inEpoch(r.Quarantine.Epoch, func() Void { return st.quarantine(r.Quarantine) })
	case r.Assign != nil:
		return st.inEpoch(r.Assign.Epoch, func() Void { return st.assign(r.Assign) })
	case r.Stop != nil:
		return st.inEpoch(r.Stop.Epoch, func() Void { return st.stop(r.Stop) })
	case r.Checkpoint != nil:
		return st.inEpoch(r.Checkpoint.Epoch, func() Void { return st.checkpoint(r.Checkpoint) })
	case r.Ended != nil:
		return st.inEpoch(r.Ended.Epoch, func() Void { return st.ended(r.Ended) })
	}
	return voidNoChange
}

func (st *step) inEpoch(e cfcore.Epoch, f func() Void) Void {
	if e != st.s.Epoch || st.by != st.s.Planner {
		return voidEpoch
	}
	return f()
}

// audit adds an event to the system's trail.
func (st *step) audit(what, subject, cause string) {
	st.auditBy(string(st.by), "", what, subject, cause)
}

func (st *step) auditBy(who string, plan cfcore.PlanID, what, subject, cause string) Event {
	e := Event{Offset: st.off, At: st.at, Who: who, Plan: plan, What: what, Subject: subject, Cause: cause}
	st.s.Audit = appendBounded(st.s.Audit, e, MaxAudit)
	return e
}

// note adds an event to a task's history and to the system's trail.
func (st *step) note(t *Task, what, cause string) {
	plan := cfcore.PlanID("")
	if w := st.s.Workloads[t.Workload]; w != nil {
		plan = w.Plan
	}
	e := st.auditBy(string(st.by), plan, what, string(t.ID), cause)
	t.History = appendBounded(t.History, e, MaxHistory)
}

func appendBounded(list []Event, e Event, limit int) []Event {
	list = append(list, e)
	if len(list) > limit {
		list = list[len(list)-limit:]
	}
	return list
}

// expire drops what is older than its time to live, by the records' times.
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
	for len(s.Finished) > MaxFinished {
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
