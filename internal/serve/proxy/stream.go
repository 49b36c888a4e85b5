package proxy

import (
	"bytes"
	"io"
	"sync"

	"github.com/cockroachdb/errors"

	"siskinsaddle/internal/policy/place"
	"siskinsaddle/internal/policy/retry"
	"siskinsaddle/internal/serve/wire"
)

// pieceBytes is the size of the buffer between a server and a caller.
const pieceBytes = 8 << 10

var pieces = sync.Pool{New: func() any { return &cutter{buffer: make([]byte, 0, pieceBytes)} }}

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 1 << 20

// cutter collects a stream's bytes and hands out whole events.
type cutter struct {
	buffer []byte
}

// room returns where to read the next bytes into.
func (c *cutter) room() []byte {
	if cap(c.buffer)-len(c.buffer) < pieceBytes/2 {
		c.buffer = append(make([]byte, 0, 2*cap(c.buffer)), c.buffer...)
	}
	return c.buffer[len(c.buffer):cap(c.buffer)]
}

func (c *cutter) grow(n int) { c.buffer = c.buffer[:len(c.buffer)+n] }

var (
	eventEnd     = []byte("\n\n")
	eventEndLong = []byte("\r\n\r\n")
)

// whole is the length of the complete events at the front of the buffer.
func (c *cutter) whole() int {
	end := 0
	if i := bytes.LastIndex(c.buffer, eventEnd); i >= 0 {
		end = i + len(eventEnd)
	}
	if i := bytes.LastIndex(c.buffer, eventEndLong); i >= 0 {
		end = max(end, i+len(eventEndLong))
	}
	return end
}

// drop forgets the first n bytes.
func (c *cutter) drop(n int) {
	c.buffer = c.buffer[:copy(c.buffer, c.buffer[n:])]
}

// lastID returns the id of the last event in the text that has one.
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

// stream forwards the events of an answer as they come. Half an event is never
// forwarded: where the stream breaks, it may go on at another server.
func (j *job) stream(answer wire.Answer) result {
	c := pieces.Get().(*cutter)
	c.buffer = c.buffer[:0]
	defer pieces.Put(c)
	for {
		n, err := answer.Body.Read(c.room())
		c.grow(n)
		if n > 0 && answer.Begun != nil {
			answer.Begun()
		}
		if errors.Is(err, io.EOF) {
			return j.endStream(answer, c)
		}
		if end := c.whole(); end > 0 {
			j.forward(answer, c.buffer[:end])
			c.drop(end)
		}
		if err != nil {
			return failed(err, wire.SentAll)
		}
		if len(c.buffer) > maxEventBytes || j.answer.Broken() {
			return result{outcome: place.OutcomeCancelled, sent: retry.SentWhole, cause: "CallerGone"}
		}
	}
}

func (j *job) forward(answer wire.Answer, events []byte) {
	if j.route.Resumable {
		if id := lastID(events); id != "" {
			j.lastEvent = id
		}
	}
	if j.grant != "" {
		j.pass.Clerk.Started(j.grant)
	}
	now := j.pass.Clock.Now()
	if j.begun {
		j.longest = max(j.longest, now-j.eventAt)
		j.eventAt = now
		j.answer.Piece(events)
		return
	}
	j.eventAt = now
	j.begun = true
	j.firstAt = j.pass.Clock.Now()
	j.answer.Begin(answer.Status, passedOn(answer.Headers), events)
}

// endStream passes on that the server ended the answer as complete.
func (j *job) endStream(answer wire.Answer, c *cutter) result {
	if !j.begun {
		j.begun = true
		j.firstAt = j.pass.Clock.Now()
		j.answer.Begin(answer.Status, passedOn(answer.Headers), c.buffer)
		j.answer.End(nil)
	} else {
		j.answer.End(c.buffer)
	}
	return result{outcome: place.OutcomeServed, served: true, sent: retry.SentWhole}
}
