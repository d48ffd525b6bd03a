package cfschedule_test

import (
	"fmt"
	"math/bits"
	"math/rand/v2"
	"net/netip"
	"time"

	"pgregory.net/rapid"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cfcore/cfplace"
	"cranberryford/pkg/cfgrant"
	"cranberryford/pkg/cfintent"
	"cranberryford/pkg/cfrecord"
	"cranberryford/pkg/cfschedule"
	"cranberryford/pkg/cfstate"
)

// The model runs the real replicated state, grant tables and scheduler of several entries
// with one worker. The network delays and loses messages, clocks drift, entries stop and
// restart, and appends arrive late. The model fails the test if a run is declared ended
// before the run's lease has expired.

// faults selects the faults that are injected into the model.
type faults struct {
	// grantsFromReceipt counts the duration of a grant from the receipt of the grant, not
	// from the sending of its request.
	grantsFromReceipt bool
	// answersFromReceipt counts the validity of an answer to a poll from the receipt of the
	// answer, not from the sending of the poll.
	answersFromReceipt bool
	// restartedStaysMember lets a restarted entry answer polls as its previous incarnation.
	restartedStaysMember bool
	// shortWait makes the eviction wait shorter by one grant period.
	shortWait bool
}

const (
	modelGrant         = 400 * time.Millisecond
	modelWorkerTimeout = 100 * time.Millisecond
	// modelDrift is the maximum deviation of a clock's rate from the rate of the model's
	// clock, in thousandths.
	modelDrift = 10
	// modelMargin covers the drift of two clocks over one eviction wait.
	modelMargin = 40 * time.Millisecond
	// modelEntries is the number of entries, modelSteps the number of steps in a random
	// history.
	modelEntries = 3
	modelSteps   = 300
)

var startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// modelEntry is one incarnation of an entry.
type modelEntry struct {
	id cfcore.EntryID
	// peer is the entry's own address. A new incarnation keeps the address of the previous one.
	peer netip.AddrPort
	// clockRate is the rate of the entry's clock, in thousandths of the rate of the model's
	// clock.
	clockRate int64
	state     *cfstate.State
	// applied is the number of log entries that have been applied to state.
	applied int
	// table holds the answers of the other entries. views holds the reports of the worker
	// that have reached this entry.
	table     *cfgrant.Table
	scheduler *cfschedule.Scheduler
	views     map[cfcore.WorkerID]*cfschedule.WorkerView
	// restarts counts the earlier incarnations of the entry.
	restarts int
	// A new incarnation takes no part in poll rounds before idleUntil, a time on the model's
	// clock.
	idleUntil time.Duration
}

// message is a message in flight. The model delivers it later or loses it.
type message struct {
	deliver func()
	// to is the entry that receives the message, or nil if the receiver is not an entry.
	to *modelEntry
	// grant marks a grant to the agent. answer marks an entry's answer to the poll of another
	// entry. The step that delivers a random message skips both, so that they can arrive late,
	// when they extend the lease the most. passTime delivers a grant shortly before the lease
	// expires. deliverAnswer delivers an answer just before the agent requests a grant.
	grant  bool
	answer bool
}

// model is the simulated system: the log, the entries, one worker and the network.
type model struct {
	t      *rapid.T
	faults faults
	// now is the time on the model's clock.
	now     time.Duration
	entries []*modelEntry
	log     []*cfrecord.Batch
	// logState is the state after applying the whole log.
	logState *cfstate.State
	messages []message
	batches  int
	rand     *rand.Rand

	// vmClockRate is the rate of the worker's clock, in thousandths of the rate of the model's
	// clock. leaseUntil is a time on the worker's clock.
	vmClockRate  int64
	leaseUntil   time.Duration
	leaseExpired bool
	// evictions counts how often the run was declared ended.
	evictions int
}

const (
	modelWorker   = cfcore.WorkerID("vm-0")
	modelInstance = cfcore.InstanceID("instance-0")
)

