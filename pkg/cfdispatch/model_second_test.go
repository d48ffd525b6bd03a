package cfdispatch_test

import (
	"cmp"
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"cranberryford/pkg/cfcore"
)

// fullWorkersLateAndRestarts lets full workers leave starts unanswered, and restart under their ID while no call is
// answered. A run in the next incarnation can be orphaned.
var (
	fullWorkersLateAndRestarts = modelScope{slowClocks: true, fullPhases: true, waitingHolds: true, lateStarts: true, lateStops: true, lateHolds: true, workerRestarts: true, fewTakeovers: true, rare: true}
	fullWorkersLateAndAgents   = modelScope{slowClocks: true, room: true, fullPhases: true, waitingHolds: true, lateStarts: true, lateStops: true, lateHolds: true, workerRestarts: true, agentRestarts: true, stalls: true, flaps: true}
	fullScopes                 = map[string]modelScope{"fullWorkersLateAndRestarts": fullWorkersLateAndRestarts, "fullWorkersLateAndAgents": fullWorkersLateAndAgents}
)

// modelFullPhase is what follows on a worker that is full and leaves some calls unanswered: from cutAt on, none is
// answered, and at restartAt it restarts. The next phase begins at nextAt or later.
type modelFullPhase struct{ cutAt, restartAt, nextAt time.Time }

// advanceFullPhases continues the phases in which workers are full, or begins one. It is called after the agents' calls
// for the lists, so that starts can be the first calls that get no answer.
func (m *model) advanceFullPhases() {
	if !m.scope.fullPhases {
		return
	}
	for _, w := range m.workers {
		w.continueFullPhase()
	}
	isSubmitted := int(m.now.Sub(epochStart)/modelTick)%m.submitTicks() == 1
	if !isSubmitted || !m.oneIn(1, "full phase") {
		return
	}
	// The planner prefers the worker with the fewest runs.
	w := slices.MinFunc(m.workers, func(a, b *modelWorker) int { return cmp.Compare(len(a.runs), len(b.runs)) })
	if m.now.Before(w.phase.nextAt) || !w.phase.restartAt.IsZero() {
		return
	}
	w.phase.cutAt = m.now.Add(8*modelTick + m.ticks(4, "cut"))
	w.phase.restartAt = w.phase.cutAt.Add(m.ticks(3, "restart"))
	w.maxRuns, w.fullUntil = min(w.room(), len(w.runs)), w.phase.restartAt
	m.tracef("%s has room for %d runs until %.1f", w.name, w.maxRuns, w.fullUntil.Sub(epochStart).Seconds())
	m.disturb(w, m.now.Add(m.ticks(2, "disturbed")), disturbance(m.uniform(1, "some answers")))
}

// continueFullPhase cuts the worker or lets it restart, if that is due.
func (w *modelWorker) continueFullPhase() {
	m, p := w.m, &w.phase
	if !p.cutAt.IsZero() && !m.now.Before(p.cutAt) {
		p.cutAt = time.Time{}
		until := p.restartAt.Add(3*time.Second + m.ticks(5, "cut for"))
		m.disturb(w, until, loseAllAnswers)
		if p.nextAt = until; !m.oneIn(2, "soon") {
			// The ends are acknowledged once all starts without an answer are over.
			p.nextAt = until.Add(maxOrderDelay + m.ticks(5, "calm for"))
		}
	}
	if !p.restartAt.IsZero() && !m.now.Before(p.restartAt) {
		p.restartAt = time.Time{}
		w.restart()
	}
}

// submitTicks is the time between jobs, in ticks. With full phases, jobs are many and short, so that each worker gets
// starts at any time.
func (m *model) submitTicks() int {
	if m.scope.fullPhases {
		return 4
	}
	return 10
}

