package main

import "time"

const (
	lastingFor = 100 * time.Second
	// A run of a task that lasts fails by itself after minFailure to maxFailure.
	minFailure = 15 * time.Second
	maxFailure = 45 * time.Second
)

// lastingCase: one worker has the label that some jobs need, whose tasks last. Each run of a task
// fails by itself at some time. No other disruption comes.
func lastingCase(program, record string, trouble bool) (*fleet, int) {
	labels := func(i int) []string {
		if i == 3 {
			return []string{"b", "r1-2"}
		}
		return []string{"a", "r1-1"}
	}
	f := newFleet(program, record, 3, 4, labels)
	if trouble {
		for _, w := range f.workers {
			w.fails = true
		}
		f.rec("each run of a task that lasts fails by itself after %s to %s", minFailure, maxFailure)
	}
	const jobs = 6
	var ids []string
	for range jobs {
		ids = append(ids, f.submit(step{Count: 1, CPU: 1000, MemMB: 256, EstimatedMS: 500, Lasts: true, Needs: "b"}))
	}
	f.await(10*time.Second, "start of all tasks", f.allRun(jobs))
	f.rec("all tasks run")
	// broken holds the end of the last run of each task that broke the rule.
	broken := map[string]time.Time{}
	n := 0
	for end := time.Now().Add(lastingFor); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for _, id := range ids {
			for task, r := range f.idleTasks(id) {
				idle := time.Since(r.ended)
				if idle < afterLast+idleLimit || broken[task].Equal(r.ended) {
					continue
				}
				broken[task] = r.ended
				n++
				f.rec("LOST %s: its last run ended %q at %s on %s; nothing of it has run for %.1f s since; the workers use %d of %d millicores", task, r.how, f.at(r.ended), r.worker, idle.Seconds(), f.usedCPU(), len(f.workers)*16000)
			}
		}
	}
	return f, n
}
