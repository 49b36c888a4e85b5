// Package hangup is an HTTP/1.1 server that cuts its connections at a chosen
// point of a request, or falls silent there, and counts what it got before. It
// works on the bytes themselves, so that a test sees exactly what a client sent.
//
// # Usage
//
//	s := &hangup.Server{}
//	err := s.Start()
//	defer s.Stop()
//	s.Set(hangup.AfterRequest, hangup.Reset)
//	// ... send something to s.Address() ...
//	s.Wait() // until each connection has ended
//	runs := s.Runs("request-1")
package hangup

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
)

// Point is where in a request a connection is cut.
type Point string

// The points. BeforeRequest also cuts the connections that are idle.
const (
	Never         Point = "Never"
	BeforeRequest Point = "BeforeRequest"
	DuringRequest Point = "DuringRequest"
	AfterRequest  Point = "AfterRequest"
	DuringHeader  Point = "DuringHeader"
	DuringBody    Point = "DuringBody"
	AfterResponse Point = "AfterResponse"
)

// Points are those at which a connection is cut.
var Points = []Point{BeforeRequest, DuringRequest, AfterRequest, DuringHeader, DuringBody, AfterResponse}

// How is the way in which a connection ends.
type How string

// The ways. Silent leaves the connection open and says nothing more on it.
const (
	Close  How = "Close"
	Reset  How = "Reset"
	Silent How = "Silent"
)

// Answer is the answer unless SetText gives another; Body is its body.
const (
	Answer = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nX-Kind: test\r\n\r\n" + Body
	Body   = "done"
)

// IDHeader is the header field by which requests are counted.
const IDHeader = "X-Request-Id"

const (
	// tasteBytes is how much of a request is read before it is cut.
	tasteBytes = 12
	// headerBytes and bodyBytes are how much of the answer is written before it
	// is cut within the header or within the body.
	headerBytes = 20
	bodyBytes   = len(Answer) - len(Body)/2
)

var partBytes = map[Point]int{AfterRequest: 0, DuringHeader: headerBytes, DuringBody: bodyBytes}

// Server is the server.
type Server struct {
	listener net.Listener
	accepts  sync.WaitGroup
	links    sync.WaitGroup

	mu    sync.Mutex
	at    Point
	how   How
	text  string
	runs  map[string]int
	begun int
	open  []net.Conn
}

// Start listens on a free port of 127.0.0.1 and serves in the background.
func (s *Server) Start() error {
	var err error
	s.listener, err = net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s.at, s.text, s.runs = Never, Answer, map[string]int{}
	s.accepts.Go(s.accept)
	return nil
}

// Address returns "IP:port".
func (s *Server) Address() string { return s.listener.Addr().String() }

// Stop ends every connection and the server.
func (s *Server) Stop() {
	_ = s.listener.Close()
	s.accepts.Wait()
	for _, link := range s.opened() {
		_ = link.Close()
	}
	s.links.Wait()
}

// Wait waits until every connection has ended.
func (s *Server) Wait() { s.links.Wait() }

// Set says where and how connections end from now on.
func (s *Server) Set(at Point, how How) {
	s.mu.Lock()
	s.at, s.how = at, how
	s.mu.Unlock()
	if at == BeforeRequest {
		for _, link := range s.opened() {
			s.end(link)
		}
	}
}

// SetText says what is answered from now on.
func (s *Server) SetText(text string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.text = text
}

// Runs returns how often a request arrived whole.
func (s *Server) Runs(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id]
}

// Begun returns how many requests arrived at least in part.
func (s *Server) Begun() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.begun
}

// Accepted returns how many connections there were.
func (s *Server) Accepted() int { return len(s.opened()) }

func (s *Server) opened() []net.Conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]net.Conn(nil), s.open...)
}

func (s *Server) accept() {
	for {
		link, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.open = append(s.open, link)
		s.mu.Unlock()
		s.links.Go(func() { s.serve(link) })
	}
}

func (s *Server) point() Point {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.at
}

func (s *Server) end(link net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch s.how {
	case Silent:
		return
	case Reset:
		_ = link.(*net.TCPConn).SetLinger(0)
	}
	_ = link.Close()
}

func (s *Server) serve(link net.Conn) {
	in := bufio.NewReader(link)
	for s.one(in, link) {
	}
}

// one serves one request. It returns whether the connection goes on.
func (s *Server) one(in *bufio.Reader, link net.Conn) bool {
	if s.point() == BeforeRequest {
		s.end(link)
		return false
	}
	if _, err := in.Peek(tasteBytes); err != nil {
		return false
	}
	s.mu.Lock()
	s.begun++
	s.mu.Unlock()
	if s.point() == DuringRequest {
		s.end(link)
		return false
	}
	request, err := http.ReadRequest(in)
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, request.Body)
	s.mu.Lock()
	s.runs[request.Header.Get(IDHeader)]++
	s.mu.Unlock()
	if s.answer(link) {
		return true
	}
	s.end(link)
	return false
}

// answer writes as much of the answer as the point allows.
func (s *Server) answer(link net.Conn) bool {
	s.mu.Lock()
	at, text := s.at, s.text
	s.mu.Unlock()
	if part, ok := partBytes[at]; ok {
		_, _ = io.WriteString(link, text[:part])
		return false
	}
	_, _ = io.WriteString(link, text)
	return at != AfterResponse
}
