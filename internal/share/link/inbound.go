package link

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"siskinsaddle/internal/base/count"
)

// inbound is a connection that a peer opened.
type inbound struct {
	n    *Node
	peer Peer
	s    *stream
	mu   sync.Mutex // guards writes
	// ctx ends with the connection: no reply can be delivered after it.
	ctx    context.Context
	cancel context.CancelFunc
}

// refusalReasons maps handshake errors to the reason label of the refusal counter.
var refusalReasons = []struct {
	err    error
	reason string
}{
	{ErrWrongSecret, "WrongSecret"},
	{ErrWrongPeer, "WrongPeer"},
	{ErrOldIncarnation, "OldIncarnation"},
	{ErrTooLarge, "TooLarge"},
}

func (n *Node) recordRefusal(err error) {
	reason := "Handshake"
	for _, r := range refusalReasons {
		if errors.Is(err, r.err) {
			reason = r.reason
		}
	}
	n.Counters.Add("siskinsaddle_link_refused_total", 1, count.Label{Key: "reason", Value: reason})
	n.Log.Warn("Connection refused.", "reason", reason, "error", err)
}

func (n *Node) accept() {
	for {
		c, err := n.listener.Accept()
		if err != nil {
			if n.ctx.Err() != nil {
				return
			}
			n.Log.Warn("Accept failed.", "error", err)
			<-n.Clock.After(n.RedialDelay)
			continue
		}
		select {
		case n.handshakes <- struct{}{}:
			n.running.Add(1)
			go n.handleConn(c)
		default:
			_ = c.Close()
			n.Counters.Add(
				"siskinsaddle_link_refused_total", 1,
				count.Label{Key: "reason", Value: "TooManyStrangers"},
			)
		}
	}
}

// handleConn performs the handshake and then serves the peer.
func (n *Node) handleConn(c net.Conn) {
	defer n.running.Done()
	defer func() { _ = c.Close() }()
	s := newStream(c)
	peer, err := n.acceptHandshake(s)
	<-n.handshakes
	if err != nil {
		n.recordRefusal(err)
		return
	}
	i := &inbound{n: n, peer: peer, s: s}
	i.ctx, i.cancel = context.WithCancel(n.ctx)
	defer i.cancel()
	if !i.register() {
		n.recordRefusal(errors.Wrapf(ErrOldIncarnation, "peer %q", peer.Name))
		return
	}
	defer i.unregister()
	if n.OnConnected != nil {
		n.OnConnected(peer)
	}
	i.serve()
}

// register makes this the peer's connection and closes the previous one, which
// may be silent. It returns false for an incarnation older than the current one.
func (i *inbound) register() bool {
	i.n.mu.Lock()
	defer i.n.mu.Unlock()
	if i.n.ctx.Err() != nil {
		return false
	}
	previous, ok := i.n.inbound[i.peer.Name]
	if ok && previous.peer.Incarnation > i.peer.Incarnation {
		return false
	}
	if ok {
		_ = previous.s.conn.Close()
	}
	i.n.inbound[i.peer.Name] = i
	return true
}

func (i *inbound) unregister() {
	i.n.mu.Lock()
	defer i.n.mu.Unlock()
	if i.n.inbound[i.peer.Name] == i {
		delete(i.n.inbound, i.peer.Name)
	}
}

func (i *inbound) serve() {
	for {
		var f frame
		bytes, err := readFrame(i.s.r, i.n.MaxFrame, &f)
		if err != nil {
			if errors.Is(err, ErrTooLarge) {
				i.n.recordRefusal(err)
			}
			return
		}
		i.n.countMessage("In", f.Kind, bytes)
		i.handle(f)
	}
}

func (i *inbound) handle(f frame) {
	switch f.Type {
	case framePing:
		i.write(frame{Type: framePong, Kind: "Pong"})
	case frameSend:
		if h, ok := i.n.handlers[f.Kind]; ok {
			if _, err := h(i.n.ctx, i.peer, f.Body); err != nil {
				i.n.Log.Warn("Handling a message failed.", "kind", f.Kind, "peer", i.peer.Name, "error", err)
			}
		}
	case frameCall:
		i.n.running.Add(1)
		if err := i.n.pool.Submit(func() { i.handleCall(f) }); err != nil {
			i.n.running.Done()
			i.write(frame{Type: frameFailed, ID: f.ID, Kind: f.Kind, Body: []byte("too many calls")})
		}
	}
}

func (i *inbound) handleCall(f frame) {
	defer i.n.running.Done()
	body, err := i.reply(f)
	if err != nil {
		i.write(frame{Type: frameFailed, ID: f.ID, Kind: f.Kind, Body: []byte(err.Error())})
		return
	}
	i.write(frame{Type: frameReply, ID: f.ID, Kind: f.Kind, Body: body})
}

func (i *inbound) reply(f frame) ([]byte, error) {
	h, ok := i.n.handlers[f.Kind]
	if !ok {
		return nil, errors.Newf("no handler for messages of kind %q", f.Kind)
	}
	reply, err := h(i.ctx, i.peer, f.Body)
	if err != nil {
		return nil, err
	}
	return Encode(reply)
}

// write sends one frame to the peer. The connection is closed on an error, such as
// a write timeout because the peer does not read.
func (i *inbound) write(f frame) {
	i.mu.Lock()
	defer i.mu.Unlock()
	_ = i.s.conn.SetWriteDeadline(time.Now().Add(i.n.WriteTimeout.Duration()))
	bytes, err := writeFrame(i.s.w, &f)
	if err == nil {
		err = i.s.w.Flush()
	}
	if err != nil {
		_ = i.s.conn.Close()
		i.cancel()
		return
	}
	i.n.countMessage("Out", f.Kind, bytes)
}
