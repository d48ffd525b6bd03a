package cfdispatch_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cfdispatch"
	"cranberryford/pkg/cfjob"
	"cranberryford/pkg/cfwire"
)

// A model of planners, agents and workers on one time line, in ticks. Planners are
// replaced while older ones still have authority; agents are cut from each planner by
// itself; orders get no answer and are carried out late; workers' clocks are slow.
const (
	modelTick     = 100 * time.Millisecond
	modelTicks    = 400
	authorityTime = 2 * time.Second
	slowClock     = 1.02
	taskTicks     = 15
	// lateBy is how much later than its answer an order may be carried out.
	lateBy = 12 * time.Second
)

// modelFaults are planted errors that the model has to find.
type modelFaults struct {
	// ignoreGrants lets planners forget that agents extend leases by themselves.
	ignoreGrants bool
	// expectNobody lets a new planner start without hearing the agents of the older one.
	expectNobody bool
	// noFence lets workers obey older planners.
	noFence bool
}

type modelPlanner struct {
	*cfdispatch.Planner
	epoch cfcore.Epoch
	// until is when its authority ends; zero while it is the newest.
	until time.Time
}

type modelRun struct {
	start cfwire.JobStart
	ticks int
}

type modelAgent struct {
	name    string
	epoch   cfcore.Epoch
	asked   time.Time
	state   cfcore.WorkerState
	fence   cfcore.Epoch
	lease   time.Time
	runs    map[cfcore.TaskName]*modelRun
	barred  map[cfcore.TaskName]uint64
	ended   []cfcore.EndedTask
	noted   uint64
	results []cfwire.JobOrderResult
}

type lateStart struct {
	at    time.Time
	agent *modelAgent
	epoch cfcore.Epoch
	start cfwire.JobStart
	lease time.Time
}

type model struct {
	t        *rapid.T
	faults   modelFaults
	now      time.Time
	planners []*modelPlanner
	agents   []*modelAgent
	late     []lateStart
	jobs     map[string]*cfjob.Entry
	cuts     map[string]time.Time
	problem  string
}

func (m *model) settings(epoch cfcore.Epoch) cfdispatch.Settings {
	s := settings
	s.Epoch = epoch
	if m.faults.ignoreGrants {
		s.GrantTime, s.LeaseTime = 0, 0
	}
	return s
}

// elect makes a new planner; the one before keeps its authority for a while.
func (m *model) elect() {
	epoch := cfcore.Epoch(len(m.planners) + 1)
	var names []string
	if !m.faults.expectNobody {
		for _, a := range m.agents {
			names = append(names, a.name)
		}
	}
	if n := len(m.planners); n > 0 {
		m.planners[n-1].until = m.now.Add(authorityTime)
	}
	s := m.settings(epoch)
	p := &modelPlanner{epoch: epoch, Planner: cfdispatch.New(s, names, m.now.Add(authorityTime+settings.LapseTime()))}
	for _, e := range m.jobs {
		p.AddJob(m.now, e, queue, true)
	}
	m.planners = append(m.planners, p)
	for _, a := range m.agents {
		if rapid.IntRange(0, 2).Draw(m.t, "unreached") == 0 {
			m.cuts[fmt.Sprint(epoch, a.name)] = m.now.Add(time.Duration(rapid.IntRange(1, 150).Draw(m.t, "cut")) * modelTick)
		}
	}
}

func (m *model) cut(p *modelPlanner, a *modelAgent) bool {
	return m.now.Before(m.cuts[fmt.Sprint(p.epoch, a.name)])
}

func (m *model) step() {
	m.now = m.now.Add(modelTick)
	for _, a := range m.agents {
		a.work(m.now)
	}
	m.carryOutLate()
	for _, p := range m.planners {
		if !p.until.IsZero() && !m.now.Before(p.until) {
			continue
		}
		m.act(p)
	}
	m.check()
}

