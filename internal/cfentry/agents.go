package cfentry

import (
	"context"
	"net/netip"
	"sort"
	"sync/atomic"
	"time"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cffold"
	"cranberryford/pkg/cfgrant"
	"cranberryford/pkg/cfroute"
	"cranberryford/pkg/cfschedule"
	"cranberryford/pkg/cfwire"
)

// serveControl serves an agent's control connection until it ends.
func (e *Entry) serveControl(ctx context.Context, conn *cfwire.Conn) {
	s := &session{conn: conn, worker: cfcore.WorkerID(conn.Peer().Name), agent: conn.Peer().Instance}
	if !e.tell(ctx, sessionUp{session: s}) {
		return
	}
	defer e.tell(ctx, sessionDown{session: s})
	e.receive(ctx, conn, e.cfg.Lease.Ask+e.cfg.Routing.Beat, func(m *cfwire.Message) {
		if m.Ask != nil {
			e.tell(ctx, asked{session: s, ask: m.Ask})
		}
	})
}

// serveTraffic serves an agent's connection for calls until it ends.
func (e *Entry) serveTraffic(ctx context.Context, conn *cfwire.Conn) {
	reply := make(chan *cfroute.Link, 1)
	if !e.tell(ctx, trafficUp{peer: conn.Peer(), conn: conn, reply: reply}) {
		return
	}
	link := <-reply
	defer e.tell(ctx, trafficDown{link: link, conn: conn})
	e.receive(ctx, conn, e.cfg.Routing.Beat, func(m *cfwire.Message) {
		if m.Answer != nil && !link.Deliver(m.Answer) {
			e.Scope.Counter("answers_unclaimed").Inc(1)
		}
	})
}

// receive hands messages on until the connection ends or goes silent.
func (e *Entry) receive(ctx context.Context, conn *cfwire.Conn, beat time.Duration, handle func(*cfwire.Message)) {
	ctx, cancel := context.WithCancel(ctx)
	kept := make(chan struct{})
	go func() {
		defer close(kept)
		cfwire.Keep(ctx, conn, e.Clock, beat, max(2*e.cfg.Routing.Suspect, 2*beat))
		cancel()
	}()
	defer func() { cancel(); <-kept }()
	for {
		m, err := conn.Receive(ctx)
		if err != nil {
			return
		}
		handle(m)
	}
}

// handleAgents handles what comes from agents.
func (c *control) handleAgents(ev event) {
	switch ev := ev.(type) {
	case sessionUp:
		c.sessions[ev.session] = true
		c.endOlderLinks(ev.session.worker, ev.session.agent)
	case sessionDown:
		delete(c.sessions, ev.session)
		c.tableDirty = true
	case asked:
		c.asked(ev)
	case trafficUp:
		ev.reply <- c.link(ev.peer, ev.conn)
		c.tableDirty = true
	case trafficDown:
		ev.link.Remove(ev.conn)
		c.tableDirty = true
	}
}

// link returns the link of an agent's run.
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

// endOlderLinks ends the links of earlier runs of a worker's agent: calls open to
// them will not be answered.
func (c *control) endOlderLinks(w cfcore.WorkerID, run cfcore.InstanceID) {
	for id, l := range c.links {
		if l.Worker == w && id != run && !l.Up() {
			l.End()
			delete(c.links, id)
		}
	}
}

// asked answers an agent's question for lease time, and takes over its report.
func (c *control) asked(ev asked) {
	s, a := ev.session, ev.ask
	if a.About != nil {
		s.about = *a.About
		c.tableDirty = true
	}
	if a.Report != nil {
		s.report = *a.Report
		c.tableDirty = true
	}
	if s.hello == nil || s.hello.Leaving != a.Leaving {
		c.tableDirty = true
	}
	s.hello = a
	now := c.Clock.Now()
	c.workers[s.worker] = &cfschedule.WorkerView{
		Worker: s.worker, Instance: a.Instance, DataCentre: s.about.DataCentre, Rack: s.about.Rack,
		Capacity: s.about.Capacity, Runs: s.report.Runs, HeardAt: now, DirectAt: now,
		Leaving: a.Leaving,
	}
	for _, t := range s.report.Targets {
		if b := c.backends[backendKey{s.agent, t.Service, t.Address}]; b != nil {
			c.router.Heard(b)
		}
	}
	c.reply(s.conn.Send(&cfwire.Message{Grant: c.grant(s, a)}))
	c.sendDesiredTo(s)
}

