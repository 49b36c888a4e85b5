package proxy_test

import (
	"bufio"
	"fmt"
	"io"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"siskinsaddle/internal/fakes/origin"
)

func TestACallIsForwardedWithTheSystemsFieldsAlone(t *testing.T) {
	c, r := start(t, 1, false)
	got := r.ask("GET", "/lookup/7?q=1", "r1", "Workspace: forged\r\nReserved: forged\r\nFor-Server: forged\r\nUrgency: 0\r\nX-Mine: kept\r\n")
	c.Assert(got.status, qt.Equals, 200)
	c.Assert(isAnswer(got.body), qt.IsTrue)
	c.Assert(got.headers.Get("Stamp"), qt.Equals, "stamp-i-0")
	seen := r.servers[0].Seen()[0]
	c.Assert(seen.RequestURI, qt.Equals, "/lookup/7?q=1")
	c.Assert(seen.Host, qt.Equals, "a.example")
	c.Assert(seen.Header.Get("Workspace"), qt.Equals, "stall")
	c.Assert(seen.Header.Values("Workspace"), qt.HasLen, 1)
	c.Assert(seen.Header.Get("Key"), qt.Equals, "")
	c.Assert(seen.Header.Get("Reserved"), qt.Equals, "")
	c.Assert(seen.Header.Get("For-Server"), qt.Equals, "i-0")
	c.Assert(seen.Header.Get("X-Mine"), qt.Equals, "kept")
	left, err := strconv.Atoi(seen.Header.Get("Time-Left"))
	c.Assert(err, qt.IsNil)
	c.Assert(left > 0 && left <= 2_000, qt.IsTrue)
}

// Each way in which a server can fail a call, and what its caller is told.
func TestWhatACallerIsToldOfAFailedCall(t *testing.T) {
	for _, test := range []struct {
		name   string
		path   string
		acts   []origin.Act
		status int
		runs   int
		server bool
	}{
		{"a safe call that failed is sent to a second server", "/lookup/", []origin.Act{origin.Fail, origin.Answer}, 200, 2, true},
		{"a safe call that was reset is sent to a second server", "/lookup/", []origin.Act{origin.Reset, origin.Answer}, 200, 2, true},
		{"a safe call that was torn is sent to a second server", "/lookup/", []origin.Act{origin.Tear, origin.Answer}, 200, 2, true},
		{"a safe call that fails twice gets the server's failure", "/lookup/", []origin.Act{origin.Fail, origin.Fail}, 500, 2, true},
		{"an unsafe call that failed gets the server's failure", "/booking/", []origin.Act{origin.Fail}, 500, 1, true},
		{"an unsafe call that was reset has an unknown outcome", "/booking/", []origin.Act{origin.Reset}, 502, 1, false},
		{"an unsafe call that was torn has an unknown outcome", "/booking/", []origin.Act{origin.Tear}, 502, 1, false},
		{"an unsafe call that a server did not run is sent to a second one", "/booking/", []origin.Act{origin.NotRun, origin.Answer}, 200, 1, true},
		{"an unsafe call that no server ran is refused as not run", "/booking/", []origin.Act{origin.NotRun, origin.NotRun}, 503, 0, false},
		{"an address that belongs to another server did not run it", "/booking/", []origin.Act{origin.Moved, origin.Answer}, 200, 1, true},
		{"an unsafe call without an answer ends at its route's limit", "/short/", []origin.Act{origin.Silent}, 504, 1, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			c, r := start(t, 2, false)
			direct(r, test.acts)
			got := r.ask("POST", test.path, "r1", "Content-Length: 0\r\n")
			c.Assert(got.status, qt.Equals, test.status)
			c.Assert(r.runs("r1"), qt.Equals, test.runs)
			c.Assert(got.headers.Get("Stamp") != "", qt.Equals, test.server)
			if test.status == 503 {
				wait, err := strconv.ParseFloat(got.headers.Get("Retry-After"), 64)
				c.Assert(err, qt.IsNil)
				c.Assert(wait > 0, qt.IsTrue)
			}
		})
	}
}

// direct has the first server that is tried do the first act, the second the
// second.
func direct(r *rig, acts []origin.Act) {
	turn := make(chan origin.Act, len(acts))
	for _, a := range acts {
		turn <- a
	}
	for _, s := range r.servers {
		s.Direct(func() (origin.Act, bool) {
			select {
			case a := <-turn:
				return a, true
			default:
				return "", false
			}
		})
	}
}

func TestAServerThatCannotBeReachedCostsNothing(t *testing.T) {
	c, r := start(t, 2, false)
	r.servers[0].Stop()
	for i := range 6 {
		got := r.ask("POST", "/booking/", fmt.Sprint("r", i), "Content-Length: 0\r\n")
		c.Assert(got.status, qt.Equals, 200)
	}
}

