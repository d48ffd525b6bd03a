package cfwire

import (
	"context"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"

	"github.com/coder/websocket"

	"cranberryford/pkg/cferror"
)

// nonceBytes is the length of a challenge.
const nonceBytes = 16

// Key is the key that all processes of one installation share. It prints as
// a placeholder, so that it cannot get into a log by mistake.
type Key struct {
	secret []byte
}

// NewKey returns a key with the given bytes.
func NewKey(secret []byte) Key { return Key{secret: secret} }

// String implements fmt.Stringer without giving the key away.
func (Key) String() string { return "[hidden]" }

// GoString implements fmt.GoStringer without giving the key away.
func (Key) GoString() string { return "[hidden]" }

// sum binds a proof to the nonce that it answers and to who gives it, so that
// one end's proof cannot be sent back as the other's.
func (k Key) sum(nonce []byte, p Peer) []byte {
	h := hmac.New(sha256.New, k.secret)
	h.Write(nonce)
	h.Write([]byte(p.Role))
	h.Write([]byte{0})
	h.Write([]byte(p.Name))
	h.Write([]byte{0})
	h.Write([]byte(p.Instance))
	return h.Sum(nil)
}

// handshake exchanges challenges and proofs. Both ends send first and read then.
func (c *Conn) handshake(ctx context.Context, o Options) error {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	nonce := make([]byte, nonceBytes)
	if _, err := rand.Read(nonce); err != nil {
		return cferror.Wrap("handshake", KindHandshake, err)
	}
	if err := c.put(ctx, &Message{Challenge: &Challenge{Nonce: nonce, Peer: o.Self}}); err != nil {
		return err
	}
	theirs, err := c.get(ctx)
	if err != nil {
		return err
	}
	if theirs.Challenge == nil || len(theirs.Challenge.Nonce) != nonceBytes {
		return cferror.New("handshake", KindHandshake, "no challenge")
	}
	proof := &Proof{Sum: o.Key.sum(theirs.Challenge.Nonce, o.Self)}
	if err := c.put(ctx, &Message{Proof: proof}); err != nil {
		return err
	}
	answer, err := c.get(ctx)
	if err != nil {
		return err
	}
	want := o.Key.sum(nonce, theirs.Challenge.Peer)
	if answer.Proof == nil || !hmac.Equal(answer.Proof.Sum, want) {
		return cferror.New("handshake", KindHandshake, "%s does not have the key", theirs.Challenge.Peer.Name)
	}
	c.peer = theirs.Challenge.Peer
	return nil
}

func (c *Conn) put(ctx context.Context, m *Message) error {
	data, err := c.codec.Marshal(m)
	if err != nil {
		return cferror.Wrap("handshake", KindMessage, err)
	}
	return cferror.Wrap("handshake", KindHandshake, c.ws.Write(ctx, websocket.MessageBinary, data))
}

func (c *Conn) get(ctx context.Context) (*Message, error) {
	_, data, err := c.ws.Read(ctx)
	if err != nil {
		return nil, cferror.Wrap("handshake", KindHandshake, err)
	}
	m := &Message{}
	return m, cferror.Wrap("handshake", KindMessage, c.codec.Unmarshal(data, m))
}
