package cfentry

import (
	"context"
	"net/netip"
	"sort"
	"sync/atomic"
	"time"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cfgrant"
	"cranberryford/pkg/cfroute"
	"cranberryford/pkg/cfschedule"
	"cranberryford/pkg/cfstate"
	"cranberryford/pkg/cfwire"
)

// serveControl serves an agent's control connection until it closes.
func (e *Entry) serveControl(ctx context.Context, conn *cfwire.Conn) {
	s := &session{conn: conn, worker: cfcore.WorkerID(conn.Peer().Name), agentInstance: conn.Peer().Instance}
	if !e.enqueue(ctx, sessionUp{session: s}) {
		return
	}
	defer e.enqueue(ctx, sessionDown{session: s})
	e.receiveMessages(ctx, conn, e.cfg.Lease.Ask+e.cfg.Routing.Beat, func(m *cfwire.Message) {
		if m.GrantRequest != nil {
			e.enqueue(ctx, grantRequestReceived{session: s, request: m.GrantRequest})
		}
	})
}

// serveTraffic serves an agent's connection for calls until it closes.
func (e *Entry) serveTraffic(ctx context.Context, conn *cfwire.Conn) {
	reply := make(chan *cfroute.Link, 1)
	if !e.enqueue(ctx, trafficUp{peer: conn.Peer(), conn: conn, reply: reply}) {
		return
	}
	link := <-reply
	defer e.enqueue(ctx, trafficDown{link: link, conn: conn})
	e.receiveMessages(ctx, conn, e.cfg.Routing.Beat, func(m *cfwire.Message) {
		if m.Answer != nil && !link.Deliver(m.Answer) {
			e.Scope.Counter("answers_unclaimed").Inc(1)
		}
	})
}

// receiveMessages passes messages to handle until the connection closes, or until no
// message has arrived for 2*Routing.Suspect or 2*period, whichever is longer. Meanwhile it
// sends a heartbeat whenever this entry has sent no message for period.
func (e *Entry) receiveMessages(ctx context.Context, conn *cfwire.Conn, period time.Duration, handle func(*cfwire.Message)) {
	ctx, cancel := context.WithCancel(ctx)
	keepAliveDone := make(chan struct{})
	go func() {
		defer close(keepAliveDone)
		cfwire.KeepAlive(ctx, conn, e.Clock, period, max(2*e.cfg.Routing.Suspect, 2*period))
		cancel()
	}()
	defer func() { cancel(); <-keepAliveDone }()
	for {
		m, err := conn.Receive(ctx)
		if err != nil {
			return
		}
		handle(m)
	}
}

// handleAgentEvent handles an event from an agent's connection.
func (c *control) handleAgentEvent(ev event) {
	switch ev := ev.(type) {
	case sessionUp:
		c.sessions[ev.session] = true
		c.sessionCount++
		ev.session.number = c.sessionCount
		c.endOtherLinks(ev.session.worker, ev.session.agentInstance)
	case sessionDown:
		delete(c.sessions, ev.session)
		if c.reporters[ev.session.worker] == ev.session {
			delete(c.reporters, ev.session.worker)
		}
		c.tableDirty = true
	case grantRequestReceived:
		c.handleGrantRequest(ev)
	case trafficUp:
		ev.reply <- c.addToLink(ev.peer, ev.conn)
		c.tableDirty = true
	case trafficDown:
		ev.link.Remove(ev.conn)
		c.tableDirty = true
	}
}

// addToLink adds a connection to the Link of an agent's incarnation and returns this Link.
// The first connection creates the Link.
func (c *control) addToLink(p cfwire.Peer, conn *cfwire.Conn) *cfroute.Link {
	l := c.links[p.Instance]
	if l == nil {
		l = cfroute.NewLink(cfcore.WorkerID(p.Name), p.Instance, c.cfg.Routing.Suspect)
		c.links[p.Instance] = l
		c.endOtherLinks(l.Worker, p.Instance)
	}
	l.Add(conn)
	return l
}

