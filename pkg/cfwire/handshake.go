package cfwire

import (
	"context"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"

	"github.com/coder/websocket"

	"cranberryford/pkg/cferror"
)

// nonceBytes is the length of a challenge's nonce.
const nonceBytes = 16

// Key is the key that all processes of one installation share. It is formatted as a
// placeholder to keep it out of logs.
type Key struct {
	secret []byte
}

// NewKey returns a key with the given bytes.
func NewKey(secret []byte) Key { return Key{secret: secret} }

// String implements fmt.Stringer without revealing the key.
func (Key) String() string { return "[hidden]" }

// GoString implements fmt.GoStringer without revealing the key.
func (Key) GoString() string { return "[hidden]" }

// proof returns the HMAC of a nonce and the identity of the peer that gives the proof.
// Including the identity makes the proof invalid for any other identity.
func (k Key) proof(nonce []byte, p Peer) []byte {
	h := hmac.New(sha256.New, k.secret)
	h.Write(nonce)
	h.Write([]byte(p.Role))
	h.Write([]byte{0})
	h.Write([]byte(p.Name))
	h.Write([]byte{0})
	h.Write([]byte(p.Instance))
	return h.Sum(nil)
}

// handshake exchanges challenges and proofs. Both peers send before they read.
func (c *Conn) handshake(ctx context.Context, o Options) error {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	nonce := make([]byte, nonceBytes)
	if _, err := rand.Read(nonce); err != nil {
		return cferror.Wrap("handshake", KindHandshake, err)
	}
	if err := c.writeMessage(ctx, &Message{Challenge: &Challenge{Nonce: nonce, Peer: o.Self}}); err != nil {
		return err
	}
	greeting, err := c.readMessage(ctx)
	if err != nil {
		return err
	}
	if greeting.Challenge == nil || len(greeting.Challenge.Nonce) != nonceBytes {
		return cferror.New("handshake", KindHandshake, "no challenge")
	}
	proof := &Proof{Sum: o.Key.proof(greeting.Challenge.Nonce, o.Self)}
	if err := c.writeMessage(ctx, &Message{Proof: proof}); err != nil {
		return err
	}
	answer, err := c.readMessage(ctx)
	if err != nil {
		return err
	}
	want := o.Key.proof(nonce, greeting.Challenge.Peer)
	if answer.Proof == nil || !hmac.Equal(answer.Proof.Sum, want) {
		return cferror.New("handshake", KindHandshake, "%s does not have the key", greeting.Challenge.Peer.Name)
	}
	c.peer = greeting.Challenge.Peer
	return nil
}

func (c *Conn) writeMessage(ctx context.Context, m *Message) error {
	data, err := c.codec.Marshal(m)
	if err != nil {
		return cferror.Wrap("handshake", KindMessage, err)
	}
	return cferror.Wrap("handshake", KindHandshake, c.ws.Write(ctx, websocket.MessageBinary, data))
}

func (c *Conn) readMessage(ctx context.Context) (*Message, error) {
	_, data, err := c.ws.Read(ctx)
	if err != nil {
		return nil, cferror.Wrap("handshake", KindHandshake, err)
	}
	m := &Message{}
	return m, cferror.Wrap("handshake", KindMessage, c.codec.Unmarshal(data, m))
}
