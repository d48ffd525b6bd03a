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

// Key is the key that all processes of one installation share. String and GoString return a
// placeholder, which keeps the secret out of logs that format a Key with %v, %s or %#v. Other
// verbs, such as %d, can print the bytes of the secret.
type Key struct {
	secret []byte
}

// NewKey returns a key with the given bytes.
func NewKey(secret []byte) Key { return Key{secret: secret} }

// String implements fmt.Stringer without revealing the key.
func (Key) String() string { return "[hidden]" }

// GoString implements fmt.GoStringer without revealing the key.
func (Key) GoString() string { return "[hidden]" }

// proof returns the HMAC of a nonce and of the identity p of the process that gives the proof.
// Since the identity is included, the proof is invalid for any other identity.
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

// handshake exchanges challenges and proofs, and sets c.peer. In each of the two steps, both
// peers send before they read.
func (c *Conn) handshake(ctx context.Context, o Options) error {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	nonce := make([]byte, nonceBytes)
	if _, err := rand.Read(nonce); err != nil {
		return cferror.Wrap("generate nonce", KindHandshake, err)
	}
	if err := c.writeMessage(ctx, &Message{Challenge: &Challenge{Nonce: nonce, Peer: o.Self}}); err != nil {
		return err
	}
	challengeMessage, err := c.readMessage(ctx)
	if err != nil {
		return err
	}
	if challengeMessage.Challenge == nil || len(challengeMessage.Challenge.Nonce) != nonceBytes {
		return cferror.New("check challenge", KindHandshake, "the peer sent no challenge with a valid nonce")
	}
	proof := &Proof{Sum: o.Key.proof(challengeMessage.Challenge.Nonce, o.Self)}
	if err := c.writeMessage(ctx, &Message{Proof: proof}); err != nil {
		return err
	}
	proofMessage, err := c.readMessage(ctx)
	if err != nil {
		return err
	}
	want := o.Key.proof(nonce, challengeMessage.Challenge.Peer)
	if proofMessage.Proof == nil || !hmac.Equal(proofMessage.Proof.Sum, want) {
		return cferror.New("check proof", KindHandshake, "peer %q did not prove that it has the key", challengeMessage.Challenge.Peer.Name)
	}
	c.peer = challengeMessage.Challenge.Peer
	return nil
}

// writeMessage writes a message of the handshake directly, without the send queue.
func (c *Conn) writeMessage(ctx context.Context, m *Message) error {
	data, err := c.codec.Marshal(m)
	if err != nil {
		return cferror.Wrap("encode challenge or proof", KindMessage, err)
	}
	return cferror.Wrap("send challenge or proof", KindHandshake, c.ws.Write(ctx, websocket.MessageBinary, data))
}

// readMessage reads a message of the handshake.
func (c *Conn) readMessage(ctx context.Context) (*Message, error) {
	_, data, err := c.ws.Read(ctx)
	if err != nil {
		return nil, cferror.Wrap("receive challenge or proof", KindHandshake, err)
	}
	m := &Message{}
	return m, cferror.Wrap("decode challenge or proof", KindMessage, c.codec.Unmarshal(data, m))
}
