package amazon

import (
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"siskinsaddle/internal/base/clock"
)

const (
	// maxConnections is the maximum number of connections to one store.
	maxConnections = 64
	// idleTimeout is below the idle timeout of common load balancers.
	idleTimeout = 20 * time.Second
)

// notSentError wraps the error of a request that never got a connection, so that
// no byte of it can have reached the service.
type notSentError struct {
	cause error
}

func (e *notSentError) Error() string { return "not sent: " + e.cause.Error() }

func (e *notSentError) Unwrap() error { return e.cause }

// notSent reports whether a request failed before it got a connection.
func notSent(err error) bool {
	var e *notSentError
	return errors.As(err, &e)
}

// client is the HTTP client of the SDK. It marks the errors of requests that never
// got a connection with notSentError.
type client struct {
	http      *http.Client
	closeIdle func()
}

func newClient(dialTimeout, timeout clock.Millis) *client {
	dialer := &net.Dialer{Timeout: dialTimeout.Duration()}
	transport := &http.Transport{
		DialContext:         dialer.DialContext,
		MaxConnsPerHost:     maxConnections,
		MaxIdleConnsPerHost: maxConnections,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
	return &client{
		http:      &http.Client{Transport: transport, Timeout: timeout.Duration()},
		closeIdle: transport.CloseIdleConnections,
	}
}

// Do sends one request. A failure on an open connection also closes the idle
// ones: the same fault may have broken them all, and each would make another request
// wait for its timeout.
func (c *client) Do(r *http.Request) (*http.Response, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	}
	response, err := c.http.Do(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	if err == nil {
		return response, nil
	}
	if !connected.Load() {
		return nil, &notSentError{cause: err}
	}
	c.closeIdle()
	return nil, err
}
