package cfdispatch_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"cranberryford/pkg/cfdispatch"
	"cranberryford/pkg/cfjob"
)

// takeOver replaces the planner by one of the next epoch, after a time in which nobody
// looks at the workers.
func (h *harmPlay) takeOver(after time.Duration, restore func(old, next *cfdispatch.Planner)) {
	s := settings
	s.Epoch++
	next := cfdispatch.New(s, nil, h.now)
	restore(h.Planner, next)
	h.Planner = next
	for range after / playStep {
		h.now = h.now.Add(playStep)
		for agent, runs := range h.runs {
			for k, r := range runs {
				h.advance(agent, k, r)
			}
		}
	}
	for id, steps := range h.steps {
		if _, done := h.completed[id]; done {
			continue
		}
		j := &cfjob.Job{ID: id, Queue: queue, Steps: steps, Accepted: h.now}
		h.AddJob(h.now, &cfjob.Entry{Job: j, Progress: h.progress[id]}, queue, true)
	}
	for agent := range h.workers {
		h.Recorded(agent)
	}
	h.listAll()
	for agent := range h.workers {
		h.Recorded(agent)
	}
	h.decide()
}

// takeOverInWaves plays services beside waves of fillers of two images, each of which
// disturbs one of the services, through a takeover at half time. It returns the share of
// the moments after it in which a tail was over its target.
func takeOverInWaves(t *testing.T, restore func(old, next *cfdispatch.Planner)) (h *harmPlay, over float64) {
	h = newHarmPlay(t, 4, "a/x", "b/y")
	h.submit("first", service("a", 10))
	h.submit("second", service("b", 10))
	h.play()
	for n := range 160 {
		if n%4 == 0 {
			h.submit(fmt.Sprintf("%s-%d", []string{"x", "y"}[n/4%2], n/4), filler([]string{"x", "y"}[n/4%2], 6))
		}
		h.play()
		if n == 80 {
			h.takeOver(1200*time.Millisecond, restore)
			h.over, h.looks = 0, 0
		}
		if n == 80+20 {
			over = float64(h.over) / float64(h.looks)
		}
	}
	return h, over
}

func TestTakeoverKeepsWhatWasLearnt(t *testing.T) {
	g := NewWithT(t)
	kept, over := takeOverInWaves(t, func(old, next *cfdispatch.Planner) { next.Restore(old.Learnt()) })
	_, anew := takeOverInWaves(t, func(_, _ *cfdispatch.Planner) {})
	t.Logf("over the target after the takeover: %.3f; with a planner that learns anew: %.3f", over, anew)
	g.Expect(kept.longest).To(BeNumerically("<", harmBound))
	// As without a takeover, see TestFillersGoWhereTheyDisturbNobody.
	g.Expect(over).To(BeNumerically("<", 0.125))
	g.Expect(anew).To(BeNumerically(">", over), "what was learnt makes the difference")
}

// The load: a service that fillers have brought over its target when the planner ends.
func TestHarmOverATakeoverEndsInTime(t *testing.T) {
	f := newFleet(t, newPlanner(), "a")
	serving, fill := step(1, 1000), step(2, 500)
	serving.LongRunning, serving.TailTarget, serving.Image = true, 50*time.Millisecond, "s"
	fill.Filler, fill.Image = true, "f"
	f.add("j", serving, fill)
	f.step()
	f.workers["a"].tails[0] = 90
	f.workers["a"].tails[1] = 300
	began := f.now
	s := settings
	s.Epoch++
	f.Planner = cfdispatch.New(s, nil, f.now)
	f.add("j", serving, fill)
	f.now = f.now.Add(1200 * time.Millisecond)
	halted := func() bool {
		pace, ordered := f.workers["a"].paces["j"]
		return ordered && pace == 0
	}
	for !halted() && f.now.Sub(began) < 2*harmBound {
		f.now = f.now.Add(100 * time.Millisecond)
		f.report()
		f.Recorded("a")
		f.step()
	}
	// The platform allows harm for 4 s, and the halt is seen 0.6 s after the order.
	f.Expect(f.now.Sub(began)).To(BeNumerically("<", harmBound-600*time.Millisecond))
}
