package cfharm_test

import (
	"math"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"cranberryford/pkg/cfharm"
)

// beside returns the headroom of a server with a target of five times its tail at no
// load, at a utilization of its own and of fillers beside it.
func beside(utilization float64) float64 { return 5 * (1 - utilization) }

func TestPressureIsLearntByPair(t *testing.T) {
	g := NewWithT(t)
	p := cfharm.NewPressure()
	// Two tasks of a job, on workers with another filler each, under a load that swings.
	for i := range 60 {
		load := 0.45 * (1 + 0.5*math.Sin(float64(i)/10))
		p.Observe(start, "job", "watch", beside(load+0.2*1.5), []cfharm.Share{{Image: "heavy", Part: 0.2}})
		p.Observe(start, "job", "watch", beside(load+0.2*0.1), []cfharm.Share{{Image: "light", Part: 0.2}})
	}
	g.Expect(p.Effect("watch", "heavy")).To(BeNumerically(">", 2*p.Effect("watch", "light")+3))
	g.Expect(p.Effect("other", "heavy")).To(Equal(p.Effect("other", "light")), "nothing is known of another image")
}

func TestPressureFollowsLoadWithoutBlamingFillers(t *testing.T) {
	g := NewWithT(t)
	p := cfharm.NewPressure()
	// The load of both tasks rises; a filler is beside one of them and takes nothing.
	for i := range 60 {
		load := 0.2 + 0.01*float64(i)
		p.Observe(start, "job", "watch", beside(load), nil)
		p.Observe(start, "job", "watch", beside(load), []cfharm.Share{{Image: "idle", Part: 0.2}})
	}
	g.Expect(p.Effect("watch", "idle")).To(BeNumerically("<", 1))
}

func TestPressureStaysBounded(t *testing.T) {
	g := NewWithT(t)
	p := cfharm.NewPressure()
	for range 1000 {
		p.Observe(start, "job", "watch", 3, nil)
		p.Observe(start, "job", "watch", 0.01, []cfharm.Share{{Image: "heavy", Part: 0.05}})
	}
	g.Expect(p.Effect("watch", "heavy")).To(BeNumerically("<=", 20))
	p.ForgetJob("job")
	p.Observe(start, "job", "watch", 0.5, nil)
	g.Expect(p.Effect("watch", "heavy")).To(BeNumerically(">", 0), "pairs outlive a job")
}

func TestLearntPressureIsRestored(t *testing.T) {
	g := NewWithT(t)
	p := cfharm.NewPressure()
	for range 100 {
		p.Observe(start, "job", "watch", 4, nil)
		p.Observe(start, "job", "watch", 1, []cfharm.Share{{Image: "heavy", Part: 0.2}})
		p.Observe(start, "job", "watch", 3.9, []cfharm.Share{{Image: "light", Part: 0.2}})
	}
	q := cfharm.NewPressure()
	q.Restore(p.Learnt())
	for _, filler := range []string{"heavy", "light", "unknown"} {
		g.Expect(q.Effect("watch", filler)).To(BeNumerically("~", p.Effect("watch", filler), 0.001), filler)
	}
	g.Expect(q.Learnt()).To(Equal(p.Learnt()))
}

func TestLearntPressureThatMakesNoSenseIsLeftOut(t *testing.T) {
	g := NewWithT(t)
	p := cfharm.NewPressure()
	p.Restore(&cfharm.Learnt{Images: []string{"a", "b"}, Pairs: []cfharm.LearntPair{
		{Service: 0, Filler: 7, Effect: 1000}, {Service: -1, Filler: 1, Effect: 1000}, {Service: 0, Filler: 1, Effect: -5000}, {Service: 1, Filler: 0, Effect: 1 << 40},
	}})
	g.Expect(p.Effect("a", "b")).To(BeZero())
	g.Expect(p.Effect("b", "a")).To(BeNumerically("<=", 20))
	g.Expect(p.Learnt().Pairs).To(HaveLen(2))
}

// Ten of a job's twelve tasks are beside a heavy filler whose effect is not known yet. The
// two others show that the load is low, so that the filler is to blame and not the load.
func TestManyPressedTasksDoNotPassForALoad(t *testing.T) {
	g := NewWithT(t)
	p := cfharm.NewPressure()
	const load, effect, part = 0.3, 2.0, 0.2
	for i := range 20 {
		now := start.Add(time.Duration(i) * 300 * time.Millisecond)
		for range 2 {
			p.Observe(now, "job", "watch", beside(load), nil)
		}
		for range 10 {
			if i < 5 {
				p.Observe(now, "job", "watch", beside(load), nil)
				continue
			}
			p.Observe(now, "job", "watch", beside(load+part*effect), []cfharm.Share{{Image: "heavy", Part: part}})
		}
	}
	// Headroom is five times the utilization that is left.
	g.Expect(p.Effect("watch", "heavy")).To(BeNumerically("~", 5*effect, 1))
	g.Expect(p.Swing("job")).To(BeNumerically("<", 0.3), "the load is steady")
}

// The load swings with a period of 12 s. At its low the next high is foreseen, and at its
// high there is nothing to foresee.
func TestTheNextHighOfALoadIsForeseen(t *testing.T) {
	g := NewWithT(t)
	p := cfharm.NewPressure()
	const period, step = 12 * time.Second, 300 * time.Millisecond
	var calm, busy float64
	for at := time.Duration(0); at < 2*period; at += step {
		swing := math.Sin(2 * math.Pi * float64(at) / float64(period))
		p.Observe(start.Add(at), "job", "watch", beside(0.45*(1+0.5*swing)), nil)
		switch {
		case at < period:
		case swing < -0.99:
			calm = p.Swing("job")
		case swing > 0.99:
			busy = p.Swing("job")
		}
	}
	whole := 5 * 0.45
	g.Expect(calm).To(BeNumerically(">", whole/2))
	g.Expect(busy).To(BeNumerically("<", whole/8))
	g.Expect(p.Swing("other")).To(BeZero())
}
