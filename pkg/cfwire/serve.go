package cfwire

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
)

// Serve calls handle for each message of a connection. It returns when the connection is
// closed, when no message was received for longer than limit, or when the context is done.
// Meanwhile it sends a heartbeat whenever no message was sent for the duration period.
func Serve(ctx context.Context, c *Conn, clock clockwork.Clock, period, limit time.Duration, handle func(context.Context, *Message)) {
	ctx, cancel := context.WithCancel(ctx)
	keepAliveDone := make(chan struct{})
	go func() {
		defer close(keepAliveDone)
		KeepAlive(ctx, c, clock, period, limit)
		cancel()
	}()
	defer func() { cancel(); <-keepAliveDone }()
	for {
		m, err := c.Receive(ctx)
		if err != nil {
			return
		}
		handle(ctx, m)
	}
}
