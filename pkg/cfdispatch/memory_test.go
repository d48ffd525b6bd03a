package cfdispatch_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"cranberryford/pkg/cfjob"
)

// memoryBound is a tenth of the memory of the smallest VM that an entry runs on, 160 MB.
const memoryBound = 16 << 20

// heapGrowth returns by how much f increases the memory in use.
func heapGrowth(f func()) int64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	f()
	runtime.GC()
	runtime.ReadMemStats(&after)
	return int64(after.HeapAlloc) - int64(before.HeapAlloc)
}

// Every planner exceeded its memory because it created all tasks of all occurrences of jobs
// when it added them, and of wide jobs as well.
func TestTasksThatHaveNotStartedNeedLittleMemory(t *testing.T) {
	const jobs = 12
	for name, c := range map[string]struct {
		schedule *cfjob.Schedule
		tasks    int
	}{
		"many occurrences":                  {schedule: &cfjob.Schedule{Count: 100_000, FirstRun: epochStart.Add(time.Hour), Period: time.Minute}, tasks: 1},
		"many occurrences that are all due": {schedule: &cfjob.Schedule{Count: 100_000, FirstRun: epochStart}, tasks: 1},
		"wide occurrences":                  {schedule: &cfjob.Schedule{Count: 10, FirstRun: epochStart}, tasks: 10_000},
		"one wide step":                     {tasks: 100_000},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, newPlanner(), "a", "b")
			stored := make([]*cfjob.StoredJob, jobs)
			for i := range stored {
				stored[i] = &cfjob.StoredJob{Job: &cfjob.Job{
					ID: fmt.Sprintf("%016x", i), Queue: queue, Steps: []cfjob.Step{newStep(c.tasks, 100)}, Schedule: c.schedule, Accepted: f.now,
				}}
			}
			growth := heapGrowth(func() {
				for _, e := range stored {
					f.AddJob(f.now, e, queue, true)
				}
				f.runPlanner()
			})
			f.Expect(growth).To(BeNumerically("<", memoryBound))
			runtime.KeepAlive(f)
		})
	}
}
