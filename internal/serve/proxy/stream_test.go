package proxy_test

import (
	"bufio"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/fakes/origin"
)

func TestStreamIsForwardedCompletely(t *testing.T) {
	c, r := start(t, 1, true)
	got := r.send("POST", "/once/", "s1", "Content-Length: 0\r\n")
	c.Assert(got.status, qt.Equals, 200)
	c.Assert(got.whole, qt.IsTrue)
	c.Assert(got.body, qt.Equals, origin.FullStream())
}

// A stream that breaks in the middle of an event is resumed after the last complete
// event. The caller keeps the header of the first server.
func TestResumableStreamResumesAtAnotherServer(t *testing.T) {
	c, r := start(t, 2, true)
	setActs(r, []origin.Behavior{origin.Tear, origin.Answer})
	got := r.send("POST", "/resumed/", "s1", "Content-Length: 0\r\n")
	c.Assert(got.status, qt.Equals, 200)
	c.Assert(got.whole, qt.IsTrue)
	c.Assert(got.body, qt.Equals, origin.FullStream())
	c.Assert(r.runs("s1"), qt.Equals, 2)
	first := r.servers[0]
	if first.Runs("s1") == 0 || len(first.Requests()) == 0 || first.Requests()[0].Header.Get("Last-Event-Id") != "" {
		first = r.servers[1]
	}
	c.Assert(got.headers.Get("Stamp"), qt.Equals, "stamp-"+first.ID)
}

// Guards against a truncated stream that looks complete: a broken stream that may
// not be resumed is closed without its final chunk.
func TestUnresumableStreamIsAborted(t *testing.T) {
	c, r := start(t, 2, true)
	setActs(r, []origin.Behavior{origin.Tear, origin.Answer})
	got := r.send("POST", "/once/", "s1", "Content-Length: 0\r\n")
	c.Assert(got.status, qt.Equals, 200)
	c.Assert(got.whole, qt.IsFalse)
	c.Assert(r.runs("s1"), qt.Equals, 1)
	whole := origin.FullStream()
	c.Assert(got.body, qt.Equals, whole[:len(got.body)])
	c.Assert(len(got.body) < len(whole), qt.IsTrue)
}

func TestStreamFailureBeforeFirstEvent(t *testing.T) {
	c, r := start(t, 2, true)
	setActs(r, []origin.Behavior{origin.Reset, origin.Answer})
	got := r.send("POST", "/once/", "s1", "Content-Length: 0\r\n")
	c.Assert(got.status, qt.Equals, 502)
	c.Assert(r.runs("s1"), qt.Equals, 1)
	setActs(r, []origin.Behavior{origin.Reset, origin.Answer})
	got = r.send("POST", "/resumed/", "s2", "Content-Length: 0\r\n")
	c.Assert(got.body, qt.Equals, origin.FullStream())
	c.Assert(r.runs("s2"), qt.Equals, 2)
}

// The caller resumes a stream itself: its Last-Event-Id reaches the server.
func TestCallerResumeIsForwarded(t *testing.T) {
	c, r := start(t, 1, true)
	got := r.send("POST", "/resumed/", "s1", "Content-Length: 0\r\nLast-Event-Id: 5\r\n")
	c.Assert(got.body, qt.Equals, origin.Event(6)+origin.Event(7)+origin.Event(8))
}

func TestStreamEndingInsideEventIsNotForwardedAsComplete(t *testing.T) {
	for _, behavior := range []origin.Behavior{origin.HalfEvent, origin.HalfEventChunks, origin.NoEvent} {
		t.Run(string(behavior), func(t *testing.T) {
			c, r := start(t, 2, true)
			setActs(r, []origin.Behavior{behavior, origin.Answer})
			got := r.send("POST", "/once/", "s1", "Content-Length: 0\r\n")
			c.Check(got.status == 200 && got.whole, qt.IsFalse)
			c.Check(r.runs("s1"), qt.Equals, 1)
			setActs(r, []origin.Behavior{behavior, origin.Answer})
			got = r.send("POST", "/resumed/", "s2", "Content-Length: 0\r\n")
			c.Check(got.whole, qt.IsTrue)
			c.Check(got.body, qt.Equals, origin.FullStream())
			c.Check(r.runs("s2"), qt.Equals, 2)
		})
	}
}

