package link

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// Evidence is what an attempt to open a fresh connection showed.
type Evidence string

// The kinds of evidence.
const (
	// EvidenceReached: the peer completed the handshake.
	EvidenceReached Evidence = "Reached"
	// EvidenceRefused: the peer's machine answered that nobody listens, or an
	// end that is not the peer did. The path works.
	EvidenceRefused Evidence = "Refused"
	// EvidenceNone: nothing was heard.
	EvidenceNone Evidence = "None"
)

// Probe opens a fresh connection to a peer, whatever is known of the old one.
// A connection that comes about replaces the old one.
func (n *Node) Probe(ctx context.Context, name string) (Peer, Evidence) {
	l, err := n.lane(name)
	if err != nil {
		return Peer{}, EvidenceNone
	}
	s, peer, err := n.dial(ctx, name)
	if err != nil {
		if errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, ErrWrongPeer) {
			return Peer{}, EvidenceRefused
		}
		return Peer{}, EvidenceNone
	}
	l.replaceWith(newSession(s))
	return peer, EvidenceReached
}

func (n *Node) dial(ctx context.Context, name string) (*stream, Peer, error) {
	address, ok := n.Address(name)
	if !ok {
		return nil, Peer{}, errors.Wrapf(ErrUnknownPeer, "peer %q", name)
	}
	d := net.Dialer{Timeout: n.DialWait.Duration()}
	c, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, Peer{}, err
	}
	s := newStream(c)
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	peer, err := n.shakeOut(s, name)
	if !stop() && err == nil {
		err = ctx.Err()
	}
	if err != nil {
		_ = c.Close()
		return nil, Peer{}, err
	}
	if n.Connected != nil {
		n.Connected(peer)
	}
	return s, peer, nil
}
