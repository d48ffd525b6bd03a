package cfjobentry

import (
	"context"
	"encoding/json"
	"maps"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cfjob"
	"cranberryford/pkg/cfwire"
)

// memoryStore keeps all records in the order of their appends.
type memoryStore struct {
	cfcore.Store
	records []cfcore.KeyedRecord
}

// Append carries out an append at once.
func (s *memoryStore) Append(_ context.Context, _ cfcore.Topic, records []cfcore.KeyedRecord, _ cfcore.AppendOptions) (int64, error) {
	for _, r := range records {
		r.Offset = int64(len(s.records))
		s.records = append(s.records, r)
	}
	return 0, nil
}

// orderedStart is a start that a planner has ordered, and when it did so last.
type orderedStart struct {
	agent string
	at    time.Time
}

// series plays planners that follow one another, on one clock and with one store. Each of them has just started.
type series struct {
	*WithT
	t     *testing.T
	clock *clockwork.FakeClock
	boot  fakeBootClock
	store *memoryStore
	c     *control
	links map[string]*link
	// workers are those whose agents report, by agent. starts are the ordered starts, by job.
	workers map[string]*seriesWorker
	starts  map[string]orderedStart
	seq     uint64
}

type seriesWorker struct {
	state   cfcore.WorkerState
	running []cfcore.RunningTask
	// lostAt is when the worker was lost, while its agent reports; zero if it is not.
	lostAt time.Time
}

func newSeries(t *testing.T, agents ...string) *series {
	s := &series{WithT: NewWithT(t), t: t, clock: clockwork.NewFakeClock(), store: &memoryStore{}, workers: map[string]*seriesWorker{}, starts: map[string]orderedStart{}, boot: fakeBootClock(time.Minute)}
	for _, a := range agents {
		s.workers[a] = &seriesWorker{state: cfcore.WorkerState{
			ID: "w-" + a, Service: "s", Born: s.clock.Now().Add(-time.Hour), Clock: time.Hour, Capacity: cfcore.Resources{MilliCores: 4000, MemoryMB: 4000},
		}}
	}
	return s
}

// Write carries out the starts that the planner logs.
func (s *series) Write(line []byte) (int, error) {
	var l struct {
		Message, Job, Agent     string
		Run                     uint64
		Occurrence, Step, Index int
	}
	if err := json.Unmarshal(line, &l); err != nil {
		return 0, err
	}
	if l.Message == "start ordered" {
		s.starts[l.Job] = orderedStart{agent: l.Agent, at: s.clock.Now()}
		if w := s.workers[l.Agent]; w != nil {
			w.running = append(w.running, cfcore.RunningTask{Task: cfcore.TaskName{Job: l.Job}, Run: l.Run, Percent: 100})
		}
	}
	return len(line), nil
}

// elect makes an entry that has just started the planner. The former planner sends nothing any more.
func (s *series) elect() {
	epoch := cfcore.Epoch(1)
	if s.c != nil {
		epoch = s.c.stored.Planner.Epoch + 1
	}
	c, _ := newTestControl(s.t)
	c.Log = zerolog.New(s)
	c.Clock, c.bootClock, c.Store, c.instance = s.clock, &s.boot, s.store, string(rune('a'+epoch))
	s.c, s.links = c, map[string]*link{}
	c.cfg.Inner = netip.MustParseAddrPort("127.0.0.1:9")
	c.synced.Store(true)
	s.read()
	c.appendClaim(s.t.Context(), epoch)
	s.handleAppended()
	s.read()
	s.Expect(c.plan).NotTo(BeNil())
	for a := range s.workers {
		l, orders := newAgentLink(s.t, c, "1")
		go func() {
			for range orders {
			}
		}()
		l.name = a
		s.links[a] = l
		c.handleEvent(s.t.Context(), linkUp{link: l})
	}
}

// read passes the planner the records that it has not read.
func (s *series) read() {
	from, next := s.c.stored.Next, int64(len(s.store.records))
	s.c.handlePageRead(s.t.Context(), pageRead{from: from, page: cfcore.StorePage{Records: slices.Clone(s.store.records[from:]), Next: next, End: next}, sentAt: s.c.bootTime()})
}

