package link

import (
	"sync"

	"github.com/cockroachdb/errors"

	"siskinsaddle/internal/base/clock"
)

// session is one outgoing connection and the calls that wait on it.
type session struct {
	*stream
	done chan struct{}

	mu sync.Mutex
	// owing tells that something was written since the peer was last heard,
	// first at owedSince.
	owing     bool
	owedSince clock.Millis
	calls     map[uint64]outgoing
}

func newSession(s *stream) *session {
	return &session{stream: s, done: make(chan struct{}), calls: map[uint64]outgoing{}}
}

func (s *session) expect(o outgoing) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls[o.f.ID] = o
}

func (s *session) wrote(now clock.Millis) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.owing {
		s.owing = true
		s.owedSince = now
	}
}

func (s *session) waits() bool {
	_, owes := s.owed()
	return owes
}

func (s *session) owed() (clock.Millis, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.owedSince, s.owing
}

// read takes replies and pongs until the connection ends.
func (s *session) read(n *Node) {
	defer close(s.done)
	for {
		var f frame
		bytes, err := readFrame(s.r, n.MaxFrame, &f)
		if err != nil {
			return
		}
		n.counted("In", f.Kind, bytes)
		s.heard(f)
	}
}

func (s *session) heard(f frame) {
	s.mu.Lock()
	s.owing = false
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

// close ends the connection and fails the calls that still wait.
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
