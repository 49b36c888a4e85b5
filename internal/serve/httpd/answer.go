package httpd

import (
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/serve/refuse"
	"siskinsaddle/internal/serve/wire"
)

// Answer is the answer to one request. Its methods are called by the handler
// alone: Whole or Refuse once, or Begin, then Piece, then End or Abort.
type Answer struct {
	conn *conn
	// close asks the caller to close the connection after the answer.
	close  bool
	noBody bool
	old    bool
	// done tells that the answer is out whole, broken that the connection
	// cannot be used any more.
	done   bool
	broken bool
	buffer []byte
}

// writeTime bounds one write to a caller that does not read, in milliseconds.
const writeTime = 10 * clock.Second

// CloseAfter has the caller close the connection after this answer.
func (a *Answer) CloseAfter() { a.close = true }

// Broken tells that the caller can get no further bytes.
func (a *Answer) Broken() bool { return a.broken }

// Whole writes a complete answer. For a HEAD request the body's length is
// announced and the body left out.
func (a *Answer) Whole(status int, headers []wire.Header, body []byte) {
	a.head(status, headers)
	if status != fasthttp.StatusNoContent && status != fasthttp.StatusNotModified {
		a.buffer = append(a.buffer, "Content-Length: "...)
		a.buffer = strconv.AppendInt(a.buffer, int64(len(body)), 10)
		a.buffer = append(a.buffer, "\r\n"...)
	}
	a.buffer = append(a.buffer, "\r\n"...)
	if !a.noBody {
		a.buffer = append(a.buffer, body...)
	}
	if a.write() {
		a.done = true
	}
}

// WholeHead writes the answer to a HEAD request, with the length that its body
// would have.
func (a *Answer) WholeHead(status int, headers []wire.Header, length int) {
	a.head(status, headers)
	if length >= 0 {
		a.buffer = append(a.buffer, "Content-Length: "...)
		a.buffer = strconv.AppendInt(a.buffer, int64(length), 10)
		a.buffer = append(a.buffer, "\r\n"...)
	}
	a.buffer = append(a.buffer, "\r\n"...)
	if a.write() {
		a.done = true
	}
}

// millisPerSecond converts for the Retry-After field, whose unit is a second.
const millisPerSecond = 1_000

// Refuse writes a refusal.
func (a *Answer) Refuse(r *refuse.Refusal) {
	headers := []wire.Header{{Name: "Content-Type", Value: "application/json"}}
	if r.RetryAfter > 0 {
		seconds := strconv.FormatFloat(float64(r.RetryAfter)/millisPerSecond, 'f', -1, 64)
		headers = append(headers, wire.Header{Name: "Retry-After", Value: seconds})
	}
	a.Whole(r.Status(), headers, r.Body())
}

// Begin writes the header of a streamed answer, with its first piece.
func (a *Answer) Begin(status int, headers []wire.Header, first []byte) {
	a.head(status, headers)
	if a.old {
		// A caller of HTTP/1.0 knows no chunks: its answer ends with the
		// connection.
		a.close = true
	} else {
		a.buffer = append(a.buffer, "Transfer-Encoding: chunked\r\n"...)
	}
	a.buffer = append(a.buffer, "\r\n"...)
	a.chunk(first)
	a.write()
}

// Piece writes a piece of a streamed answer at once.
func (a *Answer) Piece(p []byte) {
	a.chunk(p)
	a.write()
}

// End marks a streamed answer as complete, behind a last piece that may be
// empty.
func (a *Answer) End(last []byte) {
	a.chunk(last)
	if !a.old {
		a.buffer = append(a.buffer, "0\r\n\r\n"...)
	}
	if a.write() {
		a.done = true
	}
}

// Abort closes the connection, so that the answer cannot be taken for whole.
func (a *Answer) Abort() {
	a.broken = true
	if a.old {
		// Without chunks only a reset tells a broken answer from a whole one.
		if tcp, ok := a.conn.net.(interface{ SetLinger(int) error }); ok {
			_ = tcp.SetLinger(0) // the close below goes on without it
		}
	}
	_ = a.conn.net.Close() // the connection is given up either way
}

func (a *Answer) head(status int, headers []wire.Header) {
	a.buffer = append(a.buffer[:0], "HTTP/1.1 "...)
	a.buffer = strconv.AppendInt(a.buffer, int64(status), 10)
	a.buffer = append(a.buffer, ' ')
	a.buffer = append(a.buffer, fasthttp.StatusMessage(status)...)
	a.buffer = append(a.buffer, "\r\n"...)
	for _, h := range headers {
		a.buffer = append(a.buffer, h.Name...)
		a.buffer = append(a.buffer, ": "...)
		a.buffer = append(a.buffer, h.Value...)
		a.buffer = append(a.buffer, "\r\n"...)
	}
	a.close = a.close || a.conn.inlet.stopping.Load()
	if a.close {
		a.buffer = append(a.buffer, "Connection: close\r\n"...)
	}
}

const hexadecimal = 16

func (a *Answer) chunk(p []byte) {
	if len(p) == 0 || a.noBody {
		return
	}
	if !a.old {
		a.buffer = strconv.AppendInt(a.buffer, int64(len(p)), hexadecimal)
		a.buffer = append(a.buffer, "\r\n"...)
	}
	a.buffer = append(a.buffer, p...)
	if !a.old {
		a.buffer = append(a.buffer, "\r\n"...)
	}
}

func (a *Answer) write() bool {
	if len(a.buffer) == 0 || a.broken {
		return !a.broken
	}
	err := a.conn.net.SetWriteDeadline(time.Now().Add(writeTime.Duration()))
	if err == nil {
		_, err = a.conn.net.Write(a.buffer)
	}
	a.buffer = a.buffer[:0]
	if err != nil {
		a.broken = true
		_ = a.conn.net.Close() // the write failed already
	}
	return err == nil
}
