package cfinterference_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"cranberryford/pkg/cfinterference"
)

// headroom returns the headroom of a server whose tail latency target is five times its
// tail latency without load. utilization includes the effect of best-effort tasks on the
// same worker.
func headroom(utilization float64) float64 { return 5 * (1 - utilization) }

func TestEffectIsLearnedPerPair(t *testing.T) {
	g := NewWithT(t)
	m := cfinterference.NewHeadroomModel()
	// Two tasks of a job run next to different best-effort tasks, under an oscillating load.
	for i := range 60 {
		load := 0.45 * (1 + 0.5*math.Sin(float64(i)/10))
		m.Observe(start, "job", "watch", headroom(load+0.2*1.5), []cfinterference.CPUShare{{Image: "heavy", Fraction: 0.2}})
		m.Observe(start, "job", "watch", headroom(load+0.2*0.1), []cfinterference.CPUShare{{Image: "light", Fraction: 0.2}})
	}
	g.Expect(m.Effect("watch", "heavy")).To(BeNumerically(">", 2*m.Effect("watch", "light")+3))
	g.Expect(m.Effect("other", "heavy")).To(Equal(m.Effect("other", "light")), "another latency-critical image has no learned effect")
}

func TestRisingLoadIsNotAttributedToNeighbours(t *testing.T) {
	g := NewWithT(t)
	m := cfinterference.NewHeadroomModel()
	// The load of both tasks rises. One of them has a best-effort neighbour without effect.
	for i := range 60 {
		load := 0.2 + 0.01*float64(i)
		m.Observe(start, "job", "watch", headroom(load), nil)
		m.Observe(start, "job", "watch", headroom(load), []cfinterference.CPUShare{{Image: "idle", Fraction: 0.2}})
	}
	g.Expect(m.Effect("watch", "idle")).To(BeNumerically("<", 1))
}

func TestEffectIsCapped(t *testing.T) {
	g := NewWithT(t)
	m := cfinterference.NewHeadroomModel()
	for range 1000 {
		m.Observe(start, "job", "watch", 3, nil)
		m.Observe(start, "job", "watch", 0.01, []cfinterference.CPUShare{{Image: "heavy", Fraction: 0.05}})
	}
	g.Expect(m.Effect("watch", "heavy")).To(BeNumerically("<=", 20))
	m.ForgetJob("job")
	m.Observe(start, "job", "watch", 0.5, nil)
	g.Expect(m.Effect("watch", "heavy")).To(BeNumerically(">", 0), "ForgetJob keeps the effects of pairs")
}

func TestLearnedEffectsAreRestored(t *testing.T) {
	g := NewWithT(t)
	m := cfinterference.NewHeadroomModel()
	for range 100 {
		m.Observe(start, "job", "watch", 4, nil)
		m.Observe(start, "job", "watch", 1, []cfinterference.CPUShare{{Image: "heavy", Fraction: 0.2}})
		m.Observe(start, "job", "watch", 3.9, []cfinterference.CPUShare{{Image: "light", Fraction: 0.2}})
	}
	restored := cfinterference.NewHeadroomModel()
	restored.Restore(m.Learned())
	for _, image := range []string{"heavy", "light", "unknown"} {
		g.Expect(restored.Effect("watch", image)).To(BeNumerically("~", m.Effect("watch", image), 0.001), image)
	}
	g.Expect(restored.Learned()).To(Equal(m.Learned()))
}

func TestRestoreSkipsOrClampsInvalidPairs(t *testing.T) {
	g := NewWithT(t)
	m := cfinterference.NewHeadroomModel()
	m.Restore(&cfinterference.LearnedEffects{Images: []string{"a", "b"}, Pairs: []cfinterference.LearnedEffect{
		{Service: 0, Filler: 7, Effect: 1000}, {Service: -1, Filler: 1, Effect: 1000}, {Service: 0, Filler: 1, Effect: -5000}, {Service: 1, Filler: 0, Effect: 1 << 40},
	}})
	g.Expect(m.Effect("a", "b")).To(BeZero())
	g.Expect(m.Effect("b", "a")).To(BeNumerically("<=", 20))
	g.Expect(m.Learned().Pairs).To(HaveLen(2))
}

// Ten of a job's twelve tasks run next to heavy best-effort tasks of unknown effect. The
// two others show that the load is low, so the loss is due to the best-effort tasks and not
// to the load.
func TestLossOfManyTasksIsNotAttributedToLoad(t *testing.T) {
	g := NewWithT(t)
	m := cfinterference.NewHeadroomModel()
	const load, effect, share = 0.3, 2.0, 0.2
	for i := range 20 {
		now := start.Add(time.Duration(i) * 300 * time.Millisecond)
		for range 2 {
			m.Observe(now, "job", "watch", headroom(load), nil)
		}
		for range 10 {
			if i < 5 {
				m.Observe(now, "job", "watch", headroom(load), nil)
				continue
			}
			m.Observe(now, "job", "watch", headroom(load+share*effect), []cfinterference.CPUShare{{Image: "heavy", Fraction: share}})
		}
	}
	// The factor is 5 because the function headroom returns 5 * (1 - utilization).
	g.Expect(m.Effect("watch", "heavy")).To(BeNumerically("~", 5*effect, 1))
	g.Expect(m.AboveRecentLow("job")).To(BeNumerically("<", 0.3), "the load is steady")
}

