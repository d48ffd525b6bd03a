package cfdispatch_test

import (
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// A newer planner can have recorded the end of the first run over a second before.
func TestNoCopyOfARunWhoseAgentDoesNotReport(t *testing.T) {
	f := newFleet(t, newPlanner(), "a", "b")
	plain, duplicable := newStep(20, 100), newStep(1, 100)
	duplicable.Duplicable = true
	f.add("plain", plain)
	f.add("twice", duplicable)
	started := f.runPlanner()
	f.Expect(started).To(HaveLen(21))
	other := "a"
	if slices.Contains(started, "twice.0@a") {
		other = "b"
	}
	f.now = f.now.Add(300 * time.Millisecond)
	f.report()
	for range 10 {
		f.now = f.now.Add(300 * time.Millisecond)
		f.workers[other].extraPercent++
		f.report(other)
		f.ExpireLeases(f.now, f.now)
		f.Expect(f.runPlanner()).To(BeEmpty())
	}
	f.now = f.now.Add(100 * time.Millisecond)
	for _, w := range f.workers {
		w.extraPercent++
	}
	f.report()
	f.ExpireLeases(f.now, f.now)
	f.Expect(f.runPlanner()).To(ConsistOf("twice.0@" + other))
}

func TestCopyWithoutAResultIsStoppedAndNotOrderedAgain(t *testing.T) {
	f := newFleet(t, newPlanner(), "a", "b")
	plain, duplicable := newStep(20, 100), newStep(1, 100)
	duplicable.Duplicable = true
	f.add("plain", plain)
	f.add("twice", duplicable)
	f.Expect(f.runPlanner()).To(HaveLen(21))
	var copies []string
	advance := func(isListed bool) {
		f.now = f.now.Add(300 * time.Millisecond)
		for _, w := range f.workers {
			w.extraPercent++
			for k, s := range w.runs {
				if s.IsCopy && !isListed {
					delete(w.runs, k)
				}
			}
		}
		f.report()
		f.ExpireLeases(f.now, f.now)
		copies = append(copies, f.runPlanner()...)
	}
	for range 14 {
		advance(false)
	}
	f.Expect(copies).To(HaveLen(1), "the worker lists no run of the copy")
	f.Expect(slices.Concat(f.workers["a"].stops, f.workers["b"].stops)).To(ContainElement("twice"))
}

// A newer planner has possibly recorded an end that this one cannot read.
func TestNoCopyByAPlannerThatIsPossiblySuperseded(t *testing.T) {
	f := newFleet(t, newPlanner(), "a", "b")
	plain, duplicable := newStep(20, 100), newStep(1, 100)
	duplicable.Duplicable = true
	f.add("plain", plain)
	f.add("twice", duplicable)
	f.Expect(f.runPlanner()).To(HaveLen(21))
	advance := func(confirmedAge time.Duration) []string {
		f.now = f.now.Add(300 * time.Millisecond)
		for _, w := range f.workers {
			w.extraPercent++
		}
		f.report()
		f.ExpireLeases(f.now, f.now.Add(-confirmedAge))
		return f.runPlanner()
	}
	for range 10 {
		f.Expect(advance(501 * time.Millisecond)).To(BeEmpty())
	}
	f.Expect(advance(500 * time.Millisecond)).To(ConsistOf(HavePrefix("twice.0@")))
}