func newModel(t *rapid.T, f faults) *model {
	m := &model{t: t, faults: f, logState: cfstate.NewState(), rand: rand.New(rand.NewPCG(1, 2))}
	m.vmClockRate = m.drawClockRate("vm")
	for i := range modelEntries {
		peer := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 1)
		m.entries = append(m.entries, m.newEntry(fmt.Sprintf("e%d", i), peer, m.drawClockRate(fmt.Sprint("e", i))))
	}
	m.setUp()
	return m
}

// drawClockRate draws the rate of a clock, in thousandths of the rate of the model's
// clock.
func (m *model) drawClockRate(name string) int64 {
	return 1000 + rapid.Int64Range(-modelDrift, modelDrift).Draw(m.t, "rate of "+name)
}

func (m *model) newEntry(id string, peer netip.AddrPort, clockRate int64) *modelEntry {
	timing := cfgrant.Timing{Grant: modelGrant, Margin: modelMargin}
	// waitTiming gives the scheduler its eviction wait, which contains two grant periods. The
	// fault shortWait halves the period, so the wait is shorter by one grant period. An entry
	// then also counts as responsive for only half a grant period.
	waitTiming := timing
	if m.faults.shortWait {
		waitTiming.Grant = modelGrant / 2
	}
	return &modelEntry{
		id: cfcore.EntryID(id), peer: peer, clockRate: clockRate, state: cfstate.NewState(),
		table: cfgrant.NewTable(timing), views: map[cfcore.WorkerID]*cfschedule.WorkerView{},
		scheduler: cfschedule.New(cfschedule.Settings{
			Timing: waitTiming, WorkerTimeout: modelWorkerTimeout, EntryTimeout: time.Hour, MaxBatch: 100,
			QuarantineAfter: 3, QuarantineFor: time.Minute,
		}, cfplace.Spread{}),
	}
}

// setUp writes the initial log, which starts one task on the worker. All entries apply the
// log, and the worker gets a full grant.
func (m *model) setUp() {
	p := m.entries[0].id
	w := cfcore.Workload{
		Name: "relay", Class: cfcore.ClassWatch, Team: "t", Replicas: 1,
		Resources:   cfcore.Resources{MilliCores: 1, MemoryMB: 1},
		Permissions: []cfcore.Permission{cfcore.PermitRestart},
	}
	in := cfintent.Intent{
		Workloads: []cfcore.Workload{w},
		Teams:     []cfcore.Team{{Name: "t", Quota: cfcore.Resources{MilliCores: 9, MemoryMB: 9}}},
	}
	m.append(p, cfrecord.Record{Claim: &cfrecord.Claim{Epoch: 1, Entry: p}})
	var members []cfrecord.Member
	for i, e := range m.entries {
		members = append(members, cfrecord.Member{Entry: e.id, Peer: e.peer})
		list := append([]cfrecord.Member{}, members...)
		m.append(p, cfrecord.Record{Members: &cfrecord.Members{Epoch: 1, Version: uint64(i + 1), Members: list}})
	}
	m.append(p,
		cfrecord.Record{WorkerUp: &cfrecord.WorkerUp{
			Epoch: 1, Worker: modelWorker, Instance: modelInstance, Capacity: cfcore.Resources{MilliCores: 9, MemoryMB: 9},
		}},
		cfrecord.Record{Planned: &cfrecord.PlanProposed{Plan: cfrecord.Plan{ID: "p", At: startTime, Intent: in}}},
		cfrecord.Record{Confirmed: &cfrecord.PlanConfirmed{Plan: "p"}},
		cfrecord.Record{Assign: &cfrecord.Assign{
			Epoch: 1, Task: "relay/0", Assignment: 1, Worker: modelWorker, Instance: modelInstance,
		}})
	for _, e := range m.entries {
		m.applyAll(e)
		e.views[modelWorker] = m.workerView(e)
	}
	if m.logState.Tasks["relay/0"].Status != cfstate.TaskAssigned {
		m.t.Fatalf("the initial log has no running task; rejected records by reason: %v", m.logState.RejectedCounts)
	}
	m.leaseUntil = m.vmClock() + modelGrant
}

