package cfdispatch_test

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"cranberryford/pkg/cfdispatch"
	"cranberryford/pkg/cfwire"
)

// heldOrder holds orders of a planner that reach an agent at the time at. after is the sequence
// number of the newest report that the planner had applied.
type heldOrder struct {
	p     *modelPlanner
	a     *modelAgent
	o     *cfdispatch.Orders
	after uint64
	at    time.Time
}

// sendOrders sends orders to an agent, or holds them back.
func (m *model) sendOrders(h heldOrder) {
	isHeld := m.holdsOrder(h.p, h.a, h.o)
	if !isHeld && (m.isDisconnected(h.p, h.a) || m.losesOrders(h.p, h.a)) {
		return
	}
	m.traceOrders(h.p, h.a, h.o)
	if !isHeld {
		m.checkNewStarts(&h)
		m.deliverOrders(h)
		return
	}
	h.at = m.now.Add(m.ticks(7, "held for"))
	if m.oneIn(1, "both cut") {
		// The order arrives soon after the agent has reached the planner again.
		m.disconnect(h.p, h.a)
		h.at = m.disconnectedUntil[fmt.Sprint(h.p.epoch, h.a.name)].Add(m.ticks(4, "held for"))
	}
	m.heldOrders = append(m.heldOrders, h)
}

// traceOrders sorts orders into the order in which the agent handles them, and adds them to the
// trace.
func (m *model) traceOrders(p *modelPlanner, a *modelAgent, o *cfdispatch.Orders) {
	slices.SortFunc(o.Starts, func(a, b cfwire.JobStart) int { return cmp.Or(compareTasks(a.Task, b.Task), cmp.Compare(a.Run, b.Run)) })
	slices.SortFunc(o.Stops, func(a, b cfwire.JobStop) int { return cmp.Or(compareTasks(a.Task, b.Task), cmp.Compare(a.Run, b.Run)) })
	for _, s := range o.Starts {
		m.tracef("planner %d orders the start of run %x of %s on %s", p.epoch, s.Run, taskString(s.Task), a.name)
		m.orderedAt[s.Run] = m.now
		m.checkOrdered(p, s.Task, s.Run)
	}
	for _, s := range o.Stops {
		m.tracef("planner %d orders the stop of run %x of %s on %s", p.epoch, s.Run, taskString(s.Task), a.name)
	}
}

// holdsOrder draws whether orders are held back on a connection to an agent.
func (m *model) holdsOrder(p *modelPlanner, a *modelAgent, o *cfdispatch.Orders) bool {
	if !m.scope.heldOrders || len(o.Starts)+len(o.Stops) == 0 || m.isDisconnected(p, a) && m.now.Sub(p.reachedAt[a.name]) >= redialAfter {
		return false
	}
	return m.oneIn(2, "order held back")
}

// deliverHeldOrders passes held orders to the agents that have not restarted since.
func (m *model) deliverHeldOrders() {
	remaining := m.heldOrders[:0]
	for _, h := range m.heldOrders {
		if m.now.Before(h.at) {
			remaining = append(remaining, h)
			continue
		}
		if h.a.epoch == h.p.epoch && slices.Contains(m.agents, h.a) {
			for _, s := range h.o.Starts {
				m.tracef("%s gets the late start of run %x of %s", h.a.name, s.Run, taskString(s.Task))
			}
			m.deliverOrders(h)
		}
	}
	m.heldOrders = remaining
}

// deliverOrders passes orders to an agent. It ignores starts that the planner has possibly given
// up.
func (m *model) deliverOrders(h heldOrder) {
	a, o := h.a, h.o
	if o.RecordedEnd > a.lastRecorded && o.Born.Equal(a.born) {
		a.lastRecorded = o.RecordedEnd
		if a.worker.born.Equal(o.Born) {
			m.checkStored(a.worker, o.RecordedEnd)
		}
		m.tracef("planner %d: ends of %s up to %d are recorded", h.p.epoch, a.name, o.RecordedEnd)
	}
	a.markRecorded(o.Born, o.RecordedEnd)
	for _, r := range o.RecordedFormer {
		a.markRecorded(r.Born, r.Number)
	}
	starts := o.Starts
	if h.after > 0 && h.after < a.startsAfter && len(starts) > 0 && !m.faults.executeOutdated {
		m.tracef("%s ignores %d starts of planner %d", a.name, len(starts), h.p.epoch)
		starts = nil
	}
	for _, s := range starts {
		a.startRun(s)
	}
	for _, s := range o.Stops {
		a.stopRun(s.Task, s.Run)
	}
}
