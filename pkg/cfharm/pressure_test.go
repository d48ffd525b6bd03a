package cfharm_test

import (
	"math"
	"testing"

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
		p.Observe("job", "watch", beside(load+0.2*1.5), []cfharm.Share{{Image: "heavy", Part: 0.2}})
		p.Observe("job", "watch", beside(load+0.2*0.1), []cfharm.Share{{Image: "light", Part: 0.2}})
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
		p.Observe("job", "watch", beside(load), nil)
		p.Observe("job", "watch", beside(load), []cfharm.Share{{Image: "idle", Part: 0.2}})
	}
	g.Expect(p.Effect("watch", "idle")).To(BeNumerically("<", 1))
}

func TestPressureStaysBounded(t *testing.T) {
	g := NewWithT(t)
	p := cfharm.NewPressure()
	for range 1000 {
		p.Observe("job", "watch", 3, nil)
		p.Observe("job", "watch", 0.01, []cfharm.Share{{Image: "heavy", Part: 0.05}})
	}
	g.Expect(p.Effect("watch", "heavy")).To(BeNumerically("<=", 20))
	p.ForgetJob("job")
	p.Observe("job", "watch", 0.5, nil)
	g.Expect(p.Effect("watch", "heavy")).To(BeNumerically(">", 0), "pairs outlive a job")
}

func TestLearntPressureIsRestored(t *testing.T) {
	g := NewWithT(t)
	p := cfharm.NewPressure()
	for range 100 {
		p.Observe("job", "watch", 4, nil)
		p.Observe("job", "watch", 1, []cfharm.Share{{Image: "heavy", Part: 0.2}})
		p.Observe("job", "watch", 3.9, []cfharm.Share{{Image: "light", Part: 0.2}})
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
