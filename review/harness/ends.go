package main

import "time"

const (
	// storeOutage is the length of the site's entry platform_down; width is near the largest width of
	// a step of the site.
	storeOutage = 4500 * time.Millisecond
	width       = 34
	// openTasks tasks are not done when the outage begins: about 540 for each worker.
	openTasks  = 2150
	maxJobs    = 400
	requesters = 6
)

func plainLabels(int) []string { return []string{"a", "r1-1"} }

// endsCase: the store is down for storeOutage just after jobs were accepted. More than 500
// tasks end on a worker meanwhile.
func endsCase(program, record string, trouble bool) (*fleet, int) {
	f := newFleet(program, record, 3, 4, plainLabels)
	f.await(15*time.Second, "completion of the first job", func() func() bool {
		id := f.submit(step{Count: 8, CPU: 200, MemMB: 64, EstimatedMS: 200})
		return func() bool { return f.anyState(id) == "completed" }
	}())
	time.Sleep(time.Second)
	var ids []string
	for open := 0; open < openTasks && len(ids) < maxJobs; {
		ids = append(ids, f.submitMany(requesters, step{Count: width, CPU: 150, MemMB: 64, EstimatedMS: 200})...)
		open = 8 + len(ids)*width - f.count(func(r *run) bool { return r.how == "done" })
	}
	f.rec("%d jobs were accepted", len(ids))
	if trouble {
		f.rec("the store answers all calls with 503")
		f.store.setMode(storeBusy)
		time.Sleep(storeOutage)
		f.store.setMode(storeUp)
		f.rec("the store answers again")
	}
	done := f.within(30*time.Second, func() bool {
		for len(ids) > 0 && f.anyState(ids[0]) == "completed" {
			f.rec("GET %s -> completed", ids[0])
			ids = ids[1:]
		}
		return len(ids) == 0
	})
	if !done {
		f.rec("%d jobs are not completed", len(ids))
	}
	time.Sleep(time.Second)
	return f, f.twice()
}
