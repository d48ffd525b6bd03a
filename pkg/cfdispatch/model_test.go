package cfdispatch_test

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"pgregory.net/rapid"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cfdispatch"
	"cranberryford/pkg/cfjob"
	"cranberryford/pkg/cfwire"
)

// Parameters of the model.
const (
	modelTick  = 100 * time.Millisecond
	modelTicks = 400
	// leadershipTime is how long an earlier planner keeps its leadership after a new one
	// was created. slowClockFactor is the factor by which a lease lasts longer on a
	// worker's slow clock. shortTask and longTask are the durations of tasks, in ticks. A
	// long task outlasts a lease that is not extended.
	leadershipTime  = 2 * time.Second
	slowClockFactor = 1.02
	shortTask       = 15
	longTask        = 110
	// maxOrderDelay is the maximum delay after which an unanswered order is carried out.
	maxOrderDelay = 12 * time.Second
	// runsPerWorker is how many tasks of the model's jobs fit on a worker.
	runsPerWorker = 4
)

var workerCapacity = cfcore.Resources{MilliCores: 4000, MemoryMB: 8000}

// modelScope selects the disruptions in a history besides takeovers and cuts between planners
// and agents.
type modelScope struct {
	// lateStarts, lateStops and lateHolds let orders of a kind be carried out late if they
	// get no answer.
	lateStarts, lateStops, lateHolds bool
	// workerRestarts and agentRestarts restart workers under the same ID and agents.
	workerRestarts, agentRestarts bool
	// workerCuts cut workers from their agents.
	workerCuts bool
	// slowClocks make the workers' clocks slow.
	slowClocks bool
	// storeOutages make the store refuse the records of the newest planner for a while.
	storeOutages bool
	// stalls stop the progress of all runs on a worker for a while.
	stalls bool
	// lateReports let reports of agents arrive after newer ones, on a former connection.
	lateReports bool
	// heldOrders let orders arrive late at agents, on a former connection.
	heldOrders bool
	// fewTakeovers makes takeovers rare, so that planners are in force long enough to count leases
	// as expired.
	fewTakeovers bool
	// newIDs give each incarnation of a worker an ID of its own. A call to another incarnation has
	// no effect then, so that no run is orphaned.
	newIDs bool
	// jobKinds lets jobs be gangs, duplicable, repeated, or have two steps.
	jobKinds bool
	// shortLists let workers leave out ends of their lists.
	shortLists bool
	// lateStore lets the store carry out and answer records late.
	lateStore bool
	// flaps make workers refuse starts and fail runs by turns.
	flaps bool
	// lateAnswers let answers of workers arrive after those of later calls.
	lateAnswers bool
	// lateCheckIns let a check-in of a former incarnation be the first one that a restarted agent gets.
	lateCheckIns bool
	// leaves lets workers announce that they leave. Others with new IDs follow them.
	leaves bool
	// largeProgress lets jobs have checkpoints so large that a batch cannot hold two. Which of two jobs
	// comes first is not reproducible.
	largeProgress bool
	// refusals make workers that flap also refuse stops and calls for the run lists, and waitingHolds
	// let calls for the run lists wait for an end, and workers that flap answer them late.
	refusals, waitingHolds bool
	// rare makes disruptions rare, so that ends are listed with none near.
	rare bool
	// longLeases lets workers be older than the longest lease at the start, and check-ins be as rare as
	// on the platform: calls with a time on the clock of a former incarnation give long leases.
	longLeases bool
	// formerCheckIns let check-ins of all former incarnations arrive at any time, and lateGoodbyes let
	// a goodbye arrive of which the incarnation is not known.
	formerCheckIns, lateGoodbyes bool
	// bornSetBack lets a new incarnation have an earlier start time than a former one.
	bornSetBack bool
	// drains let workers drain for a while.
	drains bool
	// slowStops lets stops take up to 0.8 s, in which the run can still end as done.
	slowStops bool
	// clockSteps lets the time of day step, calls fail at once, and agents restart with their workers. Agents
	// then number their sessions and withhold orders as internal/cfjobagent does.
	clockSteps bool
	// room lets workers be full although the planner thinks otherwise.
	room bool
	// lateBeyondTimeout lets answers arrive up to 1.6 s late, with lateAnswers. The agent gives a call up before.
	lateBeyondTimeout bool
	// checkpoints lets tasks write checkpoints, and starts resume from them.
	checkpoints bool
	// oneWayCuts cut planners from agents in one direction, and pausedPlanners stop planners after a check
	// of their authority.
	oneWayCuts, pausedPlanners bool
	// losses lets machines be lost, and planners be replaced in series soon after.
	losses bool
	// fullPhases lets workers be full, be cut from their agents and restart, in series.
	fullPhases bool
	// lasting lets some jobs have a task that lasts.
	lasting bool
	// superseded lets agents and workers restart while a superseded planner still orders starts from them.
	superseded bool
}

