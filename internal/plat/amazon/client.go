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
	// maxConnections bounds the connections to one store.
	maxConnections = 64
	// idleTimeout is below the idle limit of common load balancers.
	idleTimeout = 20 * time.Second
)

// notSentError is the failure of a request that never had a connection.
type notSentError struct {
	cause error
}

func (e *notSentError) Error() string { return "not sent: " + e.cause.Error() }

func (e *notSentError) Unwrap() error { return e.cause }

// notSent tells whether a request provably never had a connection.
func notSent(err error) bool {
	var e *notSentError
	return errors.As(err, &e)
}

// client is the HTTP client that the SDK sends through. It tells apart the
// requests that never had a connection.
type client struct {
	http *http.Client
	idle func()
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
		http: &http.Client{Transport: transport, Timeout: timeout.Duration()},
		idle: transport.CloseIdleConnections,
	}
}

// Do sends one request. After a failure on an open connection the idle ones are
// closed too: whatever made one of them silent may have lost them all, and each
// would cost another timeout.
func (c *client) Do(r *http.Request) (*http.Response, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	}
	answer, err := c.http.Do(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	if err == nil {
		return answer, nil
	}
	if !connected.Load() {
		return nil, &notSentError{cause: err}
	}
	c.idle()
	return nil, err
}
