package proxy

import (
	"bytes"
	"io"
	"strconv"
	"sync"

	"github.com/cockroachdb/errors"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/policy/place"
	"siskinsaddle/internal/policy/retry"
	"siskinsaddle/internal/serve/wire"
)

// initialBufferBytes is the initial size of a stream's buffer.
const initialBufferBytes = 8 << 10

var eventBuffers = sync.Pool{New: func() any { return &eventBuffer{buffer: make([]byte, 0, initialBufferBytes)} }}

// maxEventBytes is the maximum size of one event of a stream. A server that sends more
// has failed. Hosts hold one event for each open stream, and the smallest ones have
// 184 MB and a link of 10 Mbit/s.
const maxEventBytes = 256 << 10

// eventBuffer collects the bytes of a stream and splits off complete events. What it needs
// beyond initialBufferBytes is reserved from the memory that all responses share.
type eventBuffer struct {
	buffer []byte
}

// spare returns the free space of the buffer, grown to at least half of
// initialBufferBytes. It returns false if no memory is left for that.
func (c *eventBuffer) spare(memory *buffers) ([]byte, bool) {
	if size := cap(c.buffer); size-len(c.buffer) < initialBufferBytes/2 {
		if !memory.grow(size, 2*size) {
			return nil, false
		}
		c.buffer = append(make([]byte, 0, 2*size), c.buffer...)
	}
	return c.buffer[len(c.buffer):cap(c.buffer)], true
}

// release returns the reserved memory and the buffer, unless it has grown.
func (c *eventBuffer) release(memory *buffers) {
	if reserved := cap(c.buffer) - initialBufferBytes; reserved > 0 {
		memory.release(reserved)
		return
	}
	eventBuffers.Put(c)
}

// grow adds n bytes that were read into the spare space.
func (c *eventBuffer) grow(n int) { c.buffer = c.buffer[:len(c.buffer)+n] }

var (
	eventEnd     = []byte("\n\n")
	eventEndCRLF = []byte("\r\n\r\n")
)

// completeBytes returns the length of the complete events at the front of the
// buffer.
func (c *eventBuffer) completeBytes() int {
	end := 0
	if i := bytes.LastIndex(c.buffer, eventEnd); i >= 0 {
		end = i + len(eventEnd)
	}
	if i := bytes.LastIndex(c.buffer, eventEndCRLF); i >= 0 {
		end = max(end, i+len(eventEndCRLF))
	}
	return end
}

// drop removes the first n bytes.
func (c *eventBuffer) drop(n int) {
	c.buffer = c.buffer[:copy(c.buffer, c.buffer[n:])]
}

// lastID returns the ID of the last event that has one, or "".
func lastID(events []byte) string {
	at := bytes.LastIndex(events, []byte("\nid:"))
	switch {
	case at >= 0:
		at += len("\nid:")
	case bytes.HasPrefix(events, []byte("id:")):
		at = len("id:")
	default:
		return ""
	}
	line := events[at:]
	if end := bytes.IndexAny(line, "\r\n"); end >= 0 {
		line = line[:end]
	}
	return string(bytes.TrimSpace(line))
}

// follows reports whether events may come after the one with the ID last. IDs increase; those
// that are no numbers are only told apart.
func follows(events []byte, last string) bool {
	first := ""
	for line := range bytes.Lines(events) {
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			first = string(bytes.TrimSpace(id))
			break
		}
	}
	next, err := strconv.ParseInt(first, 10, 64)
	before, lastErr := strconv.ParseInt(last, 10, 64)
	if err != nil || lastErr != nil {
		return first == "" || first != last
	}
	return next > before
}

