package link

import (
	"sync"

	"github.com/cockroachdb/errors"

	"siskinsaddle/internal/base/clock"
)

// session is one outgoing connection and its pending calls.
type session struct {
	*stream
	done chan struct{}

	mu sync.Mutex
	// unanswered reports whether a frame was written since the last one was
	// received; the first such write was at unansweredSince.
	unanswered      bool
	unansweredSince clock.Millis
	calls           map[uint64]outgoing
}

func newSession(s *stream) *session {
	return &session{stream: s, done: make(chan struct{}), calls: map[uint64]outgoing{}}
}

func (s *session) addCall(o outgoing) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls[o.f.ID] = o
}

func (s *session) recordWrite(now clock.Millis) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.unanswered {
		s.unanswered = true
		s.unansweredSince = now
	}
}

func (s *session) awaitsAnswer() bool {
	_, awaiting := s.unansweredWrite()
	return awaiting
}

func (s *session) unansweredWrite() (clock.Millis, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.unansweredSince, s.unanswered
}

// read reads replies and pongs until the connection ends.
func (s *session) read(n *Node, peer string) {
	defer close(s.done)
	for {
		f, bytes, err := readReply(s.r, n.MaxFrame)
		if err != nil {
			if !connectionEnded(err) {
				n.recordBroken(peer, err)
			}
			return
		}
		n.countMessage("In", f.Kind, bytes)
		s.handleFrame(f)
	}
}

func (s *session) handleFrame(f frame) {
	s.mu.Lock()
	s.unanswered = false
	o, ok := s.calls[f.ID]
	delete(s.calls, f.ID)
	s.mu.Unlock()
	if !ok || f.Type == framePong {
		return
	}
	if f.Type == frameFailed {
		o.result <- result{err: errors.Wrapf(ErrRemote, "%s", f.Body)}
		return
	}
	o.result <- result{body: f.Body}
}

// close closes the connection and fails the pending calls.
func (s *session) close() {
	_ = s.conn.Close()
	<-s.done
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, o := range s.calls {
		o.fail(ErrBroken)
	}
	s.calls = nil
}
