// Package cflog is an HTTP client of the platform's log service.
package cflog

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cferror"
	"cranberryford/pkg/cfnet"
)

// Kind says why a request to the log service failed.
type Kind string

const (
	// KindUnreachable means that the request could not be built, or that it got no complete
	// response. If it got no complete response, it is unknown whether an append took effect.
	KindUnreachable Kind = "log service unreachable"
	// KindRefused means that the response has a status other than 200.
	KindRefused Kind = "log service refused"
	// KindAnswer means that the response cannot be decoded.
	KindAnswer Kind = "bad answer of the log service"
)

// Error is the error type of this package.
type Error = cferror.Error[Kind]

// maxAnswerBytes limits the size of one response of the log service.
const maxAnswerBytes = 256 << 20

// Appended is the log service's response to an append.
type Appended struct {
	Offset cfcore.Offset
}

// Client implements cfcore.Log over HTTP.
type Client struct {
	http       *http.Client
	entriesURL string
	// timeout limits the duration of one request. For a read, the wait is added to the limit.
	timeout time.Duration
}

// New returns a client for one stream of the log service at addr. The client connects from the
// address source. The cleanup function closes the client's idle connections.
func New(addr netip.AddrPort, stream string, source netip.Addr, timeout time.Duration) (*Client, func()) {
	t := cfnet.Transport(source)
	c := &Client{
		http:       &http.Client{Transport: t},
		entriesURL: fmt.Sprintf("http://%s/streams/%s/entries", addr, url.PathEscape(stream)),
		timeout:    timeout,
	}
	return c, t.CloseIdleConnections
}

var _ cfcore.Log = (*Client)(nil)

// Append implements cfcore.Log.
func (c *Client) Append(ctx context.Context, data []byte) (cfcore.Offset, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.entriesURL, bytes.NewReader(data))
	if err != nil {
		return 0, cferror.Wrap("append", KindUnreachable, err)
	}
	req.Header.Set("Content-Type", "application/cbor")
	var out Appended
	if err := c.do("append", req, &out); err != nil {
		return 0, err
	}
	return out.Offset, nil
}

// Read implements cfcore.Log.
func (c *Client) Read(ctx context.Context, from cfcore.Offset, wait time.Duration) (cfcore.LogPage, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout+wait)
	defer cancel()
	q := url.Values{}
	q.Set("From", strconv.FormatUint(uint64(from), 10))
	q.Set("Wait", wait.String())
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.entriesURL+"?"+q.Encode(), nil)
	if err != nil {
		return cfcore.LogPage{}, cferror.Wrap("read log", KindUnreachable, err)
	}
	var page cfcore.LogPage
	if err := c.do("read log", req, &page); err != nil {
		return cfcore.LogPage{}, err
	}
	return page, nil
}

// do sends a request and decodes the response into out. op is the operation
// that an error names.
func (c *Client) do(op string, req *http.Request, out any) error {
	resp, err := c.http.Do(req)
	if err != nil {
		return cferror.Wrap(op, KindUnreachable, err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return cferror.Wrap(op, KindUnreachable, err)
	}
	if resp.StatusCode != http.StatusOK {
		return cferror.New(op, KindRefused, "status %d: %.200s", resp.StatusCode, body)
	}
	return cferror.Wrap(op, KindAnswer, json.Unmarshal(body, out))
}