// The scopes of the tests.
var (
	takeovers               = modelScope{slowClocks: true}
	lateStarts              = modelScope{slowClocks: true, lateStarts: true}
	lateOrders              = modelScope{slowClocks: true, lateStarts: true, lateStops: true, lateHolds: true}
	workerRestarts          = modelScope{slowClocks: true, workerRestarts: true}
	restartsAndLateStarts   = modelScope{slowClocks: true, workerRestarts: true, lateStarts: true}
	restartsAndLate         = modelScope{slowClocks: true, workerRestarts: true, lateStarts: true, lateStops: true, lateHolds: true}
	agentRestarts           = modelScope{slowClocks: true, agentRestarts: true, lateStarts: true, workerCuts: true}
	agentAndWorkerRestarts  = modelScope{slowClocks: true, workerRestarts: true, agentRestarts: true}
	workerCuts              = modelScope{slowClocks: true, workerCuts: true}
	storeOutages            = modelScope{slowClocks: true, storeOutages: true}
	stalls                  = modelScope{slowClocks: true, lateStarts: true, lateStops: true, stalls: true}
	lateReports             = modelScope{slowClocks: true, lateReports: true, workerCuts: true, lateStarts: true}
	takeoversAndLateReports = modelScope{slowClocks: true, lateReports: true}
	restartsAndLateReports  = modelScope{slowClocks: true, lateReports: true, agentRestarts: true, lateStarts: true, workerCuts: true}
	heldOrders              = modelScope{slowClocks: true, heldOrders: true, fewTakeovers: true}
	lateMessages            = modelScope{slowClocks: true, heldOrders: true, lateReports: true, agentRestarts: true, lateStarts: true, workerCuts: true}
	allWithLateReports      = modelScope{
		lateReports: true, heldOrders: true, lateStarts: true, lateStops: true, lateHolds: true, workerRestarts: true, agentRestarts: true,
		workerCuts: true, slowClocks: true, storeOutages: true,
	}
	// These restart workers only under new IDs. No run is orphaned, so that each violation counts.
	newIDs        = modelScope{slowClocks: true, newIDs: true, workerRestarts: true, lateStarts: true, lateStops: true, lateHolds: true}
	jobKinds      = modelScope{slowClocks: true, jobKinds: true, lateStarts: true, lateStops: true, lateHolds: true, workerCuts: true}
	shortLists    = modelScope{slowClocks: true, shortLists: true, lateHolds: true, workerCuts: true, storeOutages: true}
	lateStore     = modelScope{slowClocks: true, lateStore: true, storeOutages: true, lateHolds: true}
	lateAnswers   = modelScope{slowClocks: true, lateAnswers: true, lateStarts: true, lateStops: true, lateHolds: true, stalls: true, flaps: true}
	lateCheckIns  = modelScope{slowClocks: true, lateCheckIns: true, newIDs: true, workerRestarts: true, agentRestarts: true, fewTakeovers: true}
	leaves        = modelScope{slowClocks: true, leaves: true, newIDs: true, workerRestarts: true, lateStarts: true, lateStops: true, lateHolds: true, lateStore: true}
	largeProgress = modelScope{slowClocks: true, largeProgress: true, lateStore: true, storeOutages: true, flaps: true, newIDs: true, workerRestarts: true, lateHolds: true}
	flaps         = modelScope{slowClocks: true, flaps: true, lateStarts: true, lateStops: true, workerCuts: true, newIDs: true, workerRestarts: true}
	newerAndCuts  = modelScope{slowClocks: true, jobKinds: true, shortLists: true, lateStore: true, flaps: true, newIDs: true, workerRestarts: true, workerCuts: true, storeOutages: true, fewTakeovers: true}
	allWithNewIDs = modelScope{
		newIDs: true, jobKinds: true, shortLists: true, lateStore: true, flaps: true, leaves: true, stalls: true, lateAnswers: true,
		lateReports: true, heldOrders: true, lateStarts: true, lateStops: true, lateHolds: true, workerRestarts: true, agentRestarts: true,
		workerCuts: true, slowClocks: true, storeOutages: true,
	}
	allDisruptions = modelScope{
		lateStarts: true, lateStops: true, lateHolds: true, workerRestarts: true, agentRestarts: true,
		workerCuts: true, slowClocks: true, storeOutages: true,
	}
)

