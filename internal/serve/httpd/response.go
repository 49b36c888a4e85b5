package httpd

import (
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/serve/refuse"
	"siskinsaddle/internal/serve/wire"
)

// ResponseWriter writes the response to one request. Only the handler calls its
// methods: Whole or Refuse once, or Begin, then any number of Piece, then End or
// Abort.
type ResponseWriter struct {
	conn *conn
	// close sends "Connection: close", after which the connection ends.
	close  bool
	noBody bool
	http10 bool
	// unframed marks the end of the response by the end of the connection alone.
	unframed bool
	// begun is set once the header of a streamed response was written.
	begun bool
	// done is set once the complete response was written, broken once the
	// connection is unusable.
	done   bool
	broken bool
	buffer []byte
}

// writeTime bounds one write to a caller that does not read, in milliseconds.
const writeTime = 10 * clock.Second

// CloseAfter ends the connection after this response.
func (w *ResponseWriter) CloseAfter() { w.close = true }

// EndWithConnection makes the response end with its connection, without a length or
// chunks, for a response that is not known to be complete. It is called before Whole or
// Begin.
func (w *ResponseWriter) EndWithConnection() { w.unframed, w.close = true, true }

// Unframed reports whether the response ends with its connection.
func (w *ResponseWriter) Unframed() bool { return w.unframed }

// Broken reports whether the connection failed, so that no more bytes can be sent.
func (w *ResponseWriter) Broken() bool { return w.broken }

// Whole writes a complete response. For a HEAD request it sends the body's
// Content-Length without the body.
func (w *ResponseWriter) Whole(status int, headers []wire.Header, body []byte) {
	w.resetOnClose(true)
	w.appendHeader(status, headers)
	if status != fasthttp.StatusNoContent && status != fasthttp.StatusNotModified && !w.unframed {
		w.buffer = append(w.buffer, "Content-Length: "...)
		w.buffer = strconv.AppendInt(w.buffer, int64(len(body)), 10)
		w.buffer = append(w.buffer, "\r\n"...)
	}
	w.buffer = append(w.buffer, "\r\n"...)
	if !w.noBody {
		w.buffer = append(w.buffer, body...)
	}
	w.finish()
}

// WholeHead writes the response to a HEAD request. A length of 0 or more is sent as
// the Content-Length that a GET response would have.
func (w *ResponseWriter) WholeHead(status int, headers []wire.Header, length int) {
	w.appendHeader(status, headers)
	if length >= 0 {
		w.buffer = append(w.buffer, "Content-Length: "...)
		w.buffer = strconv.AppendInt(w.buffer, int64(length), 10)
		w.buffer = append(w.buffer, "\r\n"...)
	}
	w.buffer = append(w.buffer, "\r\n"...)
	if w.write() {
		w.done = true
	}
}

// millisPerSecond converts to the unit of the Retry-After field, seconds.
const millisPerSecond = 1_000

// Refuse writes a refusal as a complete response.
func (w *ResponseWriter) Refuse(r *refuse.Refusal) {
	headers := []wire.Header{{Name: "Content-Type", Value: "application/json"}}
	if r.RetryAfter > 0 {
		seconds := strconv.FormatFloat(float64(r.RetryAfter)/millisPerSecond, 'f', -1, 64)
		headers = append(headers, wire.Header{Name: "Retry-After", Value: seconds})
	}
	w.Whole(r.Status(), headers, r.Body())
}

// Begin writes the header and the first piece of a streamed response.
func (w *ResponseWriter) Begin(status int, headers []wire.Header, first []byte) {
	w.begun = true
	if w.http10 {
		// HTTP/1.0 has no chunked encoding.
		w.EndWithConnection()
	}
	w.resetOnClose(true)
	w.appendHeader(status, headers)
	if !w.unframed {
		w.buffer = append(w.buffer, "Transfer-Encoding: chunked\r\n"...)
	}
	w.buffer = append(w.buffer, "\r\n"...)
	w.chunk(first)
	w.write()
}

// Piece writes one piece of a streamed response without buffering.
func (w *ResponseWriter) Piece(p []byte) {
	w.chunk(p)
	w.write()
}

// End writes the last piece, which may be empty, and marks a streamed response as
// complete.
func (w *ResponseWriter) End(last []byte) {
	w.chunk(last)
	if !w.unframed {
		w.buffer = append(w.buffer, "0\r\n\r\n"...)
	}
	w.finish()
}

// finish writes the rest of the buffer and lets the connection end in order.
func (w *ResponseWriter) finish() {
	if w.write() {
		w.done = true
		w.resetOnClose(false)
	}
}

// Abort closes the connection, so that the caller sees an incomplete response.
func (w *ResponseWriter) Abort() {
	w.broken = true
	w.resetOnClose(true)
	_ = w.conn.net.Close() // the connection is unusable either way
}

// resetOnClose sets whether a close of the connection, also by the end of the process,
// resets it. Without framing, only a reset distinguishes a truncated response from a
// complete one.
func (w *ResponseWriter) resetOnClose(on bool) {
	if !w.unframed {
		return
	}
	seconds := -1
	if on {
		seconds = 0
	}
	if tcp, ok := w.conn.net.(interface{ SetLinger(int) error }); ok {
		_ = tcp.SetLinger(seconds) // fails on a broken connection only
	}
}

// appendHeader appends the status line and the header fields to the buffer.
func (w *ResponseWriter) appendHeader(status int, headers []wire.Header) {
	w.buffer = append(w.buffer[:0], "HTTP/1.1 "...)
	w.buffer = strconv.AppendInt(w.buffer, int64(status), 10)
	w.buffer = append(w.buffer, ' ')
	w.buffer = append(w.buffer, fasthttp.StatusMessage(status)...)
	w.buffer = append(w.buffer, "\r\n"...)
	for _, h := range headers {
		w.buffer = append(w.buffer, h.Name...)
		w.buffer = append(w.buffer, ": "...)
		w.buffer = append(w.buffer, h.Value...)
		w.buffer = append(w.buffer, "\r\n"...)
	}
	w.close = w.close || w.conn.server.stopping.Load()
	if w.close {
		w.buffer = append(w.buffer, "Connection: close\r\n"...)
	}
}

const hexadecimal = 16

func (w *ResponseWriter) chunk(p []byte) {
	if len(p) == 0 || w.noBody {
		return
	}
	if !w.unframed {
		w.buffer = strconv.AppendInt(w.buffer, int64(len(p)), hexadecimal)
		w.buffer = append(w.buffer, "\r\n"...)
	}
	w.buffer = append(w.buffer, p...)
	if !w.unframed {
		w.buffer = append(w.buffer, "\r\n"...)
	}
}

func (w *ResponseWriter) write() bool {
	if len(w.buffer) == 0 || w.broken {
		return !w.broken
	}
	err := w.conn.net.SetWriteDeadline(time.Now().Add(writeTime.Duration()))
	if err == nil {
		_, err = w.conn.net.Write(w.buffer)
	}
	w.buffer = w.buffer[:0]
	if err != nil {
		w.broken = true
		_ = w.conn.net.Close() // the write failed already
	}
	return err == nil
}
