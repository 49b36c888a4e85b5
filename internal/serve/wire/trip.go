package wire

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// framing names the fields that this package sets itself.
var framing = map[string]bool{
	"connection":        true,
	"content-length":    true,
	"host":              true,
	"keep-alive":        true,
	"transfer-encoding": true,
}

// trip is one request on its connection.
type trip struct {
	client  *Client
	pool    *fasthttp.HostClient
	request Request
	conn    *conn
	// release and discard give the connection back to the pool or close it.
	release func()
	discard func()
	// ctx ends with the caller's context or by cancel, and its end closes the
	// connection. forget ends that watch; it returns false where the context
	// has ended already.
	ctx    context.Context
	cancel context.CancelFunc
	forget func() bool
	reader *bufio.Reader
	answer *fasthttp.Response
}

// connect takes a connection from the pool or makes one. A dead one out of the
// pool is dropped for the next; nothing has been sent by then.
func (t *trip) connect(ctx context.Context) error {
	for {
		if err := ctx.Err(); err != nil {
			return err
		}
		// The library's type of a pooled connection has no exported name, so
		// that the two ways to give it back are kept as functions.
		pooled, err := t.pool.AcquireConn(0, false)
		if errors.Is(err, fasthttp.ErrNoFreeConns) {
			return ErrBusy
		}
		if err != nil {
			t.pool.CloseIdleConnections()
			return fmt.Errorf("%w: %w", ErrDial, err)
		}
		t.conn = pooled.Conn().(*conn)
		t.release = func() { t.pool.ReleaseConn(pooled) }
		t.discard = func() { t.pool.CloseConn(pooled) }
		if t.conn.used && !t.conn.alive() {
			t.discard()
			continue
		}
		open := t.conn
		t.ctx, t.cancel = context.WithCancel(ctx)
		t.forget = context.AfterFunc(t.ctx, func() { _ = open.Close() })
		open.prepare(t.request)
		return nil
	}
}

// send writes the request. A failed write of which the operating system took
// no byte proves that nothing reached the server.
func (t *trip) send() (Sent, error) {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	t.fill(request)
	writer := t.pool.AcquireWriter(t.conn)
	defer t.pool.ReleaseWriter(writer)
	err := request.Write(writer)
	if err == nil {
		err = writer.Flush()
	}
	switch {
	case err == nil:
		return SentAll, nil
	case t.conn.taken == 0:
		return SentNothing, err
	default:
		return SentMaybe, err
	}
}

func (t *trip) fill(request *fasthttp.Request) {
	request.Header.SetMethod(t.request.Method)
	request.Header.SetRequestURI(t.request.Path)
	request.Header.SetHost(t.request.Address)
	if t.request.Host != "" {
		request.Header.SetHost(t.request.Host)
	}
	request.Header.SetNoDefaultContentType(true)
	for _, h := range t.request.Headers {
		if !framing[strings.ToLower(h.Name)] {
			request.Header.Add(h.Name, h.Value)
		}
	}
	request.SetBodyRaw(t.request.Body)
}

// receive reads the answer's header.
func (t *trip) receive() (Answer, error) {
	t.reader = t.pool.AcquireReader(t.conn)
	t.answer = fasthttp.AcquireResponse()
	t.answer.StreamBody = true
	t.answer.SkipBody = t.request.Method == fasthttp.MethodHead
	if err := t.answer.ReadLimitBody(t.reader, 0); err != nil {
		return Answer{}, err
	}
	header := &t.answer.Header
	answer := Answer{
		Status:  header.StatusCode(),
		Headers: make([]Header, 0, header.Len()),
		Length:  header.ContentLength(),
		Body:    &body{trip: t, stream: t.answer.BodyStream()},
		Begun:   t.conn.begun,
	}
	for name, value := range header.All() {
		answer.Headers = append(answer.Headers, Header{Name: string(name), Value: string(value)})
	}
	return answer, nil
}

// finish ends a trip whose answer was read whole. The connection is kept only
// if it is in step: nothing is left on it, and neither side closes it.
func (t *trip) finish() {
	inStep := t.reader.Buffered() == 0 &&
		!t.answer.ConnectionClose() &&
		t.answer.Header.ContentLength() != LengthToClose
	if t.forget() && inStep {
		t.release()
	} else {
		t.discard()
	}
	t.free()
}

// drop ends a trip whose connection cannot be used again.
func (t *trip) drop() {
	t.forget()
	t.discard()
	t.free()
}

func (t *trip) free() {
	t.cancel()
	if t.reader == nil {
		return
	}
	_ = t.answer.CloseBodyStream()
	t.pool.ReleaseReader(t.reader)
	fasthttp.ReleaseResponse(t.answer)
	t.reader = nil
	t.answer = nil
}

// fault names a failure. After a silence the idle connections go too, since
// what lost one connection may have lost them all.
func (t *trip) fault(err error) error {
	if t.ctx.Err() != nil {
		return t.ctx.Err()
	}
	var network net.Error
	if errors.Is(err, fasthttp.ErrTimeout) || (errors.As(err, &network) && network.Timeout()) {
		t.pool.CloseIdleConnections()
		return fmt.Errorf("%w: %w", ErrSilent, err)
	}
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return fmt.Errorf("%w: %w", ErrBroken, err)
}
