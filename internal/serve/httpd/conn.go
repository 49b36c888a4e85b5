package httpd

import (
	"bufio"
	"context"
	"net"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/base/meter"
	"siskinsaddle/internal/serve/refuse"
)

// state is the state of a connection as a shutdown needs it: only idle connections
// may be closed.
type state string

const (
	stateIdle   state = "Idle"
	stateBusy   state = "Busy"
	stateClosed state = "Closed"
)

// firstReadBytes is the initial size of the read buffer, enough for the header of a
// typical request. A longer header makes the buffer grow to the limit.
const firstReadBytes = 4 << 10

// conn is one caller's connection.
type conn struct {
	server *Server
	net    net.Conn
	reader *bufio.Reader
	mu     sync.Mutex
	state  state
}

func newConn(s *Server, raw net.Conn) *conn {
	return &conn{server: s, net: raw, reader: bufio.NewReaderSize(raw, firstReadBytes), state: stateIdle}
}

// closeIdle closes the connection unless a request is in progress.
func (c *conn) closeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state == stateIdle {
		c.state = stateClosed
		_ = c.net.Close() // no request is in progress
	}
}

// setState changes the state. It returns false if the connection was closed.
func (c *conn) setState(s state) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state == stateClosed {
		return false
	}
	c.state = s
	return true
}

func (c *conn) deadline(wait clock.Millis) error {
	return c.net.SetReadDeadline(time.Now().Add(wait.Duration()))
}

// serve reads and answers requests until either side closes.
func (c *conn) serve() {
	defer func() { _ = c.net.Close() }() // nothing more is written to it
	limits := c.server.Limits().orDefaults()
	var watchResult chan error
	for {
		if !c.awaitRequest(watchResult, limits) || !c.setState(stateBusy) {
			return
		}
		limits = c.server.Limits().orDefaults()
		r, refusal, err := c.read(limits)
		if err != nil {
			return
		}
		w := &ResponseWriter{conn: c, close: c.server.stopping.Load()}
		if refusal != nil {
			c.refuse(w, refusal, limits)
			return
		}
		w.close = w.close || r.close
		w.noBody, w.http10 = r.Method == fasthttp.MethodHead, r.http10
		watchResult = c.handle(r, w)
		r.release()
		if w.begun && !w.done && !w.broken {
			w.Abort()
		}
		if w.broken || w.close || !w.done {
			c.linger(w, watchResult, lingerTime)
			return
		}
		if !c.setState(stateIdle) {
			return
		}
	}
}

// awaitRequest waits for the first byte of a request. watchResult delivers the result of
// the previous request's connection watch; it is nil before the first request.
func (c *conn) awaitRequest(watchResult chan error, l Limits) bool {
	if watchResult == nil {
		if c.deadline(l.HeaderTime) != nil {
			return false
		}
		_, err := c.reader.Peek(1)
		return err == nil
	}
	if c.deadline(l.Idle) != nil {
		return false
	}
	return <-watchResult == nil
}

// handle runs the handler while a goroutine watches the connection, to cancel the
// context when the caller closes it. The watch outlives the handler: it ends with
// the first byte of the next request or with an error, which the channel delivers.
func (c *conn) handle(r *Request, w *ResponseWriter) chan error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	watchResult := make(chan error, 1)
	if err := c.net.SetReadDeadline(time.Time{}); err != nil {
		cancel()
	}
	go func() {
		_, err := c.reader.Peek(1)
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			cancel()
		}
		watchResult <- err
	}()
	c.server.open.Add(1)
	defer c.server.open.Add(-1)
	defer c.recoverPanic(w)
	c.server.Handle(ctx, r, w)
	return watchResult
}

// recoverPanic aborts a request whose handler panicked, so that the caller does not
// wait for a response that never comes.
func (c *conn) recoverPanic(w *ResponseWriter) {
	if p := recover(); p != nil {
		c.server.Log.Error("A request's handler panicked.", "panic", p)
		c.server.increment(meter.Panics)
		w.Abort()
	}
}

// lingerTime bounds the wait for the caller to close after the last response, in
// milliseconds. Closing with unread bytes would reset the connection, and the
// caller could lose the response.
const lingerTime = 500 * clock.Millis(1)

func (c *conn) linger(w *ResponseWriter, watchResult chan error, wait clock.Millis) {
	if w.broken {
		return
	}
	if half, ok := c.net.(*net.TCPConn); ok && half.CloseWrite() != nil {
		return
	}
	if c.deadline(wait) != nil {
		return
	}
	if watchResult != nil && <-watchResult != nil {
		return
	}
	for {
		if _, err := c.reader.Discard(max(c.reader.Buffered(), 1)); err != nil {
			return
		}
	}
}

func (c *conn) refuse(w *ResponseWriter, refusal *refuse.Refusal, l Limits) {
	c.server.increment(meter.BadRequests, meter.Label("reason", string(refusal.Reason)))
	if c.server.Refused != nil {
		c.server.Refused(refusal)
	}
	w.close = true
	w.Refuse(refusal)
	wait := lingerTime
	if refusal.Reason == refuse.ReasonTooManyBodies {
		// Many callers read no response before they have sent the whole body.
		wait = l.HeaderTime
	}
	c.linger(w, nil, wait)
}