func (c *control) grant(s *session, a *cfwire.Ask) *cfwire.Grant {
	g := &cfwire.Grant{Seq: a.Seq, Refusal: string(cfgrant.RefusedNotMember)}
	if c.state() == nil {
		return g
	}
	if version := c.state().MemberVersion; version != s.entriesAt {
		s.entriesAt = version
		g.Entries = c.state().Members
	}
	w := c.state().Workers[s.worker]
	if w == nil || w.Instance != a.Instance {
		// The log does not know this instance yet, or no longer.
		g.Refusal = string(cfgrant.RefusedInstance)
		return g
	}
	refusal := c.grants.Check(c.view(), s.worker, c.Clock.Now())
	g.Refusal = string(refusal)
	g.Barred = refusal == cfgrant.RefusedBarred
	return g
}

// sendDesired tells agents what should run, where that has changed.
func (c *control) sendDesired() {
	for s := range c.sessions {
		if s.hello != nil {
			c.sendDesiredTo(s)
		}
	}
}

func (c *control) sendDesiredTo(s *session) {
	state := c.state()
	if state == nil || s.desiredAt > c.changedAt[s.worker] {
		return
	}
	s.desiredAt = state.Offset + 1
	c.reply(s.conn.Send(&cfwire.Message{Desired: desiredOf(state, s.worker)}))
}

// desiredOf returns what should run on a worker.
func desiredOf(state *cffold.State, id cfcore.WorkerID) *cfwire.Desired {
	d := &cfwire.Desired{Offset: state.Offset}
	w := state.Workers[id]
	if w == nil {
		return d
	}
	for task, a := range w.Tasks {
		t := state.Tasks[task]
		d.Items = append(d.Items, cfwire.Item{
			Assignment: a, Task: task, Instance: t.Instance, Workload: state.Workloads[t.Workload].Spec,
			Checkpoint: t.Checkpoint, Stop: t.Status == cffold.TaskStopping,
		})
	}
	sort.Slice(d.Items, func(i, j int) bool { return d.Items[i].Assignment < d.Items[j].Assignment })
	return d
}

// backendKey names a target of one run of an agent.
type backendKey struct {
	agent   cfcore.InstanceID
	service string
	address netip.AddrPort
}

// publish builds the routing table again where something in it has changed.
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
	kept := map[backendKey]*cfroute.Backend{}
	for _, session := range c.sortedSessions() {
		c.addBackends(table, session, kept)
	}
	c.backends = kept
	c.router.Publish(table)
	c.ready.Store(true)
}

// service returns a new service that keeps the count of ejected targets.
func (c *control) service(name string, timeout time.Duration) *cfroute.Service {
	svc := &cfroute.Service{Name: name, Timeout: timeout, Ejected: &atomic.Int64{}}
	if old := c.services[name]; old != nil {
		svc.Ejected = old.Ejected
	}
	c.services[name] = svc
	return svc
}

func (c *control) sortedSessions() []*session {
	out := make([]*session, 0, len(c.sessions))
	for s := range c.sessions {
		if s.hello != nil {
			out = append(out, s)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].worker < out[j].worker })
	return out
}

func (c *control) addBackends(table *cfroute.Table, s *session, kept map[backendKey]*cfroute.Backend) {
	w := c.state().Workers[s.worker]
	link := c.links[s.agent]
	if s.hello.Leaving || link == nil || (w != nil && (w.Barred || w.Draining)) {
		return
	}
	for _, t := range s.report.Targets {
		svc := table.Services[t.Service]
		key := backendKey{s.agent, t.Service, t.Address}
		if svc == nil || t.Leaving || kept[key] != nil {
			continue
		}
		b := c.backends[key]
		if b == nil || b.Target != t || b.Link != link {
			b = &cfroute.Backend{
				Service: t.Service, Worker: s.worker, DataCentre: s.about.DataCentre, Target: t, Link: link,
			}
			c.router.Heard(b)
		}
		kept[key] = b
		svc.Backends = append(svc.Backends, b)
	}
}

// input is what the planner decides on.
func (c *control) input() cfschedule.Input {
	return cfschedule.Input{
		Self: c.id, State: c.state(), Workers: c.workers, Entries: c.grants,
		Now: c.Clock.Now(), Rand: c.rand, Harm: c.harm,
	}
}