// forwardStream forwards the events of a response as they arrive. Of a
// stream that breaks off it forwards only complete events, so that the stream can be
// resumed at another server. The first event is due at firstEventBy: bytes that complete no event are
// no answer, however steadily they arrive.
func (j *job) forwardStream(response wire.Response, firstEventBy clock.Millis) result {
	c := eventBuffers.Get().(*eventBuffer)
	c.buffer = c.buffer[:0]
	defer c.release(&j.proxy.buffers)
	begun, resumed := false, j.headerSent
	for {
		spare, ok := c.spare(&j.proxy.buffers)
		if !ok {
			return result{outcome: place.OutcomeBroken, sent: retry.SentWhole, cause: "TooLong"}
		}
		n, err := response.Body.Read(spare)
		c.grow(n)
		// The last read of a body with a length returns bytes together with io.EOF.
		if end := c.completeBytes(); end > 0 {
			if resumed && !begun && !follows(c.buffer[:end], j.lastEvent) {
				return resumeFailed
			}
			j.forwardEvents(response, c.buffer[:end])
			c.drop(end)
			if !begun && response.BodyBegun != nil {
				response.BodyBegun()
			}
			begun = true
		}
		switch {
		case errors.Is(err, io.EOF):
			return j.endStream(response, c, begun)
		case err != nil:
			return failedResult(err, wire.SentAll)
		case j.writer.Broken():
			return result{outcome: place.OutcomeCancelled, sent: retry.SentWhole, cause: "CallerGone"}
		case len(c.buffer) > maxEventBytes:
			return result{outcome: place.OutcomeBroken, sent: retry.SentWhole, cause: "TooLong"}
		case !begun && j.proxy.Clock.Now() > firstEventBy:
			return result{outcome: place.OutcomeSilent, sent: retry.SentWhole, cause: "Silent"}
		}
	}
}

// forwardEvents sends complete events to the caller, the first ones with the response
// header.
func (j *job) forwardEvents(response wire.Response, events []byte) {
	if j.route.Resumable {
		if id := lastID(events); id != "" {
			j.lastEvent = id
		}
	}
	if j.grant != "" {
		j.proxy.Broker.Started(j.grant)
	}
	if j.watched != "" {
		j.proxy.Guard.Started(j.service, j.watched)
	}
	now := j.proxy.Clock.Now()
	if j.headerSent {
		j.longestPause = max(j.longestPause, now-j.lastEventAt)
		j.lastEventAt = now
		j.writer.Piece(events)
		return
	}
	j.lastEventAt = now
	j.headerSent = true
	j.firstByteAt = j.proxy.Clock.Now()
	j.begin(response, events)
}

// begin sends the header of a stream and its first events. The caller's response is framed
// only if the server's is.
func (j *job) begin(response wire.Response, events []byte) {
	j.streamStatus, j.streamType = response.Status, mediaType(response)
	if response.EndUnmarked() {
		j.writer.EndWithConnection()
	}
	j.writer.Begin(response.Status, forwardedHeaders(response.Headers), events)
}

// causeEndUnmarked is the cause of a response whose server did not mark its end.
const causeEndUnmarked = "EndUnmarked"

// endStream ends the caller's response after the server ended its own. A stream that ends
// inside an event is incomplete, whatever its framing says, and so is one that ends with
// its connection before the first event. One that ends with its connection after an event is
// forwarded as such, and broken off if the caller was promised a marked end. A resumed stream
// without any event, for which begun is not set, does not show that the one that broke off
// was complete.
func (j *job) endStream(response wire.Response, c *eventBuffer, begun bool) result {
	if j.headerSent && !begun {
		return resumeFailed
	}
	inEvent := len(bytes.TrimSpace(c.buffer)) > 0
	if inEvent || (!j.headerSent && response.EndUnmarked()) {
		return result{outcome: place.OutcomeBroken, sent: retry.SentWhole, cause: "Broken"}
	}
	if response.EndUnmarked() && !j.writer.Unframed() {
		return result{outcome: place.OutcomeUnmarked, final: true, sent: retry.SentWhole, cause: causeEndUnmarked}
	}
	if !j.headerSent {
		j.headerSent = true
		j.firstByteAt = j.proxy.Clock.Now()
		j.begin(response, c.buffer)
		j.writer.End(nil)
	} else {
		j.writer.End(c.buffer)
	}
	return servedResult(response)
}