// modelFaults are faults of planners, agents and workers that the model must detect.
type modelFaults struct {
	// releaseBusy makes planners drop the records of agents whose draining workers have runs.
	releaseBusy bool
	// ignoreLeases makes planners count all leases on a worker as expired soon after the
	// contact with the worker's agent is lost.
	ignoreLeases bool
	// expectNoAgents makes a new planner start jobs without waiting for the earlier planner's
	// agents.
	expectNoAgents bool
	// skipFencing makes workers accept orders of earlier planners.
	skipFencing bool
	// reportUncertain makes agents report a start without an answer as refused, and
	// trustStops a stop without an answer as carried out.
	reportUncertain, trustStops bool
	// relativeLeases makes workers count a lease from the arrival of a hold.
	relativeLeases bool
	// trustCheckIns makes agents that have just started report the worker of the first check-in, and
	// that it has left if another incarnation answers.
	trustCheckIns bool
	// hideSameID makes agents report another worker ID for each incarnation.
	hideSameID bool
	// forgetUncertain makes agents report a refusal although an earlier attempt got no
	// answer.
	forgetUncertain bool
	// hideUnanswered makes agents report no unanswered starts.
	hideUnanswered bool
	// forgetResults makes agents forget the results of starts.
	forgetResults bool
	// executeOutdated makes agents execute starts that the planner has possibly given up, and
	// ignoreSilence those that it has possibly given up because no report arrived.
	executeOutdated, ignoreSilence bool
	// expireUnreachable makes agents report the leases of an unreachable worker as expired at
	// once.
	expireUnreachable bool
	// ackUnrecorded makes planners acknowledge ends that are not recorded.
	ackUnrecorded bool
	// presentExpiry makes planners count leases as expired although a newer planner possibly
	// extended them.
	presentExpiry bool
	// keepSession makes agents keep their session after unanswered orders.
	keepSession bool
	// newJobsAtOnce makes planners start new jobs while an earlier planner is in force.
	newJobsAtOnce bool
	// skipUnknownJobs makes planners take jobs that they have not read yet for unknown ones.
	skipUnknownJobs bool
	// orderUnconfirmed makes planners give orders to agents that have restarted since their
	// leadership was last confirmed.
	orderUnconfirmed bool
	// ignoreProgress makes a new planner ignore which tasks are recorded as done.
	ignoreProgress bool
	// applyLate makes planners apply reports that arrive after newer ones, and applyEarlier
	// those that were sent in an earlier epoch, to the same entry.
	applyLate, applyEarlier bool
	// trustGoodbyes makes agents take a goodbye for that of the present incarnation, and ignoreSetBack
	// makes them ignore one with an earlier start time than the former one.
	trustGoodbyes, ignoreSetBack bool
	// trustRefusedStops makes agents report a stop that the worker refused as carried out.
	trustRefusedStops bool
	// applyEarlierLists makes agents use the run lists of calls with an earlier epoch.
	applyEarlierLists bool
	// forgetLongLeases makes agents ignore that leases can be longer after a restart.
	forgetLongLeases bool
	// extendUnconfirmed makes agents extend leases by the clock of a check-in.
	extendUnconfirmed bool
	// ignoreClocks makes agents ignore that the clock in the answer to a start is behind.
	ignoreClocks bool
	// timeOfDaySessions makes agents number their sessions by the time of day.
	timeOfDaySessions bool
	// trustRoom makes agents report a start as refused if a worker refuses a later attempt for want of room.
	trustRoom bool
	// mixCheckpoints makes agents send starts with the checkpoint of the start before.
	mixCheckpoints bool
	// ignoreFailedCalls makes agents send starts after a failed call, and repeat them at once.
	ignoreFailedCalls bool
	// grantUnanswered lets agents use a permission whose answer is lost.
	grantUnanswered bool
	// answerAbsent makes planners let absent agents extend leases. trustAbsences makes new planners take absent
	// agents for such without runs.
	answerAbsent, trustAbsences bool
	// trustRecords makes new planners take agents' records for complete, also for starts after their claims.
	trustRecords bool
	// trustOutages makes new planners take agents' records for complete that the store has not taken for a while.
	trustOutages bool
	// renumberRefused makes planners give a refused start that got no answer before another number.
	renumberRefused bool
	// keepGrants makes agents keep their permissions although the worker has not responded.
	keepGrants bool
}

