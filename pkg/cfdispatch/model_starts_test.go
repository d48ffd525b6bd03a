package cfdispatch_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cfwire"
)

// The invariant behind the rule that no task runs twice: a task has at most one run number on one worker whose
// start runs or can still be executed. All others are proved over. Two starts violate it also in histories in which
// no worker executes both.
const (
	violationSecondStart = "second start while an earlier one can be executed"
	// violationStartOfEnded is a start that can still be executed although an end of its task counts, see modelEnd.
	violationStartOfEnded = "start that can be executed after an acknowledged end"
)

// startSource is where a start is that runs or can still be executed.
type startSource string

const (
	sourceRuns startSource = "runs"
	// sourceNew is a start that reaches the agent now.
	sourceNew startSource = "is ordered"
	// sourceLate is an attempt without an answer that the worker carries out late.
	sourceLate startSource = "late"
	// sourceRepeated is an attempt without an answer that the agent can repeat.
	sourceRepeated startSource = "can be repeated"
	// sourceWaits is a start that the agent has not sent yet.
	sourceWaits startSource = "waits at the agent"
	// sourceHeld is an order on a connection to the agent, sourcePaused one that a planner has yet to send.
	sourceHeld   startSource = "on a connection"
	sourcePaused startSource = "at a paused planner"
)

// openStart is a start that runs or can still be executed. isNext is set if only a later incarnation of the worker
// under the same ID can execute it.
type openStart struct {
	task   cfcore.TaskName
	run    uint64
	w      *modelWorker
	source startSource
	isNext bool
}

func (s *openStart) String() string {
	return fmt.Sprintf("run %x on %s (%s)", s.run, s.w.name, s.describe())
}

func (s *openStart) describe() string {
	if s.isNext {
		return string(s.source) + ", next incarnation"
	}
	return string(s.source)
}

// epoch returns the epoch of the planner that numbered the run.
func (s *openStart) epoch() uint64 { return s.run >> runNumberBits }

// runNumberBits is the number of low bits of a run number that count the runs of an epoch.
const runNumberBits = 24

// isSame reports whether two starts have the same number on the same worker, which executes one of them only.
func (s *openStart) isSame(other *openStart) bool { return s.run == other.run && s.w == other.w }

// modelStarts is what the check of open starts has found.
type modelStarts struct {
	// open holds the starts that can still be executed. It is kept to be used again.
	open         []openStart
	secondStarts []secondStart
	seenStarts   map[string]bool
}

// secondStart is a violation together with a short text that is the same for like ones.
type secondStart struct {
	violation
	cause string
}

// checkOpenStarts checks the invariant. It reports each task once for each kind of violation.
func (m *model) checkOpenStarts() {
	m.findOpenStarts()
	m.checkOpenFrom(0)
}

// checkNewStarts checks the starts in orders that reach an agent now. The worker possibly refuses them at once.
func (m *model) checkNewStarts(h *heldOrder) {
	if len(h.o.Starts) == 0 || h.isOutdated() {
		return
	}
	m.findOpenStarts()
	first := len(m.open)
	m.addAgentStarts(h.a, h.o.Starts, sourceNew)
	m.checkOpenFrom(first)
}

// findOpenStarts finds the starts that can still be executed.
func (m *model) findOpenStarts() {
	m.open = m.open[:0]
	m.addLateStarts()
	for _, a := range m.agents {
		m.addRepeatedStarts(a)
		m.addAgentStarts(a, a.waitingStarts, sourceWaits)
	}
	m.addOrderedStarts()
}

// checkOpenFrom checks the open starts from an index on.
func (m *model) checkOpenFrom(first int) {
	for i := first; i < len(m.open); i++ {
		if !m.step(m.open[i].task).Duplicable {
			m.checkOpenStart(&m.open[i], m.open[:i])
		}
	}
}

// checkOpenStart checks a start that can be executed against runs, other starts and ends of its task.
func (m *model) checkOpenStart(s *openStart, others []openStart) {
	for _, w := range m.workers {
		if w.runs[s.task] != nil {
			m.checkStartPair(w.runningStart(s.task), s)
		}
	}
	for i := range others {
		if others[i].task == s.task {
			m.checkStartPair(&others[i], s)
		}
	}
	for _, x := range m.ends[m.endKey(s.task)] {
		if (x.acked || x.listed) && !x.lapsed {
			m.addStartOfEnded(x, s)
		}
	}
}

func (m *model) addStartOfEnded(x *modelEnd, s *openStart) {
	how := "listed"
	if x.acked {
		how = "acknowledged"
	}
	m.addSecondStart(violationStartOfEnded, s, fmt.Sprintf("an end of run %x on %s, %s, counts", x.run, x.worker, how), s.describe()+"; end "+how, x.isOrphaned)
}

