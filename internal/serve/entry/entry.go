// Package entry is the caller side of a host: HTTP in, a typed refusal or the
// whole answer out.
//
// A request goes through these steps, each of which may refuse it:
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
//	e.Refuse()     // readiness fails; requests are still served
//	e.Drain(ctx)   // new requests are refused; returns once none is open
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

// View is what the host may serve under at this moment.
type View struct {
	// Index is the manifest, nil where the host has none that is known to be
	// in force.
	Index *mfest.Index
	// Uncertain tells that Index is what two generations both allow, because
	// the outcome of a change is not known yet.
	Uncertain  bool
	Generation int64
}

// Entry is the caller side. Set the exported fields before Listen.
type Entry struct {
	Settings config.Callers
	View     func() View
	Relay    *relay.Relay
	Calls    *calls.Calls
	// Ready tells whether the host's other parts are ready.
	Ready func() bool
	Clock clock.Clock
	Count *count.Set
	Log   *log.Logger

	server   *fasthttp.Server
	listener net.Listener
	opens    opens
	leaving  atomic.Bool
	draining atomic.Bool
}

// Listen opens the callers' address.
func (e *Entry) Listen() error {
	l, err := net.Listen("tcp", e.Settings.Address)
	if err != nil {
		return errors.Wrap(err, "callers' address")
	}
	e.listener = guardListener{Listener: l, writeTimeout: e.Settings.AcceptTimeoutMilliseconds.Duration()}
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
		Logger:                serverLog{log: e.Log},
	}
	return nil
}

const idleTimeout = 60 * clock.Second

// serverLog takes the HTTP server's own messages, which are about single
// connections, at the debug level.
type serverLog struct {
	log *log.Logger
}

// Printf logs one message.
func (l serverLog) Printf(format string, args ...any) {
	l.log.Debugf(format, args...)
}

// Address is the address listened on.
func (e *Entry) Address() string {
	return e.listener.Addr().String()
}

// Serve answers callers until Drain ends it.
func (e *Entry) Serve() error {
	return e.server.Serve(e.listener)
}

// Refuse makes readiness fail, so that the balancer sends new callers
// elsewhere. Requests are still served.
func (e *Entry) Refuse() {
	e.leaving.Store(true)
}

const drainPeriod = 20 * clock.Millis(1)

// Drain refuses new requests and returns once no request is open, or with the
// context's error.
func (e *Entry) Drain(ctx context.Context) error {
	e.Refuse()
	e.draining.Store(true)
	for e.opens.open() > 0 {
		select {
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "%d requests are still open", e.opens.open())
		case <-e.Clock.After(drainPeriod):
		}
	}
	return e.server.ShutdownWithContext(ctx)
}

// Open is how many requests are open.
func (e *Entry) Open() int {
	return e.opens.open()
}

// handle finds the route of a request and answers it.
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

// errorReasons gives the HTTP server's own errors their reasons; any other is
// a BadRequest.
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

// handleError answers a request that could not be read.
func (e *Entry) handleError(c *fasthttp.RequestCtx, err error) {
	e.refuse(c, refuse.New(errorReason(err)))
	c.SetConnectionClose()
}

// refuse answers with a refusal and counts it.
func (e *Entry) refuse(c *fasthttp.RequestCtx, r *refuse.Refusal) {
	class, _ := c.UserValue(classValue).(string)
	e.countRefusal(r, class)
	c.Response.Reset()
	c.SetStatusCode(r.Status())
	c.SetContentType("application/json")
	if r.RetryAfter > 0 {
		c.Response.Header.Set("Retry-After", itoa(seconds(r.RetryAfter)))
	}
	if e.draining.Load() {
		c.SetConnectionClose()
	}
	c.SetBody(r.Body())
}

// classValue is the key under which a request's context holds its class.
const classValue = "class"

// countRefusal counts a refusal. The class is empty where the request was
// refused before it had one.
func (e *Entry) countRefusal(r *refuse.Refusal, class string) {
	e.Count.Add("siskinsaddle_refused_total", 1,
		count.Label{Key: "reason", Value: string(r.Reason)},
		count.Label{Key: "class", Value: class})
}

// stream answers with a body that write makes part by part.
func stream(c *fasthttp.RequestCtx, write func(w *bufio.Writer)) {
	c.SetBodyStreamWriter(write)
}
