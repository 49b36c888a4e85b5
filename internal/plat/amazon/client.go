package amazon

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/base/reply"
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

func newClient(dialTimeout, timeout clock.Millis, faults *reply.Faults) *client {
	dialer := &net.Dialer{Timeout: dialTimeout.Duration()}
	transport := &http.Transport{
		DialContext:         checked(dialer.DialContext, faults),
		DialTLSContext:      checked(dialTLS(dialer, &tls.Config{}), faults),
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

// dialFunc opens a connection.
type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// checked returns a dialFunc whose connections accept nothing but responses.
func checked(dial dialFunc, faults *reply.Faults) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return reply.Wrap(c, address, faults), nil
	}
}

// dialTLS returns a dialFunc for TLS. The dialer's timeout does not bound the handshake, as in
// net/http.
func dialTLS(dialer *net.Dialer, config *tls.Config) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		host, _, err := net.SplitHostPort(address)
		if err != nil {
			return nil, err
		}
		tcp, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		named := config.Clone()
		named.ServerName = host
		c := tls.Client(tcp, named)
		if err := c.HandshakeContext(ctx); err != nil {
			_ = tcp.Close()
			return nil, err
		}
		return c, nil
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
