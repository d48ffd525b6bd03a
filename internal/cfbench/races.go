package cfbench

import (
	"fmt"
	"math"
	"math/rand/v2"

	"cranberryford/pkg/cfrecord"
	"cranberryford/pkg/cfstate"
)

// The recorded race of operators: 23,000 changes a day are one in 3.8 s, and an
// operator takes up to two minutes from a plan to its confirmation.
const (
	raceTeams   = 280
	raceChanges = 23000
	// raceOpen is the largest number of changes between a plan and its confirmation.
	raceOpen = 32
)

// RaceResult is the share of confirmations that a rule for conflicts refuses.
type RaceResult struct {
	Rule    string
	Refused float64
}

// racePlan is a plan of the recorded race.
type racePlan struct {
	plan    cfrecord.Plan
	confirm int
}

// Races compares two rules on the same recorded race: a plan is overtaken where
// something that it touches changed after its base, or where anything did.
func Races(seed uint64) []RaceResult {
	r := rand.New(rand.NewPCG(seed, 7))
	plans := make([]racePlan, raceChanges)
	for i := range plans {
		plans[i].plan.Touches = raceTouches(r)
		plans[i].confirm = i + 1 + r.IntN(raceOpen)
	}
	return []RaceResult{
		{"touched sets", raceShare(plans, false)},
		{"one global version", raceShare(plans, true)},
	}
}

// raceTouches draws what one plan touches: a few workloads of one team, of which
// some change far more often than others.
func raceTouches(r *rand.Rand) []string {
	team := r.IntN(raceTeams)
	var out []string
	for range 1 + r.IntN(3) {
		out = append(out, fmt.Sprintf("workload/team-%d-%d", team, int(10*math.Pow(r.Float64(), 2))))
	}
	return out
}

// raceShare plays the race with the fold's own rule, or with one version for all.
func raceShare(plans []racePlan, global bool) float64 {
	due := map[int][]int{}
	for i, p := range plans {
		due[p.confirm] = append(due[p.confirm], i)
	}
	s := cfstate.NewState()
	refused := 0
	for at := range raceChanges + raceOpen + 1 {
		if at < len(plans) {
			plans[at].plan.Base = s.Offset
		}
		for _, i := range due[at] {
			p := &plans[i].plan
			_, _, overtaken := s.Conflict(p)
			if overtaken || (global && s.Offset > p.Base) {
				refused++
				continue
			}
			s.Offset++
			for _, key := range p.Touches {
				s.Touched[key] = s.Offset
			}
		}
	}
	return float64(refused) / float64(len(plans))
}
