package cfjob_test

import (
	"math/rand/v2"
	"testing"

	. "github.com/onsi/gomega"

	"cranberryford/pkg/cfjob"
)

// A planner that takes over must know each done task, whatever the order in which they ended,
// and also beyond the size up to which a bitmap starts at position 0.
func TestPositionsAreRestored(t *testing.T) {
	for name, c := range map[string]struct{ n, done int }{
		"none": {n: 100}, "some": {n: 1000, done: 500}, "all": {n: 1001, done: 1001}, "many": {n: 300_000, done: 299_000},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			var s cfjob.Positions
			want := map[int]bool{}
			for _, p := range rand.New(rand.NewPCG(1, 1)).Perm(c.n)[:c.done] {
				s.Add(p)
				want[p] = true
			}
			var pr cfjob.Progress
			pr.SetDonePositions(&s)
			restored := pr.DonePositions()
			for p := range c.n + 10 {
				g.Expect(s.Has(p)).To(Equal(want[p]), "position %d", p)
				g.Expect(restored.Has(p)).To(Equal(want[p]), "restored position %d", p)
			}
		})
	}
}

// The memory for a job that runs for years must not grow with the tasks that are done.
func TestDonePositionsNeedNoMemory(t *testing.T) {
	g := NewWithT(t)
	var s cfjob.Positions
	for p := range 10_000_000 {
		s.Add(p)
	}
	below, bits := s.Bitmap()
	g.Expect(below).To(Equal(10_000_000))
	g.Expect(bits).To(BeEmpty())
}

// Earlier builds read bitmaps that start at position 0.
func TestSmallBitmapStartsAtZero(t *testing.T) {
	g := NewWithT(t)
	var s cfjob.Positions
	for p := range 20 {
		s.Add(p)
	}
	below, bits := s.Bitmap()
	g.Expect(below).To(BeZero())
	g.Expect(bits).To(Equal([]byte{0xff, 0xff, 0x0f}))
}
