package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// configApply is config_apply_ms.
const configApply = 2 * time.Second

// silentCase: all open channels between the agents and their workers go silent for good. New ones work.
func silentCase(program, record string, trouble bool) (*fleet, int) {
	f := newFleet(program, record, 3, 4, plainLabels)
	const tasks = 112
	id := f.submit(step{Count: tasks, CPU: 400, MemMB: 256, EstimatedMS: 500, Lasts: true})
	f.await(10*time.Second, "start of all tasks", f.allRun(tasks))
	f.rec("all tasks run")
	time.Sleep(5 * time.Second)
	at := time.Now()
	if trouble {
		n := 0
		for _, p := range f.proxies {
			n += p.silence()
		}
		f.rec("the %d open channels to the workers go silent; new ones work", n)
	}
	broken := f.watchLasting(id, at, 25*time.Second)
	var back time.Time
	lapsed := 0
	for _, r := range f.runs() {
		if r.how == "lapsed" {
			lapsed++
		}
		if r.began.After(at) && r.began.After(back) {
			back = r.began
		}
	}
	f.rec("%d runs lapsed; the last start after the disruption was at %s", lapsed, f.at(back))
	return f, broken
}

// silentStoreCase: all open channels between the entries and the store go silent for good, after many
// requests at once. contact later the operator adds a route. It checks the rule CONFIG.
func silentStoreCase(program, record string, trouble bool) (*fleet, int) {
	f := newFleet(program, record, 3, 4, plainLabels)
	time.Sleep(time.Second)
	var wg sync.WaitGroup
	for i := range 300 {
		wg.Go(func() { f.call(i, http.MethodGet, queuePrefix+fmt.Sprintf("%016x", i), "") })
	}
	wg.Wait()
	if trouble {
		f.rec("the %d open channels to the store go silent; new ones work", f.storeProxy.silence())
	}
	time.Sleep(contact)
	f.configure(2, queuePrefix, "/added/")
	at := time.Now()
	broken := 0
	for time.Since(at) < 20*time.Second {
		for i := range f.entries {
			sent := time.Since(at)
			st, a := f.call(i, http.MethodGet, "/added/", "")
			if st == 404 && sent > configApply {
				broken++
			}
			if st == 404 && broken <= maxLines {
				f.rec("GET /added/ to %s, %s after -> %d %s", f.entries[i].name, sent, st, a)
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return f, broken
}
