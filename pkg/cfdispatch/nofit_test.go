package cfdispatch_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
)

// largeFleet returns a fleet with more workers than are scored for one task.
func largeFleet(t *testing.T) *fleet {
	var names []string
	for i := range 400 {
		names = append(names, fmt.Sprintf("w%03d", i))
	}
	return newFleet(t, newPlanner(), names...)
}

// All workers of a large fleet but one are full.
func TestOnlyFreeWorkerInALargeFleetIsFound(t *testing.T) {
	f := largeFleet(t)
	f.add("fill", newStep(399, 3500))
	f.Expect(f.runPlanner()).To(HaveLen(399))
	f.report()
	f.add("last", newStep(1, 3500))
	f.Expect(f.runPlanner()).To(HaveLen(1))
	f.add("none", newStep(1, 3500), newStep(1, 3000))
	f.Expect(f.runPlanner()).To(BeEmpty())
	f.add("small", newStep(1, 400))
	f.Expect(f.runPlanner()).To(HaveLen(1), "a task that needs less than those that fit nowhere")
}

// There are as many tasks as workers, but not all workers are scored for each task.
func TestTasksSpreadOverALargeFleet(t *testing.T) {
	f := largeFleet(t)
	f.add("j", newStep(400, 1000))
	f.Expect(f.runPlanner()).To(HaveLen(400))
	most := 0
	for _, w := range f.workers {
		most = max(most, len(w.runs))
	}
	f.Expect(most).To(BeNumerically("<=", 2))
}

// A task that fits on no worker in one planning pass is tried again in the next one.
func TestFreedCapacityIsUsedAtOnce(t *testing.T) {
	f := newFleet(t, newPlanner(), "a")
	f.add("first", newStep(1, 3500))
	f.Expect(f.runPlanner()).To(HaveLen(1))
	f.add("second", newStep(1, 3500))
	f.Expect(f.runPlanner()).To(BeEmpty())
	f.endRuns("first", "Done")
	f.Expect(f.runPlanner()).To(ConsistOf("second.0@a"), "without any time passing")
}
