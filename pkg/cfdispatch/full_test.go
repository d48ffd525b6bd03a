package cfdispatch_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
)

// largeFleet is a fleet of more workers than a task is rated for.
func largeFleet(t *testing.T) *fleet {
	var names []string
	for i := range 400 {
		names = append(names, fmt.Sprintf("w%03d", i))
	}
	return newFleet(t, newPlanner(), names...)
}

// The load: a large fleet without room but on one worker.
func TestOnlyRoomInALargeFleetIsFound(t *testing.T) {
	f := largeFleet(t)
	f.add("fill", step(399, 3500))
	f.Expect(f.step()).To(HaveLen(399))
	f.report()
	f.add("last", step(1, 3500))
	f.Expect(f.step()).To(HaveLen(1))
	f.add("none", step(1, 3500), step(1, 3000))
	f.Expect(f.step()).To(BeEmpty())
	f.add("small", step(1, 400))
	f.Expect(f.step()).To(HaveLen(1), "a task that needs less than those that found no room")
}

// The load: as many tasks as workers, in a fleet where not all workers are rated for each.
func TestTasksSpreadOverALargeFleet(t *testing.T) {
	f := largeFleet(t)
	f.add("j", step(400, 1000))
	f.Expect(f.step()).To(HaveLen(400))
	most := 0
	for _, w := range f.workers {
		most = max(most, len(w.runs))
	}
	f.Expect(most).To(BeNumerically("<=", 2))
}

// What found no room in one decision is looked at again in the next one.
func TestRoomThatBecomesFreeIsFound(t *testing.T) {
	f := newFleet(t, newPlanner(), "a")
	f.add("first", step(1, 3500))
	f.Expect(f.step()).To(HaveLen(1))
	f.add("second", step(1, 3500))
	f.Expect(f.step()).To(BeEmpty())
	f.end("first", "Done")
	f.Expect(f.step()).To(ConsistOf("second.0@a"), "at once, without waiting for time to pass")
}
