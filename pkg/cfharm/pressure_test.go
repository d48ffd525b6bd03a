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