func (m *model) workerView(e *modelEntry) *cfschedule.WorkerView {
	return &cfschedule.WorkerView{
		Worker: modelWorker, Instance: modelInstance, LastReportAt: m.clock(e),
		Capacity: cfcore.Resources{MilliCores: 9, MemoryMB: 9},
	}
}

// clock returns the time on the clock of entry e.
func (m *model) clock(e *modelEntry) time.Time {
	return startTime.Add(time.Duration(int64(m.now) / 1000 * e.clockRate))
}

// vmClock returns the time on the worker's clock.
func (m *model) vmClock() time.Duration { return time.Duration(int64(m.now) / 1000 * m.vmClockRate) }

// append adds a batch to the log. It fails the test if the batch ends the run before the
// run's lease has expired.
func (m *model) append(by cfcore.EntryID, records ...cfrecord.Record) {
	m.batches++
	b := &cfrecord.Batch{At: startTime.Add(m.now), By: by, Records: records}
	b.ID[0], b.ID[1] = byte(m.batches), byte(m.batches>>8)
	m.log = append(m.log, b)
	for i, o := range m.logState.Apply(cfcore.Offset(len(m.log)), b) {
		e := records[i].Ended
		if o.Rejection != "" || e == nil || e.Assignment != 1 {
			continue
		}
		m.evictions++
		if !m.leaseExpired {
			m.t.Fatalf("run 1 was declared ended at model time %s; its lease is valid until %s on the worker's clock, which shows %s", m.now, m.leaseUntil, m.vmClock())
		}
	}
}

func (m *model) applyNext(e *modelEntry) {
	if e.applied < len(m.log) {
		e.applied++
		e.state.Apply(cfcore.Offset(e.applied), m.log[e.applied-1])
	}
}

func (m *model) applyAll(e *modelEntry) {
	for e.applied < len(m.log) {
		m.applyNext(e)
	}
}

func (m *model) advance(d time.Duration) {
	m.now += d
	if m.vmClock() >= m.leaseUntil {
		m.leaseExpired = true
	}
}

func (m *model) grantView(e *modelEntry) cfgrant.View {
	return cfgrant.View{
		Self: e.id, Version: e.state.MemberVersion, Members: e.state.Members,
		IsFenced: func(w cfcore.WorkerID) bool { x := e.state.Workers[w]; return x == nil || x.Fenced },
	}
}

// poll sends a poll from entry a to entry b. b sends its answer when it receives the poll.
func (m *model) poll(a, b *modelEntry) {
	sent := m.clock(a)
	m.send(b, func() {
		ans := cfgrant.PollAnswer{
			SentAt: sent, Offset: b.state.Offset, Version: b.state.MemberVersion, Member: b.state.IsMember(b.id),
		}
		if w := b.state.Workers[modelWorker]; w != nil && w.Fenced {
			ans.Fenced = []cfcore.WorkerID{modelWorker}
		}
		id := b.id
		if m.faults.restartedStaysMember {
			// a stores the answer under the ID of b's previous incarnation, although that
			// incarnation's state is lost.
			id = cfcore.EntryID(string(b.id)[:2])
			ans.Member = true
		}
		m.messages = append(m.messages, message{to: a, answer: true, deliver: func() {
			if m.faults.answersFromReceipt {
				ans.SentAt = m.clock(a)
			}
			a.table.Put(id, ans)
		}})
	})
}

// requestGrant sends the agent's report and request for lease time to entry e.
func (m *model) requestGrant(e *modelEntry) {
	grantStart := m.vmClock()
	m.send(e, func() {
		e.views[modelWorker] = m.workerView(e)
		w := e.state.Workers[modelWorker]
		if w == nil || w.Instance != modelInstance || e.table.Check(m.grantView(e), modelWorker, m.clock(e)) != cfgrant.Granted {
			return
		}
		m.messages = append(m.messages, message{grant: true, deliver: func() {
			if m.faults.grantsFromReceipt {
				grantStart = m.vmClock()
			}
			if !m.leaseExpired {
				m.leaseUntil = max(m.leaseUntil, grantStart+modelGrant)
			}
		}})
	})
}

