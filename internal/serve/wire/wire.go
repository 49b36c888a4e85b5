// Package wire sends HTTP requests to backend servers. All traffic of this program
// to them goes through it.
//
// A request is written once, to one connection, and never resent: fasthttp
// encodes, decodes and pools connections, but its own round trip, which resends
// on a closed connection, is not used. Each result reports how much of the
// request can have reached the server:
//
//	SentNothing  the operating system accepted no byte
//	SentMaybe    it accepted some bytes, so the server may have begun
//	SentAll      it accepted all; without a response the server may have run it
//
// Only SentNothing proves that the request did not run.
//
// A server in trouble may send bytes without end, in the header, the body or what
// frames it. The bytes of a response are counted on its connection, and beyond the
// limits of its size the connection is closed. HeaderTimeout ends a header that arrives
// byte by byte.
//
// A faulty server may send responses that belong to no request of the connection or to an
// earlier one. Those that name another request, or none where servers always name it, are
// read and passed over, and the connection is closed after the right one.
//
// Established connections can stall for good while new ones work. A connection
// that makes no progress for ProgressTimeout is closed, together with the idle
// connections to its address. A pooled connection is checked before use: one that
// the server has closed, or that holds unsolicited bytes, is discarded before
// anything is sent.
//
// # Usage
//
//	c := &wire.Client{DialTimeout: 500, ProgressTimeout: 5_000}
//	response, sent, err := c.Do(ctx, wire.Request{
//		Address: "127.0.0.1:8001",
//		Method:  "POST",
//		Path:    "/bookings",
//		Headers: []wire.Header{{Name: "Content-Type", Value: "application/json"}},
//		Body:    body,
//	})
//	if err != nil {
//		return sent == wire.SentNothing // provably not run
//	}
//	defer response.Body.Close()
//	io.Copy(caller, response.Body)
package wire

import (
	"context"
	"io"
	"strings"
	"sync"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/base/reply"
)

// Sent is how much of a request can have reached the server.
type Sent string

// The values of Sent.
const (
	SentNothing Sent = "Nothing"
	SentMaybe   Sent = "Maybe"
	SentAll     Sent = "All"
)

// The errors of Do and of a response body.
var (
	ErrDial         = errors.New("no connection to the backend server")
	ErrBusy         = errors.New("all connections to the backend server are in use")
	ErrUnresponsive = errors.New("the backend server made no progress in time")
	ErrBroken       = errors.New("the connection to the backend server broke")
	ErrTooLarge     = errors.New("the response of the backend server is too large")
	ErrStray        = errors.New("the backend server sent responses that belong to other requests")
	ErrClosed       = errors.New("the response body is closed")
)

// Values of Response.Length if the header does not give the length of the body.
const (
	// LengthChunked stands for a chunked body.
	LengthChunked = -1
	// LengthToClose stands for a body that ends when the connection closes, so
	// that a truncated body looks like a complete one.
	LengthToClose = -2
)

// Header is one header field.
type Header struct {
	Name  string
	Value string
}

// Request is one request to a backend server.
type Request struct {
	// Address is "IP:port".
	Address string
	// Server names the server in reports of broken responses; empty means Address.
	Server string
	Method string
	// Path is the path with its query.
	Path string
	// Host is the Host field; empty means Address.
	Host    string
	Headers []Header
	Body    []byte
	// IDField is the header field in which a response names its request, "" for none, and
	// ID the value for this request. Responses that name another one are passed over.
	IDField string
	ID      string
	// RequireID is set if servers name the request in all their responses. Responses that
	// name none are passed over then, too.
	RequireID bool
	// HeaderTimeout bounds the wait for the whole header of the response, in
	// milliseconds; 0 means that each read of it has the client's ProgressTimeout.
	HeaderTimeout clock.Millis
	// BodyBeginTimeout bounds each read of the response body until
	// Response.BodyBegun is called, in milliseconds, if it is longer than
	// ProgressTimeout.
	BodyBeginTimeout clock.Millis
	// BodyTimeout bounds each later read of it, in milliseconds, if it is longer than
	// ProgressTimeout.
	BodyTimeout clock.Millis
}

// Response is a response whose header was read and whose body is still to be read.
// Body must be closed. It returns io.EOF only after the complete body, except for
// LengthToClose.
type Response struct {
	Status  int
	Headers []Header
	Length  int
	Body    io.ReadCloser
	// Attributed is set if the response names the request, or requests have no ID. One
	// without a name may be an earlier response that the server has sent once more.
	Attributed bool
	// BodyBegun ends Request.BodyBeginTimeout; it may be nil. It is called between
	// reads of Body.
	BodyBegun func()
}

