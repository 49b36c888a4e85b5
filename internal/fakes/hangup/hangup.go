// Package hangup is an HTTP/1.1 test server that closes or resets its
// connections at a chosen point of a request, or stops responding there, and
// counts the requests that it received. It can also send bytes without end. It works on raw connections rather than
// net/http's server, so that a test controls exactly where the bytes end.
//
// # Usage
//
//	s := &hangup.Server{}
//	err := s.Start()
//	defer s.Stop()
//	s.SetCut(hangup.AfterRequest, hangup.Reset)
//	// ... send requests to s.Address() ...
//	s.Wait() // until every connection has ended
//	runs := s.Runs("request-1")
package hangup

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Point is the point of a request at which the server ends the connection.
type Point string

// The points of a request. BeforeRequest also ends idle connections.
const (
	Never         Point = "Never"
	BeforeRequest Point = "BeforeRequest"
	DuringRequest Point = "DuringRequest"
	AfterRequest  Point = "AfterRequest"
	DuringHeader  Point = "DuringHeader"
	DuringBody    Point = "DuringBody"
	AfterResponse Point = "AfterResponse"
)

// Points lists every point except Never.
var Points = []Point{
	BeforeRequest, DuringRequest, AfterRequest, DuringHeader, DuringBody, AfterResponse,
}

// CutMode is the way in which a connection ends.
type CutMode string

// The ways to end a connection. Silent leaves it open and sends nothing more.
const (
	Close  CutMode = "Close"
	Reset  CutMode = "Reset"
	Silent CutMode = "Silent"
)

// Response is the default response, which SetResponse replaces; ResponseBody is its
// body.
const (
	Response     = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nX-Kind: test\r\n\r\n" + ResponseBody
	ResponseBody = "done"
)

// IDHeader is the header field whose value Runs counts requests by.
const IDHeader = "X-Request-Id"

const (
	// partialRequestBytes is how much of a request arrives before DuringRequest ends the
	// connection.
	partialRequestBytes = 12
	// headerBytes and bodyBytes are how much of the response is written before
	// the connection ends within the header or within the body.
	headerBytes = 20
	bodyBytes   = len(Response) - len(ResponseBody)/2
)

// truncatedBytes is how much of the response is written at each point that truncates it.
var truncatedBytes = map[Point]int{
	AfterRequest: 0, DuringHeader: headerBytes, DuringBody: bodyBytes,
}

// Server is the test server. Start must be called before any other method.
type Server struct {
	listener   net.Listener
	acceptLoop sync.WaitGroup
	handlers   sync.WaitGroup

	mu       sync.Mutex
	at       Point
	mode     CutMode
	response string
	// endless, if not empty, is sent again and again after the response, with a pause
	// in between.
	endless string
	pause   time.Duration
	runs    map[string]int
	started int
	// accepted holds every connection since Start, including those that have ended.
	accepted []net.Conn
}

// Start listens on a free port of 127.0.0.1 and serves in the background.
func (s *Server) Start() error {
	var err error
	s.listener, err = net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s.at, s.response, s.runs = Never, Response, map[string]int{}
	s.acceptLoop.Go(s.accept)
	return nil
}

// Address returns "IP:port".
func (s *Server) Address() string { return s.listener.Addr().String() }

// Stop closes the listener and every connection.
func (s *Server) Stop() {
	_ = s.listener.Close()
	s.acceptLoop.Wait()
	for _, conn := range s.connections() {
		_ = conn.Close()
	}
	s.handlers.Wait()
}

// Wait blocks until every connection has ended.
func (s *Server) Wait() { s.handlers.Wait() }

// SetCut sets where and how connections end from now on.
func (s *Server) SetCut(at Point, mode CutMode) {
	s.mu.Lock()
	s.at, s.mode = at, mode
	s.mu.Unlock()
	if at == BeforeRequest {
		for _, conn := range s.connections() {
			s.endConnection(conn)
		}
	}
}

// SetResponse sets the raw response that is sent from now on.
func (s *Server) SetResponse(response string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.response = response
}

// SetEndless makes the server send a text again and again after each response, with a
// pause in between, until the client closes the connection.
func (s *Server) SetEndless(text string, pause time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endless, s.pause = text, pause
}

// Runs returns how often a request with this IDHeader value arrived complete.
func (s *Server) Runs(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id]
}

// Started returns how many requests arrived at least partly.
func (s *Server) Started() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.started
}

// Accepted returns how many connections were accepted since Start.
func (s *Server) Accepted() int { return len(s.connections()) }

func (s *Server) connections() []net.Conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]net.Conn(nil), s.accepted...)
}

func (s *Server) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.accepted = append(s.accepted, conn)
		s.mu.Unlock()
		s.handlers.Go(func() { s.serve(conn) })
	}
}

func (s *Server) currentPoint() Point {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.at
}

// endConnection ends a connection in the way that SetCut chose.
func (s *Server) endConnection(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch s.mode {
	case Silent:
		return
	case Reset:
		_ = conn.(*net.TCPConn).SetLinger(0)
	}
	_ = conn.Close()
}

func (s *Server) serve(conn net.Conn) {
	in := bufio.NewReader(conn)
	for s.serveRequest(in, conn) {
	}
}

// serveRequest serves one request and reports whether the connection stays open.
func (s *Server) serveRequest(in *bufio.Reader, conn net.Conn) bool {
	if s.currentPoint() == BeforeRequest {
		s.endConnection(conn)
		return false
	}
	if _, err := in.Peek(partialRequestBytes); err != nil {
		return false
	}
	s.mu.Lock()
	s.started++
	s.mu.Unlock()
	if s.currentPoint() == DuringRequest {
		s.endConnection(conn)
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
	if s.respond(conn) {
		return true
	}
	s.endConnection(conn)
	return false
}

// respond writes the response up to the point at which the connection ends. It
// reports whether the connection stays open.
func (s *Server) respond(conn net.Conn) bool {
	s.mu.Lock()
	at, response, endless, pause := s.at, s.response, s.endless, s.pause
	s.mu.Unlock()
	if n, ok := truncatedBytes[at]; ok {
		_, _ = io.WriteString(conn, response[:n])
		return false
	}
	if pause == 0 {
		// A client may send its next request before it can see bytes of a second write.
		response += endless
	}
	_, err := io.WriteString(conn, response)
	for endless != "" && err == nil {
		time.Sleep(pause)
		_, err = io.WriteString(conn, endless)
	}
	return at != AfterResponse
}