// The load oscillates with a period of 12 s. While the load is low, AboveRecentLow is large,
// since the headroom will fall until the next peak of the load. At the peak, it is near 0.
func TestAboveRecentLowAnticipatesTheNextPeak(t *testing.T) {
	g := NewWithT(t)
	m := cfinterference.NewHeadroomModel()
	const period, step = 12 * time.Second, 300 * time.Millisecond
	var atLow, atPeak float64
	for at := time.Duration(0); at < 2*period; at += step {
		deviation := math.Sin(2 * math.Pi * float64(at) / float64(period))
		m.Observe(start.Add(at), "job", "watch", headroom(0.45*(1+0.5*deviation)), nil)
		switch {
		case at < period:
		case deviation < -0.99:
			atLow = m.AboveRecentLow("job")
		case deviation > 0.99:
			atPeak = m.AboveRecentLow("job")
		}
	}
	peakToPeak := 5 * 0.45
	g.Expect(atLow).To(BeNumerically(">", peakToPeak/2))
	g.Expect(atPeak).To(BeNumerically("<", peakToPeak/8))
	g.Expect(m.AboveRecentLow("other")).To(BeZero())
}

// Learned data beyond the platform's limit of a record was rejected for ever. The effects that
// are left out must be those that differ least from the effect of an unknown pair.
func TestKeepStrongest(t *testing.T) {
	g := NewWithT(t)
	l := &cfinterference.LearnedEffects{
		Images: []string{"a", "b", "c", "d"},
		Pairs:  []cfinterference.LearnedEffect{{Service: 0, Filler: 1, Effect: 600}, {Service: 2, Filler: 3, Effect: 1900}, {Service: 2, Filler: 1, Effect: 100}},
	}
	l.KeepStrongest(2)
	g.Expect(l.Images).To(Equal([]string{"c", "d", "b"}))
	m := cfinterference.NewHeadroomModel()
	m.Restore(l)
	g.Expect(m.Effect("c", "d")).To(Equal(1.9))
	g.Expect(m.Effect("c", "b")).To(Equal(0.1))
	g.Expect(m.Effect("a", "b")).To(Equal(m.Effect("another", "pair")), "as an unknown pair")
}

func TestUnknownPairIsExpectedToHaveTheMeanEffect(t *testing.T) {
	g := NewWithT(t)
	m := cfinterference.NewHeadroomModel()
	g.Expect(m.Effect("watch", "plan")).To(Equal(0.5))
	l := &cfinterference.LearnedEffects{Images: []string{"watch"}}
	for i := range 9 {
		l.Images = append(l.Images, fmt.Sprintf("plan-%d", i))
		l.Pairs = append(l.Pairs, cfinterference.LearnedEffect{Service: 0, Filler: i + 1, Effect: 6000})
	}
	m.Restore(l)
	m.Restore(l)
	g.Expect(m.Effect("watch", "plan")).To(BeNumerically("~", (3*0.5+9*6)/12, 0.001))
}

// Beside four heavy tasks, a tail latency is at its maximum. It looks as if each had less effect than
// one task has alone.
func TestSaturatedTailDoesNotLowerEffects(t *testing.T) {
	g := NewWithT(t)
	m := cfinterference.NewHeadroomModel()
	const effect, share, saturated = 8.0, 0.15, 0.05
	alone := headroom(0.3)
	for range 60 {
		m.Observe(start, "job", "watch", alone, nil)
		m.Observe(start, "job", "watch", alone-share*effect, []cfinterference.CPUShare{{Image: "heavy", Fraction: share}})
	}
	for range 60 {
		m.Observe(start, "job", "watch", alone, nil)
		m.Observe(start, "job", "watch", saturated, []cfinterference.CPUShare{{Image: "heavy", Fraction: 4 * share}})
	}
	g.Expect(m.Effect("watch", "heavy")).To(BeNumerically("~", effect, 0.5))
}

// Most pairs are nearly harmless, and their records are the ones that are left out.
func TestKeepStrongestDoesNotMakeHarmlessPairsHarmful(t *testing.T) {
	g := NewWithT(t)
	l := &cfinterference.LearnedEffects{Images: []string{"watch"}}
	for i := range 100 {
		effect := 200
		if i < 50 && i%5 == 0 {
			effect = 8000
		}
		l.Images = append(l.Images, fmt.Sprintf("plan-%d", i))
		l.Pairs = append(l.Pairs, cfinterference.LearnedEffect{Service: 0, Filler: i + 1, Effect: effect})
	}
	before := cfinterference.NewHeadroomModel()
	before.Restore(l)
	l.KeepStrongest(10)
	after := cfinterference.NewHeadroomModel()
	after.Restore(l)
	g.Expect(after.Effect("watch", "unknown")).To(BeNumerically("~", before.Effect("watch", "unknown"), 0.5))
	g.Expect(after.Effect("watch", "plan-99")).To(BeNumerically("<", 1.5), "its effect was 0.2")
}
