package cfjobentry

import (
	"context"
	"net/http"
	"net/netip"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cfwire"
)

// link is the connection of an agent.
type link struct {
	conn *cfwire.Conn
	name string
	// told is the number of the entries list that was sent last on it.
	told uint64
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
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	kept := make(chan struct{})
	go func() {
		defer close(kept)
		cfwire.Keep(ctx, conn, e.Clock, e.cfg.Beat, e.cfg.Suspect)
		cancel()
	}()
	defer func() { cancel(); <-kept }()
	l := &link{conn: conn, name: conn.Peer().Name}
	e.tell(ctx, linkUp{link: l})
	defer func() { e.tell(context.WithoutCancel(ctx), linkDown{link: l}) }()
	for {
		m, err := conn.Receive(ctx)
		if err != nil {
			return
		}
		if m.JobReport != nil {
			e.tell(ctx, reported{link: l, report: m.JobReport})
		}
	}
}

// watch keeps a connection to the planner of an epoch and tells whether it lives.
func (e *Entry) watch(ctx context.Context, epoch cfcore.Epoch, addr netip.AddrPort) {
	for ctx.Err() == nil {
		conn, closeConn, err := cfwire.Dial(ctx, addr, e.wireOptions(cfwire.RolePeer))
		if err == nil {
			e.watchConn(ctx, conn, epoch)
			closeConn()
		}
		select {
		case <-ctx.Done():
		case <-e.Clock.After(retryDelay):
		}
	}
}

func (e *Entry) watchConn(ctx context.Context, conn *cfwire.Conn, epoch cfcore.Epoch) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	kept := make(chan struct{})
	go func() {
		defer close(kept)
		cfwire.Keep(ctx, conn, e.Clock, e.cfg.Beat, e.cfg.Suspect)
		cancel()
	}()
	defer func() { cancel(); <-kept }()
	for {
		m, err := conn.Receive(ctx)
		if err != nil {
			return
		}
		if m.JobEntries != nil && m.JobEntries.Resigned {
			e.tell(ctx, peerGone{epoch: epoch})
			continue
		}
		e.tell(ctx, peerHeard{epoch: epoch})
	}
}