// work lets the worker's runs progress, and ends them where their lease has lapsed.
func (a *modelAgent) work(now time.Time) {
	for n, r := range a.runs {
		if !now.Before(a.lease) {
			a.end(n, cfcore.EndLapsed)
			continue
		}
		if r.ticks++; r.ticks >= taskTicks {
			a.end(n, cfcore.EndDone)
		}
	}
}

func (a *modelAgent) end(n cfcore.TaskName, how cfcore.RunEnd) {
	r := a.runs[n]
	delete(a.runs, n)
	a.barred[n] = max(a.barred[n], r.start.Run)
	a.ended = append(a.ended, cfcore.EndedTask{Number: uint64(len(a.ended) + 1), Task: n, Run: r.start.Run, How: how})
}

// act lets a planner hear the agents that it reaches, decide, and order.
func (m *model) act(p *modelPlanner) {
	newest := p.until.IsZero()
	for _, a := range m.agents {
		if m.cut(p, a) || a.epoch > p.epoch {
			continue
		}
		a.epoch = p.epoch
		if !m.faults.noFence {
			a.fence = p.epoch
		}
		lists := &cfcore.RunLists{Born: a.state.Born, Clock: m.now.Sub(epochStart), Ended: a.ended[a.noted:]}
		for n, r := range a.runs {
			lists.Running = append(lists.Running, cfcore.RunningTask{Task: n, Run: r.start.Run, Percent: 100 * r.ticks / taskTicks})
		}
		p.Report(m.now, a.name, &cfwire.JobReport{Worker: &a.state, Lists: lists, Results: a.results})
		a.results = nil
		p.Recorded(a.name)
		p.Answered(a.name, m.now)
		a.asked = m.now
		m.extend(a)
	}
	p.Lapse(m.now)
	p.Plan(m.now)
	if newest {
		m.keep(p)
	}
	for name, o := range p.Take(m.now) {
		for _, a := range m.agents {
			if a.name == name && !m.cut(p, a) && a.epoch == p.epoch {
				m.obey(p, a, o)
			}
		}
	}
}

// extend extends the leases on an agent's worker, whose clock is slow.
func (m *model) extend(a *modelAgent) {
	if m.now.Sub(a.asked) <= settings.GrantTime {
		a.lease = m.now.Add(time.Duration(float64(settings.LeaseTime) * slowClock))
	}
}

// keep writes down what only the newest planner may.
func (m *model) keep(p *modelPlanner) {
	facts, seen := p.Facts(m.now, true)
	for _, f := range facts {
		m.jobs[f.ID].Progress = f.Progress
	}
	p.Noted(seen)
}

func (m *model) obey(p *modelPlanner, a *modelAgent, o *cfdispatch.Orders) {
	a.noted = max(a.noted, o.Noted)
	for _, s := range o.Stops {
		a.barred[s.Task] = max(a.barred[s.Task], s.Run)
		if r := a.runs[s.Task]; r != nil && r.start.Run == s.Run {
			a.end(s.Task, cfcore.EndStopped)
		} else {
			a.results = append(a.results, cfwire.JobOrderResult{Task: s.Task, Run: s.Run, Refusal: cfcore.ExecutorStale})
		}
	}
	for _, s := range o.Starts {
		if rapid.IntRange(0, 9).Draw(m.t, "answer") == 0 {
			after := time.Duration(rapid.IntRange(0, int(lateBy/modelTick)).Draw(m.t, "late")) * modelTick
			m.late = append(m.late, lateStart{at: m.now.Add(after), agent: a, epoch: p.epoch, start: s, lease: a.lease})
			continue
		}
		m.start(a, p.epoch, s, a.lease)
		a.results = append(a.results, cfwire.JobOrderResult{Task: s.Task, Run: s.Run})
	}
}

func (m *model) carryOutLate() {
	left := m.late[:0]
	for _, l := range m.late {
		if m.now.Before(l.at) {
			left = append(left, l)
			continue
		}
		m.start(l.agent, l.epoch, l.start, l.lease)
	}
	m.late = left
}

