// Package front is the HTTP server that all stand-ins share. It listens on a
// loopback address by default, and a test can reset its connections, refuse new
// ones or make open ones silent.
//
// A silent connection simulates a network that drops packets: it stays open at
// both ends, but carries no data and no close in either direction. Bytes from the
// caller are discarded, and writes by the stand-in succeed without being sent.
// New connections work normally.
//
// # Usage
//
//	s := &front.Server{Handler: handle}
//	err := s.Start()
//	defer s.Stop()
//	url := "http://" + s.Address()
//	s.SilenceOpen()       // connections open now go silent for good
//	s.SetRefusing(true)   // resets every open and every new connection
package front

import (
	"net"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/panjf2000/ants/v2"
	"github.com/valyala/fasthttp"

	"siskinsaddle/internal/base/logs"
	"siskinsaddle/internal/fakes/spoil"
)

// maxBodyBytes is the maximum size of a request body.
const maxBodyBytes = 64 << 20

// Server is the HTTP server of one stand-in. The exported fields must be set
// before Start.
type Server struct {
	// ListenAddress is "IP:port"; by default 127.0.0.1 with a free port.
	ListenAddress string
	Handler       fasthttp.RequestHandler
	// StreamBody calls the handler as soon as the request header is read, before the
	// body has arrived.
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
	httpServer := &fasthttp.Server{
		Handler:                      s.Handler,
		MaxRequestBodySize:           maxBodyBytes,
		StreamRequestBody:            s.StreamBody,
		Logger:                       logs.Discard(),
		NoDefaultServerHeader:        true,
		DisablePreParseMultipartForm: true,
	}
	go func() {
		defer close(s.served)
		_ = httpServer.Serve(&trackingListener{Listener: l, server: s}) // ends when Stop closes the listener
	}()
	return nil
}

// Address returns the listen address as "IP:port". It is valid after Start.
func (s *Server) Address() string {
	return s.listener.Addr().String()
}

// Stop closes the listener and resets every connection, silent ones too.
func (s *Server) Stop() {
	if s.listener == nil {
		return
	}
	_ = s.listener.Close()
	s.ResetAll()
	<-s.served
}

// ResetAll resets every open connection, silent ones too.
func (s *Server) ResetAll() {
	for _, c := range s.conns() {
		c.Reset()
	}
}

// SilenceOpen makes every open connection silent for the rest of its lifetime.
func (s *Server) SilenceOpen() {
	for _, c := range s.conns() {
		c.silence()
	}
}

// SetRefusing with true resets every open connection, and each new one until
// SetRefusing(false).
func (s *Server) SetRefusing(refusing bool) {
	s.mu.Lock()
	s.refusing = refusing
	s.mu.Unlock()
	if refusing {
		s.ResetAll()
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

// track wraps and registers a new connection. It returns false if the server
// refuses connections; the connection is not registered then.
func (s *Server) track(raw net.Conn) (*Conn, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := newConn(raw, s)
	if s.refusing {
		return c, false
	}
	s.open[c] = true
	return c, true
}

func (s *Server) untrack(c *Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, c)
}

// trackingListener accepts connections as *Conn and registers them with the server.
type trackingListener struct {
	net.Listener
	server *Server
}

// Accept returns the next connection that the server does not refuse.
func (t *trackingListener) Accept() (net.Conn, error) {
	for {
		raw, err := t.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c, ok := t.server.track(raw)
		if !ok {
			c.Reset()
			continue
		}
		if err := ants.Submit(c.readAhead); err != nil {
			c.Reset()
		}
		return c, nil
	}
}

// ConnOf returns the connection that a request arrived on, nil if it did not arrive
// through a Server.
func ConnOf(ctx *fasthttp.RequestCtx) *Conn {
	c, _ := ctx.Conn().(*Conn)
	return c
}

// FaultsPath is the path of the faults of a stand-in, whose responses are never broken.
const FaultsPath = "/faults"

// Spoil breaks the response to a request, unless it is about faults.
func Spoil(ctx *fasthttp.RequestCtx, kind spoil.Kind) {
	if c := ConnOf(ctx); c != nil && string(ctx.Path()) != FaultsPath {
		c.Spoil(kind)
	}
}

// WriteJSON sets the status and a JSON body of a response.
func WriteJSON(ctx *fasthttp.RequestCtx, status int, body []byte) {
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}