// handleAppended handles the outcome of an append.
func (s *series) handleAppended() {
	var ev event
	s.Eventually(s.c.events).Should(Receive(&ev))
	s.c.handleEvent(s.t.Context(), ev)
}

// run lets time pass. All agents of workers report in each step.
func (s *series) run(d time.Duration) {
	const step = 50 * time.Millisecond
	for range d / step {
		s.clock.Advance(step)
		s.boot += fakeBootClock(step)
		s.read()
		for _, a := range slices.Sorted(maps.Keys(s.workers)) {
			s.report(a)
		}
		s.c.runPlanningRound(s.t.Context())
		if b := s.c.plan.pendingBatch; b != nil && b.inFlight {
			s.handleAppended()
		}
	}
}

func (s *series) report(agent string) {
	w := s.workers[agent]
	s.seq++
	state := w.state
	if !w.lostAt.IsZero() {
		const leases = 5400 * time.Millisecond
		d := s.clock.Since(w.lostAt)
		s.c.handleEvent(s.t.Context(), reportReceived{link: s.links[agent], report: &cfwire.JobReport{
			Epoch: s.c.plan.epoch, Seq: s.seq, Ask: s.seq, Lost: &cfwire.JobWorkerUnreachable{For: d, LeasesFor: max(0, leases-d), LeasesExpired: d > leases},
		}})
		return
	}
	s.c.handleEvent(s.t.Context(), reportReceived{link: s.links[agent], report: &cfwire.JobReport{
		Epoch: s.c.plan.epoch, Seq: s.seq, Ask: s.seq, Worker: &state, Lists: &cfcore.RunLists{Born: state.Born, Running: slices.Clone(w.running)},
	}})
}

// lose ends a worker together with its agent.
func (s *series) lose(agent string) *seriesWorker {
	w := s.workers[agent]
	delete(s.workers, agent)
	return w
}

// addJob stores a job of one task.
func (s *series) addJob(id string, isLongRunning bool) {
	r, err := s.c.codec.Job(&cfjob.Job{ID: id, Queue: cfjob.Queue{Name: "q", Service: "s", MaxAttempts: 2}, Accepted: s.clock.Now(), Steps: []cfjob.Step{{
		Count: 1, LongRunning: isLongRunning, Resources: cfcore.Resources{MilliCores: 100, MemoryMB: 100}, Estimate: time.Second,
	}}})
	s.Expect(err).NotTo(HaveOccurred())
	_, _ = s.store.Append(s.t.Context(), cfcore.Topic{}, []cfcore.KeyedRecord{r}, cfcore.AppendOptions{})
}

const (
	lastingJob = "5febf126cc4585c9"
	runningJob = "8864cbe492602a88"
	waitingJob = "1c0e7a21d94b36f9"
)

// newSeriesWithRuns returns a series in which the worker of agent b has a run of a lasting task and one of another
// task, and that of a is empty.
func newSeriesWithRuns(t *testing.T) *series {
	s := newSeries(t, "a", "b")
	s.elect()
	a := s.lose("a")
	s.run(time.Second)
	s.addJob(lastingJob, true)
	s.addJob(runningJob, false)
	s.run(time.Second)
	s.Expect(s.workers["b"].running).To(HaveLen(2))
	s.workers["a"] = a
	s.run(time.Second)
	return s
}

