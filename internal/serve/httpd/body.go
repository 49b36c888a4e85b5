package httpd

import (
	"bufio"
	"context"
	"io"
	"net/http/httputil"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/semaphore"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/serve/refuse"
)

const (
	// smallBodyBytes is the size up to which bodies take none of the memory for long ones, so
	// that they never wait behind these. Prompts and bookings have a few kilobytes.
	smallBodyBytes = 64 << 10
	// maxBodyWait is how long a request with a long body waits for memory, unread. After
	// 1 s the users' callers give up on a host that does not read.
	maxBodyWait = 800 * clock.Millis(1)
	// bodyRetryAfter is the retry delay of requests that found no memory: about the time that
	// a burst of long bodies takes on a link of 1,000 Mbit/s.
	bodyRetryAfter = 2 * clock.Second
	// minBodyRate is the minimum rate at which a body must arrive, in bytes per second,
	// after an allowance of Limits.HeaderTime.
	minBodyRate = 64 << 10
	// defaultMaxBodies is the default of Server.MaxBodies.
	defaultMaxBodies = 64 << 20
)

// bodies is the memory for the long bodies of all requests that are read or handled. Requests
// get it in the order in which they ask.
type bodies struct {
	size   int64
	memory *semaphore.Weighted
}

// bodyMemory returns the memory for long bodies.
func (s *Server) bodyMemory() *bodies {
	s.prepareBodies.Do(func() {
		size := s.MaxBodies
		if size <= 0 {
			size = defaultMaxBodies
		}
		s.bodies = &bodies{size: size, memory: semaphore.NewWeighted(size)}
	})
	return s.bodies
}

// errNoMemory reports a body for which no memory became free in time.
var errNoMemory = errors.New("no memory for the body")

// reserve waits until memory is free for a body that grows to size bytes, of which held are
// reserved. It returns the number of bytes that are reserved then.
func (b *bodies) reserve(held int64, size int) (int64, error) {
	if size <= smallBodyBytes {
		return held, nil
	}
	// A body that is longer than all the memory gets all of it.
	need := min(int64(size), b.size)
	ctx, cancel := context.WithTimeout(context.Background(), maxBodyWait.Duration())
	defer cancel()
	if b.memory.Acquire(ctx, need-held) != nil {
		return held, errNoMemory
	}
	return need, nil
}

func (b *bodies) release(held int64) {
	if held > 0 {
		b.memory.Release(held)
	}
}

// readBody reads the body of a request. The request releases what is reserved for it. A
// caller that asks for it is told to send the body once there is memory.
func (c *conn) readBody(q *fasthttp.Request, l Limits, r *Request) (*refuse.Refusal, error) {
	length := q.Header.ContentLength()
	source, size := io.Reader(nil), firstReadBytes
	switch {
	case length > l.BodyBytes:
		return refuse.New(refuse.ReasonBodyTooLarge), nil
	case length == 0:
		return nil, nil
	case length > 0:
		source, size = io.LimitReader(c.reader, int64(length)), length
	case length == chunkedLength:
		source = httputil.NewChunkedReader(c.reader)
	default:
		return nil, nil
	}
	r.bodies = c.server.bodyMemory()
	held, err := r.bodies.reserve(0, size)
	r.held = held
	if err == nil && q.MayContinue() {
		_, err = c.net.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	}
	if err == nil {
		r.Body = make([]byte, 0, size)
		err = c.fillBody(source, l, r, length)
	}
	if len(r.Body) == 0 {
		r.Body = nil
	}
	if err == nil && length == chunkedLength {
		err = skipTrailer(c.reader, l.HeaderBytes)
	}
	return bodyRefusal(err)
}

// chunkedLength is the length that fasthttp gives for a chunked body.
const chunkedLength = -1

// errBodyTooLarge reports a chunked body of more than Limits.BodyBytes.
var errBodyTooLarge = errors.New("the body is too large")

// fillBody reads a source to its end. The body has to arrive at minBodyRate after HeaderTime,
// so that a caller who sends a byte now and then holds no memory for long.
func (c *conn) fillBody(source io.Reader, l Limits, r *Request, length int) error {
	began := c.server.Clock.Now()
	for {
		if len(r.Body) == cap(r.Body) {
			if length >= 0 {
				return checkLength(len(r.Body), length)
			}
			if err := r.growBody(l); err != nil {
				return err
			}
		}
		arrived := clock.Millis(len(r.Body)) * clock.Second / minBodyRate
		left := began + l.HeaderTime + arrived - c.server.Clock.Now()
		if err := c.deadline(left); err != nil {
			return err
		}
		n, err := source.Read(r.Body[len(r.Body):cap(r.Body)])
		r.Body = r.Body[:len(r.Body)+n]
		switch {
		case errors.Is(err, io.EOF):
			return checkLength(len(r.Body), length)
		case err != nil:
			return err
		}
	}
}

// checkLength returns an error if a body of a known length ended before that.
func checkLength(got, length int) error {
	if got < length {
		return io.ErrUnexpectedEOF
	}
	return nil
}

// growBody doubles the room for a chunked body, up to one byte more than the limit.
func (r *Request) growBody(l Limits) error {
	if len(r.Body) > l.BodyBytes {
		return errBodyTooLarge
	}
	size := min(2*cap(r.Body), l.BodyBytes+1)
	held, err := r.bodies.reserve(r.held, size)
	r.held = held
	if err != nil {
		return err
	}
	r.Body = append(make([]byte, 0, size), r.Body...)
	return nil
}

// skipTrailer reads what follows the last chunk, up to limit bytes.
func skipTrailer(reader *bufio.Reader, limit int) error {
	for read := 0; ; {
		line, err := reader.ReadSlice('\n')
		if err != nil {
			return err
		}
		if read += len(line); read > limit {
			return errors.New("the trailer is too long")
		}
		if len(line) <= len("\r\n") {
			return nil
		}
	}
}

// bodyRefusal returns the refusal for a body that could not be read, or errDisconnected.
func bodyRefusal(err error) (*refuse.Refusal, error) {
	switch {
	case err == nil:
		return nil, nil
	case errors.Is(err, errNoMemory):
		return refuse.New(refuse.ReasonTooManyBodies).WithRetryAfter(bodyRetryAfter), nil
	case errors.Is(err, errBodyTooLarge):
		return refuse.New(refuse.ReasonBodyTooLarge), nil
	case errors.Is(err, os.ErrDeadlineExceeded):
		return refuse.New(refuse.ReasonSlowSender), nil
	case isConnError(err):
		return nil, errDisconnected
	default:
		return refuse.New(refuse.ReasonBadRequest).WithText("the body cannot be read"), nil
	}
}

// release returns the memory of the body, which must not be used afterwards.
func (r *Request) release() {
	if r.bodies != nil {
		r.bodies.release(r.held)
	}
	r.Body, r.held = nil, 0
}