func (m *model) send(to *modelEntry, deliver func()) {
	m.messages = append(m.messages, message{deliver: deliver, to: to})
}

// deliver removes message i from the network. It delivers the message, unless the
// incarnation that should receive it has been replaced.
func (m *model) deliver(i int) {
	msg := m.messages[i]
	m.messages = append(m.messages[:i:i], m.messages[i+1:]...)
	if m.isCurrent(msg.to) {
		msg.deliver()
	}
}

// isCurrent reports whether e is the current incarnation of an entry. The result is true if e
// is nil, that is, if the receiver of a message is not an entry.
func (m *model) isCurrent(e *modelEntry) bool {
	if e == nil {
		return true
	}
	for _, x := range m.entries {
		if x == e {
			return true
		}
	}
	return false
}

// decide makes entry e decide, if e takes itself for the planner, and puts the resulting
// append in flight.
func (m *model) decide(e *modelEntry) {
	if e.state.Planner != e.id {
		return
	}
	records := e.scheduler.Decide(cfschedule.Input{
		Self: e.id, State: e.state, Workers: e.views, Entries: e.table, Now: m.clock(e), Rand: m.rand,
	})
	if len(records) > 0 {
		// An append can take effect long after it was sent, even if the sender has
		// restarted meanwhile.
		m.messages = append(m.messages, message{deliver: func() { m.append(e.id, records...) }})
	}
}

// restart replaces the incarnation of entry i by a new one, which starts with an empty
// state.
func (m *model) restart(i int) {
	old := m.entries[i]
	id := fmt.Sprintf("e%d.%d", i, old.restarts+1)
	e := m.newEntry(id, old.peer, old.clockRate)
	e.restarts = old.restarts + 1
	e.idleUntil = m.now + time.Duration(rapid.IntRange(0, 400).Draw(m.t, "idle ms"))*time.Millisecond
	m.entries[i] = e
	if m.faults.restartedStaysMember {
		e.id = old.id
		return
	}
	m.append(e.id, cfrecord.Record{Candidate: &cfrecord.Candidate{Member: cfrecord.Member{Entry: e.id, Peer: e.peer}}})
}

// step takes one random step. reachable and lagging are bit masks of entries: the agent
// reaches the entries in reachable, and the entries in lagging do not read the log.
func (m *model) step(reachable, lagging int) {
	pick := func(name string) *modelEntry {
		return m.entries[rapid.IntRange(0, len(m.entries)-1).Draw(m.t, name)]
	}
	switch k := rapid.IntRange(0, 999).Draw(m.t, "action"); {
	case k < 250:
		m.passTime(time.Duration(rapid.IntRange(1, 60).Draw(m.t, "ms")) * time.Millisecond)
	case k < 500:
		m.pollRound(rapid.IntRange(0, 1<<modelEntries-1).Draw(m.t, "participants") &^ lagging)
	case k < 600:
		// A lagging entry takes part in no poll round. It often polls here instead, because it
		// cannot grant leases without recent answers.
		from := pick("from")
		if lagging != 0 && rapid.Bool().Draw(m.t, "lagging") {
			from = m.entries[bits.TrailingZeros(uint(lagging))]
		}
		m.poll(from, pick("to"))
		m.deliverLast(rapid.IntRange(0, 2).Draw(m.t, "deliveries"))
	case k < 750:
		if reachable == 0 {
			return
		}
		i := rapid.IntRange(0, len(m.entries)-1).Draw(m.t, "ask")
		for reachable&(1<<i) == 0 {
			i = (i + 1) % len(m.entries)
		}
		m.deliverAnswer(m.entries[i])
		m.requestGrant(m.entries[i])
		// The first delivery is the agent's request. If the entry sends a grant, the second
		// delivery is that grant. Without a second delivery, the grant stays in flight (see
		// passTime).
		m.deliverLast(rapid.IntRange(1, 2).Draw(m.t, "deliveries"))
	case k < 770:
		m.decide(pick("decide"))
	case k < 773:
		e := pick("claim")
		m.append(e.id, cfrecord.Record{Claim: &cfrecord.Claim{Epoch: e.state.Epoch + 1, Entry: e.id}})
	case k < 790:
		m.restart(rapid.IntRange(0, len(m.entries)-1).Draw(m.t, "restart"))
	case len(m.messages) == 0:
	case k < 960:
		i := rapid.IntRange(0, len(m.messages)-1).Draw(m.t, "deliver")
		if !m.messages[i].grant && !m.messages[i].answer {
			m.deliver(i)
		}
	default:
		i := rapid.IntRange(0, len(m.messages)-1).Draw(m.t, "lose")
		m.messages = append(m.messages[:i:i], m.messages[i+1:]...)
	}
}

