package cfdispatch

import (
	"math"
	"slices"
	"time"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cfwire"
)

// formerEnds are the ends of an incarnation of a worker that is gone. They are kept until they are
// applied, and as long as the agent reports them.
type formerEnds struct {
	w    *worker
	born time.Time
	ends endedRuns
	// isReported is set if the agent's last report contained the incarnation.
	isReported bool
}

// endedRuns says which ends of an incarnation have been applied.
type endedRuns struct {
	// postponed holds the postponed ends by their Number.
	postponed map[uint64]postponedEnd
	// applied holds the numbers of applied ends that are possibly above an end that is not applied.
	applied map[uint64]bool
	// lastEnd is the Number of the last cfcore.EndedTask that was applied. recordedEnd is
	// the Number of the last one that is on record.
	lastEnd     uint64
	recordedEnd uint64
	// ackedEnd is the last recordedEnd that was sent to the agent.
	ackedEnd uint64
}

func newEndedRuns() endedRuns {
	return endedRuns{postponed: map[uint64]postponedEnd{}, applied: map[uint64]bool{}}
}

// retireEnds keeps the ends of a worker's incarnation when the worker has another one, or is removed.
func (p *Planner) retireEnds(w *worker) {
	if w.ends.lastEnd > 0 || len(w.ends.postponed) > 0 {
		p.formerEnds = append(p.formerEnds, &formerEnds{w: w, born: w.state.Born, ends: w.ends})
	}
	w.ends = newEndedRuns()
}

// findFormerEnds returns the ends of a former incarnation of an agent's worker, or nil.
func (p *Planner) findFormerEnds(agent string, born time.Time) *formerEnds {
	for _, f := range p.formerEnds {
		if f.w.agent == agent && f.born.Equal(born) {
			return f
		}
	}
	return nil
}

// applyListedEnds applies the ends in a report that an agent keeps. It must precede the decision
// that runs of the worker have ended in another way. The leases possibly expired since all of these ends.
func (p *Planner) applyListedEnds(now time.Time, w *worker, m *cfwire.JobReport) {
	for _, f := range p.formerEnds {
		f.isReported = f.isReported && f.w.agent != w.agent
	}
	for _, l := range m.ListedEnds {
		lists := &cfcore.RunLists{Born: l.Born, Ended: l.Ended, LacksEnds: l.LacksEnds}
		if l.Born.Equal(w.state.Born) {
			p.applyEnds(now, w, l.Born, &w.ends, lists, math.MaxUint64)
			continue
		}
		f := p.findFormerEnds(w.agent, l.Born)
		if f == nil {
			f = &formerEnds{w: w, born: l.Born, ends: newEndedRuns()}
			p.formerEnds = append(p.formerEnds, f)
		}
		// The agent possibly has not received earlier acknowledgements.
		f.w, f.isReported, f.ends.ackedEnd = w, true, 0
		p.applyEnds(now, w, l.Born, &f.ends, lists, math.MaxUint64)
	}
	p.formerEnds = slices.DeleteFunc(p.formerEnds, func(f *formerEnds) bool {
		return f.w.agent == w.agent && !f.isReported && len(f.ends.postponed) == 0
	})
}

// acknowledgeFormerEnds adds to the orders which ends of former incarnations are recorded. Only the agents
// have them. It drops those of removed workers that are applied.
func (p *Planner) acknowledgeFormerEnds() {
	p.formerEnds = slices.DeleteFunc(p.formerEnds, func(f *formerEnds) bool {
		return p.workers[f.w.agent] == nil && len(f.ends.postponed) == 0
	})
	for _, f := range p.formerEnds {
		if f.ends.recordedEnd > f.ends.ackedEnd {
			f.ends.ackedEnd = f.ends.recordedEnd
			o := p.ordersFor(f.w)
			o.RecordedFormer = append(o.RecordedFormer, cfwire.JobRecordedEnds{Born: f.born, Number: f.ends.recordedEnd})
		}
	}
}
