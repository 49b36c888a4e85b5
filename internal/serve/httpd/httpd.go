// Package httpd takes callers' connections and reads their requests, one after
// another on each connection. It knows HTTP/1.1 and nothing of routes.
//
// While a request is handled, the connection is watched: a caller that closes
// it cancels the request's context. Bytes of a next request that came early
// stay where they are until the answer is out.
//
// A request whose length can be read in two ways is refused and its connection
// closed, since what follows may have been meant as its body.
//
// A stop goes in steps. Stopping has every answer ask the caller to close;
// CloseIdle closes the connections on which no request waits. Requests that
// were read are answered.
//
// # Usage
//
//	i := &httpd.Inlet{
//		Address: "127.0.0.1:8080",
//		Clock:   clock.System(),
//		Handle: func(ctx context.Context, r *httpd.Request, a *httpd.Answer) {
//			a.Whole(200, nil, []byte("hello\n"))
//		},
//		Limits: func() httpd.Limits { return httpd.Limits{} },
//		Log:    logger,
//	}
//	if err := i.Start(); err != nil { ... }
//	defer i.Close()
package httpd

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/base/count"
	"siskinsaddle/internal/base/logs"
	"siskinsaddle/internal/serve/refuse"
)

// Limits bound what a caller may send. Zero fields mean the defaults.
type Limits struct {
	HeaderBytes int
	BodyBytes   int
	// HeaderTime bounds the arrival of a header and each second's worth of a
	// body, Idle the time between requests, in milliseconds.
	HeaderTime clock.Millis
	Idle       clock.Millis
}

// The limits where the manifest sets none. They are those that the platform's
// first manifests carried.
const (
	defaultHeaderBytes = 16 << 10
	defaultBodyBytes   = 4 << 20
	defaultHeaderTime  = 3 * clock.Second
	defaultIdle        = 15 * clock.Second
)

func (l Limits) orDefaults() Limits {
	return Limits{
		HeaderBytes: orElse(l.HeaderBytes, defaultHeaderBytes),
		BodyBytes:   orElse(l.BodyBytes, defaultBodyBytes),
		HeaderTime:  orElse(l.HeaderTime, defaultHeaderTime),
		Idle:        orElse(l.Idle, defaultIdle),
	}
}

func orElse[T int | clock.Millis](value, fallback T) T {
	if value > 0 {
		return value
	}
	return fallback
}

// Inlet is a listener and its connections. Its fields are set before Start.
type Inlet struct {
	// Address is "IP:port".
	Address string
	Clock   clock.Clock
	// Handle answers one request. Its context ends when the caller is gone.
	Handle func(ctx context.Context, r *Request, a *Answer)
	// Limits are read for each request.
	Limits func() Limits
	// Refused is told of each request that is answered without Handle.
	Refused func(*refuse.Refusal)
	Log     *logs.Limited
	Count   *count.Set

	listener net.Listener
	stopping atomic.Bool
	mu       sync.Mutex
	conns    map[*conn]bool
	all      sync.WaitGroup
	open     atomic.Int64
}

// keepAlive finds callers' connections that fell silent.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 5 * time.Second, Interval: time.Second, Count: 3}

// Start listens and takes connections until Close.
func (i *Inlet) Start() error {
	config := net.ListenConfig{KeepAliveConfig: keepAlive}
	l, err := config.Listen(context.Background(), "tcp", i.Address)
	if err != nil {
		return errors.Wrap(err, "listening for callers")
	}
	i.listener = l
	go i.accept()
	return nil
}

// Bound is the address that is listened on.
func (i *Inlet) Bound() string { return i.listener.Addr().String() }

// acceptPause is the wait after a failed accept, as when descriptors run out,
// in milliseconds.
const acceptPause = 50 * clock.Millis(1)

func (i *Inlet) accept() {
	for {
		plain, err := i.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			i.Log.Warn("A connection could not be accepted.", "err", err)
			<-i.Clock.After(acceptPause)
			continue
		}
		i.all.Go(func() { i.Serve(plain) })
	}
}

// Serve reads and answers the requests of one connection until it ends.
func (i *Inlet) Serve(plain net.Conn) {
	c := newConn(i, plain)
	i.mu.Lock()
	if i.conns == nil {
		i.conns = map[*conn]bool{}
	}
	i.conns[c] = true
	i.mu.Unlock()
	c.serve()
	i.mu.Lock()
	delete(i.conns, c)
	i.mu.Unlock()
}

// Stopping has all further answers ask their callers to close the connection.
func (i *Inlet) Stopping() { i.stopping.Store(true) }

// CloseIdle closes the connections on which no request is being read or
// answered.
func (i *Inlet) CloseIdle() {
	i.mu.Lock()
	defer i.mu.Unlock()
	for c := range i.conns {
		c.closeIdle()
	}
}

// Open is the number of requests that are being answered.
func (i *Inlet) Open() int { return int(i.open.Load()) }

// Connections is the number of callers' connections.
func (i *Inlet) Connections() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return len(i.conns)
}

// Close stops listening. Connections go on.
func (i *Inlet) Close() error {
	return errors.Wrap(i.listener.Close(), "closing the callers' listener")
}

// Wait returns when all connections have ended.
func (i *Inlet) Wait() { i.all.Wait() }

func (i *Inlet) add(name string, labels ...count.Label) {
	if i.Count != nil {
		i.Count.Add(name, 1, labels...)
	}
}
