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
	"cranberryford/pkg/cffold"
	"cranberryford/pkg/cfgrant"
	"cranberryford/pkg/cfintent"
	"cranberryford/pkg/cfrecord"
	"cranberryford/pkg/cfschedule"
)

// The model runs the real fold, grant tables and scheduler of several entries,
// with one worker, over a network that delays and loses messages, clocks that
// drift, entries that stop and restart, and appends that arrive late. It fails
// where a run is declared over whose lease has not lapsed.

// plant is a fault that is built into the model on purpose.
type plant struct {
	// fromReceipt counts a grant from when it came in.
	fromReceipt bool
	// answersFromReceipt counts an entry's answer from when it came in.
	answersFromReceipt bool
	// restartCounts lets a restarted entry count for its former run.
	restartCounts bool
	// shortWait waits one grant period too few.
	shortWait bool
}

const (
	modelGrant   = 400 * time.Millisecond
	modelSilence = 100 * time.Millisecond
	// modelDrift is how much faster or slower a clock may run, in parts of 1000.
	modelDrift = 10
	// modelMargin covers the drift of two clocks over one wait.
	modelMargin  = 40 * time.Millisecond
	modelEntries = 3
	modelSteps   = 300
)

var epochStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// modelEntry is one run of an entry.
type modelEntry struct {
	id        cfcore.EntryID
	peer      netip.AddrPort
	rate      int64
	state     *cffold.State
	folded    int
	table     *cfgrant.Table
	scheduler *cfschedule.Scheduler
	views     map[cfcore.WorkerID]*cfschedule.WorkerView
	starts    int
	// quietUntil is until when a restarted run reads nothing of the log.
	quietUntil time.Duration
}

// message is something under way: it is delivered later, or lost.
type message struct {
	deliver func()
	to      *modelEntry
	// grant is set for a grant on its way to the agent, answer for an entry's
	// answer to another one. The network keeps them until they do most harm.
	grant  bool
	answer bool
}

type model struct {
	t        *rapid.T
	plant    plant
	now      time.Duration
	entries  []*modelEntry
	log      []*cfrecord.Batch
	truth    *cffold.State
	messages []message
	batches  int
	rand     *rand.Rand

	vmRate int64
	until  time.Duration
	lapsed bool
	evicts int
}

const (
	modelWorker   = cfcore.WorkerID("vm-0")
	modelInstance = cfcore.InstanceID("instance-0")
)

func newModel(t *rapid.T, p plant) *model {
	m := &model{t: t, plant: p, truth: cffold.NewState(), rand: rand.New(rand.NewPCG(1, 2))}
	m.vmRate = m.drift("vm")
	for i := range modelEntries {
		peer := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 1)
		m.entries = append(m.entries, m.newEntry(fmt.Sprintf("e%d", i), peer, m.drift(fmt.Sprint("e", i))))
	}
	m.setUp()
	return m
}

func (m *model) drift(name string) int64 {
	return 1000 + rapid.Int64Range(-modelDrift, modelDrift).Draw(m.t, "rate of "+name)
}

func (m *model) newEntry(id string, peer netip.AddrPort, rate int64) *modelEntry {
	timing := cfgrant.Timing{Grant: modelGrant, Margin: modelMargin}
	waiting := timing
	if m.plant.shortWait {
		waiting.Grant = modelGrant / 2
	}
	return &modelEntry{
		id: cfcore.EntryID(id), peer: peer, rate: rate, state: cffold.NewState(),
		table: cfgrant.NewTable(timing), views: map[cfcore.WorkerID]*cfschedule.WorkerView{},
		scheduler: cfschedule.New(cfschedule.Settings{
			Timing: waiting, Silence: modelSilence, EntrySilence: time.Hour, MaxBatch: 100,
			QuarantineAfter: 3, QuarantineFor: time.Minute,
		}, cfplace.Spread{}),
	}
}

// setUp brings the log to the state in which one task runs on the worker, with a
// full grant, and all entries have folded that.
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
		cfrecord.Record{Planned: &cfrecord.Planned{Plan: cfrecord.Plan{ID: "p", At: epochStart, Intent: in}}},
		cfrecord.Record{Confirmed: &cfrecord.Confirmed{Plan: "p"}},
		cfrecord.Record{Assign: &cfrecord.Assign{
			Epoch: 1, Task: "relay/0", Assignment: 1, Worker: modelWorker, Instance: modelInstance,
		}})
	for _, e := range m.entries {
		m.foldAll(e)
		e.views[modelWorker] = m.view(e)
	}
	if m.truth.Tasks["relay/0"].Status != cffold.TaskAssigned {
		m.t.Fatalf("the model does not begin with a task that runs: %v", m.truth.Void)
	}
	m.until = m.vmClock() + modelGrant
}

