// Package cfadmit is an agent's admission control for calls. It limits how many calls
// execute at a target at the same time, queues or refuses the others, and ensures that
// no call executes twice.
package cfadmit

import (
	"container/heap"
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// Refusal is the reason why a call is not admitted. It is empty for an admitted call.
type Refusal string

// A call that is refused for one of these reasons has not run.
const (
	// Admitted means that the call is not refused.
	Admitted Refusal = ""
	// RefusedFull means that as many calls execute or wait as the target has connections.
	RefusedFull Refusal = "target is full"
	// RefusedLate means that the call would probably miss its deadline.
	RefusedLate Refusal = "the wait is longer than the call's time"
	// RefusedCallerGone means that the caller stopped waiting.
	RefusedCallerGone Refusal = "caller gone while waiting"
	// RefusedDraining means that the target is draining and takes no new calls.
	RefusedDraining Refusal = "target is leaving"
)

// timeWeight is the weight of a new call in the moving averages of call times.
const timeWeight = 0.1

// deviationFactor is a safety margin: the estimated time of a call is the average time plus
// deviationFactor mean deviations.
const deviationFactor = 2

// Gate limits the calls at one target. At most slots calls execute at the same time, and
// at most connections calls execute or wait. Waiting calls are admitted in the order of
// their deadlines.
type Gate struct {
	clock clockwork.Clock

	mu          sync.Mutex
	slots       int
	connections int
	executing   int
	queue       waitQueue
	draining    bool
	// average is the moving average of the execution time of a call. deviation is the
	// moving average of the absolute deviation from average.
	average   time.Duration
	deviation time.Duration
	// seq counts the calls that had to wait. It orders calls with equal deadlines.
	seq uint64
}

// NewGate returns a gate without calls. If connections is less than slots, the gate uses slots
// for both limits.
func NewGate(slots, connections int, clock clockwork.Clock) *Gate {
	return &Gate{slots: slots, connections: max(slots, connections), clock: clock}
}

// Resize changes the limits and admits waiting calls to slots that are now free.
func (g *Gate) Resize(slots, connections int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.slots, g.connections = slots, max(slots, connections)
	g.admitNext()
}

// SetDraining sets whether the target is draining. A draining target refuses new calls, but
// still executes the calls that already wait.
func (g *Gate) SetDraining(on bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.draining = on
}

// InFlight returns the number of calls that execute or wait.
func (g *Gate) InFlight() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.executing + len(g.queue)
}

// Enter waits for a slot for a call with the given deadline, at most until ctx is done. If
// the call is admitted, done must be called after the call has ended. If the call is refused,
// done is nil and the call must not run.
func (g *Gate) Enter(ctx context.Context, deadline time.Time) (done func(), r Refusal) {
	w, r := g.join(deadline)
	if r != Admitted {
		return nil, r
	}
	if w == nil {
		return g.doneFunc(), Admitted
	}
	select {
	case <-w.decided:
	case <-ctx.Done():
		if g.abandon(w) {
			return nil, RefusedCallerGone
		}
	}
	if w.refused {
		return nil, RefusedLate
	}
	return g.doneFunc(), Admitted
}

// join admits a call to a free slot, queues it or refuses it. The waiter is nil unless the
// call is queued.
func (g *Gate) join(deadline time.Time) (*waiter, Refusal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case g.draining:
		return nil, RefusedDraining
	case g.executing+len(g.queue) >= g.connections:
		return nil, RefusedFull
	case g.executing < g.slots:
		// While a slot is free, no call is refused as late. A call in a free slot delays no
		// other call, and its execution time keeps the averages up to date.
		g.executing++
		return nil, Admitted
	case g.late(deadline, g.estimateWait(deadline)):
		return nil, RefusedLate
	}
	g.seq++
	w := &waiter{deadline: deadline, seq: g.seq, decided: make(chan struct{})}
	heap.Push(&g.queue, w)
	return w, Admitted
}

// late estimates from the averages whether a call would miss its deadline if it were admitted
// after wait. It reports false until a first call has ended.
func (g *Gate) late(deadline time.Time, wait time.Duration) bool {
	end := g.clock.Now().Add(wait + g.average + deviationFactor*g.deviation)
	return g.average > 0 && end.After(deadline)
}

// estimateWait estimates how long a new call with the given deadline would wait for a slot.
// All slots are taken. The new call gets a slot after the waiting calls with an earlier or
// equal deadline. If n such calls wait, n+1 slots must become free. On average, a slot becomes
// free once in every average/slots.
func (g *Gate) estimateWait(deadline time.Time) time.Duration {
	ahead := 1
	for _, w := range g.queue {
		if !w.deadline.After(deadline) {
			ahead++
		}
	}
	return g.average * time.Duration(ahead) / time.Duration(max(1, g.slots))
}

// doneFunc starts to measure an admitted call's execution time. It returns the function to call
// after the call has ended.
func (g *Gate) doneFunc() func() {
	start := g.clock.Now()
	return func() { g.releaseSlot(g.clock.Since(start)) }
}

// releaseSlot frees a call's slot and updates the averages with the call's execution time.
func (g *Gate) releaseSlot(took time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.executing--
	if g.average == 0 {
		g.average = took
	}
	deviation := took - g.average
	g.average += time.Duration(timeWeight * float64(deviation))
	g.deviation += time.Duration(timeWeight * float64(deviation.Abs()-g.deviation))
	g.admitNext()
}

// admitNext admits waiting calls to free slots. It refuses a waiting call that would probably
// miss its deadline, so that another call gets the slot. g.mu must be held.
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

// abandon removes a waiter from the queue. It reports false if the waiter was already
// admitted or refused.
func (g *Gate) abandon(w *waiter) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if w.index < 0 {
		return false
	}
	heap.Remove(&g.queue, w.index)
	return true
}

// waiter is a call in the queue.
type waiter struct {
	deadline time.Time
	seq      uint64
	// decided is closed when the call is admitted or refused.
	decided chan struct{}
	// refused must be read only after decided is closed.
	refused bool
	// index is the position in the queue, or -1 for a waiter that left the queue.
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
