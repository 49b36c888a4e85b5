// Package front is the HTTP side that all stand-ins share: a listener on a
// loopback address whose connections can be dropped, refused or made silent.
//
// A silent connection stays open at both ends, but nothing passes through it
// any more, not even its end: what the caller sends is thrown away, and what
// the stand-in writes is reported as written. New connections work.
//
// # Usage
//
//	s := &front.Server{Handler: handle}
//	err := s.Start()
//	defer s.Stop()
//	url := "http://" + s.Address()
//	s.SilenceOpen()       // connections open now go silent for good
//	s.SetRefusing(true)   // drops every connection and each new one
package front

import (
	"net"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/panjf2000/ants/v2"
	"github.com/valyala/fasthttp"

	"siskinsaddle/internal/base/logs"
)

const maxBodyBytes = 64 << 20

// Server is one stand-in's HTTP server. The exported fields are set before
// Start.
type Server struct {
	// ListenAddress is "IP:port"; by default 127.0.0.1 with a free port.
	ListenAddress string
	Handler       fasthttp.RequestHandler
	// StreamBody calls the handler once the request's head is read.
	StreamBody bool

	mu       sync.Mutex
	listener net.Listener
	open     map[*Conn]bool
	refusing bool
	served   chan struct{}
}

// Start opens the listener and serves in the background.
func (s *Server) Start() error {
	address := s.ListenAddress
	if address == "" {
		address = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrapf(err, "listen on %s", address)
	}
	s.listener = l
	s.open = map[*Conn]bool{}
	s.served = make(chan struct{})
	web := &fasthttp.Server{
		Handler:                      s.Handler,
		MaxRequestBodySize:           maxBodyBytes,
		StreamRequestBody:            s.StreamBody,
		Logger:                       logs.Discard(),
		NoDefaultServerHeader:        true,
		DisablePreParseMultipartForm: true,
	}
	go func() {
		defer close(s.served)
		_ = web.Serve(&tracked{Listener: l, server: s}) // ends when Stop closes the listener
	}()
	return nil
}

// Address returns "IP:port" once Start has returned.
func (s *Server) Address() string {
	return s.listener.Addr().String()
}

// Stop closes the listener and every connection, silent ones too.
func (s *Server) Stop() {
	if s.listener == nil {
		return
	}
	_ = s.listener.Close()
	s.DropAll()
	<-s.served
}

// DropAll resets every open connection.
func (s *Server) DropAll() {
	for _, c := range s.conns() {
		c.Reset()
	}
}

// SilenceOpen makes every connection that is open now silent for good.
func (s *Server) SilenceOpen() {
	for _, c := range s.conns() {
		c.silence()
	}
}

// SetRefusing drops every connection and resets new ones until it is set back.
func (s *Server) SetRefusing(refusing bool) {
	s.mu.Lock()
	s.refusing = refusing
	s.mu.Unlock()
	if refusing {
		s.DropAll()
	}
}

func (s *Server) conns() []*Conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make([]*Conn, 0, len(s.open))
	for c := range s.open {
		all = append(all, c)
	}
	return all
}

// admit starts a connection unless the server refuses.
func (s *Server) admit(raw net.Conn) (*Conn, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := newConn(raw, s)
	if s.refusing {
		return c, false
	}
	s.open[c] = true
	return c, true
}

func (s *Server) forget(c *Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, c)
}

// tracked hands out the listener's connections as *Conn.
type tracked struct {
	net.Listener
	server *Server
}

// Accept returns the next connection that the server does not refuse.
func (t *tracked) Accept() (net.Conn, error) {
	for {
		raw, err := t.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c, ok := t.server.admit(raw)
		if !ok {
			c.Reset()
			continue
		}
		if err := ants.Submit(c.pump); err != nil {
			c.Reset()
		}
		return c, nil
	}
}

// Of returns the connection that a request came on.
func Of(ctx *fasthttp.RequestCtx) *Conn {
	c, _ := ctx.Conn().(*Conn)
	return c
}

// WriteJSON answers with a status and a JSON body.
func WriteJSON(ctx *fasthttp.RequestCtx, status int, body []byte) {
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}