// modelPlanner is a planner together with its epoch.
type modelPlanner struct {
	*cfdispatch.Planner
	epoch cfcore.Epoch
	// electedAt is when the planner was elected. jobs are those that it has not read yet, by
	// the time at which it reads them.
	electedAt time.Time
	jobs      []unreadJob
	// confirmedAt is when the planner last was the newest one. Its authority ends
	// leadershipTime later.
	confirmedAt time.Time
	// recordedAgents are the agents on record as far as the planner knows.
	recordedAgents map[string]bool
	// reachedAt is when the planner last reached each agent.
	reachedAt map[string]time.Time
	// isCut holds the agents that the planner did not reach last.
	isCut map[string]bool
	// instances holds the accepted instance of each agent, lastReports the sequence number of the
	// newest applied report of that instance.
	instances   map[string]*modelAgent
	lastReports map[string]uint64
	// entry is the entry that is the planner. It is 0 without late reports: all entries then differ.
	entry int
	// progress and ends are in the batch that the store has not accepted yet. append is the append
	// of the batch that is in flight; nil if there is none.
	progress []cfdispatch.JobProgress
	ends     []cfdispatch.EndedRunsPosition
	append   *modelAppend
	// readEnds holds the ends that the planner has read, for the trace.
	readEnds map[string]bool
	// pause is the stop that the planner is in, or nil.
	pause *modelPause
	// absenceChanges are not in the store yet. hasEnded is set once the planner has resigned or was killed.
	absenceChanges []absenceChange
	hasEnded       bool
}

// unreadJob is an accepted job that a planner has not read in the store yet.
type unreadJob struct {
	job      *cfjob.StoredJob
	storedAt time.Time
	readAt   time.Time
}

// modelLink is the connection of an agent to its worker.
type modelLink struct {
	disturbedUntil time.Time
	disturbance    disturbance
}

// disturbance is the effect of a disturbed connection.
type disturbance int

const (
	// loseSomeAnswers lets some calls get no answer, loseAllAnswers all. The calls are possibly
	// carried out late.
	loseSomeAnswers disturbance = iota
	loseAllAnswers
	// loseCalls lets no call arrive.
	loseCalls
)

var disturbanceText = []string{"some get no answer", "none gets an answer", "none arrives"}