// lateBy draws how late a call that gets no answer is carried out. In a phase in which the worker is full, calls from
// before the cut are often carried out right after the restart, and those after it once a run can be done.
func (a *modelAgent) lateBy() time.Duration {
	after, p := a.m.ticks(7, "late"), &a.worker.phase
	if p.restartAt.IsZero() || !a.m.oneIn(1, "after the restart") {
		return min(after, maxOrderDelay)
	}
	after = p.restartAt.Sub(a.m.now) + a.m.ticks(4, "late")
	if p.cutAt.IsZero() {
		after += shortTask * modelTick
	}
	return min(after, maxOrderDelay)
}

// renumbers reports whether a planner with the fault renumberRefused gives a start another number, since the worker refuses
// the repetition. The agent then stops it, and reports it under that number, which the planner uses for the next start.
// That one gets another number as well if it is refused.
func (a *modelAgent) renumbers(k modelOrderKey, refusal cfcore.ExecutorKind) bool {
	const step = 1 << 16
	first := modelStart{task: k.task, run: k.run &^ (0xff * step)}
	if !a.m.faults.renumberRefused || k.stop || refusal != cfcore.ExecutorNoCapacity || a.copies.starts[first].until.IsZero() {
		return false
	}
	if a.copies.renumbered == nil {
		a.copies.renumbered = map[modelStart]uint64{}
	}
	a.copies.renumbered[first] = k.run + step
	if k.run != first.run {
		return false
	}
	delete(a.inFlight, k)
	a.endCopy(k)
	return true
}

// reportedNumber returns the number under which a start is reported.
func (a *modelAgent) reportedNumber(s modelStart) uint64 { return max(s.run, a.copies.renumbered[s]) }

// disturb disturbs the calls to a worker for a while.
func (m *model) disturb(w *modelWorker, until time.Time, d disturbance) {
	*m.links[w.name] = modelLink{disturbedUntil: until, disturbance: d}
	m.tracef("%s: calls to the worker are disturbed until %.1f, %s", w.name, until.Sub(epochStart).Seconds(), disturbanceText[d])
}

func TestModelWithFullWorkersLateAndRestarts(t *testing.T) { checkModel(t, fullWorkersLateAndRestarts) }

func TestModelWithFullWorkersLateAndAgentRestarts(t *testing.T) {
	checkModel(t, fullWorkersLateAndAgents)
}

// Without this, a scope could pass because it does not play what it names.
func TestModelPlaysFullPhases(t *testing.T) {
	var trace strings.Builder
	for seed := range 30 {
		trace.WriteString(strings.Join(modelHistory(seed, fullWorkersLateAndRestarts, modelFaults{}).trace, "\n"))
	}
	for _, event := range []string{"has room for 0 runs", "has no room", "start of run .* is carried out after", "none gets an answer", "is recorded to have late starts: true"} {
		t.Run(event, func(t *testing.T) { NewWithT(t).Expect(trace.String()).To(MatchRegexp(event)) })
	}
}

// The invariant is violated far more often than a worker executes both starts.
func TestModelFindsSecondNumbersOfRefusedStarts(t *testing.T) {
	for name, isFound := range map[string]func(*model) bool{
		"the start under the first number can be executed": func(m *model) bool { return m.hasSecondStart(violationSecondStart) },
		"a worker executes both": func(m *model) bool {
			return slices.ContainsFunc(m.violations, func(v violation) bool { return v.kind == violationTwoRuns || v.kind == violationAcked })
		},
	} {
		t.Run(name, func(t *testing.T) {
			found := 0
			for seed := 1; seed <= 3000 && found == 0; seed++ {
				if isFound(modelHistory(seed, fullWorkersLateAndRestarts, modelFaults{renumberRefused: true})) && !isFound(modelHistory(seed, fullWorkersLateAndRestarts, modelFaults{})) {
					found = seed
				}
			}
			t.Logf("found with seed %d", found)
			NewWithT(t).Expect(found).NotTo(BeZero())
		})
	}
}