// A worker and its agent were lost, and 2.2 s later the entries were restarted in turn. Each new planner waited
// for the agent from its own election on: lasting tasks were away for 16.4 s, and all others did not start
// for up to 30 s after the last election.
func TestPlannersInSeriesWaitOnceForALostAgent(t *testing.T) {
	for name, agentStays := range map[string]time.Duration{
		"the agent is lost with the worker":                   0,
		"the agent reports for 4.2 s that the worker is lost": 4200 * time.Millisecond,
	} {
		t.Run(name, func(t *testing.T) {
			s := newSeriesWithRuns(t)
			s.workers["b"].lostAt = s.clock.Now()
			lostAt := s.clock.Now()
			for i := range 4 {
				if i > 0 {
					s.elect()
				}
				if s.clock.Since(lostAt) >= agentStays {
					s.lose("b")
				}
				s.run(2 * time.Second)
				if i == 0 {
					s.run(200 * time.Millisecond)
					s.addJob(waitingJob, false)
				}
			}
			s.run(30 * time.Second)
			away := func(job string) time.Duration {
				s.Expect(s.starts[job].agent).To(Equal("a"), job)
				return s.starts[job].at.Sub(lostAt)
			}
			s.Expect(away(lastingJob)).To(BeNumerically("<", 9*time.Second), "6 s, and 3 s more")
			s.Expect(away(lastingJob)).To(BeNumerically(">", 5200*time.Millisecond), "leases of 5 s on a slow clock")
			s.Expect(away(runningJob)).To(BeNumerically("<", 9*time.Second))
			s.Expect(away(waitingJob)).To(BeNumerically("<", 3*time.Second), "it has no run there")
		})
	}
}

// A worker and its agent were lost 0.2 s before the planner resigned. The next one knew neither the runs nor since
// when the agent was silent.
func TestPlannerThatResignsHandsOverWhatItKnowsOfAgents(t *testing.T) {
	for name, isLate := range map[string]bool{"before the next claim": false, "after the next claim": true} {
		t.Run(name, func(t *testing.T) {
			s := newSeriesWithRuns(t)
			s.lose("b")
			lostAt := s.clock.Now()
			s.run(200 * time.Millisecond)
			s.addJob(waitingJob, false)
			former := s.c
			former.resign("shutdown")
			record := func() {
				r, err := former.codec.Resignation(&former.resignations.unrecorded)
				s.Expect(err).NotTo(HaveOccurred())
				_, _ = s.store.Append(t.Context(), cfcore.Topic{}, []cfcore.KeyedRecord{r}, cfcore.AppendOptions{})
			}
			if !isLate {
				record()
			}
			s.elect()
			if isLate {
				record()
			}
			s.run(40 * time.Second)
			for job, limit := range map[string]time.Duration{lastingJob: 9 * time.Second, runningJob: 9 * time.Second, waitingJob: 3 * time.Second} {
				s.Expect(s.starts[job].agent).To(Equal("a"), job)
				s.Expect(s.starts[job].at.Sub(lostAt)).To(BeNumerically("<", limit), job)
			}
			s.Expect(s.starts[lastingJob].at.Sub(lostAt)).To(BeNumerically(">", 7*time.Second), "leases of 5 s that were extended up to 2 s later")
		})
	}
}

// A resignation of an earlier epoch says nothing about what a planner in between has started.
func TestOnlyTheNextPlannerTakesOver(t *testing.T) {
	s := newSeriesWithRuns(t)
	former := s.c
	former.resign("shutdown")
	r, err := former.codec.Resignation(&former.resignations.unrecorded)
	s.Expect(err).NotTo(HaveOccurred())
	_, _ = s.store.Append(t.Context(), cfcore.Topic{}, []cfcore.KeyedRecord{r}, cfcore.AppendOptions{})
	s.lose("b")
	for _, waits := range []bool{false, true} {
		s.elect()
		s.Expect(s.c.plan.HandOver()).To(ContainElement(And(HaveField("Agent", "b"), HaveField("IsComplete", !waits))))
	}
}