// model is a random simulation of planners, agents and workers that advances in ticks.
// Planners are replaced while earlier ones still have leadership. Each agent can be
// disconnected from each planner separately.
type model struct {
	t          *rapid.T
	scope      modelScope
	faults     modelFaults
	now        time.Time
	planners   []*modelPlanner
	agents     []*modelAgent
	workers    []*modelWorker
	links      map[string]*modelLink
	lateOrders []lateOrder
	// isLateStart is set while late orders are carried out.
	isLateStart bool
	// lateReports are held back on former connections.
	lateReports []lateReport
	heldOrders  []heldOrder
	appends     []*modelAppend
	// gangs holds the gangs whose members have been present together.
	gangs map[modelGang]*modelGangRun
	// isOrphaned is set while a start is carried out that was ordered to an earlier incarnation of
	// the worker.
	isOrphaned bool
	// jobs and recordedAgents are in the store. The store refuses records until
	// storeDownUntil.
	jobs map[string]*cfjob.StoredJob
	// taskTicks holds the duration of each job's tasks, in ticks.
	taskTicks      map[string]int
	recordedAgents map[string]bool
	// lateAgents are the agents that are recorded to have late starts.
	lateAgents map[string]bool
	// markedAt is when a planner last marked the records of agents as complete.
	markedAt       time.Time
	storeDownUntil time.Time
	// disconnectedUntil is indexed by the planner's epoch followed by the agent's name.
	disconnectedUntil map[string]time.Time
	// oneWay is indexed in the same way.
	oneWay map[string]*oneWayCut

	// orderedAt is when the start of each run was last ordered, by run number. recordedAt is when
	// the store first had each task as done.
	orderedAt  map[uint64]time.Time
	recordedAt map[cfcore.TaskName]time.Time
	ends       map[cfcore.TaskName][]*modelEnd
	twoRuns    map[cfcore.TaskName]bool
	// listings are the listed ends that possibly count as acknowledged. disruptedAt is when a
	// disruption was last near each worker.
	listings    []modelListing
	disruptedAt map[string]time.Time
	violations  []violation
	trace       []string
	modelCheckpoints
	modelAbsences
	modelStarts
	modelSuperseded
}

