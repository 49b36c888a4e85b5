// Package entry is the HTTP server for callers. Every request gets the complete
// response or a refusal with a typed reason.
//
// A request passes these steps, each of which may refuse it:
//
//	route -> manifest view -> workspace by key -> class -> open limit -> relay or call
//
// # Usage
//
//	e := &entry.Entry{Settings: s.Callers, View: holder.View, Relay: r, Calls: c, ...}
//	if err := e.Listen(); err != nil {
//		return err
//	}
//	go e.Serve()
//	...
//	e.FailReadiness() // the readiness check fails; requests are still served
//	e.Drain(ctx)      // new requests are refused; returns once none is open
package entry

import (
	"bufio"
	"context"
	"net"
	"sync/atomic"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/base/config"
	"siskinsaddle/internal/base/count"
	"siskinsaddle/internal/serve/calls"
	"siskinsaddle/internal/serve/refuse"
	"siskinsaddle/internal/serve/relay"
	"siskinsaddle/internal/share/mfest"
)

// View is the manifest state that a request is served under.
type View struct {
	// Index is the manifest, nil if the host does not know which manifest is in
	// force.
	Index *mfest.Index
	// Uncertain reports whether Index is the intersection of two generations,
	// because the outcome of a manifest change is not known yet.
	Uncertain  bool
	Generation int64
}

// Entry is the HTTP server for callers. Set the exported fields before Listen.
type Entry struct {
	Settings config.Callers
	View     func() View
	Relay    *relay.Relay
	Calls    *calls.Calls
	// Ready reports whether the host's other components are ready.
	Ready func() bool
	Clock clock.Clock
	Count *count.Set
	Log   *log.Logger

	server       *fasthttp.Server
	listener     net.Listener
	openRequests openRequests
	shuttingDown atomic.Bool
	draining     atomic.Bool
}

// Listen listens on the address for callers.
func (e *Entry) Listen() error {
	l, err := net.Listen("tcp", e.Settings.Address)
	if err != nil {
		return errors.Wrap(err, "listen on the caller address")
	}
	e.listener = timeoutListener{Listener: l, writeTimeout: e.Settings.AcceptTimeoutMilliseconds.Duration()}
	e.server = &fasthttp.Server{
		Handler:               e.handle,
		ErrorHandler:          e.handleError,
		Name:                  "siskinsaddle",
		ReadBufferSize:        e.Settings.MaxHeaderBytes,
		MaxRequestBodySize:    e.Settings.MaxBodyBytes,
		Concurrency:           e.Settings.MaxConnections,
		ReadTimeout:           e.Settings.SendTimeoutMilliseconds.Duration(),
		IdleTimeout:           idleTimeout.Duration(),
		NoDefaultServerHeader: true,
		NoDefaultContentType:  true,
		Logger:                debugLogger{log: e.Log},
	}
	return nil
}

const idleTimeout = 60 * clock.Second

// debugLogger logs the messages of the HTTP server, which concern single
// connections, at the debug level.
type debugLogger struct {
	log *log.Logger
}

// Printf implements fasthttp.Logger.
func (l debugLogger) Printf(format string, args ...any) {
	l.log.Debugf(format, args...)
}

// Address returns the address that the server listens on.
func (e *Entry) Address() string {
	return e.listener.Addr().String()
}

// Serve serves callers until Drain shuts the server down.
func (e *Entry) Serve() error {
	return e.server.Serve(e.listener)
}

// FailReadiness makes the readiness check fail, so that the load balancer sends new
// callers to other hosts. Requests are still served.
func (e *Entry) FailReadiness() {
	e.shuttingDown.Store(true)
}

// drainPeriod is the time between two checks for open requests in milliseconds.
const drainPeriod = 20 * clock.Millis(1)

// Drain refuses new requests, waits until no request is open and shuts the server
// down. It returns the context's error if ctx ends first.
func (e *Entry) Drain(ctx context.Context) error {
	e.FailReadiness()
	e.draining.Store(true)
	for e.openRequests.count() > 0 {
		select {
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "%d requests are still open", e.openRequests.count())
		case <-e.Clock.After(drainPeriod):
		}
	}
	return e.server.ShutdownWithContext(ctx)
}

// Open returns the number of open requests.
func (e *Entry) Open() int {
	return e.openRequests.count()
}

// handle dispatches a request to its route.
func (e *Entry) handle(c *fasthttp.RequestCtx) {
	path := string(c.Path())
	for _, r := range routes {
		if !r.matches(path) {
			continue
		}
		if r.method != "" && r.method != string(c.Method()) {
			e.refuse(c, refuse.New(refuse.ReasonUnknownPath).WithText("method %s does not exist on %s", c.Method(), path))
			return
		}
		if refusal := r.serve(e, c); refusal != nil {
			e.refuse(c, refusal)
		}
		return
	}
	e.refuse(c, refuse.New(refuse.ReasonUnknownPath))
}

// errorReason returns the refusal reason of an HTTP server error, BadRequest if no
// other applies.
func errorReason(err error) refuse.Reason {
	var small *fasthttp.ErrSmallBuffer
	var timeout net.Error
	switch {
	case errors.As(err, &small):
		return refuse.ReasonHeaderTooLarge
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		return refuse.ReasonBodyTooLarge
	case errors.As(err, &timeout) && timeout.Timeout():
		return refuse.ReasonSlowSender
	}
	return refuse.ReasonBadRequest
}

// handleError refuses a request that could not be read.
func (e *Entry) handleError(c *fasthttp.RequestCtx, err error) {
	e.refuse(c, refuse.New(errorReason(err)))
	c.SetConnectionClose()
}

// refuse responds with a refusal and counts it.
func (e *Entry) refuse(c *fasthttp.RequestCtx, r *refuse.Refusal) {
	class, _ := c.UserValue(classKey).(string)
	e.countRefusal(r, class)
	c.Response.Reset()
	c.SetStatusCode(r.Status())
	c.SetContentType("application/json")
	if r.RetryAfter > 0 {
		c.Response.Header.Set("Retry-After", itoa(retryAfterSeconds(r.RetryAfter)))
	}
	if e.draining.Load() {
		c.SetConnectionClose()
	}
	c.SetBody(r.Body())
}

// classKey is the key of the class name in a request's context.
const classKey = "class"

// countRefusal counts a refusal. The class is empty if the request was refused
// before its class was known.
func (e *Entry) countRefusal(r *refuse.Refusal, class string) {
	e.Count.Add("siskinsaddle_refused_total", 1,
		count.Label{Key: "reason", Value: string(r.Reason)},
		count.Label{Key: "class", Value: class})
}

// stream responds with a body that write produces incrementally.
func stream(c *fasthttp.RequestCtx, write func(w *bufio.Writer)) {
	c.SetBodyStreamWriter(write)
}
