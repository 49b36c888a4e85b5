// Package httpd is the HTTP/1.1 server for callers: it accepts connections and reads
// and answers the requests of each connection in order. Routing is left to the
// handler.
//
// While a request is handled, the connection is watched: a caller that closes
// it cancels the request's context. Pipelined bytes of the next request stay in the
// read buffer until the response is written.
//
// A request with ambiguous framing is refused and its connection closed, because
// the bytes that follow may belong to its body (request smuggling).
//
// A graceful shutdown has three steps. Stopping adds "Connection: close" to every
// further response, Close ends the listener, and CloseIdle closes the connections
// without a request in progress. Requests that were read are still answered.
//
// # Usage
//
//	s := &httpd.Server{
//		Address: "127.0.0.1:8080",
//		Clock:   clock.System(),
//		Handle: func(ctx context.Context, r *httpd.Request, w *httpd.ResponseWriter) {
//			w.Whole(200, nil, []byte("hello\n"))
//		},
//		Limits: func() httpd.Limits { return httpd.Limits{} },
//		Log:    logger,
//	}
//	if err := s.Start(); err != nil { ... }
//	defer s.Close()
package httpd

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/base/count"
	"siskinsaddle/internal/base/logs"
	"siskinsaddle/internal/serve/refuse"
)

// Limits bound what a caller may send. A zero field means its default.
type Limits struct {
	HeaderBytes int
	BodyBytes   int
	// HeaderTime bounds the time to receive a header, and the time to receive a
	// body beyond what minBodyRate allows for its length. Idle bounds the time
	// between requests. Both are in milliseconds.
	HeaderTime clock.Millis
	Idle       clock.Millis
}

// The limits that hold until the first manifest arrives, and where a manifest sets none.
const (
	defaultHeaderBytes = 16 << 10
	defaultBodyBytes   = 4 << 20
	defaultHeaderTime  = 3 * clock.Second
	defaultIdle        = 15 * clock.Second
)

func (l Limits) orDefaults() Limits {
	return Limits{
		HeaderBytes: orElse(l.HeaderBytes, defaultHeaderBytes),
		BodyBytes:   orElse(l.BodyBytes, defaultBodyBytes),
		HeaderTime:  orElse(l.HeaderTime, defaultHeaderTime),
		Idle:        orElse(l.Idle, defaultIdle),
	}
}

func orElse[T int | clock.Millis](value, fallback T) T {
	if value > 0 {
		return value
	}
	return fallback
}

// Server is a listener and its connections. Its exported fields are set before
// Start.
type Server struct {
	// Address is "IP:port".
	Address string
	Clock   clock.Clock
	// Handle answers one request. Its context ends when the caller disconnects.
	Handle func(ctx context.Context, r *Request, w *ResponseWriter)
	// Limits is called for each request.
	Limits func() Limits
	// Refused is called for each malformed request, which Handle never sees. It
	// may be nil.
	Refused func(*refuse.Refusal)
	// MaxBodies is the memory for the bodies of over 64 KiB that are read or handled at a
	// time, in bytes; 0 means 64 MiB.
	MaxBodies int64
	Log       *logs.Limited
	Count     *count.Set

	listener net.Listener
	stopping atomic.Bool
	mu       sync.Mutex
	conns    map[*conn]bool
	// bodies is nil until bodyMemory is called.
	bodies        *bodies
	prepareBodies sync.Once
	serving       sync.WaitGroup
	open          atomic.Int64
}

// keepAlive detects dead connections of callers.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 5 * time.Second, Interval: time.Second, Count: 3}

// Start listens and accepts connections until Close.
func (s *Server) Start() error {
	config := net.ListenConfig{KeepAliveConfig: keepAlive}
	l, err := config.Listen(context.Background(), "tcp", s.Address)
	if err != nil {
		return errors.Wrap(err, "listening for callers")
	}
	s.listener = l
	go s.accept()
	return nil
}

// Bound returns the address of the listener.
func (s *Server) Bound() string { return s.listener.Addr().String() }

// acceptPause is the wait after a failed accept, for example when file descriptors
// run out, in milliseconds.
const acceptPause = 50 * clock.Millis(1)

func (s *Server) accept() {
	for {
		raw, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			s.Log.Warn("A connection could not be accepted.", "err", err)
			<-s.Clock.After(acceptPause)
			continue
		}
		s.serving.Go(func() { s.Serve(raw) })
	}
}

// Serve reads and answers the requests of one connection until it ends.
func (s *Server) Serve(raw net.Conn) {
	c := newConn(s, raw)
	s.mu.Lock()
	if s.conns == nil {
		s.conns = map[*conn]bool{}
	}
	s.conns[c] = true
	s.mu.Unlock()
	c.serve()
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
}

// Stopping adds "Connection: close" to all further responses.
func (s *Server) Stopping() { s.stopping.Store(true) }

// CloseIdle closes the connections on which no request is being read or
// answered.
func (s *Server) CloseIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.closeIdle()
	}
}

// Open returns the number of requests being handled.
func (s *Server) Open() int { return int(s.open.Load()) }

// Connections returns the number of open connections.
func (s *Server) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// Close stops listening. Open connections continue.
func (s *Server) Close() error {
	return errors.Wrap(s.listener.Close(), "closing the callers' listener")
}

// Wait blocks until all accepted connections have ended.
func (s *Server) Wait() { s.serving.Wait() }

func (s *Server) increment(name string, labels ...count.Label) {
	if s.Count != nil {
		s.Count.Add(name, 1, labels...)
	}
}