// pollRound makes the entries in the bit mask participants apply the log and poll each other
// without delay. The planner then makes a decision.
func (m *model) pollRound(participants int) {
	for i, a := range m.entries {
		if participants&(1<<i) == 0 || m.now < a.idleUntil {
			continue
		}
		m.applyAll(a)
		for j, b := range m.entries {
			if i != j && participants&(1<<j) != 0 {
				m.poll(a, b)
				m.deliverLast(2)
			}
		}
	}
	m.decideAndAppend()
}

// passTime advances the clock. When the lease is about to expire, the network first
// delivers a grant that extends the lease, if such a grant is in flight. This is the worst
// case, because the run then continues for as long as possible.
func (m *model) passTime(d time.Duration) {
	step := 20 * time.Millisecond
	for ; d > 0; d -= step {
		if !m.leaseExpired && m.leaseUntil-m.vmClock() < 2*step {
			m.deliverGrants()
		}
		m.advance(min(d, step))
	}
}

// deliverAnswer delivers the oldest answer in flight to entry e.
func (m *model) deliverAnswer(e *modelEntry) {
	for i := range m.messages {
		if m.messages[i].answer && m.messages[i].to == e {
			m.deliver(i)
			return
		}
	}
}

// deliverGrants delivers grants in flight, newest first, until one extends the lease.
func (m *model) deliverGrants() {
	for i := len(m.messages) - 1; i >= 0; i-- {
		if !m.messages[i].grant {
			continue
		}
		before := m.leaseUntil
		m.deliver(i)
		if m.leaseUntil > before {
			return
		}
	}
}

// deliverLast delivers up to n messages, always the newest one in flight. A request is
// thus followed by the reply to it.
func (m *model) deliverLast(n int) {
	for range n {
		if len(m.messages) > 0 {
			m.deliver(len(m.messages) - 1)
		}
	}
}

// decideAndAppend makes the current planner decide and append without delay.
func (m *model) decideAndAppend() {
	for _, e := range m.entries {
		if e.id != m.logState.Planner {
			continue
		}
		m.applyAll(e)
		before := len(m.messages)
		m.decide(e)
		if len(m.messages) > before {
			m.deliver(len(m.messages) - 1)
		}
		return
	}
}

// run executes one random history. Up to a random step, the agent reaches all entries and
// every entry reads the log. From then on, the agent reaches only some entries or none,
// and one entry possibly stops reading the log.
func (m *model) run() {
	cutAt := rapid.IntRange(0, modelSteps/8).Draw(m.t, "cut at")
	reachableAfterCut := rapid.IntRange(0, 1<<modelEntries-2).Draw(m.t, "reached after")
	laggingAfterCut := rapid.SampledFrom([]int{0, 2, 4}).Draw(m.t, "lags after")
	for i := 0; i < modelSteps && m.evictions == 0; i++ {
		if i < cutAt {
			m.step(1<<modelEntries-1, 0)
			continue
		}
		m.step(reachableAfterCut, laggingAfterCut)
	}
}
