package cfentry

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cfgrant"
	"cranberryford/pkg/cfrecord"
	"cranberryford/pkg/cfstate"
	"cranberryford/pkg/cfwire"
)

// dialPeers starts a peer loop for each other entry that the settings list, and for each
// other member and candidate. It ends the peer loops for all other addresses.
func (c *control) dialPeers(ctx context.Context) {
	want := map[netip.AddrPort]bool{}
	for _, a := range c.cfg.Entries {
		want[a] = true
	}
	if s := c.state(); s != nil {
		for _, list := range [][]cfrecord.Member{s.Members, s.Candidates} {
			for _, m := range list {
				want[m.Peer] = true
			}
		}
	}
	delete(want, c.InnerAddr())
	delete(want, c.Advertised())
	for a := range want {
		if c.peerCancels[a] == nil {
			peerCtx, cancel := context.WithCancel(ctx)
			c.peerCancels[a] = cancel
			c.peerLoops++
			go func() { c.peerLoop(peerCtx, a); c.peerDone <- struct{}{} }()
		}
	}
	for a, cancel := range c.peerCancels {
		if !want[a] {
			cancel()
			delete(c.peerCancels, a)
		}
	}
}

// peerLoop connects to another entry, and reconnects, until ctx is done.
func (e *Entry) peerLoop(ctx context.Context, addr netip.AddrPort) {
	for ctx.Err() == nil {
		if err := e.pollPeer(ctx, addr); err != nil {
			e.Scope.Counter("peer_connections_lost").Inc(1)
		}
		if !e.sleep(ctx, e.cfg.Lease.Poll) {
			return
		}
	}
}

// pollPeer connects to another entry and polls it until the connection closes, or until
// no message has arrived for Lease.Grant.
func (e *Entry) pollPeer(ctx context.Context, addr netip.AddrPort) error {
	conn, cleanup, err := cfwire.Dial(ctx, addr, e.options(cfwire.RolePeer))
	if err != nil {
		return err
	}
	defer cleanup()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	sent := make(chan sentPoll, 64)
	pollLoopDone := make(chan struct{})
	go func() { defer close(pollLoopDone); defer cancel(); e.pollLoop(ctx, conn, sent) }()
	defer func() { cancel(); <-pollLoopDone }()
	inFlight := map[uint64]time.Time{}
	for {
		m, err := conn.Receive(ctx)
		if err != nil {
			return err
		}
		for len(sent) > 0 {
			p := <-sent
			inFlight[p.seq] = p.sentAt
		}
		e.handlePeerMessage(ctx, conn, m, inFlight)
	}
}

// sentPoll is the sequence number of a poll in flight and the time just before it was
// sent.
type sentPoll struct {
	seq    uint64
	sentAt time.Time
}

// pollLoop sends a poll every Lease.Poll. Before each poll, it passes the poll's number and
// time to sent. It returns when ctx is done, when the connection closes, or when no message
// has arrived for Lease.Grant.
func (e *Entry) pollLoop(ctx context.Context, conn *cfwire.Conn, sent chan<- sentPoll) {
	tick := e.Clock.NewTicker(e.cfg.Lease.Poll)
	defer tick.Stop()
	for seq := uint64(1); ; seq++ {
		// An answer is valid for Lease.Grant, counted from sentAt. sentAt is read before the
		// poll is sent, so it is never later than the time of the answer.
		p := sentPoll{seq: seq, sentAt: e.Clock.Now()}
		select {
		case sent <- p:
		case <-ctx.Done():
			return
		}
		poll := &cfwire.Poll{Seq: seq}
		if stale := e.staleWorkers.Load(); stale != nil {
			poll.StaleWorkers = *stale
		}
		if conn.Send(&cfwire.Message{Poll: poll}) != nil {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-conn.Done():
			return
		case <-tick.Chan():
		}
		if conn.SinceReceived() > e.cfg.Lease.Grant {
			return
		}
	}
}

// handlePeerMessage passes another entry's message to the control goroutine. inFlight
// maps the sequence number of each poll in flight to the time just before the poll was
// sent. An answered poll is removed from inFlight.
func (e *Entry) handlePeerMessage(ctx context.Context, conn *cfwire.Conn, m *cfwire.Message, inFlight map[uint64]time.Time) {
	switch {
	case m.PollAnswer != nil:
		sentAt, ok := inFlight[m.PollAnswer.Seq]
		if !ok {
			return
		}
		delete(inFlight, m.PollAnswer.Seq)
		e.enqueue(ctx, pollAnswered{answer: m.PollAnswer, sentAt: sentAt, conn: conn})
	case m.StateAnswer != nil:
		s, err := cfstate.Decode(e.Codec, m.StateAnswer.Data)
		if err != nil {
			e.Scope.Counter("states_undecodable").Inc(1)
			return
		}
		e.enqueue(ctx, stateReceived{state: s})
	}
}

