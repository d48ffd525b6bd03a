package main

import (
	"time"
)

// lossCase: the entry that is the planner and a machine with a worker are lost for good at once.
func lossCase(program, record string, trouble bool) (*fleet, int) {
	f := newFleet(program, record, 3, 4, plainLabels)
	const tasks = 16
	id := f.submit(step{Count: tasks, CPU: 1000, MemMB: 256, EstimatedMS: 500, Lasts: true})
	f.await(10*time.Second, "start of all tasks", f.allRun(tasks))
	f.rec("all tasks run")
	time.Sleep(3 * time.Second)
	at := time.Now()
	if trouble {
		p := f.planner()
		if p == nil {
			f.unable("no planner")
		}
		busiest := 0
		for i, w := range f.workers {
			if len(w.runs()) > len(f.workers[busiest].runs()) {
				busiest = i
			}
		}
		f.kill(p)
		f.workers[busiest].crash()
		f.kill(f.agents[busiest])
		f.rec("worker %s and its machine are gone", f.workers[busiest].id)
	}
	return f, f.watchLasting(id, at, 25*time.Second)
}
