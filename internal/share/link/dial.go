package link

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// ProbeResult is the result of an attempt to open a new connection.
type ProbeResult string

// The results of a probe.
const (
	// ProbeReached: the peer completed the handshake.
	ProbeReached ProbeResult = "Reached"
	// ProbeRefused: the connection was refused by the peer's machine, or it
	// was answered by a different peer. The network path works.
	ProbeRefused ProbeResult = "Refused"
	// ProbeFailed: the attempt failed in any other way, such as a timeout.
	ProbeFailed ProbeResult = "None"
)

// Probe opens a new connection to a peer, regardless of the state of the current
// one. If the handshake succeeds, the new connection replaces the current one.
func (n *Node) Probe(ctx context.Context, name string) (Peer, ProbeResult) {
	q, err := n.sendQueue(name)
	if err != nil {
		return Peer{}, ProbeFailed
	}
	s, peer, err := n.dial(ctx, name)
	if err != nil {
		if errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, ErrWrongPeer) {
			return Peer{}, ProbeRefused
		}
		return Peer{}, ProbeFailed
	}
	q.replaceSession(newSession(s))
	return peer, ProbeReached
}

func (n *Node) dial(ctx context.Context, name string) (*stream, Peer, error) {
	address, ok := n.Address(name)
	if !ok {
		return nil, Peer{}, errors.Wrapf(ErrUnknownPeer, "peer %q", name)
	}
	d := net.Dialer{Timeout: n.DialTimeout.Duration()}
	c, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, Peer{}, err
	}
	s := newStream(c)
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	peer, err := n.dialHandshake(s, name)
	if !stop() && err == nil {
		err = ctx.Err()
	}
	if err != nil {
		_ = c.Close()
		return nil, Peer{}, err
	}
	if n.OnConnected != nil {
		n.OnConnected(peer)
	}
	return s, peer, nil
}
