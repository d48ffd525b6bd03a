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
	s := &session{conn: conn, worker: cfcore.WorkerID(conn.Peer().Name), agent: conn.Peer().Instance}
	if !e.enqueue(ctx, sessionUp{session: s}) {
		return
	}
	defer e.enqueue(ctx, sessionDown{session: s})
	e.receive(ctx, conn, e.cfg.Lease.Ask+e.cfg.Routing.Beat, func(m *cfwire.Message) {
		if m.Ask != nil {
			e.enqueue(ctx, grantRequestReceived{session: s, request: m.Ask})
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
	e.receive(ctx, conn, e.cfg.Routing.Beat, func(m *cfwire.Message) {
		if m.Answer != nil && !link.Deliver(m.Answer) {
			e.Scope.Counter("answers_unclaimed").Inc(1)
		}
	})
}

// receive passes messages to handle until the connection closes, or until no message
// has arrived for 2*Routing.Suspect or 2*period, whichever is longer. Meanwhile it sends
// a heartbeat whenever no message was sent for period.
func (e *Entry) receive(ctx context.Context, conn *cfwire.Conn, period time.Duration, handle func(*cfwire.Message)) {
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

// handleAgents handles the events of agents' connections.
func (c *control) handleAgents(ev event) {
	switch ev := ev.(type) {
	case sessionUp:
		c.sessions[ev.session] = true
		c.endOlderLinks(ev.session.worker, ev.session.agent)
	case sessionDown:
		delete(c.sessions, ev.session)
		c.tableDirty = true
	case grantRequestReceived:
		c.handleGrantRequest(ev)
	case trafficUp:
		ev.reply <- c.link(ev.peer, ev.conn)
		c.tableDirty = true
	case trafficDown:
		ev.link.Remove(ev.conn)
		c.tableDirty = true
	}
}

// link adds a connection to the link of an agent's incarnation and returns the
// link, which it creates for the first connection.
func (c *control) link(p cfwire.Peer, conn *cfwire.Conn) *cfroute.Link {
	l := c.links[p.Instance]
	if l == nil {
		l = cfroute.NewLink(cfcore.WorkerID(p.Name), p.Instance, c.cfg.Routing.Suspect)
		c.links[p.Instance] = l
		c.endOlderLinks(l.Worker, p.Instance)
	}
	l.Add(conn)
	return l
}

// endOlderLinks ends the links to earlier incarnations of a worker's agent that
// have no usable connection. The calls in flight on these links get the verdict Unknown.
func (c *control) endOlderLinks(w cfcore.WorkerID, current cfcore.InstanceID) {
	for id, l := range c.links {
		if l.Worker == w && id != current && !l.Up() {
			l.End()
			delete(c.links, id)
		}
	}
}

// handleGrantRequest stores the report that an agent's grant request carries, and
// answers the request.
func (c *control) handleGrantRequest(ev grantRequestReceived) {
	s, req := ev.session, ev.request
	if req.About != nil {
		s.about = *req.About
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
		Worker: s.worker, Instance: req.Instance, DataCentre: s.about.DataCentre, Rack: s.about.Rack,
		Capacity: s.about.Capacity, Runs: s.report.Runs, LastReportAt: now, LastDirectReportAt: now,
		Leaving: req.Leaving,
	}
	for _, t := range s.report.Targets {
		if b := c.backends[backendKey{s.agent, t.Service, t.Address}]; b != nil {
			c.router.RecordReport(b)
		}
	}
	c.countUnsent(s.conn.Send(&cfwire.Message{Grant: c.grant(s, req)}))
	c.sendDesiredTo(s)
}

// grant returns the answer to a grant request: a grant, or the reason for a
// refusal. It contains the members if they have changed since the last answer.
func (c *control) grant(s *session, req *cfwire.GrantRequest) *cfwire.Grant {
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
		// This instance is not on the log yet, or another one has replaced it.
		g.Refusal = string(cfgrant.RefusedInstance)
		return g
	}
	refusal := c.grants.Check(c.view(), s.worker, c.Clock.Now())
	g.Refusal = string(refusal)
	g.Barred = refusal == cfgrant.RefusedFenced
	return g
}

// sendDesired sends each agent its desired state if it has changed.
func (c *control) sendDesired() {
	for s := range c.sessions {
		if s.lastRequest != nil {
			c.sendDesiredTo(s)
		}
	}
}

func (c *control) sendDesiredTo(s *session) {
	state := c.state()
	if state == nil || s.unsentFrom > c.changedAt[s.worker] {
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

// backendKey identifies a target of one incarnation of an agent.
type backendKey struct {
	agent   cfcore.InstanceID
	service string
	address netip.AddrPort
}

// publish rebuilds and publishes the routing table if its inputs have changed.
func (c *control) publish() {
	s := c.state()
	if s == nil || !c.tableDirty {
		return
	}
	c.tableDirty = false
	table := &cfroute.Table{Services: map[string]*cfroute.Service{}}
	for name, w := range s.Workloads {
		if w.Spec.Class == cfcore.ClassService && !w.Removed {
			table.Services[name] = c.service(name, w.Spec.Timeout)
		}
	}
	next := map[backendKey]*cfroute.Backend{}
	for _, session := range c.sortedSessions() {
		c.addBackends(table, session, next)
	}
	c.backends = next
	c.router.Publish(table)
	c.ready.Store(true)
}

// service returns a new cfroute.Service without backends. It shares the count of
// ejected targets with the previous one of the same name.
func (c *control) service(name string, timeout time.Duration) *cfroute.Service {
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

// addBackends adds the targets of one session to the routing table and to next, unless
// the session's worker is leaving, fenced or draining. It reuses the Backend of an
// unchanged target, which keeps the target's measurements.
func (c *control) addBackends(table *cfroute.Table, s *session, next map[backendKey]*cfroute.Backend) {
	w := c.state().Workers[s.worker]
	link := c.links[s.agent]
	if s.lastRequest.Leaving || link == nil || (w != nil && (w.Barred || w.Draining)) {
		return
	}
	for _, t := range s.report.Targets {
		svc := table.Services[t.Service]
		key := backendKey{s.agent, t.Service, t.Address}
		if svc == nil || t.Leaving || next[key] != nil {
			continue
		}
		b := c.backends[key]
		if b == nil || b.Target != t || b.Link != link {
			b = &cfroute.Backend{
				Service: t.Service, Worker: s.worker, DataCentre: s.about.DataCentre, Target: t, Link: link,
			}
			c.router.RecordReport(b)
		}
		next[key] = b
		svc.Backends = append(svc.Backends, b)
	}
}

// input returns the planner's input.
func (c *control) input() cfschedule.Input {
	return cfschedule.Input{
		Self: c.id, State: c.state(), Workers: c.workers, Entries: c.grants,
		Now: c.Clock.Now(), Rand: c.rand, Interference: c.interference,
	}
}