// An answer to another request, early or late, reaches nobody.
func TestStrayAnswersReachNobody(t *testing.T) {
	for _, act := range []origin.Act{origin.Stray, origin.Extra} {
		t.Run(string(act), func(t *testing.T) {
			c, r := start(t, 1, false)
			r.servers[0].Next(act, origin.Answer, origin.Answer, origin.Answer)
			conn := r.dial()
			reader := bufio.NewReader(conn)
			for i := range 4 {
				id := fmt.Sprint("r", i)
				_, err := io.WriteString(conn, request("GET", "/lookup/", id, ""))
				c.Assert(err, qt.IsNil)
				got := read(c, reader, "GET")
				c.Assert(strings.Contains(got.body, "stray") || strings.Contains(got.body, "extra"), qt.IsFalse)
				if got.status == 200 {
					c.Assert(got.headers.Get("Request-Id"), qt.Equals, id)
				}
			}
		})
	}
}

func TestAnUnframedAnswerIsWholeAtItsEnd(t *testing.T) {
	c, r := start(t, 1, false)
	r.servers[0].Next(origin.Unframed)
	got := r.ask("GET", "/lookup/", "r1", "")
	c.Assert(got.status, qt.Equals, 200)
	c.Assert(got.body, qt.Equals, "unframed from i-0")
	c.Assert(got.whole, qt.IsTrue)
}

// A server may answer before it has read a long body and read on later. The
// next request on the connection must not be taken for the rest of that body.
func TestAnEarlyAnswerLeavesTheConnectionInStep(t *testing.T) {
	c, r := start(t, 1, false)
	r.servers[0].Next(origin.Early)
	body := strings.Repeat("x", 1<<20)
	conn := r.dial()
	reader := bufio.NewReader(conn)
	for i := range 3 {
		_, err := io.WriteString(conn, request("POST", "/booking/", fmt.Sprint("e", i), fmt.Sprintf("Content-Length: %d\r\n", len(body)))+body)
		c.Assert(err, qt.IsNil)
		answer := read(c, reader, "POST")
		c.Assert(answer.status, qt.Equals, 200)
	}
	for _, s := range r.servers[0].Seen() {
		c.Assert(s.URL.Path, qt.Equals, "/booking/")
	}
}

func TestKeys(t *testing.T) {
	c, r := start(t, 1, false)
	ask := func(path, key string) int {
		conn := r.dial()
		_, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: a.example\r\nRequest-Id: k\r\nKey: %s\r\n\r\n", path, key)
		c.Assert(err, qt.IsNil)
		return read(c, bufio.NewReader(conn), "GET").status
	}
	c.Assert(ask("/lookup/", "right"), qt.Equals, 200)
	c.Assert(ask("/lookup/", "wrong"), qt.Equals, 401)
	c.Assert(ask("/open/", ""), qt.Equals, 200)
	c.Assert(ask("/nowhere/", "right"), qt.Equals, 404)

	// A confirmation that is too old says nothing about keys or new routes.
	r.age.Store(4_001)
	c.Assert(ask("/lookup/", "right"), qt.Equals, 503)
	c.Assert(ask("/lookup/", "wrong"), qt.Equals, 503)
	c.Assert(ask("/nowhere/", "right"), qt.Equals, 503)
	c.Assert(ask("/open/", ""), qt.Equals, 200)
	r.age.Store(4_000)
	c.Assert(ask("/lookup/", "right"), qt.Equals, 200)
	r.lost.Store(true)
	c.Assert(ask("/open/", ""), qt.Equals, 503)
}

func TestTheBudgetOfRepeatsIsKept(t *testing.T) {
	c, r := start(t, 2, false)
	r.servers[0].Always(origin.Fail)
	r.servers[1].Always(origin.Fail)
	const asked = 100
	for i := range asked {
		r.ask("GET", "/lookup/", fmt.Sprint("b", i), "")
	}
	arrivals := len(r.servers[0].Seen()) + len(r.servers[1].Seen())
	c.Assert(arrivals-asked <= asked/5+20, qt.IsTrue, qt.Commentf("%d arrivals", arrivals))
	c.Assert(arrivals > asked, qt.IsTrue)
}

// A caller that leaves takes its request with it, also one that has sent a
// second one meanwhile.
func TestACallerThatLeavesEndsItsRequest(t *testing.T) {
	c, r := start(t, 1, false)
	r.servers[0].Always(origin.Silent)
	conn := r.dial()
	_, err := io.WriteString(conn, request("GET", "/lookup/", "gone", ""))
	c.Assert(err, qt.IsNil)
	for r.runs("gone") == 0 {
		time.Sleep(time.Millisecond)
	}
	c.Assert(conn.Close(), qt.IsNil)
	for r.servers[0].Connections() > 0 {
		time.Sleep(time.Millisecond) // hangs where the server's connection stays open
	}
}
