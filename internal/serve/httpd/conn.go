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

// state is what a connection is doing, as far as a stop needs to know.
type state string

const (
	stateIdle   state = "Idle"
	stateBusy   state = "Busy"
	stateClosed state = "Closed"
)

// firstReadBytes holds the header of an ordinary request; a longer one makes
// the buffer grow to the limit.
const firstReadBytes = 4 << 10

// conn is one caller's connection.
type conn struct {
	inlet  *Inlet
	net    net.Conn
	reader *bufio.Reader
	mu     sync.Mutex
	state  state
}

func newConn(i *Inlet, plain net.Conn) *conn {
	return &conn{inlet: i, net: plain, reader: bufio.NewReaderSize(plain, firstReadBytes), state: stateIdle}
}

// closeIdle closes the connection unless a request is under way.
func (c *conn) closeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state == stateIdle {
		c.state = stateClosed
		_ = c.net.Close() // nothing is under way that an error could spoil
	}
}

// enter moves to the state unless the connection was closed.
func (c *conn) enter(s state) bool {
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
	defer func() { _ = c.net.Close() }() // whatever was to be sent is sent
	limits := c.inlet.Limits().orDefaults()
	var next chan error
	for {
		if !c.awaitRequest(next, limits) || !c.enter(stateBusy) {
			return
		}
		limits = c.inlet.Limits().orDefaults()
		r, refusal, err := c.read(limits)
		if err != nil {
			return
		}
		a := &Answer{conn: c, close: c.inlet.stopping.Load()}
		if refusal != nil {
			c.refuse(a, refusal)
			return
		}
		a.close = a.close || r.close
		a.noBody, a.old = r.Method == fasthttp.MethodHead, r.old
		next = c.handle(r, a)
		if a.broken || a.close || !a.done {
			c.linger(a, next)
			return
		}
		if !c.enter(stateIdle) {
			return
		}
	}
}

// awaitRequest waits for the first byte of a request. Next is the watch that
// the last request left behind, nil before the first.
func (c *conn) awaitRequest(next chan error, l Limits) bool {
	if next == nil {
		if c.deadline(l.HeaderTime) != nil {
			return false
		}
		_, err := c.reader.Peek(1)
		return err == nil
	}
	if c.deadline(l.Idle) != nil {
		return false
	}
	return <-next == nil
}

// handle runs the handler beside a watch of the connection. The watch goes on
// afterwards: it ends with the first byte of the next request.
func (c *conn) handle(r *Request, a *Answer) chan error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	next := make(chan error, 1)
	if err := c.net.SetReadDeadline(time.Time{}); err != nil {
		cancel()
	}
	go func() {
		_, err := c.reader.Peek(1)
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			cancel()
		}
		next <- err
	}()
	c.inlet.open.Add(1)
	defer c.inlet.open.Add(-1)
	defer c.recovered(a)
	c.inlet.Handle(ctx, r, a)
	return next
}

// recovered ends a request whose handler panicked: its caller must not wait for
// an answer that never comes.
func (c *conn) recovered(a *Answer) {
	if p := recover(); p != nil {
		c.inlet.Log.Error("A request's handler panicked.", "panic", p)
		c.inlet.add(meter.Panics)
		a.Abort()
	}
}

// lingerTime bounds the wait for the caller to close after the last answer, in
// milliseconds. Closing with unread bytes would reset the connection, and the
// caller could lose the answer.
const lingerTime = 500 * clock.Millis(1)

func (c *conn) linger(a *Answer, next chan error) {
	if a.broken {
		return
	}
	if half, ok := c.net.(*net.TCPConn); ok && half.CloseWrite() != nil {
		return
	}
	if c.deadline(lingerTime) != nil {
		return
	}
	if next != nil && <-next != nil {
		return
	}
	for {
		if _, err := c.reader.Discard(max(c.reader.Buffered(), 1)); err != nil {
			return
		}
	}
}

func (c *conn) refuse(a *Answer, refusal *refuse.Refusal) {
	c.inlet.add(meter.BadRequests, meter.Label("reason", string(refusal.Reason)))
	if c.inlet.Refused != nil {
		c.inlet.Refused(refusal)
	}
	a.close = true
	a.Refuse(refusal)
	c.linger(a, nil)
}
