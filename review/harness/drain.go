package main

import (
	"math/rand/v2"
	"strings"
	"time"
)

// drainCase: workers announce that they leave while jobs whose tasks last are handed in. They go on
// for many seconds before they leave.
func drainCase(program, record string, trouble bool) (*fleet, int) {
	f := newFleet(program, record, 3, 8, plainLabels)
	time.Sleep(2 * time.Second)
	f.rec("jobs come")
	if trouble {
		for _, w := range f.workers[:4] {
			time.AfterFunc(300*time.Millisecond+rand.N(600*time.Millisecond), func() {
				f.rec("worker %s announces that it leaves", w.id)
				w.drain(f.ctx)
			})
		}
	}
	var ids []string
	for end := time.Now().Add(1200 * time.Millisecond); time.Now().Before(end); {
		ids = append(ids, f.submitMany(6, step{Count: 1, CPU: 40, MemMB: 16, EstimatedMS: 500, Lasts: true})...)
	}
	at := time.Now()
	f.rec("%d jobs accepted", len(ids))
	time.Sleep(10 * time.Second)
	broken := 0
	up := map[string]bool{}
	for _, r := range f.runs() {
		if r.ended.IsZero() {
			up[strings.SplitN(r.task, ".", 2)[0]] = true
		}
	}
	for _, id := range ids {
		if !up[id] {
			if broken++; broken <= maxLines {
				f.rec("LOST %s: accepted before %s, nothing of it runs at %s; state %s", id, f.at(at), f.at(time.Now()), f.anyState(id))
			}
		}
	}
	return f, broken
}
