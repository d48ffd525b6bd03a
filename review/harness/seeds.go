package main

import (
	"strings"
	"time"
)

// seedLag is seed_lag_s.
const seedLag = 3 * time.Second

// seedsCase: the seeds of one agent are stale when it starts. Its settings file gets the present
// ones seedLag later, without a signal.
func seedsCase(program, record string, trouble bool) (*fleet, int) {
	labels := func(i int) []string {
		if i == 3 {
			return []string{"b", "r1-2"}
		}
		return []string{"a", "r1-1"}
	}
	var stale []int
	if trouble {
		stale = append(stale, 3)
	}
	f := newFleet(program, record, 3, 4, labels, stale...)
	if trouble {
		f.rec("the settings of %s name only addresses at which no machine is", f.agents[3].name)
		time.Sleep(seedLag)
		f.settings(f.agents[3], f.agents[3].set)
		f.rec("the settings file of %s has changed and names all three entries", f.agents[3].name)
	}
	time.Sleep(time.Second)
	id := f.submit(step{Count: 4, CPU: 500, MemMB: 64, EstimatedMS: 500, Needs: "b"})
	watch := f.submit(step{Count: 2, CPU: 500, MemMB: 64, EstimatedMS: 500, Lasts: true, Needs: "b"})
	trafficEnd := time.Now()
	f.rec("end of the traffic")
	time.Sleep(time.Until(trafficEnd.Add(finish)))
	idleSince := time.Now()
	begun := f.within(46*time.Second, func() bool {
		return f.count(func(r *run) bool { return strings.HasPrefix(r.task, id+".") }) > 0 && f.count(func(r *run) bool { return strings.HasPrefix(r.task, watch+".") }) > 0
	})
	broken := 0
	for _, j := range []string{id, watch} {
		f.rec("GET %s -> %s", j, f.anyState(j))
		if n := f.count(func(r *run) bool { return strings.HasPrefix(r.task, j+".") }); n == 0 && !begun {
			broken++
			f.rec("LOST %s: nothing of it ran from %s (%s after the end of the traffic) to now; worker %s, which has the label, is up, checks in and is empty; the workers use %d of %d millicores", j, f.at(idleSince), finish, f.workers[3].id, f.usedCPU(), len(f.workers)*16000)
		}
	}
	return f, broken
}