// endOtherLinks ends the links to all incarnations of a worker's agent except the current
// one. A link that still has a usable connection is kept. The calls in flight on an ended
// link get the verdict Unknown.
func (c *control) endOtherLinks(w cfcore.WorkerID, current cfcore.InstanceID) {
	for id, l := range c.links {
		if l.Worker == w && id != current && !l.Up() {
			l.End()
			delete(c.links, id)
		}
	}
}

// handleGrantRequest stores the WorkerInfo and the report that an agent's grant request
// carries, and answers the request. It also sends the desired state of the agent's worker
// if that state has changed since it was last sent. It ignores a request on a session that the agent
// has replaced: it can name an instance of the VM that has ended since.
func (c *control) handleGrantRequest(ev grantRequestReceived) {
	s, req := ev.session, ev.request
	if newest := c.reporters[s.worker]; newest != nil && newest.number > s.number {
		c.Scope.Counter("grant_requests_outdated").Inc(1)
		return
	}
	c.reporters[s.worker] = s
	if req.About != nil {
		s.workerInfo = *req.About
		c.tableDirty = true
	}
	if req.Report != nil {
		s.report = *req.Report
		c.tableDirty = true
	}
	if s.lastRequest == nil || s.lastRequest.Leaving != req.Leaving {
		c.tableDirty = true
	}
	s.lastRequest = req
	now := c.Clock.Now()
	c.workers[s.worker] = &cfschedule.WorkerView{
		Worker: s.worker, Instance: req.Instance, DataCentre: s.workerInfo.DataCentre, Rack: s.workerInfo.Rack,
		Capacity: s.workerInfo.Capacity, Runs: s.report.Runs, LastReportAt: now, LastDirectReportAt: now,
		Leaving: req.Leaving,
	}
	for _, t := range s.report.Targets {
		if b := c.backends[backendKey{s.agentInstance, t.Service, t.Address}]; b != nil {
			c.router.RecordReport(b)
		}
	}
	c.countUnsent(s.conn.Send(&cfwire.Message{Grant: c.grantAnswer(s, req)}))
	c.sendDesiredTo(s)
}

// grantAnswer returns the answer to a grant request: a grant, or the reason for a
// refusal. The answer lists the members if the version of the membership differs from the
// version that was last sent on this session.
func (c *control) grantAnswer(s *session, req *cfwire.GrantRequest) *cfwire.Grant {
	g := &cfwire.Grant{Seq: req.Seq, Refusal: string(cfgrant.RefusedNotMember)}
	if c.state() == nil {
		return g
	}
	if version := c.state().MemberVersion; version != s.sentMemberVersion {
		s.sentMemberVersion = version
		g.Entries = c.state().Members
	}
	w := c.state().Workers[s.worker]
	if w == nil || w.Instance != req.Instance {
		// The state does not have this VM instance yet, or another one has replaced it.
		g.Refusal = string(cfgrant.RefusedInstance)
		return g
	}
	refusal := c.grantTable.Check(c.grantView(), s.worker, c.Clock.Now())
	g.Refusal = string(refusal)
	g.Fenced = refusal == cfgrant.RefusedFenced
	return g
}

// sendDesired calls sendDesiredTo for each session that has sent a grant request.
func (c *control) sendDesired() {
	for s := range c.sessions {
		if s.lastRequest != nil {
			c.sendDesiredTo(s)
		}
	}
}

// sendDesiredTo sends the desired state of the session's worker. It sends nothing if the
// desired state that was last sent on the session is still current.
func (c *control) sendDesiredTo(s *session) {
	state := c.state()
	if state == nil || s.unsentFrom > c.desiredChangeOffset[s.worker] {
		return
	}
	s.unsentFrom = state.Offset + 1
	c.countUnsent(s.conn.Send(&cfwire.Message{Desired: desiredOf(state, s.worker)}))
}

