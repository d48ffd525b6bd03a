package main

import (
	"strings"
	"time"
)

// powerLoss is the length of the site's entry herd_kill.
const powerLoss = 9500 * time.Millisecond

// sizeCase: all entries lose power for powerLoss while a wide job with checkpoints runs. Its
// leases lapse, and its tasks resume from their checkpoints afterwards.
func sizeCase(program, record string, trouble bool) (*fleet, int) {
	f := newFleet(program, record, 3, 4, plainLabels)
	const tasks = 8000
	wide := f.submit(
		step{Count: tasks, CPU: 7, MemMB: 8, EstimatedMS: 20000, Saves: true},
		step{Count: 4, CPU: 1000, MemMB: 64, EstimatedMS: 500, After: []int{0}})
	begun := func(r *run) bool { return strings.HasPrefix(r.task, wide+".0.0.") }
	f.await(20*time.Second, "start of all tasks", func() bool { return f.count(begun) >= tasks })
	f.rec("all %d tasks of the first step run", tasks)
	time.Sleep(3 * time.Second)
	if trouble {
		for _, p := range f.entries {
			f.kill(p)
		}
		time.Sleep(powerLoss)
		for _, p := range f.entries {
			f.launch(p)
		}
		for _, p := range f.entries {
			f.await(20*time.Second, "readiness of "+p.name, func() bool { return f.status(p.ready, "/readiness") == 200 })
		}
	}
	time.Sleep(5 * time.Second)
	small := f.submit(
		step{Count: 4, CPU: 1000, MemMB: 64, EstimatedMS: 500},
		step{Count: 4, CPU: 1000, MemMB: 64, EstimatedMS: 500, After: []int{0}})
	trafficEnd := time.Now()
	f.rec("end of the traffic")
	broken := f.watchIdle(trafficEnd, 62*time.Second, map[string]int{wide: tasks, small: 4})
	for _, id := range []string{wide, small} {
		f.rec("GET %s -> %s", id, f.anyState(id))
	}
	return f, broken
}

// watchIdle checks the rule LOST for jobs with two steps of which only the first one is given with
// its number of tasks: from finish after the end of the traffic on, a job must not have nothing
// running for idleLimit while the turn of its second step has come. The fleet has free capacity
// for it many times over. It returns the number of jobs that broke the rule.
func (f *fleet) watchIdle(trafficEnd time.Time, d time.Duration, first map[string]int) int {
	idleSince, broken := map[string]time.Time{}, map[string]bool{}
	var brokenAt time.Time
	for time.Since(trafficEnd) < d {
		time.Sleep(200 * time.Millisecond)
		ended := 0
		for id, count := range first {
			if f.anyState(id) == "completed" {
				ended++
			}
			now := time.Now()
			running := f.count(func(r *run) bool { return strings.HasPrefix(r.task, id+".") && r.ended.IsZero() })
			second := f.count(func(r *run) bool { return strings.HasPrefix(r.task, id+".0.1.") })
			doneAt, done := f.stepDone(id, "0", count)
			if running > 0 || second > 0 || !done || time.Since(trafficEnd) < finish {
				idleSince[id] = time.Time{}
				continue
			}
			if idleSince[id].IsZero() {
				idleSince[id] = now
			}
			if now.Sub(idleSince[id]) >= idleLimit && !broken[id] {
				broken[id], brokenAt = true, now
				f.rec("LOST %s: all %d tasks of its first step had ended done by %s; nothing of it has run since %s, and its second step has not begun; state %s; the workers use %d of %d millicores", id, count, f.at(doneAt), f.at(idleSince[id]), f.anyState(id), f.usedCPU(), len(f.workers)*16000)
			}
		}
		if ended == len(first) || len(broken) == len(first) || len(broken) > 0 && time.Since(brokenAt) > 10*time.Second {
			break
		}
	}
	return len(broken)
}
