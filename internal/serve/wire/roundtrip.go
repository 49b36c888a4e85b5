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

	"siskinsaddle/internal/base/reply"
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
	// passedOver is the number of responses that belong to other requests.
	passedOver int
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

// maxPassedOver bounds the responses to other requests before the right one. Copies of several
// earlier responses can arrive together.
const maxPassedOver = 16

// receive reads the header of the response to the request.
func (t *roundTrip) receive() (Response, error) {
	t.reader = t.pool.AcquireReader(t.conn)
	t.response = fasthttp.AcquireResponse()
	for {
		t.response.StreamBody = true
		t.response.SkipBody = t.request.Method == fasthttp.MethodHead
		if err := t.response.ReadLimitBody(t.reader, 0); err != nil {
			return Response{}, err
		}
		if attributed, ok := t.accepts(); ok {
			t.conn.headerEnded()
			return t.decode(attributed), nil
		}
		if err := t.passOver(); err != nil {
			return Response{}, err
		}
	}
}

// accepts reports whether the response whose header was read is taken for that to the request,
// and whether it names the request.
func (t *roundTrip) accepts() (attributed, ok bool) {
	if t.request.IDField == "" || t.request.ID == "" {
		return true, true
	}
	switch string(t.response.Header.Peek(t.request.IDField)) {
	case t.request.ID:
		return true, true
	case "":
		return false, !t.request.RequireID
	}
	return false, false
}

// passOver reads the rest of a response to another request, within the time and size of
// the right one.
func (t *roundTrip) passOver() error {
	t.passedOver++
	if t.passedOver > maxPassedOver || t.response.Header.ContentLength() == LengthToClose || t.response.ConnectionClose() {
		return ErrStray
	}
	if stream := t.response.BodyStream(); stream != nil {
		if _, err := io.Copy(io.Discard, stream); err != nil {
			return err
		}
	}
	_ = t.response.CloseBodyStream() // its end has been read
	t.response.Reset()
	return nil
}

// decode returns the response whose header was read.
func (t *roundTrip) decode(attributed bool) Response {
	header := &t.response.Header
	response := Response{
		Status:     header.StatusCode(),
		Headers:    make([]Header, 0, header.Len()),
		Length:     header.ContentLength(),
		Body:       &body{roundTrip: t, stream: t.response.BodyStream()},
		Attributed: attributed,
		BodyBegun:  t.conn.bodyBegun,
	}
	for name, value := range header.All() {
		response.Headers = append(response.Headers, Header{Name: string(name), Value: string(value)})
	}
	return response
}

// finish ends a round trip whose response was read completely. The connection is
// reused only if it brought nothing but the response and neither side closes it.
func (t *roundTrip) finish() {
	reusable := t.reader.Buffered() == 0 && t.conn.Complete() && t.passedOver == 0 &&
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
	if errors.Is(err, ErrTooLarge) || errors.Is(err, ErrStray) {
		return err
	}
	// fasthttp does not return the error of a connection's first read.
	if fault := t.conn.Fault(); fault != "" {
		return fmt.Errorf("%w: %w", ErrBroken, &reply.BrokenError{Fault: fault})
	}
	if errors.Is(err, io.EOF) {
		return fmt.Errorf("%w: %w", ErrBroken, io.ErrUnexpectedEOF)
	}
	if !errors.As(err, &network) {
		t.conn.Report(reply.FaultUnreadable)
	}
	return fmt.Errorf("%w: %w", ErrBroken, err)
}
