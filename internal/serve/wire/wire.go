// Package wire sends requests to backend servers. It is the only way by which
// this program's traffic reaches them.
//
// A request is written to one connection, once. Nothing here sends it again:
// fasthttp encodes, decodes and keeps the pool of connections, but its own
// round trip, which resends on a closed connection, is not used. Each result
// says how much of the request can have reached the server:
//
//	SentNothing  no byte was taken by the operating system
//	SentMaybe    some bytes were, so the server may have begun
//	SentAll      all were; without an answer the server may have run it
//
// Only SentNothing proves that the request did not run.
//
// Connections can go silent for good while new ones work. A connection that
// makes no progress for ProgressTimeout is closed, and the idle connections to
// its address with it. A connection from the pool is checked before use: one
// that the server has closed, or on which bytes came that nobody asked for, is
// dropped before anything is sent.
//
// # Usage
//
//	c := &wire.Client{DialTimeout: 500, ProgressTimeout: 5_000}
//	answer, sent, err := c.Do(ctx, wire.Request{
//		Address: "127.0.0.1:8001",
//		Method:  "POST",
//		Path:    "/bookings",
//		Headers: []wire.Header{{Name: "Content-Type", Value: "application/json"}},
//		Body:    body,
//	})
//	if err != nil {
//		return sent == wire.SentNothing // provably not run
//	}
//	defer answer.Body.Close()
//	io.Copy(caller, answer.Body)
package wire

import (
	"context"
	"io"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"siskinsaddle/internal/base/clock"
)

// Sent says how much of a request can have reached the server.
type Sent string

// The values of Sent.
const (
	SentNothing Sent = "Nothing"
	SentMaybe   Sent = "Maybe"
	SentAll     Sent = "All"
)

// The errors of Do and of an answer's body.
var (
	ErrDial     = errors.New("no connection to the backend server")
	ErrBusy     = errors.New("all connections to the backend server are in use")
	ErrSilent   = errors.New("the backend server made no progress in time")
	ErrBroken   = errors.New("the connection to the backend server broke")
	ErrTooLarge = errors.New("the answer of the backend server is too large")
	ErrClosed   = errors.New("the answer's body is closed")
)

// Lengths of an answer's body that are not known from its header.
const (
	// LengthChunked is the length of a body whose end is marked.
	LengthChunked = -1
	// LengthToClose is the length of a body that ends with the connection, so
	// that a whole one cannot be told from a broken one.
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
	Method  string
	// Path is the path with its query.
	Path string
	// Host is the Host field, Address where it is empty.
	Host    string
	Headers []Header
	Body    []byte
	// FirstByteTimeout is the wait for the answer's first byte in
	// milliseconds, ProgressTimeout of the client where it is 0.
	FirstByteTimeout clock.Millis
	// BeginTimeout bounds each read of the answer's body until its Begun is
	// called, in milliseconds, where it is longer than ProgressTimeout.
	BeginTimeout clock.Millis
}

// Answer is the header of an answer and its body, still to be read. Body must
// be closed. It returns io.EOF only after the whole body, except for
// LengthToClose.
type Answer struct {
	Status  int
	Headers []Header
	Length  int
	Body    io.ReadCloser
	// Begun ends the BeginTimeout, nil where there is none. It is called between
	// reads of Body.
	Begun func()
}

// Header returns the first field of that name, "" where there is none.
func (a Answer) Header(name string) string {
	for _, h := range a.Headers {
		if strings.EqualFold(h.Name, name) {
			return h.Value
		}
	}
	return ""
}

// The settings of a client where they are 0.
const (
	defaultDialTimeout     = clock.Second
	defaultProgressTimeout = 30 * clock.Second
	defaultIdleTimeout     = 20 * clock.Second
	defaultMaxConnections  = 256
	defaultMaxHeaderBytes  = 16 << 10
	defaultMaxBodyBytes    = 64 << 20
)

// Client sends requests. Its fields are set before the first Do.
type Client struct {
	// DialTimeout bounds the making of a connection, in milliseconds.
	DialTimeout clock.Millis
	// ProgressTimeout bounds each read and each write of at most 64 KiB, in
	// milliseconds.
	ProgressTimeout clock.Millis
	// IdleTimeout is how long an unused connection is kept, in milliseconds.
	IdleTimeout clock.Millis
	// MaxConnections bounds the connections to one address.
	MaxConnections int
	// MaxHeaderBytes and MaxBodyBytes bound an answer.
	MaxHeaderBytes int
	MaxBodyBytes   int

	mu    sync.Mutex
	pools map[string]*fasthttp.HostClient
}

// Do sends one request once and returns when the answer's header is there.
// Cancelling the context, also while the body is read, closes the connection.
func (c *Client) Do(ctx context.Context, r Request) (Answer, Sent, error) {
	t := &trip{client: c, pool: c.pool(r.Address), request: r}
	if err := t.connect(ctx); err != nil {
		return Answer{}, SentNothing, err
	}
	if sent, err := t.send(); err != nil {
		fault := t.fault(err)
		t.drop()
		return Answer{}, sent, fault
	}
	answer, err := t.receive()
	if err != nil {
		fault := t.fault(err)
		t.drop()
		return Answer{}, SentAll, fault
	}
	return answer, SentAll, nil
}

// Forget drops the idle connections to an address that is no longer in use.
func (c *Client) Forget(address string) {
	c.mu.Lock()
	pool, ok := c.pools[address]
	delete(c.pools, address)
	c.mu.Unlock()
	if ok {
		pool.CloseIdleConnections()
	}
}

// Connections returns how many connections to an address are open.
func (c *Client) Connections(address string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	pool, ok := c.pools[address]
	if !ok {
		return 0
	}
	return pool.ConnsCount()
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

// newPool makes the pool of connections to one address. Resending is off in
// each of the library's ways, although its round trip is not used.
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
