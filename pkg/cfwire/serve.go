package cfwire

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
)

// Serve hands each message of a connection to handle until the connection ends, has
// been silent for longer than limit, or the context ends. It sends a Beat where
// nothing else was sent for a period.
func Serve(ctx context.Context, c *Conn, clock clockwork.Clock, period, limit time.Duration, handle func(context.Context, *Message)) {
	ctx, cancel := context.WithCancel(ctx)
	kept := make(chan struct{})
	go func() {
		defer close(kept)
		Keep(ctx, c, clock, period, limit)
		cancel()
	}()
	defer func() { cancel(); <-kept }()
	for {
		m, err := c.Receive(ctx)
		if err != nil {
			return
		}
		handle(ctx, m)
	}
}
