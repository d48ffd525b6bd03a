package main

import (
	"math/rand/v2"
	"time"
)

// Figures of the site's and the kinds' entries applied_late, srv_crash and node_kill.
const (
	lateOrderShare = 0.5
	lateOrderTime  = 5500 * time.Millisecond
	minOrderDelay  = 2 * time.Second
	maxOrderDelay  = 12 * time.Second
	workerDown     = time.Second
	machineDown    = 3500 * time.Millisecond
	// settleTime is the time before the crash in which no job comes, so that tasks which are done are
	// taken note of.
	settleTime = 2 * time.Second
)

// orphanCase: a worker leaves half of its orders to start a run unanswered and executes them late. It crashes and
// starts again under its ID while its machine's process of the system is down.
func orphanCase(program, record string, trouble bool) (*fleet, int) {
	f := newFleet(program, record, 3, 4, plainLabels)
	time.Sleep(time.Second)
	w := f.workers[0]
	if trouble {
		w.mu.Lock()
		w.mute = func(path string) (time.Duration, bool) {
			return minOrderDelay + rand.N(maxOrderDelay-minOrderDelay), path == "/run-start" && rand.Float64() < lateOrderShare
		}
		w.mu.Unlock()
		f.rec("worker %s leaves %.1f of the orders to start a run unanswered and executes them %s to %s later", w.id, lateOrderShare, minOrderDelay, maxOrderDelay)
	}
	var ids []string
	end := time.Now().Add(lateOrderTime)
	for time.Until(end) > settleTime {
		ids = append(ids, f.submit(step{Count: 400, CPU: 100, MemMB: 64, EstimatedMS: 200}))
		time.Sleep(900 * time.Millisecond)
	}
	time.Sleep(time.Until(end))
	if trouble {
		w.mu.Lock()
		w.mute = nil
		w.mu.Unlock()
		f.rec("worker %s answers its orders again", w.id)
		f.kill(f.agents[0])
		w.crash()
		f.rec("worker %s crashes", w.id)
		time.Sleep(workerDown)
		w.mu.Lock()
		w.begin(time.Now())
		w.mu.Unlock()
		go w.beat(f.ctx)
		f.rec("worker %s starts again under its ID", w.id)
		time.Sleep(machineDown - workerDown)
		f.launch(f.agents[0])
	}
	f.within(40*time.Second, func() bool {
		for len(ids) > 0 && f.anyState(ids[0]) == "completed" {
			f.rec("GET %s -> completed", ids[0])
			ids = ids[1:]
		}
		return len(ids) == 0
	})
	f.rec("%d jobs are not completed", len(ids))
	time.Sleep(maxOrderDelay - minOrderDelay)
	return f, f.twice()
}
