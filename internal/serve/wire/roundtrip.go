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

// framingFields lists the header fields that this package sets itself.
var framingFields = map[string]bool{
	"connection":        true,
	"content-length":    true,
	"host":              true,
	"keep-alive":        true,
	"transfer-encoding": true,
}

// roundTrip is the round trip of one request on its connection.
type roundTrip struct {
	client  *Client
	pool    *fasthttp.HostClient
	request Request
	conn    *conn
	// release returns the connection to the pool; discard closes it.
	release func()
	discard func()
	// ctx ends with the caller's context or by cancel, and its end closes the
	// connection. unwatch unregisters that close; it returns false if the context
	// has ended already.
	ctx      context.Context
	cancel   context.CancelFunc
	unwatch  func() bool
	reader   *bufio.Reader
	response *fasthttp.Response
}

// connect takes a connection from the pool or dials a new one. A dead pooled
// connection is discarded and the next one tried, which is safe because nothing
// has been sent yet.
func (t *roundTrip) connect(ctx context.Context) error {
	for {
		if err := ctx.Err(); err != nil {
			return err
		}
		// fasthttp does not export the type of a pooled connection, so the two
		// ways to give it back are stored as functions.
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
		if t.conn.used && !t.conn.reusable() {
			t.discard()
			continue
		}
		open := t.conn
		t.ctx, t.cancel = context.WithCancel(ctx)
		t.unwatch = context.AfterFunc(t.ctx, func() { _ = open.Close() })
		open.prepare(t.request, t.client.maxResponseBytes())
		return nil
	}
}

// send writes the request. If a write fails before the operating system accepted
// any byte, nothing can have reached the server.
func (t *roundTrip) send() (Sent, error) {
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
	case t.conn.accepted == 0:
		return SentNothing, err
	default:
		return SentMaybe, err
	}
}

func (t *roundTrip) fill(request *fasthttp.Request) {
	request.Header.SetMethod(t.request.Method)
	request.Header.SetRequestURI(t.request.Path)
	request.Header.SetHost(t.request.Address)
	if t.request.Host != "" {
		request.Header.SetHost(t.request.Host)
	}
	request.Header.SetNoDefaultContentType(true)
	for _, h := range t.request.Headers {
		if !framingFields[strings.ToLower(h.Name)] {
			request.Header.Add(h.Name, h.Value)
		}
	}
	request.SetBodyRaw(t.request.Body)
}

// receive reads the response header.
func (t *roundTrip) receive() (Response, error) {
	t.reader = t.pool.AcquireReader(t.conn)
	t.response = fasthttp.AcquireResponse()
	t.response.StreamBody = true
	t.response.SkipBody = t.request.Method == fasthttp.MethodHead
	if err := t.response.ReadLimitBody(t.reader, 0); err != nil {
		return Response{}, err
	}
	t.conn.headerEnded()
	header := &t.response.Header
	response := Response{
		Status:    header.StatusCode(),
		Headers:   make([]Header, 0, header.Len()),
		Length:    header.ContentLength(),
		Body:      &body{roundTrip: t, stream: t.response.BodyStream()},
		BodyBegun: t.conn.bodyBegun,
	}
	for name, value := range header.All() {
		response.Headers = append(response.Headers, Header{Name: string(name), Value: string(value)})
	}
	return response, nil
}

// finish ends a round trip whose response was read completely. The connection is
// reused only if no unread bytes are left on it and neither side closes it.
func (t *roundTrip) finish() {
	reusable := t.reader.Buffered() == 0 &&
		!t.response.ConnectionClose() &&
		t.response.Header.ContentLength() != LengthToClose
	if t.unwatch() && reusable {
		t.release()
	} else {
		t.discard()
	}
	t.free()
}

// abandon ends a round trip whose connection cannot be reused.
func (t *roundTrip) abandon() {
	t.unwatch()
	t.discard()
	t.free()
}

func (t *roundTrip) free() {
	t.cancel()
	if t.reader == nil {
		return
	}
	_ = t.response.CloseBodyStream()
	t.pool.ReleaseReader(t.reader)
	fasthttp.ReleaseResponse(t.response)
	t.reader = nil
	t.response = nil
}

// cause returns a failure wrapped in one of the package's errors. After a timeout the
// idle connections are closed too, as whatever broke one may have broken them all.
func (t *roundTrip) cause(err error) error {
	if t.ctx.Err() != nil {
		return t.ctx.Err()
	}
	var network net.Error
	if errors.Is(err, fasthttp.ErrTimeout) || (errors.As(err, &network) && network.Timeout()) {
		t.pool.CloseIdleConnections()
		return fmt.Errorf("%w: %w", ErrUnresponsive, err)
	}
	if errors.Is(err, ErrTooLarge) {
		return err
	}
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return fmt.Errorf("%w: %w", ErrBroken, err)
}
