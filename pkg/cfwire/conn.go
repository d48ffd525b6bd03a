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
	// KindHandshake is a handshake that failed, for example because the peer did not prove
	// that it has the key.
	KindHandshake Kind = "handshake failed"
	// KindClosed is a closed connection.
	KindClosed Kind = "connection ended"
	// KindFull is a connection whose peer does not read fast enough.
	KindFull Kind = "send queue full"
	// KindMessage is a message that cannot be encoded or decoded.
	KindMessage Kind = "bad message"
)

// Error is the error type of this package.
type Error = cferror.Error[Kind]

// Limits of a connection.
const (
	// MaxMessageBytes is the maximum size of one message.
	MaxMessageBytes = 24 << 20
	// sendQueueSize is the maximum number of messages waiting to be written.
	sendQueueSize = 256
	// handshakeTimeout limits the time for dialing and, separately, for the handshake.
	handshakeTimeout = 3 * time.Second
	// writeTimeout limits the time for writing one message.
	writeTimeout = 5 * time.Second
)

// Conn is one connection. Send is safe for concurrent use; Receive is not.
type Conn struct {
	ws    *websocket.Conn
	codec *cfrecord.Codec
	clock clockwork.Clock
	peer  Peer
	queue chan []byte
	// lastReceived is when the last message was received, in nanoseconds since opened.
	lastReceived atomic.Int64
	// lastSent is when the last message was queued, in nanoseconds since opened.
	lastSent atomic.Int64
	opened   time.Time
	cancel   context.CancelFunc
	done     chan struct{}
}

// Options are the options for opening or accepting a connection.
type Options struct {
	Codec *cfrecord.Codec
	Clock clockwork.Clock
	Key   Key
	Self  Peer
	// Source is the local address to connect from; the zero value lets the system
	// choose.
	Source netip.Addr
}

// Dial opens a connection to the process at addr and does the handshake. The connection is
// also closed when ctx is done. The cleanup function closes the connection and waits for its
// goroutine.
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

// Path is the HTTP path at which a process accepts connections.
const Path = "/inner"

// Accept upgrades an HTTP request to a connection and does the handshake. The connection is
// also closed when ctx is done. The cleanup function closes the connection and waits for its
// goroutine.
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
		queue: make(chan []byte, sendQueueSize), done: make(chan struct{}),
	}
	if err := c.handshake(connCtx, o); err != nil {
		cancel()
		_ = ws.CloseNow()
		return nil, nil, err
	}
	c.markReceived()
	go c.writeLoop(connCtx)
	return c, c.close, nil
}

// Peer returns the identity that the peer proved in the handshake.
func (c *Conn) Peer() Peer { return c.peer }

// SinceReceived returns the time since the last message was received.
func (c *Conn) SinceReceived() time.Duration {
	return c.clock.Since(c.opened) - time.Duration(c.lastReceived.Load())
}

// SinceSent returns the time since the last message was queued for sending, or since the
// connection was opened if none was.
func (c *Conn) SinceSent() time.Duration {
	return c.clock.Since(c.opened) - time.Duration(c.lastSent.Load())
}

// Done returns a channel that is closed when the connection can no longer send.
func (c *Conn) Done() <-chan struct{} { return c.done }

func (c *Conn) markReceived() { c.lastReceived.Store(int64(c.clock.Since(c.opened))) }

// Send queues a message without blocking. If the queue is full, it closes the connection.
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
		c.lastSent.Store(int64(c.clock.Since(c.opened)))
		return nil
	default:
		c.cancel()
		return cferror.New("send", KindFull, "peer %s", c.peer.Name)
	}
}

// Receive waits for the next message. After an error, the connection is closed.
func (c *Conn) Receive(ctx context.Context) (*Message, error) {
	_, data, err := c.ws.Read(ctx)
	if err != nil {
		c.cancel()
		return nil, cferror.Wrap("receive", KindClosed, err)
	}
	c.markReceived()
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