func (m *model) view(e *modelEntry) *cfschedule.WorkerView {
	return &cfschedule.WorkerView{
		Worker: modelWorker, Instance: modelInstance, HeardAt: m.clock(e),
		Capacity: cfcore.Resources{MilliCores: 9, MemoryMB: 9},
	}
}

func (m *model) clock(e *modelEntry) time.Time {
	return epochStart.Add(time.Duration(int64(m.now) / 1000 * e.rate))
}

func (m *model) vmClock() time.Duration { return time.Duration(int64(m.now) / 1000 * m.vmRate) }

// append adds a batch to the log, and checks what it means for the worker.
func (m *model) append(by cfcore.EntryID, records ...cfrecord.Record) {
	m.batches++
	b := &cfrecord.Batch{At: epochStart.Add(m.now), By: by, Records: records}
	b.ID[0], b.ID[1] = byte(m.batches), byte(m.batches>>8)
	m.log = append(m.log, b)
	for i, o := range m.truth.Apply(cfcore.Offset(len(m.log)), b) {
		e := records[i].Ended
		if o.Void != "" || e == nil || e.Assignment != 1 {
			continue
		}
		m.evicts++
		if !m.lapsed {
			m.t.Fatalf("run 1 was declared over at %s with lease until %s on the worker's clock %s", m.now, m.until, m.vmClock())
		}
	}
}

func (m *model) fold(e *modelEntry) {
	if e.folded < len(m.log) {
		e.folded++
		e.state.Apply(cfcore.Offset(e.folded), m.log[e.folded-1])
	}
}

func (m *model) foldAll(e *modelEntry) {
	for e.folded < len(m.log) {
		m.fold(e)
	}
}

func (m *model) advance(d time.Duration) {
	m.now += d
	if m.vmClock() >= m.until {
		m.lapsed = true
	}
}

func (m *model) viewOf(e *modelEntry) cfgrant.View {
	return cfgrant.View{
		Self: e.id, Version: e.state.MemberVersion, Members: e.state.Members,
		Barred: func(w cfcore.WorkerID) bool { x := e.state.Workers[w]; return x == nil || x.Barred },
	}
}

// poll lets entry a ask entry b.
func (m *model) poll(a, b *modelEntry) {
	sent := m.clock(a)
	m.send(b, func() {
		ans := cfgrant.Answer{
			SentAt: sent, Offset: b.state.Offset, Version: b.state.MemberVersion, Member: b.state.IsMember(b.id),
		}
		if w := b.state.Workers[modelWorker]; w != nil && w.Barred {
			ans.Barred = []cfcore.WorkerID{modelWorker}
		}
		id := b.id
		if m.plant.restartCounts {
			// The run before counts on, with what the new one does not know.
			id = cfcore.EntryID(string(b.id)[:2])
			ans.Member = true
		}
		m.messages = append(m.messages, message{to: a, answer: true, deliver: func() {
			if m.plant.answersFromReceipt {
				ans.SentAt = m.clock(a)
			}
			a.table.Put(id, ans)
		}})
	})
}

// ask lets the agent ask entry e for lease time.
func (m *model) ask(e *modelEntry) {
	base := m.vmClock()
	m.send(e, func() {
		e.views[modelWorker] = m.view(e)
		w := e.state.Workers[modelWorker]
		if w == nil || w.Instance != modelInstance || e.table.Check(m.viewOf(e), modelWorker, m.clock(e)) != cfgrant.RefusedNot {
			return
		}
		m.messages = append(m.messages, message{grant: true, deliver: func() {
			if m.plant.fromReceipt {
				base = m.vmClock()
			}
			if !m.lapsed {
				m.until = max(m.until, base+modelGrant)
			}
		}})
	})
}

func (m *model) send(to *modelEntry, deliver func()) {
	m.messages = append(m.messages, message{deliver: deliver, to: to})
}

// deliver delivers a message to a run that still exists.
func (m *model) deliver(i int) {
	msg := m.messages[i]
	m.messages = append(m.messages[:i:i], m.messages[i+1:]...)
	if m.alive(msg.to) {
		msg.deliver()
	}
}