// innerHandler returns the handler for connections of other entries and of agents.
func (e *Entry) innerHandler(ctx context.Context) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(cfwire.Path, func(w http.ResponseWriter, r *http.Request) {
		e.conns.Add(1)
		defer e.conns.Done()
		conn, cleanup, err := cfwire.Accept(ctx, w, r, e.options(cfwire.RoleEntry))
		if err != nil {
			e.Scope.Counter("handshakes_failed").Inc(1)
			return
		}
		defer cleanup()
		e.serveConn(ctx, conn)
	})
	return mux
}

// serveConn serves an accepted connection according to the role that the other process
// stated in the handshake.
func (e *Entry) serveConn(ctx context.Context, conn *cfwire.Conn) {
	switch conn.Peer().Role {
	case cfwire.RolePeer:
		e.servePeer(ctx, conn)
	case cfwire.RoleControl:
		e.serveControl(ctx, conn)
	case cfwire.RoleTraffic:
		e.serveTraffic(ctx, conn)
	}
}

// servePeer passes another entry's polls and state requests to the control goroutine
// until the connection closes.
func (e *Entry) servePeer(ctx context.Context, conn *cfwire.Conn) {
	for {
		m, err := conn.Receive(ctx)
		if err != nil {
			return
		}
		switch {
		case m.Poll != nil:
			e.enqueue(ctx, pollReceived{conn: conn, poll: m.Poll})
		case m.StateRequest != nil:
			e.enqueue(ctx, stateRequested{conn: conn, have: m.StateRequest.Have})
		}
	}
}

// handlePoll answers another entry's poll. Before this entry has a state, the answer
// has only Seq and Entry.
func (c *control) handlePoll(ev pollReceived) {
	s := c.state()
	a := &cfwire.PollAnswer{Seq: ev.poll.Seq, Entry: c.id}
	if s != nil {
		a.Offset, a.Version, a.Epoch = s.Offset, s.MemberVersion, s.Epoch
		a.Member = s.IsMember(c.id)
		a.Planning = s.Planner == c.id && !c.leaving.Load()
		a.Fenced = c.fencedWorkers()
		a.RelayedReports = c.directReports(ev.poll.StaleWorkers)
	}
	c.countUnsent(ev.conn.Send(&cfwire.Message{PollAnswer: a}))
}

// countUnsent counts a message that could not be sent, usually because the connection has
// ended. No retry is needed: entries and agents repeat their requests, and an agent gets
// the desired state again on a new connection.
func (c *control) countUnsent(err error) {
	if err != nil {
		c.Scope.Counter("replies_unsent").Inc(1)
	}
}

// handlePollAnswer records another entry's poll answer. It requests that entry's state if
// this entry has no state, or is behind and cannot catch up from the log.
func (c *control) handlePollAnswer(ev pollAnswered) {
	a := ev.answer
	c.grantTable.Put(a.Entry, cfgrant.PollAnswer{
		SentAt: ev.sentAt, Offset: a.Offset, Version: a.Version, Member: a.Member, Fenced: a.Fenced,
	})
	c.mergeReports(a.RelayedReports, ev.sentAt)
	s := c.state()
	if a.Planning && s != nil && a.Epoch >= s.Epoch {
		c.plannerSeenAt = c.Clock.Now()
	}
	behind := s == nil || (a.Offset > s.Offset && (!c.logHealthy || !c.reader.IsCurrent()))
	if behind && a.Offset > 0 {
		c.countUnsent(ev.conn.Send(&cfwire.Message{StateRequest: &cfwire.StateRequest{Have: c.stateOffset()}}))
	}
}

// stateOffset returns the log offset of this entry's state, or 0 without a state.
func (c *control) stateOffset() cfcore.Offset {
	if c.state() == nil {
		return 0
	}
	return c.state().Offset
}

// handleStateRequest sends the whole state to an entry that is behind this one.
func (c *control) handleStateRequest(ev stateRequested) {
	if c.stateOffset() <= ev.have {
		return
	}
	data, err := c.state().Encode(c.Codec)
	if err != nil {
		c.Log.Error().Err(err).Msg("cannot encode the state; another entry's request for it is not answered")
		return
	}
	c.countUnsent(ev.conn.Send(&cfwire.Message{StateAnswer: &cfwire.StateAnswer{Offset: c.stateOffset(), Data: data}}))
}

// handleState loads the state of another entry if that state is newer than this entry's.
// The desired state of every worker then counts as changed.
func (c *control) handleState(ev stateReceived) {
	if !c.reader.Load(ev.state) {
		return
	}
	c.Log.Info().Uint64("Offset", uint64(ev.state.Offset)).Msg("loaded a newer state from another entry")
	for w := range c.state().Workers {
		c.desiredChangeOffset[w] = c.state().Offset
	}
	c.afterApply()
}
