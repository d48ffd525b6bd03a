package cfwire

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
)

// KeepAliveConn is the part of a connection that KeepAlive uses.
type KeepAliveConn interface {
	Send(m *Message) error
	SinceReceived() time.Duration
	SinceSent() time.Duration
	Done() <-chan struct{}
}

// KeepAlive sends a heartbeat whenever no message was sent for the duration period. It returns
// when the connection is closed, when a heartbeat cannot be sent, when no message was received
// for longer than limit, or when the context is done.
func KeepAlive(ctx context.Context, c KeepAliveConn, clock clockwork.Clock, period, limit time.Duration) {
	t := clock.NewTicker(period)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.Done():
			return
		case <-t.Chan():
		}
		if c.SinceReceived() > limit {
			return
		}
		if c.SinceSent() >= period && c.Send(&Message{Heartbeat: &Heartbeat{}}) != nil {
			return
		}
	}
}
