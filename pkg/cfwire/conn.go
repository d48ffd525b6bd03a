package cfwire

import (
	"context"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"github.com/jonboulle/clockwork"

	"cranberryford/pkg/cferror"
	"cranberryford/pkg/cfnet"
	"cranberryford/pkg/cfrecord"
)

// Kind is the kind of an Error of this package.
type Kind string

// The kinds of errors.
const (
	// KindDial is a connection that cannot be opened.
	KindDial Kind = "cannot connect"
	// KindHandshake is an end that does not prove the key.
	KindHandshake Kind = "handshake failed"
	// KindClosed is a connection that has ended.
	KindClosed Kind = "connection ended"
	// KindFull is a connection whose other end does not read.
	KindFull Kind = "send queue full"
	// KindMessage is a message that cannot be encoded or decoded.
	KindMessage Kind = "bad message"
)

// Error is the error type of this package.
type Error = cferror.Error[Kind]

// Limits of a connection.
const (
	// MaxMessageBytes bounds one message.
	MaxMessageBytes = 24 << 20
	// sendQueue is the number of messages that wait to be written.
	sendQueue = 256
	// handshakeTimeout bounds the time until both ends have proved the key.
	handshakeTimeout = 3 * time.Second
	// writeTimeout bounds the writing of one message.
	writeTimeout = 5 * time.Second
)

// Conn is one connection. Send may be called from any goroutine; Receive from one.
type Conn struct {
	ws    *websocket.Conn
	codec *cfrecord.Codec
	clock clockwork.Clock
	peer  Peer
	queue chan []byte
	// heard is when the last message came in, in nanoseconds since opened.
	heard atomic.Int64
	// sent is when the last message was queued, in nanoseconds since opened.
	sent   atomic.Int64
	opened time.Time
	cancel context.CancelFunc
	done   chan struct{}
}

// Options are what both ends of a connection need.
type Options struct {
	Codec *cfrecord.Codec
	Clock clockwork.Clock
	Key   Key
	Self  Peer
	// Source is the address that connections are opened from; the zero value lets
	// the system choose.
	Source netip.Addr
}

// Dial opens a connection to the process at addr. The clean-up function closes
// it and waits for its goroutine.
func Dial(ctx context.Context, addr netip.AddrPort, o Options) (*Conn, func(), error) {
	dialCtx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	ws, resp, err := websocket.Dial(dialCtx, "ws://"+addr.String()+Path, &websocket.DialOptions{
		HTTPClient:      &http.Client{Transport: cfnet.Transport(o.Source)},
		CompressionMode: websocket.CompressionDisabled,
	})
	if resp != nil && resp.Body != nil {
		_ = resp.Body.Close()
	}
	if err != nil {
		return nil, nil, cferror.Wrap("dial", KindDial, err)
	}
	return start(ctx, ws, o)
}

// Path is where a process accepts connections.
const Path = "/inner"

// Accept takes a connection over from an HTTP server.
func Accept(ctx context.Context, w http.ResponseWriter, r *http.Request, o Options) (*Conn, func(), error) {
	ws, err := websocket.Accept(w, r, &websocket.AcceptOptions{
		CompressionMode: websocket.CompressionDisabled,
	})
	if err != nil {
		return nil, nil, cferror.Wrap("accept", KindDial, err)
	}
	return start(ctx, ws, o)
}

func start(ctx context.Context, ws *websocket.Conn, o Options) (*Conn, func(), error) {
	ws.SetReadLimit(MaxMessageBytes)
	connCtx, cancel := context.WithCancel(ctx)
	c := &Conn{
		ws: ws, codec: o.Codec, clock: o.Clock, cancel: cancel, opened: o.Clock.Now(),
		queue: make(chan []byte, sendQueue), done: make(chan struct{}),
	}
	if err := c.handshake(connCtx, o); err != nil {
		cancel()
		_ = ws.CloseNow()
		return nil, nil, err
	}
	c.touch()
	go c.writeLoop(connCtx)
	return c, c.close, nil
}

// Peer returns the other end, as it proved itself.
func (c *Conn) Peer() Peer { return c.peer }

// Silence returns how long ago the last message came in.
func (c *Conn) Silence() time.Duration {
	return c.clock.Since(c.opened) - time.Duration(c.heard.Load())
}

// Idle returns how long ago the last message was sent.
func (c *Conn) Idle() time.Duration {
	return c.clock.Since(c.opened) - time.Duration(c.sent.Load())
}

// Done is closed when the connection can send no more.
func (c *Conn) Done() <-chan struct{} { return c.done }

func (c *Conn) touch() { c.heard.Store(int64(c.clock.Since(c.opened))) }

// Send queues a message. It does not wait for the other end.
func (c *Conn) Send(m *Message) error {
	data, err := c.codec.Marshal(m)
	if err != nil {
		return cferror.Wrap("send", KindMessage, err)
	}
	select {
	case <-c.done:
		return cferror.New("send", KindClosed, "peer %s", c.peer.Name)
	default:
	}
	select {
	case c.queue <- data:
		c.sent.Store(int64(c.clock.Since(c.opened)))
		return nil
	default:
		c.cancel()
		return cferror.New("send", KindFull, "peer %s", c.peer.Name)
	}
}

// Receive returns the next message.
func (c *Conn) Receive(ctx context.Context) (*Message, error) {
	_, data, err := c.ws.Read(ctx)
	if err != nil {
		c.cancel()
		return nil, cferror.Wrap("receive", KindClosed, err)
	}
	c.touch()
	m := &Message{}
	if err := c.codec.Unmarshal(data, m); err != nil {
		c.cancel()
		return nil, cferror.Wrap("receive", KindMessage, err)
	}
	return m, nil
}

func (c *Conn) writeLoop(ctx context.Context) {
	defer close(c.done)
	defer func() { _ = c.ws.CloseNow() }()
	for {
		select {
		case <-ctx.Done():
			return
		case data := <-c.queue:
			if err := c.write(ctx, data); err != nil {
				return
			}
		}
	}
}

func (c *Conn) write(ctx context.Context, data []byte) error {
	writeCtx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	return c.ws.Write(writeCtx, websocket.MessageBinary, data)
}

func (c *Conn) close() {
	c.cancel()
	<-c.done
}
