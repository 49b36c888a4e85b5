package proxy_test

import (
	"bufio"
	"fmt"
	"io"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"siskinsaddle/internal/base/meter"
	"siskinsaddle/internal/base/reply"
	"siskinsaddle/internal/fakes/origin"
	"siskinsaddle/internal/fakes/spoil"
)

// brokenAnswers are the ways to break an answer, and the fault that is reported.
var brokenAnswers = []struct {
	behavior origin.Behavior
	fault    reply.Fault
}{
	{origin.ZeroStatus, reply.FaultStatus},
	{origin.BlankInName, reply.FaultFieldName},
	{origin.ControlInName, reply.FaultFieldName},
	{origin.FoldedLine, reply.FaultFieldName},
	{origin.CutHeader, reply.FaultCutHeader},
}

// brokenResponses returns how many responses of a server were reported with a fault.
func (r *harness) brokenResponses(server string, fault reply.Fault) int64 {
	return r.count.Count(meter.BrokenResponses, meter.Label("fault", string(fault)), meter.Label("server", server))
}

func TestBrokenAnswersAreFailuresOfTheServer(t *testing.T) {
	for _, broken := range brokenAnswers {
		for _, test := range []struct {
			method  string
			path    string
			servers int
			stream  bool
			status  int
			runs    int
		}{
			{"POST", "/booking/", 2, false, 502, 1},
			{"POST", "/lookup/", 1, false, 502, 1},
			{"HEAD", "/lookup/", 1, false, 502, 1},
			{"POST", "/once/", 2, true, 502, 1},
			{"POST", "/resumed/", 1, true, 502, 1},
		} {
			t.Run(string(broken.behavior)+"/"+test.method+test.path, func(t *testing.T) {
				c, r := start(t, test.servers, test.stream)
				for _, s := range r.servers {
					s.SetDefault(broken.behavior)
				}
				got := r.send(test.method, test.path, "b1", "Content-Length: 0\r\n")
				c.Check(got.status, qt.Equals, test.status)
				c.Check(got.headers.Get(spoil.Field)+got.headers.Get("Stamp"), qt.Equals, "")
				c.Check(got.body, qt.Not(qt.Contains), "i-")
				c.Check(r.runs("b1"), qt.Equals, test.runs)
				server := "i-0"
				if r.servers[0].Runs("b1") == 0 {
					server = "i-1"
				}
				c.Check(r.brokenResponses(server, broken.fault), qt.Equals, int64(1))
				line := fmt.Sprintf(`"A server's response is broken." server=%s fault=%s id=b1`, server, broken.fault)
				c.Check(strings.Count(r.log.String(), line), qt.Equals, 1, qt.Commentf("%s", r.log.String()))
			})
		}
	}
}

// A safe request runs at the next server, whose whole answer is forwarded.
func TestBrokenAnswerIsFollowedByThatOfTheNextServer(t *testing.T) {
	for _, broken := range brokenAnswers {
		t.Run(string(broken.behavior), func(t *testing.T) {
			c, r := start(t, 2, false)
			r.servers[0].SetDefault(broken.behavior)
			for i := 0; len(r.servers[0].Requests()) == 0; i++ {
				id := fmt.Sprint("n", i)
				got := r.send("GET", "/lookup/", id, "")
				c.Check(got.status, qt.Equals, 200)
				c.Check(got.body, qt.Equals, "answer of i-1")
				c.Check(got.headers.Get(spoil.Field), qt.Equals, "")
				c.Check(r.servers[1].Runs(id), qt.Equals, 1)
			}
		})
	}
}

// The connection of a broken answer is not used again, also if the server keeps it open.
func TestConnectionOfBrokenAnswerIsClosed(t *testing.T) {
	c, r := start(t, 1, false)
	r.servers[0].Enqueue(origin.BlankInName)
	c.Check(r.send("POST", "/booking/", "k1", "Content-Length: 0\r\n").status, qt.Equals, 502)
	c.Check(r.forwarder.Client.Connections(r.servers[0].ListenAddress()), qt.Equals, 0)
	c.Check(r.send("POST", "/booking/", "k2", "Content-Length: 0\r\n").body, qt.Equals, "answer of i-0")
	requests := r.servers[0].Requests()
	c.Check(requests, qt.HasLen, 2)
}

// The caller has a part of the stream, which a broken answer neither continues nor completes.
func TestBrokenAnswerDoesNotContinueStream(t *testing.T) {
	for _, broken := range append(brokenAnswers, struct {
		behavior origin.Behavior
		fault    reply.Fault
	}{origin.MalformedChunk, reply.FaultChunk}) {
		t.Run(string(broken.behavior), func(t *testing.T) {
			c, r := start(t, 2, true)
			for _, s := range r.servers {
				s.SetDefault(origin.Tear)
				s.SetResumeBehavior(broken.behavior)
			}
			got := r.send("POST", "/resumed/", "s1", "Content-Length: 0\r\n")
			c.Check(got.status, qt.Equals, 200)
			c.Check(got.whole, qt.IsFalse)
			c.Check(strings.HasPrefix(origin.FullStream(), got.body), qt.IsTrue, qt.Commentf("%q", got.body))
			c.Check(r.runs("s1"), qt.Equals, 2)
		})
	}
}

func TestStreamWithMalformedChunkIsCutAndResumed(t *testing.T) {
	c, r := start(t, 2, true)
	r.servers[0].Enqueue(origin.MalformedChunk)
	r.servers[1].Enqueue(origin.MalformedChunk)
	got := r.send("POST", "/once/", "m1", "Content-Length: 0\r\n")
	c.Check(got.whole, qt.IsFalse)
	c.Check(strings.HasPrefix(origin.FullStream(), got.body), qt.IsTrue, qt.Commentf("%q", got.body))
	for i := range 2 {
		got = r.send("POST", "/resumed/", fmt.Sprint("m2", i), "Content-Length: 0\r\n")
		c.Check(got.whole, qt.IsTrue)
		c.Check(got.body, qt.Equals, origin.FullStream())
	}
}

// The server answers at once with a success without a length and resets the connection while
// the request body is still written.
func TestEarlyAnswerThatIsResetIsNotForwardedAsComplete(t *testing.T) {
	for _, size := range []int{10, 60_000, 400_000, 3_000_000} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			c, r := start(t, 2, false)
			for i := range 10 {
				id := fmt.Sprint("e", i)
				for _, s := range r.servers {
					s.SetDefault(origin.EarlyCut)
				}
				conn := r.dial()
				_, err := io.WriteString(conn, request("POST", "/booking/", id, fmt.Sprintf("Content-Length: %d\r\n", size))+strings.Repeat("x", size))
				c.Assert(err, qt.IsNil)
				got := readResponse(c, bufio.NewReader(conn), "POST")
				c.Check(got.status, qt.Equals, 502, qt.Commentf("body %q", got.body))
				c.Check(r.runs(id), qt.Equals, 1)
			}
			cut := r.brokenResponses("i-0", reply.FaultCutBody) + r.brokenResponses("i-1", reply.FaultCutBody)
			c.Check(cut, qt.Equals, int64(10))
		})
	}
}
