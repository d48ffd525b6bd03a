package cfnet

import (
	"context"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
)

// ConnPool is an HTTP transport. When a request times out, it closes all its idle connections:
// something between the two ends can have lost track of all open connections at once, while new
// ones work. Without that, each idle connection would cost one request its timeout.
type ConnPool struct{ transport *http.Transport }

// NewConnPool returns a pool that opens and keeps connections as t does.
func NewConnPool(t *http.Transport) *ConnPool { return &ConnPool{transport: t} }

// CloseIdleConnections closes the connections that no request uses.
func (p *ConnPool) CloseIdleConnections() { p.transport.CloseIdleConnections() }

// RoundTrip implements http.RoundTripper.
func (p *ConnPool) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := p.transport.RoundTrip(r)
	if err != nil {
		p.closeIdleAfterTimeout(r.Context())
		return nil, err
	}
	// The body of an upgraded connection must stay an io.Writer.
	if resp.StatusCode != http.StatusSwitchingProtocols {
		resp.Body = &pooledBody{ReadCloser: resp.Body, pool: p, ctx: r.Context()}
	}
	return resp, nil
}

// closeIdleAfterTimeout closes the idle connections if the context of a failed request has
// ended, unless it was cancelled because nobody waits for the answer any more.
func (p *ConnPool) closeIdleAfterTimeout(ctx context.Context) {
	if ctx.Err() != nil && !errors.Is(context.Cause(ctx), context.Canceled) {
		p.CloseIdleConnections()
	}
}

// pooledBody is the body of an answer. The connection can become silent in the middle of it.
type pooledBody struct {
	io.ReadCloser
	pool *ConnPool
	// ctx is the context of the request.
	ctx context.Context
}

func (b *pooledBody) Read(data []byte) (int, error) {
	n, err := b.ReadCloser.Read(data)
	if err != nil && err != io.EOF {
		b.pool.closeIdleAfterTimeout(b.ctx)
	}
	return n, err
}