// desiredOf returns the runs that a worker should have, in the order of their
// assignments.
func desiredOf(state *cfstate.State, id cfcore.WorkerID) *cfwire.DesiredState {
	d := &cfwire.DesiredState{Offset: state.Offset}
	w := state.Workers[id]
	if w == nil {
		return d
	}
	for task, a := range w.Tasks {
		t := state.Tasks[task]
		d.Items = append(d.Items, cfwire.DesiredRun{
			Assignment: a, Task: task, Instance: t.Instance, Workload: state.Workloads[t.Workload].Spec,
			Checkpoint: t.Checkpoint, Stop: t.Status == cfstate.TaskStopping,
		})
	}
	sort.Slice(d.Items, func(i, j int) bool { return d.Items[i].Assignment < d.Items[j].Assignment })
	return d
}

// backendKey identifies a target that one incarnation of an agent has reported.
type backendKey struct {
	agentInstance cfcore.InstanceID
	service       string
	address       netip.AddrPort
}

// publishTable rebuilds and publishes the routing table if tableDirty is set.
func (c *control) publishTable() {
	s := c.state()
	if s == nil || !c.tableDirty {
		return
	}
	c.tableDirty = false
	table := &cfroute.Table{Services: map[string]*cfroute.Service{}}
	for name, w := range s.Workloads {
		if w.Spec.Class == cfcore.ClassService && !w.Removed {
			table.Services[name] = c.newService(name, w.Spec.Timeout)
		}
	}
	newBackends := map[backendKey]*cfroute.Backend{}
	for _, session := range c.sortedSessions() {
		c.addBackends(table, session, newBackends)
	}
	c.backends = newBackends
	c.router.Publish(table)
	c.ready.Store(true)
}

// newService returns a cfroute.Service without backends. It shares the count of ejected
// targets with the previous Service of the same name.
func (c *control) newService(name string, timeout time.Duration) *cfroute.Service {
	svc := &cfroute.Service{Name: name, Timeout: timeout, Ejected: &atomic.Int64{}}
	if old := c.services[name]; old != nil {
		svc.Ejected = old.Ejected
	}
	c.services[name] = svc
	return svc
}

// sortedSessions returns the sessions that have sent a grant request, sorted by worker.
func (c *control) sortedSessions() []*session {
	out := make([]*session, 0, len(c.sessions))
	for s := range c.sessions {
		if s.lastRequest != nil {
			out = append(out, s)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].worker < out[j].worker })
	return out
}

// addBackends adds the targets that a session's agent has reported to the routing table,
// and to added, which holds all backends in that table. It adds none if the agent is
// shutting down or has no link for calls, or if the worker is fenced or draining. It skips
// a target that is leaving, a target whose service is not in the table, and a target that
// is already in added. An unchanged target keeps its Backend, and thus its measurements.
func (c *control) addBackends(table *cfroute.Table, s *session, added map[backendKey]*cfroute.Backend) {
	w := c.state().Workers[s.worker]
	link := c.links[s.agentInstance]
	if s.lastRequest.Leaving || link == nil || (w != nil && (w.Fenced || w.Draining)) {
		return
	}
	for _, t := range s.report.Targets {
		svc := table.Services[t.Service]
		key := backendKey{s.agentInstance, t.Service, t.Address}
		if svc == nil || t.Leaving || added[key] != nil {
			continue
		}
		b := c.backends[key]
		if b == nil || b.Target != t || b.Link != link {
			b = &cfroute.Backend{
				Service: t.Service, Worker: s.worker, DataCentre: s.workerInfo.DataCentre, Target: t, Link: link,
			}
			c.router.RecordReport(b)
		}
		added[key] = b
		svc.Backends = append(svc.Backends, b)
	}
}

// plannerInput returns the state, reports and measurements from which the planner makes its
// decisions.
func (c *control) plannerInput() cfschedule.Input {
	return cfschedule.Input{
		Self: c.id, State: c.state(), Workers: c.workers, Entries: c.grantTable,
		Now: c.Clock.Now(), Rand: c.rand, Interference: c.interference,
	}
}