// A planner that is killed records nothing at its end. What it had recorded before counts.
func TestPlannerDoesNotAnswerAReturnedAgentBeforeTheRecordOfItsAbsenceIsDeleted(t *testing.T) {
	s := newSeriesWithRuns(t)
	b := s.lose("b")
	s.run(2 * time.Second)
	s.Expect(s.c.stored.Absences).To(HaveKey("b"))
	// An append is in flight.
	pending := &plannerBatch{inFlight: true, sequence: s.c.plan.sequence}
	s.c.plan.pendingBatch = pending
	l, orders := newAgentLink(t, s.c, "1")
	l.name = "b"
	ask := func(n uint64) {
		s.seq++
		s.c.handleEvent(t.Context(), reportReceived{link: l, report: &cfwire.JobReport{
			Epoch: s.c.plan.epoch, Seq: s.seq, Ask: n, Worker: &b.state, Lists: &cfcore.RunLists{Born: b.state.Born, Running: b.running},
		}})
	}
	ask(1)
	s.clock.Advance(100 * time.Millisecond)
	s.boot += fakeBootClock(100 * time.Millisecond)
	s.c.confirmedAt = s.c.bootTime()
	s.c.runPlanningRound(t.Context())
	ask(2)
	s.Consistently(orders, "50ms").ShouldNot(Receive(HaveField("Answer", Not(BeZero()))))
	s.c.plan.pendingBatch = nil
	s.run(100 * time.Millisecond)
	s.Expect(s.c.stored.Absences).To(BeEmpty())
	ask(3)
	s.Eventually(orders).Should(Receive(HaveField("Answer", BeEquivalentTo(3))))
}

// Planners of a former build let absent agents extend leases.
func TestAbsencesDoNotCountAfterAPlannerThatDoesNotKnowThem(t *testing.T) {
	for name, isFormer := range map[string]bool{"a planner of this build": false, "one of a former build": true} {
		t.Run(name, func(t *testing.T) {
			s := newSeriesWithRuns(t)
			s.lose("b")
			s.run(2 * time.Second)
			claim := &cfjob.Claim{Epoch: 2, Instance: "other", Address: netip.MustParseAddrPort("127.0.0.1:11"), Elapsed: s.c.elapsed(), AbsencesSince: s.c.stored.Planner.AbsencesSince}
			if isFormer {
				claim.Elapsed, claim.AbsencesSince = 0, 0
			}
			r, err := s.c.codec.Claim(claim)
			s.Expect(err).NotTo(HaveOccurred())
			_, _ = s.store.Append(t.Context(), cfcore.Topic{}, []cfcore.KeyedRecord{r}, cfcore.AppendOptions{})
			s.c.stored.Planner.Epoch = 2
			s.elect()
			s.Expect(s.c.plan.MayAnswer("b")).To(Equal(isFormer))
			if isFormer {
				s.run(200 * time.Millisecond)
				s.Expect(s.c.stored.Absences).To(BeEmpty(), "deleted with the first batch")
			}
		})
	}
}

// A clock that is ahead would let leases count as expired that are valid.
func TestPlannersClockIsNeverAhead(t *testing.T) {
	g := NewWithT(t)
	c, boot := newTestControl(t)
	read := func(epoch cfcore.Epoch, d time.Duration) {
		r, err := c.codec.PlannerClock(cfjob.PlannerClock{Epoch: epoch, Elapsed: d})
		g.Expect(err).NotTo(HaveOccurred())
		r.Offset = c.stored.Next
		c.handlePageRead(t.Context(), pageRead{from: c.stored.Next, page: cfcore.StorePage{Records: []cfcore.KeyedRecord{r}, Next: c.stored.Next + 1, End: c.stored.Next + 1}})
	}
	read(1, time.Hour)
	g.Expect(c.elapsed()).To(Equal(time.Hour))
	*boot += fakeBootClock(time.Minute)
	g.Expect(c.elapsed()).To(Equal(time.Hour + time.Minute))
	read(1, time.Hour+30*time.Second)
	g.Expect(c.elapsed()).To(Equal(time.Hour+30*time.Second), "this entry's boot clock runs fast")
	read(2, time.Hour+20*time.Second)
	g.Expect(c.elapsed()).To(Equal(time.Hour+20*time.Second), "the next planner counts from an older reading")
	read(1, 2*time.Hour)
	g.Expect(c.elapsed()).To(Equal(time.Hour+20*time.Second), "a record of the former planner")
	c.stored.Planner = cfjob.Claim{Epoch: 3, Instance: c.instance}
	*boot += fakeBootClock(time.Minute)
	read(3, time.Hour+time.Minute)
	g.Expect(c.elapsed()).To(Equal(time.Hour+80*time.Second), "its own reading")
}