// runningStart returns the start of a run.
func (w *modelWorker) runningStart(n cfcore.TaskName) *openStart {
	return &openStart{task: n, run: w.runs[n].id, w: w, source: sourceRuns}
}

func (m *model) checkStartPair(a, b *openStart) {
	if a.isSame(b) {
		return
	}
	if b.run < a.run {
		a, b = b, a
	}
	where := "other worker"
	if a.w == b.w {
		where = "same worker"
	}
	if a.epoch() != b.epoch() {
		where += ", other planner"
	}
	m.addSecondStart(violationSecondStart, b, a.String(), fmt.Sprintf("%s: %s; %s", where, a.describe(), b.describe()), a.isNext)
}

// addSecondStart records a violation. isOrphaned is that of the other start.
func (m *model) addSecondStart(kind string, s *openStart, other, cause string, isOrphaned bool) {
	k := kind + taskString(s.task)
	if m.seenStarts[k] {
		return
	}
	if m.seenStarts == nil {
		m.seenStarts = map[string]bool{}
	}
	m.seenStarts[k] = true
	text := fmt.Sprintf("after %s: task %s: %s: %s and %s", m.now.Sub(epochStart), taskString(s.task), kind, other, s)
	m.tracef("OPEN START %s", text)
	m.secondStarts = append(m.secondStarts, secondStart{violation: violation{kind: kind, text: text, task: s.task, isOrphaned: isOrphaned || s.isNext}, cause: cause})
}

// addLateStarts adds the attempts that workers carry out late.
func (m *model) addLateStarts() {
	for _, o := range m.lateOrders {
		if o.start == nil {
			continue
		}
		c, w := o.start.call, o.start.w
		isPresent := w.mayExecute(&c.key) && (c.token >= w.fencingToken || m.faults.skipFencing) && c.until > w.clockAt(o.at)
		m.addOpenStart(&c.key, w, sourceLate, isPresent, !m.scope.newIDs)
	}
}

// addRepeatedStarts adds the attempts without an answer that an agent repeats if the incarnation that it sent them
// to has not started them, see repeatStart.
func (m *model) addRepeatedStarts(a *modelAgent) {
	w := a.worker
	for i := range a.calls {
		c := &a.calls[i]
		if c.key.stop || c.isCopy || c.attempt >= startAttempts || c.incarnation != a.incarnation || !c.key.born.Equal(w.born) {
			continue
		}
		isPresent := w.mayExecute(&c.key) && c.token.Epoch() >= w.fencingToken.Epoch() && c.until > w.clock()
		m.addOpenStart(&c.key, w, sourceRepeated, isPresent, false)
	}
}

// maySendStarts reports whether an agent can still send the starts that it has, or gets on a connection. It drops
// them if its permission has ended, or its worker has not responded for long: it then needs a new permission, and
// drops them when it asks for it.
func (m *model) maySendStarts(a *modelAgent) bool {
	if a.isUnreachable() && !m.faults.keepGrants {
		return false
	}
	return a.hasValidGrant() || m.faults.ignoreSilence || slices.ContainsFunc(m.planners, func(p *modelPlanner) bool {
		s := p.pause
		return s != nil && s.point == pauseInReport && s.agent == a && m.now.Sub(s.takenAt) <= settings.GrantTime && !s.takenAt.Before(a.grantsFrom)
	})
}

// addAgentStarts adds the starts that an agent sends once it can.
func (m *model) addAgentStarts(a *modelAgent, starts []cfwire.JobStart, source startSource) {
	if len(starts) == 0 || !m.maySendStarts(a) {
		return
	}
	for i := range starts {
		s := &starts[i]
		key := modelOrderKey{task: s.Task, run: s.Run, born: s.Born}
		if _, hasResult := a.startResults[key]; hasResult || !s.Born.Equal(a.born) || a.hasLeft || a.hasRestarted {
			continue
		}
		w := a.worker
		m.addOpenStart(&key, w, source, w.mayExecute(&key) && a.epoch >= w.fencingToken.Epoch(), !m.scope.newIDs)
	}
}

// addOrderedStarts adds the starts that planners have ordered and that have not reached the agents.
func (m *model) addOrderedStarts() {
	for _, h := range m.heldOrders {
		if len(h.o.Starts) > 0 && h.a.epoch == h.p.epoch && !h.isOutdated() && slices.Contains(m.agents, h.a) {
			m.addAgentStarts(h.a, h.o.Starts, sourceHeld)
		}
	}
	for _, p := range m.planners {
		if p.pause == nil || p.pause.orders == nil || p.hasEnded {
			continue
		}
		for _, a := range p.pause.agents {
			h := heldOrder{p: p, a: a, o: p.pause.orders[a.name], after: p.lastReports[a.name]}
			if h.o != nil && a.epoch == p.epoch && !h.isOutdated() && slices.Contains(m.agents, a) {
				m.addAgentStarts(a, h.o.Starts, sourcePaused)
			}
		}
	}
}

