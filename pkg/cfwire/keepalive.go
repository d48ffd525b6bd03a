package cfwire

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
)

// Beater is the part of a connection that Keep uses.
type Beater interface {
	Send(m *Message) error
	Silence() time.Duration
	Idle() time.Duration
	Done() <-chan struct{}
}

// Keep sends a heartbeat whenever no message was sent for a period. It returns when the
// connection is closed, when no message was received for longer than limit, or when the
// context is done.
func Keep(ctx context.Context, c Beater, clock clockwork.Clock, period, limit time.Duration) {
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
		if c.Silence() > limit {
			return
		}
		if c.Idle() >= period && c.Send(&Message{Beat: &Beat{}}) != nil {
			return
		}
	}
}