// electPlanner creates a new planner.
func (m *model) electPlanner() {
	epoch := cfcore.Epoch(len(m.planners) + 1)
	near := m.agentsNearExpiry()
	// With split set, the new planner reaches only the agents in near. The others can still
	// follow the earlier planner.
	split := len(near) > 0 && rapid.Bool().Draw(m.t, "split")
	s := settings
	s.Epoch, s.RecordedAt = epoch, m.markedAt
	if m.faults.ignoreLeases {
		s.GrantTime, s.LeaseTime = 0, 0
	}
	if m.faults.trustRecords {
		s.ClaimedAt, s.RecordedAt = m.now.Add(time.Hour), time.Time{}
	}
	if m.faults.trustOutages {
		s.RecordedAt = time.Time{}
	}
	names := slices.Sorted(maps.Keys(m.recordedAgents))
	if m.faults.expectNoAgents {
		names = nil
	}
	p := &modelPlanner{
		Planner: cfdispatch.New(s, names, m.now.Add(leadershipTime+settings.LeaseExpiryTime())),
		epoch:   epoch, electedAt: m.now, recordedAgents: maps.Clone(m.recordedAgents), readEnds: map[string]bool{}, reachedAt: map[string]time.Time{}, isCut: map[string]bool{},
		instances: map[string]*modelAgent{}, lastReports: map[string]uint64{}, entry: m.nextEntry(),
	}
	m.tracef("planner %d elected", epoch)
	for _, name := range names {
		switch {
		case m.lateAgents[name]:
		case m.now.Sub(m.markedAt) <= cfdispatch.RecordsValidFor:
			p.SetAnswered(name)
		default:
			p.SetOutdated(name)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(m.jobs)) {
		e := *m.jobs[id]
		if m.faults.ignoreProgress {
			e.Progress = nil
		}
		p.AddJob(m.now, &e, queue, true)
	}
	m.restoreAbsences(p)
	m.planners = append(m.planners, p)
	for _, a := range m.agents {
		if split && !near[a] || !split && m.oneIn(2, "unreached") {
			m.disconnect(p, a)
		}
	}
}

// oneIn draws true with the probability 1/2^bits. The range generators of rapid prefer small
// numbers, which would make some disruptions too frequent and most of them too short.
func (m *model) oneIn(bits int, label string) bool {
	for range bits {
		if !rapid.Bool().Draw(m.t, label) {
			return false
		}
	}
	return true
}

// uniform draws a number below 2^bits.
func (m *model) uniform(bits int, label string) int {
	n := 0
	for range bits {
		n *= 2
		if rapid.Bool().Draw(m.t, label) {
			n++
		}
	}
	return n
}

// ticks draws a duration of up to 2^bits ticks.
func (m *model) ticks(bits int, label string) time.Duration {
	return time.Duration(1+m.uniform(bits, label)) * modelTick
}

// disconnect cuts an agent from a planner for a while.
func (m *model) disconnect(p *modelPlanner, a *modelAgent) {
	until := m.now.Add(m.ticks(7, "cut"))
	m.disconnectedUntil[fmt.Sprint(p.epoch, a.name)] = until
	m.tracef("planner %d is cut from %s until %.1f", p.epoch, a.name, until.Sub(epochStart).Seconds())
}

func (m *model) isDisconnected(p *modelPlanner, a *modelAgent) bool {
	return m.now.Before(m.disconnectedUntil[fmt.Sprint(p.epoch, a.name)]) || m.now.Before(m.lostUntil[a.name])
}

// advance simulates one tick.
func (m *model) advance() {
	m.now = m.now.Add(modelTick)
	for _, w := range m.workers {
		w.advance()
	}
	m.advanceGangs()
	for _, w := range m.workers {
		w.markLapsed()
	}
	m.runLateOrders()
	m.runAppends()
	m.dropLateReports()
	m.deliverHeldOrders()
	for _, a := range m.agents {
		a.advance()
	}
	m.advanceFullPhases()
	if newest := m.planners[len(m.planners)-1]; newest.pause == nil && !newest.hasEnded {
		newest.confirmedAt = m.now
	}
	for _, p := range m.planners {
		if p.hasEnded || m.resume(p) {
			continue
		}
		if m.now.Sub(p.confirmedAt) < leadershipTime {
			m.runPlanner(p)
		}
	}
	m.checkUniqueRuns()
	m.noteListedEnds()
	m.checkOpenStarts()
}

func (m *model) runLateOrders() {
	remaining := m.lateOrders[:0]
	m.isLateStart = true
	defer func() { m.isLateStart = false }()
	for _, o := range m.lateOrders {
		if m.now.Before(o.at) {
			remaining = append(remaining, o)
			continue
		}
		o.run()
	}
	m.lateOrders = remaining
}

// runPlanner delivers the reports of the agents that a planner reaches, and sends its orders.
func (m *model) runPlanner(p *modelPlanner) {
	for _, a := range m.agents {
		if a.epoch > p.epoch || p.confirmedAt.Before(a.startedAt) && !m.faults.orderUnconfirmed {
			continue
		}
		if m.playOneWayCut(p, a) {
			continue
		}
		isCut := m.isDisconnected(p, a)
		if !isCut {
			p.acceptInstance(a)
			a.follow(p.epoch)
			m.repeatAcknowledgement(p, a)
		}
		p.isCut[a.name] = isCut
		if m.holdsBack(p, a) {
			m.holdBack(p, a)
			continue
		}
		if isCut {
			continue
		}
		if m.pausesInReport(p, a) {
			return
		}
		m.applyReport(p, a, a.takeReport())
		if !m.mayAnswer(p, a) {
			continue
		}
		p.MarkAnswered(a.name, m.now)
		a.hasGrant, a.grantedAt, p.reachedAt[a.name] = true, m.now, m.now
	}
	m.applyLateReports(p)
	if !m.pauses(p, pauseBeforeRound, 9) {
		m.planRound(p)
	}
}

// planRound plays a planning round.
func (m *model) planRound(p *modelPlanner) {
	m.readJobs(p)
	gone := m.expireLeases(p)
	p.Plan(m.now)
	m.record(p, gone)
	orders := p.TakeOrders(m.now)
	if len(orders) > 0 && m.pauses(p, pauseBeforeSending, 6) {
		p.pause.orders = orders
	} else {
		m.sendAll(p, orders, m.agents)
	}
	m.traceEvents(p)
}

// sendAll sends orders to those of the given agents that have not restarted since.
func (m *model) sendAll(p *modelPlanner, orders map[string]*cfdispatch.Orders, agents []*modelAgent) {
	for _, a := range agents {
		if o := orders[a.name]; o != nil && a.epoch == p.epoch && slices.Contains(m.agents, a) {
			m.sendOrders(heldOrder{p: p, a: a, o: o, after: p.lastReports[a.name]})
		}
	}
}

// expireLeases returns the agents whose records are dropped.
func (m *model) expireLeases(p *modelPlanner) []string {
	var names []string
	confirmed := p.confirmedAt
	if m.faults.presentExpiry {
		confirmed = m.now
	}
	for _, g := range p.ExpireLeases(m.now, confirmed) {
		names = append(names, g.Agent)
		if g.IsEmpty {
			m.tracef("planner %d: %s is taken off the record", p.epoch, g.Agent)
		}
	}
	slices.Sort(names)
	for _, name := range names {
		delete(p.recordedAgents, name)
		if p == m.planners[len(m.planners)-1] {
			m.dropAbsence(p, name)
		}
		m.tracef("planner %d: leases of %s have expired", p.epoch, name)
	}
	return names
}

// traceReport adds the ends that a planner reads for the first time to the trace.
func (m *model) traceReport(p *modelPlanner, a *modelAgent, r *cfwire.JobReport) {
	if r.Lists == nil {
		return
	}
	for _, e := range r.Lists.Ended {
		if k := fmt.Sprint(a.name, r.Lists.Born, e.Number); !p.readEnds[k] {
			p.readEnds[k] = true
			m.tracef("planner %d reads end %d of %s: run %x of %s as %s", p.epoch, e.Number, a.name, e.Run, taskString(e.Task), e.How)
		}
	}
}

// traceEvents adds a planner's events to the trace.
func (m *model) traceEvents(p *modelPlanner) {
	events := p.TakeEvents()
	slices.SortFunc(events, func(a, b cfdispatch.Event) int {
		return cmp.Or(compareTasks(a.Task, b.Task), cmp.Compare(a.Run, b.Run), cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Agent, b.Agent))
	})
	for _, e := range events {
		if e.Kind != cfdispatch.EventOutcome {
			m.tracef("planner %d: %s: run %x of %s on %s %s", p.epoch, e.Kind, e.Run, taskString(e.Task), e.Agent, cmp.Or(string(e.Refusal), e.Reason))
		}
	}
}