func TestSlowStreamIsNotCutBeforeItsTimeLimit(t *testing.T) {
	c, r := start(t, 1, true)
	r.forwarder.Client.ProgressTimeout = clock.FromDuration(origin.SlowPause) / 3
	r.servers[0].SetDefault(origin.Slow)
	got := r.send("POST", "/once/x", "r1", "Content-Length: 0\r\n")
	c.Assert(got.status, qt.Equals, 200)
	c.Assert(got.whole, qt.IsTrue)
	c.Assert(got.body, qt.Equals, origin.FullStream())
}

func TestStalledStreamThatSendsBytesEndsAtItsTimeLimit(t *testing.T) {
	c, r := start(t, 1, true)
	r.servers[0].SetDefault(origin.TrickleLate)
	began := time.Now()
	got := r.send("POST", "/once/x", "r1", "Content-Length: 0\r\n")
	c.Assert(got.whole, qt.IsFalse)
	took := time.Since(began)
	c.Assert(took > 1_800*time.Millisecond && took < 2_500*time.Millisecond, qt.IsTrue, qt.Commentf("%v", took))
}

// The last read of a body with a length returns its last bytes together with its end.
func TestLastEventOfStreamWithLengthIsForwarded(t *testing.T) {
	checkStreamsWithLength(t, origin.LengthStreamAtOnce)
}

// The same where the last event is a read of its own.
func TestLastEventOfPausingStreamWithLengthIsForwarded(t *testing.T) {
	checkStreamsWithLength(t, origin.LengthStream)
}

func checkStreamsWithLength(t *testing.T, behavior origin.Behavior) {
	for _, path := range []string{"/once/", "/resumed/", "/chat/"} {
		t.Run(path, func(t *testing.T) {
			c, r := start(t, 2, true)
			for _, s := range r.servers {
				s.SetDefault(behavior)
			}
			conn := r.dial()
			reader := bufio.NewReader(conn)
			for _, id := range []string{"s1", "s2", "s3"} {
				_, err := io.WriteString(conn, request("POST", path, id, "Content-Length: 0\r\n"))
				c.Assert(err, qt.IsNil)
				got := readResponse(c, reader, "POST")
				c.Assert(got.status, qt.Equals, 200)
				c.Check(got.whole, qt.IsTrue)
				c.Check(got.body, qt.Equals, origin.FullStream())
				c.Check(r.runs(id), qt.Equals, 1)
			}
		})
	}
}

func TestStreamCutBeforeItsLengthIsNotForwardedAsComplete(t *testing.T) {
	c, r := start(t, 2, true)
	setActs(r, []origin.Behavior{origin.CutLengthStream, origin.LengthStream})
	got := r.send("POST", "/once/", "s1", "Content-Length: 0\r\n")
	c.Check(got.whole, qt.IsFalse)
	setActs(r, []origin.Behavior{origin.CutLengthStream, origin.Answer})
	got = r.send("POST", "/resumed/", "s2", "Content-Length: 0\r\n")
	c.Check(got.whole, qt.IsTrue)
	c.Check(got.body, qt.Equals, origin.FullStream())
}

// The next server of a stream that broke off answers with an error, or with a success that is
// no stream.
func TestErrorOfNextServerIsNoPartOfResumedStream(t *testing.T) {
	for _, second := range []origin.Behavior{
		origin.Fail, origin.NotRun, origin.Moved, origin.Reset, origin.UnnamedRefusal, origin.StrayRefusal,
		origin.ErrorAsSuccess, origin.ErrorHead, origin.NoContent, origin.EmptySuccess, origin.NoEvents, origin.StartOver,
	} {
		for _, broker := range []bool{false, true} {
			t.Run(fmt.Sprint(second, "/broker=", broker), func(t *testing.T) {
				c, r := start(t, 3, true)
				if broker {
					r.withBroker()
				}
				setActs(r, []origin.Behavior{origin.Tear, second})
				got := r.send("POST", "/resumed/", "s1", fmt.Sprintf("%s: own:900\r\nContent-Length: 0\r\n", fields.PromptSegments))
				c.Check(got.status, qt.Equals, 200)
				whole := origin.FullStream()
				c.Check(strings.HasPrefix(whole, got.body), qt.IsTrue, qt.Commentf("%q", got.body))
				c.Check(got.whole, qt.Equals, got.body == whole)
			})
		}
	}
}
