package link

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"siskinsaddle/internal/base/clock"
)

// outgoing is a frame on its way, and for a call where its result goes.
type outgoing struct {
	f      frame
	result chan result
}

type result struct {
	body []byte
	err  error
}

func (o outgoing) fail(err error) {
	if o.result != nil {
		o.result <- result{err: err}
	}
}

// lane carries the messages to one peer, over one session after another.
type lane struct {
	n       *Node
	peer    string
	queue   chan outgoing
	fresh   chan *session
	ctx     context.Context
	cancel  context.CancelFunc
	nextID  uint64
	mu      sync.Mutex
	restTil clock.Millis
	ended   bool
}

func newLane(n *Node, peer string) *lane {
	l := &lane{n: n, peer: peer, queue: make(chan outgoing, n.MaxQueue), fresh: make(chan *session, 1)}
	l.ctx, l.cancel = context.WithCancel(n.ctx)
	return l
}

// push queues a frame. Shortly after a failed dial it fails at once, so that a
// burst to a dead peer does not dial for each message.
func (l *lane) push(o outgoing) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ended || l.n.Clock.Now() < l.restTil {
		l.n.lost("Unreachable", 1)
		return errors.Wrapf(ErrUnreachable, "peer %q", l.peer)
	}
	select {
	case l.queue <- o:
		return nil
	default:
		l.n.lost("QueueFull", 1)
		return errors.Wrapf(ErrQueueFull, "peer %q", l.peer)
	}
}

func (l *lane) replaceWith(s *session) {
	select {
	case l.fresh <- s:
	default:
		_ = s.conn.Close()
	}
}

// run serves the queue until the lane is idle or forgotten.
func (l *lane) run() {
	defer l.n.running.Done()
	defer l.end()
	for {
		select {
		case <-l.ctx.Done():
			return
		case s := <-l.fresh:
			l.use(s, nil)
		case o := <-l.queue:
			l.open(o)
		case <-l.n.Clock.After(l.n.IdleWait):
			return
		}
	}
}

// end fails what is still queued.
func (l *lane) end() {
	l.n.drop(l)
	l.cancel()
	l.mu.Lock()
	l.ended = true
	l.mu.Unlock()
	l.drain(ErrStopped, "Stopped")
	select {
	case s := <-l.fresh:
		_ = s.conn.Close()
	default:
	}
}

func (l *lane) drain(err error, reason string) {
	for {
		select {
		case o := <-l.queue:
			o.fail(err)
			l.n.lost(reason, 1)
		default:
			return
		}
	}
}

// open dials for a first frame and serves the session.
func (l *lane) open(first outgoing) {
	s, _, err := l.n.dial(l.ctx, l.peer)
	if err != nil {
		l.mu.Lock()
		l.restTil = l.n.Clock.Now() + l.n.RedialWait
		l.mu.Unlock()
		l.n.Log.Debug("Peer cannot be reached.", "peer", l.peer, "error", err)
		failure := errors.Wrapf(ErrUnreachable, "peer %q: %v", l.peer, err)
		first.fail(failure)
		l.n.lost("Unreachable", 1)
		l.drain(failure, "Unreachable")
		return
	}
	l.use(newSession(s), &first)
}

// use writes frames to a session until it breaks, goes silent or is replaced,
// and goes on with the one that replaces it.
func (l *lane) use(s *session, first *outgoing) {
	for s != nil {
		s = l.pump(s, first)
		first = nil
	}
}

func (l *lane) pump(s *session, first *outgoing) *session {
	go s.read(l.n)
	defer s.close()
	if first != nil && !l.write(s, *first) {
		return nil
	}
	var watch <-chan struct{}
	for {
		if watch == nil && s.waits() {
			watch = l.n.Clock.After(l.n.SilenceWait)
		}
		select {
		case <-l.ctx.Done():
			return nil
		case <-s.done:
			return nil
		case next := <-l.fresh:
			return next
		case o := <-l.queue:
			if !l.write(s, o) {
				return nil
			}
		case <-watch:
			watch = nil
			if !l.listen(s) {
				return nil
			}
		}
	}
}

// write numbers a call, writes the frame and flushes when no other waits.
func (l *lane) write(s *session, o outgoing) bool {
	if o.result != nil {
		l.nextID++
		o.f.ID = l.nextID
		s.expect(o)
	}
	_ = s.conn.SetWriteDeadline(time.Now().Add(l.n.WriteWait.Duration()))
	bytes, err := writeFrame(s.w, &o.f)
	if err == nil && len(l.queue) == 0 {
		err = s.w.Flush()
	}
	if err != nil {
		l.n.lost("Broken", 1)
		return false
	}
	s.wrote(l.n.Clock.Now())
	l.n.counted("Out", o.f.Kind, bytes)
	return true
}

// listen checks a session that owes a sign of life: first it is pinged, then
// it is dropped.
func (l *lane) listen(s *session) bool {
	since, owes := s.owed()
	if !owes {
		return true
	}
	silent := l.n.Clock.Now() - since
	if silent >= 2*l.n.SilenceWait {
		l.n.lost("Silent", 1)
		l.n.Log.Warn("Connection is silent, a fresh one follows.", "peer", l.peer)
		return false
	}
	if silent < l.n.SilenceWait {
		return true
	}
	return l.write(s, outgoing{f: frame{Type: framePing, Kind: "Ping"}})
}