// runModel simulates one random history.
func runModel(t *rapid.T, scope modelScope, faults modelFaults) *model {
	m := &model{
		t: t, scope: scope, faults: faults, now: epochStart, jobs: map[string]*cfjob.StoredJob{}, taskTicks: map[string]int{}, recordedAgents: map[string]bool{}, lateAgents: map[string]bool{},
		links: map[string]*modelLink{}, gangs: map[modelGang]*modelGangRun{}, disconnectedUntil: map[string]time.Time{}, oneWay: map[string]*oneWayCut{},
		orderedAt: map[uint64]time.Time{}, recordedAt: map[cfcore.TaskName]time.Time{},
		modelAbsences: modelAbsences{absences: map[string]cfdispatch.Absence{}, lostUntil: map[string]time.Time{}},
		disruptedAt:   map[string]time.Time{}, ends: map[cfcore.TaskName][]*modelEnd{}, twoRuns: map[cfcore.TaskName]bool{},
	}
	for i := range 3 {
		w := &modelWorker{m: m, name: fmt.Sprintf("a%d", i)}
		w.restart()
		m.workers = append(m.workers, w)
		m.agents = append(m.agents, newModelAgent(m, w))
		m.links[w.name] = &modelLink{}
	}
	m.electPlanner()
	for i := range modelTicks {
		if i%m.submitTicks() == 0 {
			m.submit(i)
		}
		if !m.scope.rare || m.oneIn(3, "disrupted") {
			m.injectFault()
			m.injectDisruption()
		}
		m.injectFormerLife()
		m.injectFullWorker()
		m.injectDrain()
		m.injectOneWayCut()
		m.injectLoss()
		m.injectSuperseded()
		m.advance()
	}
	return m
}
