// Package cfadmit has an agent's last word on calls: how many execute at a target
// at the same time, which wait, which are refused, and that none executes twice.
package cfadmit

import (
	"container/heap"
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// Refusal says why a call is not let in. The empty value means that it is.
type Refusal string

// The reasons for a refusal. None of them lets the call run.
const (
	// Admitted is no refusal.
	Admitted Refusal = ""
	// RefusedFull is a target with no connection left.
	RefusedFull Refusal = "target is full"
	// RefusedLate is a call that could not end in its time.
	RefusedLate Refusal = "the wait is longer than the call's time"
	// RefusedGone is a call that nobody waits for any more.
	RefusedGone Refusal = "caller gone while waiting"
	// RefusedLeaving is a target that takes no new calls.
	RefusedLeaving Refusal = "target is leaving"
)

// timeShare is the weight of a new call in the moving averages of call times.
const timeShare = 0.1

// spreadFactor is how many mean deviations beyond the average a call may take
// before it counts as late.
const spreadFactor = 2

// Gate bounds the calls at one target. Up to slots execute at the same time, and
// up to connections are open in all; those that wait are let in by deadline.
type Gate struct {
	clock clockwork.Clock

	mu          sync.Mutex
	slots       int
	connections int
	executing   int
	queue       waitQueue
	leaving     bool
	// average and spread are the moving averages of the time of a call and of its
	// deviation from that.
	average time.Duration
	spread  time.Duration
	seq     uint64
}

// NewGate returns a gate with nothing behind it.
func NewGate(slots, connections int, clock clockwork.Clock) *Gate {
	return &Gate{slots: slots, connections: max(slots, connections), clock: clock}
}

// Resize changes the bounds.
func (g *Gate) Resize(slots, connections int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.slots, g.connections = slots, max(slots, connections)
	g.admitNext()
}

// Leave lets no new call in, or does so again. Calls that wait already still
// get their turn.
func (g *Gate) Leave(on bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.leaving = on
}

// Open returns how many calls are inside or wait.
func (g *Gate) Open() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.executing + len(g.queue)
}

// Enter waits for a slot. Where the call is let in, done must be called when it
// has ended. Where it is refused, done is nil and the call has not run.
func (g *Gate) Enter(ctx context.Context, deadline time.Time) (done func(), r Refusal) {
	w, r := g.join(deadline)
	if r != Admitted {
		return nil, r
	}
	if w == nil {
		return g.leaver(), Admitted
	}
	select {
	case <-w.decided:
	case <-ctx.Done():
		if g.abandon(w) {
			return nil, RefusedGone
		}
	}
	if w.refused {
		return nil, RefusedLate
	}
	return g.leaver(), Admitted
}

// join takes a free slot, in which case it returns no waiter, or queues the call.
func (g *Gate) join(deadline time.Time) (*waiter, Refusal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case g.leaving:
		return nil, RefusedLeaving
	case g.executing+len(g.queue) >= g.connections:
		return nil, RefusedFull
	case g.executing < g.slots:
		// A free slot costs nobody anything; its call also renews the averages.
		g.executing++
		return nil, Admitted
	case g.late(deadline, g.wait(deadline)):
		return nil, RefusedLate
	}
	g.seq++
	w := &waiter{deadline: deadline, seq: g.seq, decided: make(chan struct{})}
	heap.Push(&g.queue, w)
	return w, Admitted
}

// late reports whether a call that is let in after wait would end too late.
func (g *Gate) late(deadline time.Time, wait time.Duration) bool {
	end := g.clock.Now().Add(wait + g.average + spreadFactor*g.spread)
	return g.average > 0 && end.After(deadline)
}

// wait estimates when a call that joins now would be let in: those that wait with
// an earlier deadline go first.
func (g *Gate) wait(deadline time.Time) time.Duration {
	ahead := 1
	for _, w := range g.queue {
		if !w.deadline.After(deadline) {
			ahead++
		}
	}
	return g.average * time.Duration(ahead) / time.Duration(max(1, g.slots))
}

func (g *Gate) leaver() func() {
	start := g.clock.Now()
	return func() { g.leave(g.clock.Since(start)) }
}

func (g *Gate) leave(took time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.executing--
	if g.average == 0 {
		g.average = took
	}
	off := took - g.average
	g.average += time.Duration(timeShare * float64(off))
	g.spread += time.Duration(timeShare * float64(off.Abs()-g.spread))
	g.admitNext()
}

// admitNext lets in those that wait, and refuses those that would end too late:
// a slot that is spent on them is lost to the others.
func (g *Gate) admitNext() {
	for g.executing < g.slots && len(g.queue) > 0 {
		w := heap.Pop(&g.queue).(*waiter)
		if g.late(w.deadline, 0) {
			w.refused = true
		} else {
			g.executing++
		}
		close(w.decided)
	}
}

// abandon takes a waiter out of the queue. It reports false where the waiter was
// let in meanwhile.
func (g *Gate) abandon(w *waiter) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if w.index < 0 {
		return false
	}
	heap.Remove(&g.queue, w.index)
	return true
}

type waiter struct {
	deadline time.Time
	seq      uint64
	// decided is closed when the call is let in, or refused.
	decided chan struct{}
	refused bool
	// index is the position in the queue, or -1 outside it.
	index int
}

// waitQueue is a heap.Interface ordered by deadline, then by arrival.
type waitQueue []*waiter

func (q waitQueue) Len() int { return len(q) }

func (q waitQueue) Less(i, j int) bool {
	if !q[i].deadline.Equal(q[j].deadline) {
		return q[i].deadline.Before(q[j].deadline)
	}
	return q[i].seq < q[j].seq
}

func (q waitQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}

// Push implements heap.Interface.
func (q *waitQueue) Push(x any) {
	w := x.(*waiter)
	w.index = len(*q)
	*q = append(*q, w)
}

// Pop implements heap.Interface.
func (q *waitQueue) Pop() any {
	old := *q
	w := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	w.index = -1
	return w
}
