package link

import (
	"bufio"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"net"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	nonceBytes            = 16
	maxHandshakeBytes     = 1024
	connectionBufferBytes = 16 << 10
)

// The messages of the handshake. The dialer sends hello, the listener answers with
// challenge, and then each sends its proof, the dialer first.
type (
	hello struct {
		From        string
		To          string
		Incarnation int64
		Nonce       []byte
	}
	challenge struct {
		Name        string
		Incarnation int64
		Nonce       []byte
	}
	proof struct {
		MAC []byte
	}
)

// stream is a buffered connection.
type stream struct {
	conn net.Conn
	r    *bufio.Reader
	w    *bufio.Writer
}

func newStream(c net.Conn) *stream {
	return &stream{
		conn: c,
		r:    bufio.NewReaderSize(c, connectionBufferBytes),
		w:    bufio.NewWriterSize(c, connectionBufferBytes),
	}
}

func (s *stream) writeMessage(value any) error {
	if _, err := writeFrame(s.w, value); err != nil {
		return err
	}
	return s.w.Flush()
}

func (s *stream) readMessage(value any) error {
	_, err := readFrame(s.r, maxHandshakeBytes, value)
	return err
}

// SetSecret replaces the secret for handshakes from now on.
func (n *Node) SetSecret(secret []byte) { n.newSecret.Store(&secret) }

func (n *Node) currentSecret() []byte {
	if s := n.newSecret.Load(); s != nil {
		return *s
	}
	return n.Secret
}

// sign returns the HMAC of the role, both nonces and both identities. Each part is
// prefixed with its length, so that no two handshakes or roles sign the same input.
func (n *Node) sign(role string, h hello, c challenge) []byte {
	m := hmac.New(sha256.New, n.currentSecret())
	parts := [][]byte{
		[]byte(role), []byte(h.From), []byte(h.To), h.Nonce, []byte(c.Name), c.Nonce,
		binary.BigEndian.AppendUint64(nil, uint64(h.Incarnation)),
		binary.BigEndian.AppendUint64(nil, uint64(c.Incarnation)),
	}
	for _, part := range parts {
		m.Write(binary.BigEndian.AppendUint32(nil, uint32(len(part))))
		m.Write(part)
	}
	return m.Sum(nil)
}

// The roles in the signed input.
const (
	roleDialer   = "siskinsaddle link dialler"
	roleListener = "siskinsaddle link listener"
)

func newNonce() []byte {
	nonce := make([]byte, nonceBytes)
	_, _ = rand.Read(nonce) // documented never to return an error
	return nonce
}

// maxHandshakeDials times DialTimeout is the timeout of the dialer's handshake, if that is
// shorter than HandshakeTimeout: calls wait for it, and a paused peer's machine accepts
// connections. A handshake takes two round trips, a dial one.
const maxHandshakeDials = 3

// dialHandshake performs the dialer's side of the handshake.
func (n *Node) dialHandshake(s *stream, to string) (Peer, error) {
	timeout := min(n.HandshakeTimeout, maxHandshakeDials*n.DialTimeout)
	_ = s.conn.SetDeadline(time.Now().Add(timeout.Duration()))
	h := hello{From: n.Name, To: to, Incarnation: n.Incarnation, Nonce: newNonce()}
	if err := s.writeMessage(&h); err != nil {
		return Peer{}, err
	}
	var c challenge
	if err := s.readMessage(&c); err != nil {
		return Peer{}, err
	}
	if c.Name != to {
		return Peer{}, errors.Wrapf(ErrWrongPeer, "dialed %q, reached %q", to, c.Name)
	}
	if err := s.writeMessage(&proof{MAC: n.sign(roleDialer, h, c)}); err != nil {
		return Peer{}, err
	}
	var p proof
	if err := s.readMessage(&p); err != nil {
		return Peer{}, err
	}
	if !hmac.Equal(p.MAC, n.sign(roleListener, h, c)) {
		return Peer{}, errors.Wrapf(ErrWrongSecret, "peer %q", to)
	}
	_ = s.conn.SetDeadline(time.Time{})
	return Peer{Name: c.Name, Incarnation: c.Incarnation}, nil
}

// acceptHandshake performs the listener's side of the handshake.
func (n *Node) acceptHandshake(s *stream) (Peer, error) {
	_ = s.conn.SetDeadline(time.Now().Add(n.HandshakeTimeout.Duration()))
	var h hello
	if err := s.readMessage(&h); err != nil {
		return Peer{}, err
	}
	c := challenge{Name: n.Name, Incarnation: n.Incarnation, Nonce: newNonce()}
	if err := s.writeMessage(&c); err != nil {
		return Peer{}, err
	}
	var p proof
	if err := s.readMessage(&p); err != nil {
		return Peer{}, err
	}
	if !hmac.Equal(p.MAC, n.sign(roleDialer, h, c)) {
		return Peer{}, errors.Wrapf(ErrWrongSecret, "peer %q", h.From)
	}
	if h.To != n.Name || len(h.Nonce) != nonceBytes {
		return Peer{}, errors.Wrapf(ErrWrongPeer, "peer %q dialed %q", h.From, h.To)
	}
	from := Peer{Name: h.From, Incarnation: h.Incarnation}
	if n.Admit != nil && !n.Admit(from) {
		return Peer{}, errors.Wrapf(
			ErrOldIncarnation, "peer %q, incarnation %d", from.Name, from.Incarnation,
		)
	}
	if err := s.writeMessage(&proof{MAC: n.sign(roleListener, h, c)}); err != nil {
		return Peer{}, err
	}
	_ = s.conn.SetDeadline(time.Time{})
	return from, nil
}
