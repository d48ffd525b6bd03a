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

// Kind says why an operation on a connection failed.
type Kind string

const (
	// KindDial means that the connection cannot be opened, by dialing or by upgrading a
	// request.
	KindDial Kind = "cannot open connection"
	// KindHandshake means that the handshake failed, for example because the peer did not
	// prove that it has the key.
	KindHandshake Kind = "handshake failed"
	// KindClosed means that the connection is closed or broken.
	KindClosed Kind = "connection ended"
	// KindFull means that the connection's send queue is full, because the peer does not read
	// fast enough.
	KindFull Kind = "send queue full"
	// KindMessage means that a message cannot be encoded or decoded.
	KindMessage Kind = "bad message"
)

// Error is the error type of this package.
type Error = cferror.Error[Kind]

// Limits of a connection.
const (
	// MaxMessageBytes is the maximum size of one message.
	MaxMessageBytes = 24 << 20
	// maxHandshakeBytes is the maximum size of a challenge or proof. The peer has not proved
	// yet that it has the key.
	maxHandshakeBytes = 16 << 10
	// sendQueueSize is the maximum number of messages in a connection's send queue.
	sendQueueSize = 256
	// handshakeTimeout limits the time for dialing. The handshake has a separate limit of the
	// same length.
	handshakeTimeout = 3 * time.Second
	// writeTimeout limits the time for writing one message.
	writeTimeout = 5 * time.Second
)

// Conn is a connection between two processes, after the handshake. Send is safe for concurrent
// use; Receive is not.
type Conn struct {
	ws    *websocket.Conn
	codec *cfrecord.Codec
	clock clockwork.Clock
	peer  Peer
	queue chan []byte
	// lastReceived is when the last message was received, in nanoseconds since openedAt.
	lastReceived atomic.Int64
	// lastSent is when the last message was queued, in nanoseconds since openedAt.
	lastSent atomic.Int64
	openedAt time.Time
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

// Dial opens a connection to the process at addr and does the handshake. The cleanup function
// closes the connection and waits for its goroutine. The connection is also closed when ctx is
// done.
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
	return startConn(ctx, ws, o)
}

// Path is the HTTP path at which a process accepts connections.
const Path = "/inner"

// Accept upgrades an HTTP request to a connection and does the handshake. The cleanup function
// closes the connection and waits for its goroutine. The connection is also closed when ctx is
// done.
func Accept(ctx context.Context, w http.ResponseWriter, r *http.Request, o Options) (*Conn, func(), error) {
	ws, err := websocket.Accept(w, r, &websocket.AcceptOptions{
		CompressionMode: websocket.CompressionDisabled,
	})
	if err != nil {
		return nil, nil, cferror.Wrap("upgrade request", KindDial, err)
	}
	return startConn(ctx, ws, o)
}

// startConn does the handshake and starts the goroutine that writes messages.
func startConn(ctx context.Context, ws *websocket.Conn, o Options) (*Conn, func(), error) {
	ws.SetReadLimit(maxHandshakeBytes)
	connCtx, cancel := context.WithCancel(ctx)
	c := &Conn{
		ws: ws, codec: o.Codec, clock: o.Clock, cancel: cancel, openedAt: o.Clock.Now(),
		queue: make(chan []byte, sendQueueSize), done: make(chan struct{}),
	}
	if err := c.handshake(connCtx, o); err != nil {
		cancel()
		_ = ws.CloseNow()
		return nil, nil, err
	}
	ws.SetReadLimit(MaxMessageBytes)
	c.recordReceived()
	go c.writeLoop(connCtx)
	return c, c.close, nil
}

// Peer returns the identity that the peer proved in the handshake.
func (c *Conn) Peer() Peer { return c.peer }

// SinceReceived returns the time since the last message was received, or since the handshake
// if none was.
func (c *Conn) SinceReceived() time.Duration {
	return c.clock.Since(c.openedAt) - time.Duration(c.lastReceived.Load())
}

// SinceSent returns the time since the last message was queued for sending, or since the
// connection was opened if none was.
func (c *Conn) SinceSent() time.Duration {
	return c.clock.Since(c.openedAt) - time.Duration(c.lastSent.Load())
}

// Done returns a channel that is closed when the connection can no longer send.
func (c *Conn) Done() <-chan struct{} { return c.done }

func (c *Conn) recordReceived() { c.lastReceived.Store(int64(c.clock.Since(c.openedAt))) }

// Send queues a message without blocking. If the queue is full, Send closes the connection and
// returns an error.
func (c *Conn) Send(m *Message) error {
	data, err := c.codec.Marshal(m)
	if err != nil {
		return cferror.Wrap("encode message", KindMessage, err)
	}
	select {
	case <-c.done:
		return cferror.New("send message", KindClosed, "peer %s", c.peer.Name)
	default:
	}
	select {
	case c.queue <- data:
		c.lastSent.Store(int64(c.clock.Since(c.openedAt)))
		return nil
	default:
		c.cancel()
		return cferror.New("send message", KindFull, "peer %s", c.peer.Name)
	}
}

// Receive waits for the next message. After an error, the connection is closed.
func (c *Conn) Receive(ctx context.Context) (*Message, error) {
	_, data, err := c.ws.Read(ctx)
	if err != nil {
		c.cancel()
		return nil, cferror.Wrap("receive message", KindClosed, err)
	}
	c.recordReceived()
	m := &Message{}
	if err := c.codec.Unmarshal(data, m); err != nil {
		c.cancel()
		return nil, cferror.Wrap("decode message", KindMessage, err)
	}
	return m, nil
}

// writeLoop writes the queued messages until ctx is done or a write fails.
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
