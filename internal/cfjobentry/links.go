package cfjobentry

import (
	"context"
	"net/http"
	"net/netip"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cfjob"
	"cranberryford/pkg/cfwire"
)

// link is a connection that an agent or another entry has opened to this entry.
type link struct {
	conn *cfwire.Conn
	// name is the name of the agent or the entry. instance is the incarnation of its process.
	name     string
	instance cfcore.InstanceID
	// upAt is when the connection was registered, on the boot clock.
	upAt time.Duration
	// orderedEpoch is the epoch in which this entry last sent orders on the connection.
	orderedEpoch cfcore.Epoch
}

// innerHandler accepts connections of agents and other entries.
func (e *Entry) innerHandler(ctx context.Context) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+cfwire.Path, func(w http.ResponseWriter, r *http.Request) {
		conn, closeConn, err := cfwire.Accept(ctx, w, r, e.wireOptions(cfwire.RoleEntry))
		if err != nil {
			e.Log.Warn().Err(err).Msg("handshake with an agent or another entry failed; connection closed")
			return
		}
		defer closeConn()
		e.serveConn(ctx, conn)
	})
	return mux
}

// serveConn passes the messages on a connection of an agent or another entry to the
// control goroutine and the relay, until the connection or the context ends.
func (e *Entry) serveConn(ctx context.Context, conn *cfwire.Conn) {
	l := &link{conn: conn, name: conn.Peer().Name, instance: conn.Peer().Instance}
	e.post(ctx, linkUp{link: l})
	defer func() { e.post(context.WithoutCancel(ctx), linkDown{link: l}) }()
	if conn.Peer().Role == cfwire.RolePeer {
		defer e.relay.addConn(conn)()
	}
	cfwire.Serve(ctx, conn, e.Clock, e.cfg.Beat, e.cfg.Suspect, func(ctx context.Context, m *cfwire.Message) {
		switch {
		case m.JobReport != nil:
			e.post(ctx, reportReceived{link: l, report: m.JobReport})
		case m.JobEntries != nil:
			e.relay.recordPeerAddr(l.name, m.JobEntries.Addresses)
		case m.JobPollAnswer != nil:
			e.post(ctx, pollAnswered{link: l, answer: m.JobPollAnswer})
		default:
			e.handleRelayMessage(ctx, conn, m)
		}
	})
}

// watchPlanner keeps a connection to the planner of a claim until the context ends, and
// posts that planner's messages. It posts plannerGone if the planner's port refuses
// connections, or if the planner's process has restarted. A claim received from another
// entry has no instance, so a restart is not detected for such a claim.
func (e *Entry) watchPlanner(ctx context.Context, claim cfjob.Claim) {
	for ctx.Err() == nil {
		conn, closeConn, err := cfwire.Dial(ctx, claim.Address, e.wireOptions(cfwire.RolePeer))
		switch {
		case errors.Is(err, syscall.ECONNREFUSED):
			e.post(ctx, plannerGone{epoch: claim.Epoch})
		case err == nil && claim.Instance != "" && string(conn.Peer().Instance) != claim.Instance:
			e.post(ctx, plannerGone{epoch: claim.Epoch})
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

// watchConn posts the messages on a connection that this entry has opened to another
// entry, until the connection or the context ends. epoch is the epoch of the other entry
// if it is the planner, or 0 if it is not known to be the planner.
func (e *Entry) watchConn(ctx context.Context, conn *cfwire.Conn, epoch cfcore.Epoch) {
	defer e.relay.addConn(conn)()
	if err := conn.Send(&cfwire.Message{JobEntries: &cfwire.JobEntries{Addresses: []netip.AddrPort{e.cfg.Inner}}}); err != nil {
		e.Log.Debug().Err(err).Str("Entry", conn.Peer().Name).Msg("address of this entry not sent to another entry")
	}
	cfwire.Serve(ctx, conn, e.Clock, e.cfg.Beat, e.cfg.Suspect, func(ctx context.Context, m *cfwire.Message) {
		switch {
		case m.JobEntries != nil && m.JobEntries.Resigned:
			e.post(ctx, plannerGone{epoch: epoch})
		case m.JobEntries != nil:
			e.relay.recordDiscoveredAddrs(m.JobEntries.Addresses)
			e.post(ctx, entriesReceived{conn: conn, entries: m.JobEntries})
			e.post(ctx, plannerMessage{epoch: epoch})
		case m.JobPoll != nil:
			e.post(ctx, pollReceived{conn: conn, poll: m.JobPoll})
		case e.handleRelayMessage(ctx, conn, m):
		default:
			e.post(ctx, plannerMessage{epoch: epoch})
		}
	})
}

// handleRelayMessage handles another entry's message about records or a configuration. It
// reports whether m was such a message.
func (e *Entry) handleRelayMessage(ctx context.Context, conn *cfwire.Conn, m *cfwire.Message) bool {
	switch {
	case m.JobRecords != nil:
		e.post(ctx, recordsStored{records: m.JobRecords.Records})
	case m.JobAppend != nil:
		e.relay.handleAppendRequest(ctx, conn, m.JobAppend)
	case m.JobAppendAnswer != nil:
		e.relay.handleAppendAnswer(m.JobAppendAnswer)
	case m.JobConfigAsk != nil:
		e.sendConfig(conn, m.JobConfigAsk)
	case m.JobConfig != nil:
		e.post(ctx, configPart{conn: conn, part: m.JobConfig})
	default:
		return false
	}
	return true
}
