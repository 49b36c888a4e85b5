// Package admin answers operators on an address of its own.
//
//	GET /status   what this host knows and does, as JSON
//
// Off loopback the settings require a secret, which operators send as a bearer
// token.
//
// # Usage
//
//	s := &admin.Server{Address: "127.0.0.1:8081", Status: status, Log: l}
//	if err := s.Start(); err != nil {
//		return err
//	}
//	defer s.Stop()
//	curl http://127.0.0.1:8081/status
package admin

import (
	"crypto/subtle"
	"encoding/json"
	"net"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"siskinsaddle/internal/base/clock"
)

// Status is what a host tells its operators.
type Status struct {
	HostName      string
	FailureDomain string
	Region        string
	Incarnation   int64
	// Ready is what the balancer is told.
	Ready bool
	// Generation and Mode are of the manifest.
	Generation int64
	Mode       string
	// Open is how many requests of callers are open, Running how many grants
	// are in use, PendingClaims how many keyed requests are not settled.
	Open          int
	Running       int
	PendingClaims int
	// Kept names the backend servers for which this host decides.
	Kept []string
	// Hosts are all hosts that are not known to be dead.
	Hosts []Host
}

// Host is one host as this one knows it.
type Host struct {
	Name          string
	FailureDomain string
	State         string
	Incarnation   int64
}

// Server answers operators. Set the exported fields before Start.
type Server struct {
	Address string
	// Secret is wanted as a bearer token where it is not empty.
	Secret string
	Status func() Status
	Log    *log.Logger

	listener net.Listener
	server   *fasthttp.Server
}

const readTimeout = 5 * clock.Second

// Start opens the address and answers in the background.
func (s *Server) Start() error {
	l, err := net.Listen("tcp", s.Address)
	if err != nil {
		return errors.Wrap(err, "operators' address")
	}
	s.listener = l
	s.server = &fasthttp.Server{
		Handler:               s.handle,
		NoDefaultServerHeader: true,
		ReadTimeout:           readTimeout.Duration(),
	}
	go func() {
		if err := s.server.Serve(l); err != nil {
			s.Log.Error("Stopped answering operators.", "error", err)
		}
	}()
	return nil
}

// Listening is the address listened on.
func (s *Server) Listening() string {
	return s.listener.Addr().String()
}

// Stop closes the address.
func (s *Server) Stop() {
	if err := s.server.Shutdown(); err != nil {
		s.Log.Warn("Could not close the operators' address.", "error", err)
	}
}

func (s *Server) handle(c *fasthttp.RequestCtx) {
	switch {
	case !s.allowed(c):
		c.Error("a bearer token is wanted", fasthttp.StatusUnauthorized)
	case string(c.Path()) != "/status" || !c.IsGet():
		c.Error("only GET /status exists", fasthttp.StatusNotFound)
	default:
		s.answer(c)
	}
}

func (s *Server) allowed(c *fasthttp.RequestCtx) bool {
	if s.Secret == "" {
		return true
	}
	given := c.Request.Header.Peek("Authorization")
	return subtle.ConstantTimeCompare(given, []byte("Bearer "+s.Secret)) == 1
}

func (s *Server) answer(c *fasthttp.RequestCtx) {
	text, err := json.MarshalIndent(s.Status(), "", "  ")
	if err != nil {
		c.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	c.SetContentType("application/json")
	c.SetBody(append(text, '\n'))
}
