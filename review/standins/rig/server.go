package rig

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Request is one request as a backend server read it.
type Request struct {
	Method string
	Path   string
	Header http.Header
	Body   []byte
	ID     string
	Conn   net.Conn
	// OnConn counts the requests of the channel, from 1.
	OnConn int
}

// Server is a stand-in for a backend server. Handle writes the answer to the channel and
// returns false to close it.
type Server struct {
	ID      string
	Service string
	Zone    string
	Address string
	Born    int64
	Record  *Record
	// DropBodies discards the bodies of requests after reading them.
	DropBodies bool
	Handle     func(r *Request) bool

	listener net.Listener
	mu       sync.Mutex
	conns    map[net.Conn]bool
	ran      map[string]int
}

// Start listens on a free loopback port.
func (s *Server) Start() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s.listener, s.Address, s.Born = l, l.Addr().String(), time.Now().UnixMilli()
	s.conns, s.ran = map[net.Conn]bool{}, map[string]int{}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
	return nil
}

// Stop closes the listener and all channels.
func (s *Server) Stop() {
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.Close()
	}
}

// Row is the server's record in the store.
func (s *Server) Row(state string) map[string]any {
	return map[string]any{
		"service": s.Service, "address": s.Address, "zone": s.Zone, "version": "v1", "slots": 6,
		"state": state, "cold_left_ms": 0, "sequence": 1, "born": s.Born,
	}
}

func (s *Server) serve(c net.Conn) {
	s.mu.Lock()
	s.conns[c] = true
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
		_ = c.Close()
	}()
	b := bufio.NewReader(c)
	for n := 1; ; n++ {
		q, err := http.ReadRequest(b)
		if err != nil {
			return
		}
		var body []byte
		if s.DropBodies {
			_, err = io.Copy(io.Discard, q.Body)
		} else {
			body, err = io.ReadAll(q.Body)
		}
		if err != nil {
			return
		}
		r := &Request{
			Method: q.Method, Path: q.RequestURI, Header: q.Header, Body: body,
			ID: q.Header.Get("Request-Id"), Conn: c, OnConn: n,
		}
		if q.RequestURI == "/health" {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", s.ID)
			continue
		}
		if want := q.Header.Get("Expect-Instance"); want != "" && want != s.ID {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: %s\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", r.ID, s.ID)
			continue
		}
		if !s.Handle(r) {
			return
		}
	}
}

// Ran notes that a request was run.
func (s *Server) Ran(r *Request) {
	s.mu.Lock()
	s.ran[r.ID]++
	n := s.ran[r.ID]
	s.mu.Unlock()
	s.Record.Logf("server %s runs %s %s %s tenant=%q run=%d", s.ID, r.ID, r.Method, r.Path, r.Header.Get("Tenant"), n)
}

// Runs returns how often a request was run here.
func (s *Server) Runs(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ran[id]
}

// Stamp is the server's stamp on the answer to a request.
func (s *Server) Stamp(id string) string { return "stamp-" + s.ID + "-" + id }

// Answer writes a whole answer with the request's id and the server's stamp.
func (s *Server) Answer(r *Request, status int, body string) {
	_, _ = fmt.Fprintf(r.Conn, "HTTP/1.1 %d %s\r\nRequest-Id: %s\r\nResponse-Stamp: %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s",
		status, http.StatusText(status), r.ID, s.Stamp(r.ID), len(body), body)
}