func (m *model) alive(e *modelEntry) bool {
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

func (m *model) decide(e *modelEntry) {
	if e.state.Planner != e.id {
		return
	}
	records := e.scheduler.Decide(cfschedule.Input{
		Self: e.id, State: e.state, Workers: e.views, Entries: e.table, Now: m.clock(e), Rand: m.rand,
	})
	if len(records) > 0 {
		// An append may take effect long after it was sent, and after its author's end.
		m.messages = append(m.messages, message{deliver: func() { m.append(e.id, records...) }})
	}
}

// restart replaces the run at position i by one that remembers nothing.
func (m *model) restart(i int) {
	old := m.entries[i]
	id := fmt.Sprintf("e%d.%d", i, old.starts+1)
	e := m.newEntry(id, old.peer, old.rate)
	e.starts = old.starts + 1
	e.quietUntil = m.now + time.Duration(rapid.IntRange(0, 400).Draw(m.t, "quiet ms"))*time.Millisecond
	m.entries[i] = e
	if m.plant.restartCounts {
		e.id = old.id
		return
	}
	m.append(e.id, cfrecord.Record{Candidate: &cfrecord.Candidate{Member: cfrecord.Member{Entry: e.id, Peer: e.peer}}})
}

// step takes one random step. The agent reaches the entries whose bits are set in
// reaches; those whose bits are set in lags do not read the log.
func (m *model) step(reaches, lags int) {
	pick := func(name string) *modelEntry {
		return m.entries[rapid.IntRange(0, len(m.entries)-1).Draw(m.t, name)]
	}
	switch k := rapid.IntRange(0, 999).Draw(m.t, "action"); {
	case k < 250:
		m.pass(time.Duration(rapid.IntRange(1, 60).Draw(m.t, "ms")) * time.Millisecond)
	case k < 500:
		m.round(rapid.IntRange(0, 1<<modelEntries-1).Draw(m.t, "takes part") &^ lags)
	case k < 600:
		// The entries that lag poll more than the others: they live on answers.
		from := pick("from")
		if lags != 0 && rapid.Bool().Draw(m.t, "lagging") {
			from = m.entries[bits.TrailingZeros(uint(lags))]
		}
		m.poll(from, pick("to"))
		m.deliverLast(rapid.IntRange(0, 2).Draw(m.t, "legs"))
	case k < 750:
		if reaches == 0 {
			return
		}
		i := rapid.IntRange(0, len(m.entries)-1).Draw(m.t, "ask")
		for reaches&(1<<i) == 0 {
			i = (i + 1) % len(m.entries)
		}
		m.deliverAnswer(m.entries[i])
		m.ask(m.entries[i])
		// The answer arrives at once, or when it is needed.
		m.deliverLast(rapid.IntRange(1, 2).Draw(m.t, "legs"))
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

// round lets the entries whose bits are set fold the log and ask each other, with
// no delay, and the planner decide.
func (m *model) round(part int) {
	for i, a := range m.entries {
		if part&(1<<i) == 0 || m.now < a.quietUntil {
			continue
		}
		m.foldAll(a)
		for j, b := range m.entries {
			if i != j && part&(1<<j) != 0 {
				m.poll(a, b)
				m.deliverLast(2)
			}
		}
	}
	m.decideNow()
}

// pass lets time go by. Where the lease would lapse meanwhile, the network first
// delivers the grants that are under way: the worst that it can do is to keep a
// run alive for as long as possible.
func (m *model) pass(d time.Duration) {
	step := 20 * time.Millisecond
	for ; d > 0; d -= step {
		if !m.lapsed && m.until-m.vmClock() < 2*step {
			m.deliverGrants()
		}
		m.advance(min(d, step))
	}
}

// deliverAnswer delivers the oldest answer that is under way to an entry.
func (m *model) deliverAnswer(e *modelEntry) {
	for i := range m.messages {
		if m.messages[i].answer && m.messages[i].to == e {
			m.deliver(i)
			return
		}
	}
}

// deliverGrants delivers the grants that are under way until one extends the lease.
func (m *model) deliverGrants() {
	for i := len(m.messages) - 1; i >= 0; i-- {
		if !m.messages[i].grant {
			continue
		}
		before := m.until
		m.deliver(i)
		if m.until > before {
			return
		}
	}
}

// deliverLast delivers the message that was sent last, and those that it leads to.
func (m *model) deliverLast(n int) {
	for range n {
		if len(m.messages) > 0 {
			m.deliver(len(m.messages) - 1)
		}
	}
}

// decideNow lets the current planner decide, and append at once.
func (m *model) decideNow() {
	for _, e := range m.entries {
		if e.id != m.truth.Planner {
			continue
		}
		m.foldAll(e)
		before := len(m.messages)
		m.decide(e)
		if len(m.messages) > before {
			m.deliver(len(m.messages) - 1)
		}
		return
	}
}

// run takes the steps of one history: the agent reaches all entries up to some
// point, and only some of them, or none, after it.
func (m *model) run() {
	cutAt := rapid.IntRange(0, modelSteps/8).Draw(m.t, "cut at")
	after := rapid.IntRange(0, 1<<modelEntries-2).Draw(m.t, "reached after")
	lag := rapid.SampledFrom([]int{0, 2, 4}).Draw(m.t, "lags after")
	for i := 0; i < modelSteps && m.evicts == 0; i++ {
		if i < cutAt {
			m.step(1<<modelEntries-1, 0)
			continue
		}
		m.step(after, lag)
	}
}
