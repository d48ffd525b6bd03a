package cfwire

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
)

// Beater is what Keep needs of a connection.
type Beater interface {
	Send(m *Message) error
	Silence() time.Duration
	Idle() time.Duration
	Done() <-chan struct{}
}

// Keep sends a Beat where nothing else was sent for a period, and returns when the connection has ended, has
// been silent for longer than limit, or the context ends.
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
