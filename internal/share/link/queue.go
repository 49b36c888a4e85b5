package link

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"siskinsaddle/internal/base/clock"
)

// outgoing is a queued frame and, for a call, the channel for its result.
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

// sendQueue sends the queued frames of one peer. It uses one session at a time
// and replaces a session that breaks or goes silent.
type sendQueue struct {
	n            *Node
	peer         string
	frames       chan outgoing
	replacement  chan *session
	ctx          context.Context
	cancel       context.CancelFunc
	nextID       uint64
	mu           sync.Mutex
	backoffUntil clock.Millis
	ended        bool
}

func newSendQueue(n *Node, peer string) *sendQueue {
	q := &sendQueue{
		n: n, peer: peer,
		frames: make(chan outgoing, n.MaxQueue), replacement: make(chan *session, 1),
	}
	q.ctx, q.cancel = context.WithCancel(n.ctx)
	return q
}

// enqueue queues a frame. During the backoff after a failed dial it fails
// immediately, so that a burst of messages to a dead peer does not cause a dial
// for each of them.
func (q *sendQueue) enqueue(o outgoing) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.ended || q.n.Clock.Now() < q.backoffUntil {
		q.n.countLost("Unreachable", 1)
		return errors.Wrapf(ErrUnreachable, "peer %q", q.peer)
	}
	select {
	case q.frames <- o:
		return nil
	default:
		q.n.countLost("QueueFull", 1)
		return errors.Wrapf(ErrQueueFull, "peer %q", q.peer)
	}
}

func (q *sendQueue) replaceSession(s *session) {
	select {
	case q.replacement <- s:
	default:
		_ = s.conn.Close()
	}
}

// takeReplacement returns a probe's session, or nil. Frames go there rather than to the
// connection in use, which the probe was made to check.
func (q *sendQueue) takeReplacement() *session {
	select {
	case s := <-q.replacement:
		return s
	default:
		return nil
	}
}

// run serves the queue until it has been idle for IdleTimeout or is disconnected.
func (q *sendQueue) run() {
	defer q.n.running.Done()
	defer q.shutdown()
	for {
		select {
		case <-q.ctx.Done():
			return
		case s := <-q.replacement:
			q.runSessions(s, nil)
		case o := <-q.frames:
			if s := q.takeReplacement(); s != nil {
				q.runSessions(s, &o)
			} else {
				q.dialAndRun(o)
			}
		case <-q.n.Clock.After(q.n.IdleTimeout):
			return
		}
	}
}

// shutdown deregisters the queue and fails the frames that are still queued.
func (q *sendQueue) shutdown() {
	q.n.removeQueue(q)
	q.cancel()
	q.mu.Lock()
	q.ended = true
	q.mu.Unlock()
	q.failQueued(ErrStopped, "Stopped")
	if s := q.takeReplacement(); s != nil {
		_ = s.conn.Close()
	}
}

func (q *sendQueue) failQueued(err error, reason string) {
	for {
		select {
		case o := <-q.frames:
			o.fail(err)
			q.n.countLost(reason, 1)
		default:
			return
		}
	}
}

// dialAndRun dials the peer, sends the first frame and runs the session. A failed
// dial starts the backoff and fails every queued frame.
func (q *sendQueue) dialAndRun(first outgoing) {
	s, _, err := q.n.dial(q.ctx, q.peer)
	if err != nil {
		q.mu.Lock()
		q.backoffUntil = q.n.Clock.Now() + q.n.RedialDelay
		q.mu.Unlock()
		q.n.Log.Debug("Peer is unreachable.", "peer", q.peer, "error", err)
		failure := errors.Wrapf(ErrUnreachable, "peer %q: %v", q.peer, err)
		first.fail(failure)
		q.n.countLost("Unreachable", 1)
		q.failQueued(failure, "Unreachable")
		return
	}
	q.runSessions(newSession(s), &first)
}

// runSessions runs a session until it breaks, goes silent or is replaced, and
// continues with the replacement, if any.
func (q *sendQueue) runSessions(s *session, first *outgoing) {
	for s != nil {
		s, first = q.runSession(s, first)
	}
}

// runSession writes queued frames to a session. It returns its replacement, or nil, and
// the first frame for that, if there is one already.
func (q *sendQueue) runSession(s *session, first *outgoing) (*session, *outgoing) {
	go s.read(q.n, q.peer)
	defer s.close()
	if first != nil && !q.write(s, *first) {
		return nil, nil
	}
	var silenceTimer <-chan struct{}
	for {
		if silenceTimer == nil && s.awaitsAnswer() {
			silenceTimer = q.n.Clock.After(q.n.SilenceTimeout)
		}
		select {
		case <-q.ctx.Done():
			return nil, nil
		case <-s.done:
			return nil, nil
		case next := <-q.replacement:
			return next, nil
		case o := <-q.frames:
			if next := q.takeReplacement(); next != nil {
				return next, &o
			}
			if !q.write(s, o) {
				return nil, nil
			}
		case <-silenceTimer:
			silenceTimer = nil
			if !q.checkSilence(s) {
				return nil, nil
			}
		}
	}
}

// write assigns an ID to a call, writes the frame and flushes if the queue is empty.
func (q *sendQueue) write(s *session, o outgoing) bool {
	if o.result != nil {
		q.nextID++
		o.f.ID = q.nextID
		s.addCall(o)
	}
	_ = s.conn.SetWriteDeadline(time.Now().Add(q.n.WriteTimeout.Duration()))
	bytes, err := writeFrame(s.w, &o.f)
	if err == nil && len(q.frames) == 0 {
		err = s.w.Flush()
	}
	if err != nil {
		q.n.countLost("Broken", 1)
		return false
	}
	s.recordWrite(q.n.Clock.Now())
	q.n.countMessage("Out", o.f.Kind, bytes)
	return true
}

// checkSilence pings a session whose first unanswered write is at least
// SilenceTimeout old. It returns false after twice that time, or if the ping cannot
// be written, and the session is then dropped.
func (q *sendQueue) checkSilence(s *session) bool {
	since, awaiting := s.unansweredWrite()
	if !awaiting {
		return true
	}
	silent := q.n.Clock.Now() - since
	if silent >= 2*q.n.SilenceTimeout {
		q.n.countLost("Silent", 1)
		q.n.Log.Warn("Connection is silent and will be replaced.", "peer", q.peer)
		return false
	}
	if silent < q.n.SilenceTimeout {
		return true
	}
	return q.write(s, outgoing{f: frame{Type: framePing, Kind: "Ping"}})
}
