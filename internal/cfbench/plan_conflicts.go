package cfbench

import (
	"fmt"
	"math"
	"math/rand/v2"

	"cranberryford/pkg/cfrecord"
	"cranberryford/pkg/cfstate"
)

// The parameters of the simulated concurrent changes by operators. 23,000 changes per day are
// one change about every 3.8 s. An operator confirms a plan at most two minutes after making it.
const (
	conflictTeams   = 280
	conflictChanges = 23000
	// conflictMaxDelay is the largest number of changes between a plan and its confirmation.
	// 32 changes, one every 3.8 s, take about two minutes.
	conflictMaxDelay = 32
)

// ConflictResult is the share of confirmations that a conflict rule refuses, from 0 to 1.
type ConflictResult struct {
	Rule    string
	Refused float64
}

// conflictPlan is a simulated plan. It is confirmed directly after the plan with the index
// confirmAt is made. An index beyond the last plan means: after all plans are made.
type conflictPlan struct {
	plan      cfrecord.Plan
	confirmAt int
}

// MeasurePlanConflicts compares two conflict rules on the same plans. By the first rule, a
// plan conflicts if any of its touched keys has changed since the plan's base. The base is the
// log offset at which the plan was made. By the second rule, a plan conflicts if anything has
// changed since the base.
func MeasurePlanConflicts(seed uint64) []ConflictResult {
	r := rand.New(rand.NewPCG(seed, 7))
	plans := make([]conflictPlan, conflictChanges)
	for i := range plans {
		plans[i].plan.Touches = drawTouches(r)
		plans[i].confirmAt = i + 1 + r.IntN(conflictMaxDelay)
	}
	return []ConflictResult{
		{"touched keys", refusedShare(plans, false)},
		{"one global version", refusedShare(plans, true)},
	}
}

// drawTouches draws the keys that a plan touches: a few workloads of one team. Some
// workloads are drawn far more often than others.
func drawTouches(r *rand.Rand) []string {
	team := r.IntN(conflictTeams)
	var out []string
	for range 1 + r.IntN(3) {
		out = append(out, fmt.Sprintf("workload/team-%d-%d", team, int(10*math.Pow(r.Float64(), 2))))
	}
	return out
}

// refusedShare returns the share of confirmations that are refused. A confirmation is refused if a
// key that the plan touches has changed since the plan's base, as State.Conflict reports. With
// globalVersion, a confirmation is also refused if any other key has changed since the base.
func refusedShare(plans []conflictPlan, globalVersion bool) float64 {
	due := map[int][]int{}
	for i, p := range plans {
		due[p.confirmAt] = append(due[p.confirmAt], i)
	}
	s := cfstate.NewState()
	refused := 0
	for planNumber := range conflictChanges + conflictMaxDelay + 1 {
		if planNumber < len(plans) {
			plans[planNumber].plan.Base = s.Offset
		}
		for _, i := range due[planNumber] {
			p := &plans[i].plan
			_, _, conflicts := s.Conflict(p)
			if conflicts || (globalVersion && s.Offset > p.Base) {
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
