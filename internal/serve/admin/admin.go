// Package admin serves the operator API on a separate address.
//
//	GET /status   this host's state and its view of the other hosts, as JSON
//
// On an address other than loopback the settings require a secret, which
// operators send as a bearer token.
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

// Status is the response to GET /status.
type Status struct {
	HostName      string
	FailureDomain string
	Region        string
	Incarnation   int64
	// Ready is the readiness that the load balancer sees.
	Ready bool
	// Generation and Mode describe the manifest.
	Generation int64
	Mode       string
	// Open is the number of open caller requests, Running the number of grants
	// in use, and PendingClaims the number of keyed requests without a recorded
	// outcome.
	Open          int
	Running       int
	PendingClaims int
	// Kept names the backend servers whose keeper is this host.
	Kept []string
	// Hosts are all hosts that are not known to be dead.
	Hosts []Host
}

// Host is the state of one host as this host sees it.
type Host struct {
	Name          string
	FailureDomain string
	State         string
	Incarnation   int64
}

// Server serves the operator API. Set the exported fields before Start.
type Server struct {
	Address string
	// Secret is the required bearer token; if empty, requests need none.
	Secret string
	Status func() Status
	Log    *log.Logger

	listener net.Listener
	server   *fasthttp.Server
}

const readTimeout = 5 * clock.Second

// Start listens on the address and serves in the background.
func (s *Server) Start() error {
	l, err := net.Listen("tcp", s.Address)
	if err != nil {
		return errors.Wrap(err, "listen on the operator address")
	}
	s.listener = l
	s.server = &fasthttp.Server{
		Handler:               s.handle,
		NoDefaultServerHeader: true,
		ReadTimeout:           readTimeout.Duration(),
	}
	go func() {
		if err := s.server.Serve(l); err != nil {
			s.Log.Error("The operator API stopped.", "error", err)
		}
	}()
	return nil
}

// ListenAddress returns the address that the server listens on.
func (s *Server) ListenAddress() string {
	return s.listener.Addr().String()
}

// Stop shuts the server down.
func (s *Server) Stop() {
	if err := s.server.Shutdown(); err != nil {
		s.Log.Warn("Could not shut down the operator API.", "error", err)
	}
}

func (s *Server) handle(c *fasthttp.RequestCtx) {
	switch {
	case !s.authorized(c):
		c.Error("a bearer token is wanted", fasthttp.StatusUnauthorized)
	case string(c.Path()) != "/status" || !c.IsGet():
		c.Error("only GET /status exists", fasthttp.StatusNotFound)
	default:
		s.writeStatus(c)
	}
}

func (s *Server) authorized(c *fasthttp.RequestCtx) bool {
	if s.Secret == "" {
		return true
	}
	given := c.Request.Header.Peek("Authorization")
	return subtle.ConstantTimeCompare(given, []byte("Bearer "+s.Secret)) == 1
}

func (s *Server) writeStatus(c *fasthttp.RequestCtx) {
	body, err := json.MarshalIndent(s.Status(), "", "  ")
	if err != nil {
		c.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	c.SetContentType("application/json")
	c.SetBody(append(body, '\n'))
}
