package cfjobentry

import (
	"context"
	"net/http"
	"net/netip"
	"syscall"

	"github.com/cockroachdb/errors"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cfjob"
	"cranberryford/pkg/cfwire"
)

// link is the connection of an agent.
type link struct {
	conn *cfwire.Conn
	name string
}

// innerHandler accepts the connections of agents and of other entries.
func (e *Entry) innerHandler(ctx context.Context) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+cfwire.Path, func(w http.ResponseWriter, r *http.Request) {
		conn, closeConn, err := cfwire.Accept(ctx, w, r, e.wireOptions(cfwire.RoleEntry))
		if err != nil {
			e.Log.Warn().Err(err).Msg("inner connection refused")
			return
		}
		defer closeConn()
		e.serveConn(ctx, conn)
	})
	return mux
}

func (e *Entry) serveConn(ctx context.Context, conn *cfwire.Conn) {
	l := &link{conn: conn, name: conn.Peer().Name}
	e.tell(ctx, linkUp{link: l})
	defer func() { e.tell(context.WithoutCancel(ctx), linkDown{link: l}) }()
	if conn.Peer().Role == cfwire.RolePeer {
		defer e.relay.join(conn)()
	}
	cfwire.Serve(ctx, conn, e.Clock, e.cfg.Beat, e.cfg.Suspect, func(ctx context.Context, m *cfwire.Message) {
		switch {
		case m.JobReport != nil:
			e.tell(ctx, reported{link: l, report: m.JobReport})
		case m.JobEntries != nil:
			e.relay.heardFrom(l.name, m.JobEntries.Addresses)
		case m.JobPollAnswer != nil:
			e.tell(ctx, answered{link: l, answer: m.JobPollAnswer})
		default:
			e.relayed(ctx, conn, m)
		}
	})
}

// watch keeps a connection to the planner of a claim and tells whether it lives. A
// planner whose port refuses connections, or that has started again, lives no more. A
// claim that another entry named has no instance.
func (e *Entry) watch(ctx context.Context, claim cfjob.Claim) {
	for ctx.Err() == nil {
		conn, closeConn, err := cfwire.Dial(ctx, claim.Address, e.wireOptions(cfwire.RolePeer))
		switch {
		case errors.Is(err, syscall.ECONNREFUSED):
			e.tell(ctx, peerGone{epoch: claim.Epoch})
		case err == nil && claim.Instance != "" && string(conn.Peer().Instance) != claim.Instance:
			e.tell(ctx, peerGone{epoch: claim.Epoch})
			closeConn()
		case err == nil:
			e.watchConn(ctx, conn, claim.Epoch)
			closeConn()
		}
		select {
		case <-ctx.Done():
		case <-e.Clock.After(retryDelay):
		}
	}
}

func (e *Entry) watchConn(ctx context.Context, conn *cfwire.Conn, epoch cfcore.Epoch) {
	defer e.relay.join(conn)()
	if err := conn.Send(&cfwire.Message{JobEntries: &cfwire.JobEntries{Addresses: []netip.AddrPort{e.cfg.Inner}}}); err != nil {
		e.Log.Debug().Err(err).Str("Entry", conn.Peer().Name).Msg("own address not sent")
	}
	cfwire.Serve(ctx, conn, e.Clock, e.cfg.Beat, e.cfg.Suspect, func(ctx context.Context, m *cfwire.Message) {
		switch {
		case m.JobEntries != nil && m.JobEntries.Resigned:
			e.tell(ctx, peerGone{epoch: epoch})
		case m.JobEntries != nil:
			e.relay.heardOf(m.JobEntries.Addresses)
			e.tell(ctx, peerNamed{conn: conn, entries: m.JobEntries})
			e.tell(ctx, peerHeard{epoch: epoch})
		case m.JobPoll != nil:
			e.tell(ctx, polled{conn: conn, poll: m.JobPoll})
		case e.relayed(ctx, conn, m):
		default:
			e.tell(ctx, peerHeard{epoch: epoch})
		}
	})
}

// relayed handles what another entry has to do with records and configurations, and
// reports whether the message was about that.
func (e *Entry) relayed(ctx context.Context, conn *cfwire.Conn, m *cfwire.Message) bool {
	switch {
	case m.JobRecords != nil:
		e.tell(ctx, accepted{records: m.JobRecords.Records})
	case m.JobAppend != nil:
		e.relay.serve(ctx, conn, m.JobAppend)
	case m.JobAppendAnswer != nil:
		e.relay.answered(m.JobAppendAnswer)
	case m.JobConfigAsk != nil:
		e.sendConfig(conn, m.JobConfigAsk)
	case m.JobConfig != nil:
		e.tell(ctx, configPart{conn: conn, part: m.JobConfig})
	default:
		return false
	}
	return true
}
