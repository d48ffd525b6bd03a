// Package cfvm is an HTTP client of the platform's worker on the agent's own VM.
package cfvm

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"time"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cferror"
	"cranberryford/pkg/cfnet"
)

// Kind says why a request to the worker failed.
type Kind string

const (
	// KindUnreachable means that the request could not be built, or that it got no complete
	// response.
	KindUnreachable Kind = "worker unreachable"
	// KindRefused means that the response has a status other than 200, or that the request's
	// body cannot be encoded.
	KindRefused Kind = "worker refused"
	// KindAnswer means that the response cannot be decoded.
	KindAnswer Kind = "bad answer of the worker"
)

// Error is the error type of this package.
type Error = cferror.Error[Kind]

// maxAnswerBytes limits the size of one response of the worker.
const maxAnswerBytes = 16 << 20

// RenewRequest is the body of a request to extend leases.
type RenewRequest struct {
	// Until is the worker uptime at which the extended leases expire.
	Until time.Duration
	Runs  []cfcore.Assignment
}

// RunsRequest is the body of a request to stop or forget runs.
type RunsRequest struct {
	Runs []cfcore.Assignment
}

// Client implements cfcore.VM over HTTP.
type Client struct {
	http    *http.Client
	baseURL string
	timeout time.Duration
}

// New returns a client for the worker at addr. Each request times out after timeout. The
// cleanup function closes the client's idle connections.
func New(addr netip.AddrPort, timeout time.Duration) (*Client, func()) {
	t := cfnet.NewConnPool(&http.Transport{MaxIdleConnsPerHost: 2})
	c := &Client{http: &http.Client{Transport: t}, baseURL: "http://" + addr.String(), timeout: timeout}
	return c, t.CloseIdleConnections
}

var _ cfcore.VM = (*Client)(nil)

// Report implements cfcore.VM.
func (c *Client) Report(ctx context.Context) (cfcore.VMReport, error) {
	var out cfcore.VMReport
	err := c.do(ctx, "read worker report", http.MethodGet, "/report", nil, &out)
	return out, err
}

// Start implements cfcore.VM.
func (c *Client) Start(ctx context.Context, spec cfcore.RunSpec) error {
	return c.do(ctx, "start", http.MethodPost, "/start", spec, nil)
}

// Renew implements cfcore.VM.
func (c *Client) Renew(ctx context.Context, until time.Duration, runs []cfcore.Assignment) error {
	return c.do(ctx, "renew leases", http.MethodPost, "/renew", RenewRequest{Until: until, Runs: runs}, nil)
}

// Stop implements cfcore.VM.
func (c *Client) Stop(ctx context.Context, a cfcore.Assignment) error {
	return c.do(ctx, "stop run", http.MethodPost, "/stop", RunsRequest{Runs: []cfcore.Assignment{a}}, nil)
}

// Forget implements cfcore.VM.
func (c *Client) Forget(ctx context.Context, runs []cfcore.Assignment) error {
	return c.do(ctx, "forget runs", http.MethodPost, "/forget", RunsRequest{Runs: runs}, nil)
}

// do sends in as the body of a request and decodes the response into out. If in is nil, the body
// is empty. If out is nil, the response is not decoded. op is the operation that an error names.
func (c *Client) do(ctx context.Context, op, method, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	body, err := encode(in)
	if err != nil {
		return cferror.Wrap(op, KindRefused, err)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, body)
	if err != nil {
		return cferror.Wrap(op, KindUnreachable, err)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(req)
	if err != nil {
		return cferror.Wrap(op, KindUnreachable, err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return cferror.Wrap(op, KindUnreachable, err)
	}
	if resp.StatusCode != http.StatusOK {
		return cferror.New(op, KindRefused, "status %d: %.200s", resp.StatusCode, data)
	}
	if out == nil {
		return nil
	}
	return cferror.Wrap(op, KindAnswer, json.Unmarshal(data, out))
}

func encode(in any) (io.Reader, error) {
	if in == nil {
		return http.NoBody, nil
	}
	data, err := json.Marshal(in)
	return bytes.NewReader(data), err
}