// EndUnmarked reports whether the body ends with its connection, so that nothing tells
// whether it is complete.
func (r Response) EndUnmarked() bool {
	return r.Length == LengthToClose && r.Status != fasthttp.StatusNoContent && r.Status != fasthttp.StatusNotModified
}

// Finish reads what is left of the body, at most limit bytes, and returns an error unless the
// response is complete.
func (r Response) Finish(limit int) error {
	n, err := io.Copy(io.Discard, io.LimitReader(r.Body, int64(limit)+1))
	if err == nil && n > int64(limit) {
		return ErrTooLarge
	}
	return err
}

// Header returns the first field of that name, or "" if there is none.
func (r Response) Header(name string) string {
	for _, h := range r.Headers {
		if strings.EqualFold(h.Name, name) {
			return h.Value
		}
	}
	return ""
}

// The defaults of the client's settings.
const (
	defaultDialTimeout     = clock.Second
	defaultProgressTimeout = 30 * clock.Second
	defaultIdleTimeout     = 20 * clock.Second
	defaultMaxConnections  = 256
	defaultMaxHeaderBytes  = 16 << 10
	defaultMaxBodyBytes    = 64 << 20
)

// Client sends requests and pools connections. Its exported fields are set before
// the first Do.
type Client struct {
	// DialTimeout bounds the dialing of a connection, in milliseconds.
	DialTimeout clock.Millis
	// ProgressTimeout bounds each read and each write of at most 64 KiB, in
	// milliseconds.
	ProgressTimeout clock.Millis
	// IdleTimeout is how long an unused connection is kept, in milliseconds.
	IdleTimeout clock.Millis
	// MaxConnections bounds the connections to one address.
	MaxConnections int
	// MaxHeaderBytes and MaxBodyBytes bound the size of a response. What frames the
	// chunks of a body may take as many bytes again as the body.
	MaxHeaderBytes int
	MaxBodyBytes   int
	// Faults reports broken responses; it may be nil.
	Faults *reply.Faults

	mu    sync.Mutex
	pools map[string]*fasthttp.HostClient
}

// Do sends one request once and returns when the response header has arrived.
// Cancelling the context, even while the body is being read, closes the
// connection.
func (c *Client) Do(ctx context.Context, r Request) (Response, Sent, error) {
	t := &roundTrip{client: c, pool: c.pool(r.Address), request: r}
	if err := t.connect(ctx); err != nil {
		return Response{}, SentNothing, err
	}
	if sent, err := t.send(); err != nil {
		if sent == SentMaybe && (errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)) {
			t.conn.EndByReset()
		}
		cause := t.cause(err)
		t.abandon()
		return Response{}, sent, cause
	}
	response, err := t.receive()
	if err != nil {
		cause := t.cause(err)
		t.abandon()
		return Response{}, SentAll, cause
	}
	return response, SentAll, nil
}

// Forget closes the idle connections to an address that is no longer in use.
func (c *Client) Forget(address string) {
	c.mu.Lock()
	pool, ok := c.pools[address]
	delete(c.pools, address)
	c.mu.Unlock()
	if ok {
		pool.CloseIdleConnections()
	}
}

// Connections returns the number of open connections to an address.
func (c *Client) Connections(address string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	pool, ok := c.pools[address]
	if !ok {
		return 0
	}
	return pool.ConnsCount()
}

// maxResponseBytes returns the limit for the bytes of one response on its connection.
func (c *Client) maxResponseBytes() int {
	return orElse(c.MaxHeaderBytes, defaultMaxHeaderBytes) + 2*orElse(c.MaxBodyBytes, defaultMaxBodyBytes)
}

func (c *Client) pool(address string) *fasthttp.HostClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	if pool, ok := c.pools[address]; ok {
		return pool
	}
	if c.pools == nil {
		c.pools = map[string]*fasthttp.HostClient{}
	}
	pool := c.newPool(address)
	c.pools[address] = pool
	return pool
}

// newPool creates the connection pool of one address. All of fasthttp's retries
// are off, even though its round trip is not used.
func (c *Client) newPool(address string) *fasthttp.HostClient {
	return &fasthttp.HostClient{
		Addr:                      address,
		Dial:                      c.dial,
		MaxConns:                  orElse(c.MaxConnections, defaultMaxConnections),
		MaxIdleConnDuration:       orElse(c.IdleTimeout, defaultIdleTimeout).Duration(),
		ConnPoolStrategy:          fasthttp.LIFO,
		ReadBufferSize:            orElse(c.MaxHeaderBytes, defaultMaxHeaderBytes),
		MaxIdemponentCallAttempts: 1,
		RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) {
			return false, false
		},
		StreamResponseBody: true,
	}
}

func orElse[T int | clock.Millis](value, fallback T) T {
	if value > 0 {
		return value
	}
	return fallback
}