// isOutdated reports whether the agent ignores the starts, see deliverOrders.
func (h *heldOrder) isOutdated() bool {
	return h.after > 0 && h.after < h.a.startsAfter && !h.a.m.faults.executeOutdated
}

// addOpenStart adds a start that the present incarnation of a worker can execute, or a later one.
func (m *model) addOpenStart(key *modelOrderKey, w *modelWorker, source startSource, isPresent, isNext bool) {
	if isPresent || isNext {
		m.open = append(m.open, openStart{task: key.task, run: key.run, w: w, source: source, isNext: !isPresent})
	}
}

// mayExecute reports whether the present incarnation of a worker does not bar a start by its incarnation or its run
// number. Runs of lower numbers can end until the start arrives, and room can become free.
func (w *modelWorker) mayExecute(key *modelOrderKey) bool {
	if w.isDown() || w.m.scope.newIDs && !key.born.Equal(w.born) {
		return false
	}
	r := w.runs[key.task]
	return key.run > w.highestRun[key.task] && (r == nil || key.run >= r.id)
}

// clockAt returns the reading of the worker's clock at a time if the worker does not restart.
func (w *modelWorker) clockAt(at time.Time) time.Duration {
	d := at.Sub(w.startedAt)
	if w.m.scope.slowClocks {
		d = time.Duration(float64(d) / slowClockFactor)
	}
	return d
}

// modelLateStart is the attempt of a start that a worker carries out late.
type modelLateStart struct {
	call modelCall
	w    *modelWorker
}

// startViolations returns the violations of the invariant, with the cause in their kinds.
func (m *model) startViolations() []violation {
	var out []violation
	for _, s := range m.secondStarts {
		v := s.violation
		v.kind += " [" + s.cause + "]"
		out = append(out, v)
	}
	return out
}

// openStartScopes are the scopes of the tests of the invariant.
var openStartScopes = map[string]modelScope{
	"late starts": lateStarts, "full workers": fullWorkersAndRestarts, "full workers, in series": fullWorkersLateAndRestarts, "kinds of jobs": jobKinds, "held orders": heldOrders,
	"checkpoints and flapping workers": checkpointScope, "all disruptions": allDisruptions, "former incarnations": formerLivesAndLate,
	"tasks that last": lasting, "tasks that last, and drains": lastingAndDrains, "tasks that last, and former incarnations": lastingAndFormer,
}

// A history can violate the invariant although no worker executes both starts.
func TestModelHasNoSecondStart(t *testing.T) {
	for name, scope := range openStartScopes {
		t.Run(name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				if m := runModel(t, scope, modelFaults{}); len(m.secondStarts) > 0 {
					t.Fatal(m.secondStarts[0].text)
				}
			})
		})
	}
}

// The test above is known to fail for two causes: a task that lasts must run again in time (LOST), and an end counts once it
// is listed, without an acknowledgement that could be held back. It must not hide others.
func TestModelHasSecondStartsOnlyOfTasksThatLastAndAfterListedEnds(t *testing.T) {
	for name, scope := range openStartScopes {
		t.Run(name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				m := runModel(t, scope, modelFaults{})
				for _, s := range m.secondStarts {
					isAfterListed := s.kind == violationStartOfEnded && strings.HasSuffix(s.cause, "; end listed")
					if !isAfterListed && !m.step(s.task).LongRunning {
						t.Fatal(s.text)
					}
				}
			})
		})
	}
}

// Without this, the check could pass because it sees no starts. Planners that do not know of starts without an answer
// start their tasks on other workers.
func TestModelFindsSecondStartsThatNoWorkerExecutes(t *testing.T) {
	for name, c := range map[string]struct {
		scope  modelScope
		faults modelFaults
		kind   string
	}{
		"planners forget starts without an answer":  {lateStarts, modelFaults{hideUnanswered: true}, violationSecondStart},
		"agents execute outdated starts":            {heldOrders, modelFaults{executeOutdated: true}, violationSecondStart},
		"planners acknowledge ends beside starts":   {restartsAndLate, modelFaults{hideUnanswered: true}, violationStartOfEnded},
		"planners trust refusals of later attempts": {fullWorkersAndRestarts, modelFaults{trustRoom: true}, violationSecondStart},
	} {
		t.Run(name, func(t *testing.T) {
			found := false
			for seed := 1; seed <= 1000 && !found; seed++ {
				m := modelHistory(seed, c.scope, c.faults)
				found = len(m.violations) == 0 && m.hasSecondStart(c.kind) && !modelHistory(seed, c.scope, modelFaults{}).hasSecondStart(c.kind)
			}
			NewWithT(t).Expect(found).To(BeTrue())
		})
	}
}

func (m *model) hasSecondStart(kind string) bool {
	return slices.ContainsFunc(m.secondStarts, func(s secondStart) bool { return s.kind == kind })
}