// start starts a run as a worker does: not for an older planner, not an older run, and
// not once the lease that came with the order has ended.
func (m *model) start(a *modelAgent, epoch cfcore.Epoch, s cfwire.JobStart, lease time.Time) {
	if epoch < a.fence || s.Run <= a.barred[s.Task] || a.runs[s.Task] != nil || !m.now.Before(lease) {
		return
	}
	if e := m.jobs[s.Task.Job]; e.Progress != nil && e.Progress.IsDone(s.Task.Index) && m.problem == "" {
		m.problem = fmt.Sprintf("%s: %v starts on %s after it was done", m.now.Sub(epochStart), s.Task, a.name)
	}
	a.runs[s.Task] = &modelRun{start: s}
}

// check looks for a task that runs twice at the same time.
func (m *model) check() {
	seen := map[cfcore.TaskName]string{}
	for _, a := range m.agents {
		for n := range a.runs {
			if other := seen[n]; other != "" && m.problem == "" {
				m.problem = fmt.Sprintf("%s: %v runs on %s and %s", m.now.Sub(epochStart), n, other, a.name)
			}
			seen[n] = a.name
		}
	}
}

// play plays one history and returns what went wrong.
func play(t *rapid.T, faults modelFaults) string {
	m := &model{t: t, faults: faults, now: epochStart, jobs: map[string]*cfjob.Entry{}, cuts: map[string]time.Time{}}
	for i := range 3 {
		m.agents = append(m.agents, &modelAgent{
			name: fmt.Sprintf("a%d", i), runs: map[cfcore.TaskName]*modelRun{}, barred: map[cfcore.TaskName]uint64{},
			state: cfcore.WorkerState{ID: "w", Service: "dispatch", Born: epochStart, Capacity: cfcore.Resources{MilliCores: 4000, MemoryMB: 8000}},
		})
	}
	m.elect()
	for i := range modelTicks {
		if i%10 == 0 {
			m.submit(i)
		}
		m.disturb()
		m.step()
	}
	return m.problem
}

func (m *model) submit(i int) {
	id := fmt.Sprintf("%016x", i)
	e := &cfjob.Entry{Job: &cfjob.Job{ID: id, Queue: queue, Steps: []cfjob.Step{step(2, 1000)}, Accepted: m.now}}
	m.jobs[id] = e
	p := m.planners[len(m.planners)-1]
	p.AddJob(m.now, e, queue, false)
}

// disturb draws a fault for this tick.
func (m *model) disturb() {
	switch rapid.IntRange(0, 40).Draw(m.t, "fault") {
	case 0:
		m.elect()
	case 1, 2:
		p := m.planners[rapid.IntRange(0, len(m.planners)-1).Draw(m.t, "planner")]
		a := m.agents[rapid.IntRange(0, len(m.agents)-1).Draw(m.t, "agent")]
		m.cuts[fmt.Sprint(p.epoch, a.name)] = m.now.Add(time.Duration(rapid.IntRange(1, 150).Draw(m.t, "cut")) * modelTick)
	}
}

func TestModelNothingRunsTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if problem := play(t, modelFaults{}); problem != "" {
			t.Fatal(problem)
		}
	})
}

// The model finds what it is there for.
func TestModelFindsPlantedFaults(t *testing.T) {
	for name, faults := range map[string]modelFaults{
		"leases are forgotten":                 {ignoreGrants: true},
		"agents of the older planner are":      {expectNobody: true},
		"workers obey planners that are older": {noFence: true},
	} {
		t.Run(name, func(t *testing.T) {
			found := false
			for seed := 1; seed <= 300 && !found; seed++ {
				gen := rapid.Custom(func(t *rapid.T) string { return play(t, faults) })
				found = gen.Example(seed) != ""
			}
			NewWithT(t).Expect(found).To(BeTrue())
		})
	}
}
