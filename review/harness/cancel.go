package main

import (
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// The share of writes without an answer and the length are those of the site's entry
	// platform_lost; the delay is that of its variant late.
	lostShare   = 0.35
	lostTime    = 4500 * time.Millisecond
	minLate     = time.Second
	maxLate     = 6 * time.Second
	cancelBound = 3 * time.Second
	stopBound   = 400 * time.Millisecond
	// markEach: the writes of each so many-th job are lost.
	markEach = 4
)

// cancelCase: the store leaves a share of the writes unanswered and executes them late. A
// requester cancels each of its jobs, whatever the answer to its handing in was.
func cancelCase(program, record string, trouble bool) (*fleet, int) {
	f := newFleet(program, record, 3, 4, plainLabels)
	f.submit(step{Count: 8, CPU: 200, MemMB: 64, EstimatedMS: 200})
	time.Sleep(2 * time.Second)
	// marked are the keys of the records whose writes are lost. The store's mutex guards them and
	// the counts.
	marked := map[string]bool{}
	writes, lost := 0, 0
	if trouble {
		f.rec("the store leaves up to %.2f of the writes unanswered, those of some jobs, and executes them %s to %s later", lostShare, minLate, maxLate)
		f.store.mu.Lock()
		f.store.late = func(keys []string) (time.Duration, bool) {
			writes++
			for _, k := range keys {
				if marked[k] && float64(lost+1) <= lostShare*float64(writes) {
					lost++
					return minLate + rand.N(maxLate-minLate), true
				}
			}
			return 0, false
		}
		f.store.mu.Unlock()
	}
	end := time.Now().Add(lostTime)
	cancelled, unknown := map[string]time.Time{}, 0
	var mu sync.Mutex
	var wg sync.WaitGroup
	for time.Now().Before(end) {
		id, body := f.newJob([]step{{Count: 2, CPU: 100, MemMB: 64, EstimatedMS: 500, Lasts: true}}, schedule{})
		entry := f.jobs
		if entry%markEach == 0 {
			f.store.mu.Lock()
			marked["job/"+id] = true
			f.store.mu.Unlock()
		}
		wg.Go(func() {
			status, answer := f.call(entry, http.MethodPost, queuePrefix+id, body)
			f.rec("POST %s to %s -> %d %s", id, f.entries[entry%len(f.entries)].name, status, answer)
			accepted := status/100 == 2
			for attempt := range 5 {
				status, answer := f.call(entry+1+attempt, http.MethodDelete, queuePrefix+id, "")
				f.rec("DELETE %s to %s -> %d %s", id, f.entries[(entry+1+attempt)%len(f.entries)].name, status, answer)
				if status/100 == 2 || status == http.StatusGone {
					mu.Lock()
					unknown += btoi(!accepted)
					cancelled[id] = time.Now()
					mu.Unlock()
					return
				}
				time.Sleep(200 * time.Millisecond)
			}
		})
		time.Sleep(100 * time.Millisecond)
	}
	f.store.mu.Lock()
	f.store.late = nil
	f.store.mu.Unlock()
	f.rec("the store answers all writes again; of %d writes it left %d unanswered", writes, lost)
	wg.Wait()
	time.Sleep(maxLate + contact + cancelBound + stopBound + 2*time.Second)
	broken := 0
	for _, id := range sortedKeys(cancelled) {
		acked := cancelled[id]
		for _, r := range f.runs() {
			if !strings.HasPrefix(r.task, id+".") {
				continue
			}
			late := r.began.Sub(acked) > cancelBound
			runsOn := r.ended.IsZero() && time.Since(acked) > cancelBound+stopBound
			if late || runsOn {
				broken++
				f.rec("UNASKED %s: its cancelling was acknowledged at %s; run %d of it began on %s at %s and ended at %s (- is: still runs); state %s", r.task, f.at(acked), r.id, r.worker, f.at(r.began), f.at(r.ended), f.anyState(id))
			}
		}
	}
	f.rec("%d jobs were cancelled; the handing in of %d of them had got no verdict", len(cancelled), unknown)
	return f, broken
}

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}
