package proxy_test

import (
	"bufio"
	"fmt"
	"io"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"siskinsaddle/internal/base/meter"
	"siskinsaddle/internal/fakes/origin"
	"siskinsaddle/internal/policy/place"
)

func TestReservedFieldsOfCallerAreReplaced(t *testing.T) {
	c, r := start(t, 1, false)
	got := r.send("GET", "/lookup/7?q=1", "r1", "Workspace: forged\r\nReserved: forged\r\nFor-Server: forged\r\nUrgency: 0\r\nX-Mine: kept\r\n")
	c.Assert(got.status, qt.Equals, 200)
	c.Assert(isOriginResponse(got.body), qt.IsTrue)
	c.Assert(got.headers.Get("Stamp"), qt.Equals, "stamp-i-0")
	seen := r.servers[0].Requests()[0]
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

// For each failure of a server: the status that the caller gets and how often the
// call ran.
func TestStatusAndRunsAfterServerFailure(t *testing.T) {
	for _, test := range []struct {
		name   string
		path   string
		acts   []origin.Behavior
		status int
		runs   int
		server bool
	}{
		{"a safe call that failed is sent to a second server", "/lookup/", []origin.Behavior{origin.Fail, origin.Answer}, 200, 2, true},
		{"a safe call that was reset is sent to a second server", "/lookup/", []origin.Behavior{origin.Reset, origin.Answer}, 200, 2, true},
		{"a safe call whose response was truncated is sent to a second server", "/lookup/", []origin.Behavior{origin.Tear, origin.Answer}, 200, 2, true},
		{"a safe call that fails twice gets the server's failure", "/lookup/", []origin.Behavior{origin.Fail, origin.Fail}, 500, 2, true},
		{"an unsafe call that failed gets the server's failure", "/booking/", []origin.Behavior{origin.Fail}, 500, 1, true},
		{"an unsafe call that was reset has an unknown outcome", "/booking/", []origin.Behavior{origin.Reset}, 502, 1, false},
		{"an unsafe call whose response was truncated has an unknown outcome", "/booking/", []origin.Behavior{origin.Tear}, 502, 1, false},
		{"an unsafe call that a server did not run is sent to a second one", "/booking/", []origin.Behavior{origin.NotRun, origin.Answer}, 200, 1, true},
		{"an unsafe call that no server ran is refused as not run", "/booking/", []origin.Behavior{origin.NotRun, origin.NotRun}, 503, 0, false},
		{"a call to the address of another server is sent to a second one", "/booking/", []origin.Behavior{origin.Moved, origin.Answer}, 200, 1, true},
		{"an unsafe call without a response ends at its route's limit", "/short/", []origin.Behavior{origin.Silent}, 504, 1, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			c, r := start(t, 2, false)
			setActs(r, test.acts)
			got := r.send("POST", test.path, "r1", "Content-Length: 0\r\n")
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

// setActs makes the first server that is tried perform the first act and the second
// server the second act.
func setActs(r *harness, acts []origin.Behavior) {
	queue := make(chan origin.Behavior, len(acts))
	for _, a := range acts {
		queue <- a
	}
	for _, s := range r.servers {
		s.SetScript(func() (origin.Behavior, bool) {
			select {
			case a := <-queue:
				return a, true
			default:
				return "", false
			}
		})
	}
}

func TestUnreachableServerIsRetriedElsewhere(t *testing.T) {
	c, r := start(t, 2, false)
	r.servers[0].Stop()
	for i := range 6 {
		got := r.send("POST", "/booking/", fmt.Sprint("r", i), "Content-Length: 0\r\n")
		c.Assert(got.status, qt.Equals, 200)
	}
}

// Guards against crossed responses: one that belongs to another request, before or
// after the right one, is never forwarded.
func TestCrossedResponsesAreNotForwarded(t *testing.T) {
	for _, act := range []origin.Behavior{origin.Stray, origin.Extra} {
		t.Run(string(act), func(t *testing.T) {
			c, r := start(t, 1, false)
			r.servers[0].Enqueue(act, origin.Answer, origin.Answer, origin.Answer)
			conn := r.dial()
			reader := bufio.NewReader(conn)
			for i := range 4 {
				id := fmt.Sprint("r", i)
				_, err := io.WriteString(conn, request("GET", "/lookup/", id, ""))
				c.Assert(err, qt.IsNil)
				got := readResponse(c, reader, "GET")
				c.Assert(strings.Contains(got.body, "stray") || strings.Contains(got.body, "extra"), qt.IsFalse)
				if got.status == 200 {
					c.Assert(got.headers.Get("Request-Id"), qt.Equals, id)
				}
			}
		})
	}
}

func TestResponseWithoutLengthEndsWithConnection(t *testing.T) {
	c, r := start(t, 1, false)
	r.servers[0].Enqueue(origin.Unframed)
	got := r.send("GET", "/lookup/", "r1", "")
	c.Assert(got.status, qt.Equals, 200)
	c.Assert(got.body, qt.Equals, "unframed from i-0")
	c.Assert(got.whole, qt.IsTrue)
}

// A server may respond before it has read a long body and read the rest later. It
// must not take the next request on the connection for the rest of that body.
func TestEarlyResponseDoesNotDesynchronizeConnection(t *testing.T) {
	c, r := start(t, 1, false)
	r.servers[0].Enqueue(origin.Early)
	body := strings.Repeat("x", 1<<20)
	conn := r.dial()
	reader := bufio.NewReader(conn)
	for i := range 3 {
		_, err := io.WriteString(conn, request("POST", "/booking/", fmt.Sprint("e", i), fmt.Sprintf("Content-Length: %d\r\n", len(body)))+body)
		c.Assert(err, qt.IsNil)
		response := readResponse(c, reader, "POST")
		c.Assert(response.status, qt.Equals, 200)
	}
	for _, s := range r.servers[0].Requests() {
		c.Assert(s.URL.Path, qt.Equals, "/booking/")
	}
}

func TestKeyAuthentication(t *testing.T) {
	c, r := start(t, 1, false)
	ask := func(path, key string) int { return r.statusOf(path, "Key: "+key+"\r\n") }
	c.Assert(ask("/lookup/", "right"), qt.Equals, 200)
	c.Assert(ask("/lookup/", "wrong"), qt.Equals, 401)
	c.Assert(ask("/open/", ""), qt.Equals, 200)
	c.Assert(ask("/nowhere/", "right"), qt.Equals, 404)

	// With an outdated confirmation, neither keys nor missing routes are certain.
	r.manifestAge.Store(4_001)
	c.Assert(ask("/lookup/", "right"), qt.Equals, 503)
	c.Assert(ask("/lookup/", "wrong"), qt.Equals, 503)
	c.Assert(ask("/nowhere/", "right"), qt.Equals, 503)
	c.Assert(ask("/open/", ""), qt.Equals, 200)
	r.manifestAge.Store(4_000)
	c.Assert(ask("/lookup/", "right"), qt.Equals, 200)
	r.serversUnknown.Store(true)
	c.Assert(ask("/open/", ""), qt.Equals, 503)
}

// A manifest that lost its last workspace may lack the list of them. Keys that it withdrew, and
// keys that never were, open nothing then.
func TestManifestWithoutWorkspacesAcceptsNoKey(t *testing.T) {
	c, r := start(t, 1, false)
	r.keyless.Store(true)
	c.Check(r.statusOf("/lookup/", "Key: right\r\n"), qt.Equals, 401)
	c.Check(r.statusOf("/lookup/", "Key: wrong\r\n"), qt.Equals, 401)
	c.Check(r.statusOf("/lookup/", ""), qt.Equals, 200)
	c.Check(r.statusOf("/lookup/", "Key:\r\n"), qt.Equals, 200)
	c.Check(r.statusOf("/open/", "Key: wrong\r\n"), qt.Equals, 200)
	r.manifestAge.Store(4_001)
	c.Check(r.statusOf("/lookup/", "Key: right\r\n"), qt.Equals, 503)
	c.Check(r.statusOf("/lookup/", ""), qt.Equals, 200)
}

func TestRepeatsStayWithinBudget(t *testing.T) {
	c, r := start(t, 2, false)
	r.servers[0].SetDefault(origin.Fail)
	r.servers[1].SetDefault(origin.Fail)
	const asked = 100
	for i := range asked {
		r.send("GET", "/lookup/", fmt.Sprint("b", i), "")
	}
	arrivals := len(r.servers[0].Requests()) + len(r.servers[1].Requests())
	c.Assert(arrivals-asked <= asked/5+20, qt.IsTrue, qt.Commentf("%d arrivals", arrivals))
	c.Assert(arrivals > asked, qt.IsTrue)
}

// A caller that disconnects cancels its request, which closes the connection to the
// server.
func TestCallerDisconnectCancelsRequest(t *testing.T) {
	c, r := start(t, 1, false)
	r.servers[0].SetDefault(origin.Silent)
	conn := r.dial()
	_, err := io.WriteString(conn, request("GET", "/lookup/", "gone", ""))
	c.Assert(err, qt.IsNil)
	for r.runs("gone") == 0 {
		time.Sleep(time.Millisecond)
	}
	c.Assert(conn.Close(), qt.IsNil)
	for r.servers[0].Connections() > 0 {
		time.Sleep(time.Millisecond) // loops forever if the server's connection stays open
	}
}

// A kept connection can carry requests for as long as its responses began before the stop.
func TestDrainingHostRefusesNewRequestsAtOnce(t *testing.T) {
	c, r := start(t, 2, true)
	r.withBroker()
	r.forwarder.Drain()
	for i := range 100 {
		for _, path := range []string{"/chat/x", "/once/x"} {
			id := fmt.Sprint(path, i)
			got := r.send("POST", path, id, fmt.Sprintf("%s: own-%d:900\r\nContent-Length: 0\r\n", fields.PromptSegments, i))
			c.Assert(got.status, qt.Equals, 503, qt.Commentf("%s", id))
			c.Assert(got.body, qt.Contains, "Stopping")
			c.Assert(got.closes, qt.IsTrue)
			c.Assert(r.runs(id), qt.Equals, 0)
		}
	}
}

func TestStrayResponsesBeforeTheRightOneCostNoRequest(t *testing.T) {
	for _, act := range []origin.Behavior{
		origin.Stray, origin.StrayRefusal, origin.Informational,
		origin.UnnamedRefusal, origin.UnnamedSuccess, origin.UnnamedFailure, origin.UnnamedEmpty,
	} {
		for _, stream := range []bool{false, true} {
			c, r := start(t, 1, stream)
			path := "/booking/x"
			if stream {
				path = "/once/x"
			}
			r.send("POST", path, "first", "Content-Length: 0\r\n")
			r.servers[0].Enqueue(act)
			got := r.send("POST", path, "r1", "Content-Length: 0\r\n")
			c.Check(got.status, qt.Equals, 200, qt.Commentf("%s", act))
			c.Check(got.headers.Get("Request-Id"), qt.Equals, "r1")
			c.Check(r.runs("r1"), qt.Equals, 1)
		}
	}
}

// The refusal that a faulty server writes once more on a kept connection may not even name
// its request. The request behind it has run.
func TestUnnamedRefusalOnKeptConnectionPromisesNothing(t *testing.T) {
	c, r := start(t, 2, false)
	for _, o := range r.servers {
		o.SetDefault(origin.UnnamedRefusal)
		o.Enqueue(origin.Answer)
	}
	for i := range 6 {
		id := fmt.Sprint("r", i)
		got := r.send("POST", "/booking/x", id, "Content-Length: 0\r\n")
		c.Check(r.runs(id) <= 1, qt.IsTrue, qt.Commentf("%d runs", r.runs(id)))
		if r.runs(id) > 0 {
			c.Check(got.status == 200 || got.status == 502, qt.IsTrue, qt.Commentf("status %d", got.status))
		}
	}
}

// A success that nothing shows to come from the server of the request reaches no caller.
func TestSuccessWithoutIdentificationIsNotForwarded(t *testing.T) {
	for _, test := range []struct {
		behavior   origin.Behavior
		path       string
		identified bool
		status     int
	}{
		{origin.Unstamped, "/booking/", true, 502},
		{origin.Unstamped, "/lookup/", true, 200},
		{origin.Unstamped, "/once/", true, 502},
		{origin.Unnamed, "/booking/", true, 504},
		{origin.Unnamed, "/lookup/", true, 200},
		{origin.Unnamed, "/booking/", false, 200},
		{origin.Unstamped, "/booking/", false, 200},
	} {
		t.Run(fmt.Sprint(test.behavior, test.path, test.identified), func(t *testing.T) {
			c, r := start(t, 2, false)
			r.forwarder.ServersIdentify = test.identified
			setActs(r, []origin.Behavior{test.behavior})
			got := r.send("POST", test.path, "r1", "Content-Length: 0\r\n")
			c.Check(got.status, qt.Equals, test.status)
			c.Check(got.body == "bare", qt.Equals, !test.identified)
			if test.path != "/lookup/" {
				c.Check(r.runs("r1"), qt.Equals, 1)
			}
		})
	}
}

// Each request to a server that never names it waits for its time limit.
func TestServerThatNeverNamesRequestsIsAvoided(t *testing.T) {
	c, r := start(t, 2, false)
	r.servers[0].SetDefault(origin.Unnamed)
	for i := range 4 * place.FailureThreshold {
		r.send("POST", "/short/", fmt.Sprint("r", i), "Content-Length: 0\r\n")
	}
	r.forwarder.UpdateGauges()
	c.Assert(r.count.Gauge(meter.Servers, meter.Label("state", "Avoided")), qt.Equals, int64(1))
	for i := range 8 {
		c.Check(r.send("POST", "/short/", fmt.Sprint("s", i), "Content-Length: 0\r\n").status, qt.Equals, 200)
	}
}

// Second copies of answers, and successes without an id, arrive while their connections are being
// used again.
func TestLateCopiesReachNobodyAndCostNoRequest(t *testing.T) {
	for _, late := range []origin.Behavior{origin.LateCopy, origin.LateUnnamed} {
		t.Run(string(late), func(t *testing.T) { checkLateResponses(t, late) })
	}
}

func checkLateResponses(t *testing.T, late origin.Behavior) {
	c, r := start(t, 2, false)
	for _, o := range r.servers {
		n := 0
		o.SetScript(func() (origin.Behavior, bool) {
			n++
			return late, n%3 == 0
		})
	}
	var failed, wrong atomic.Int64
	var all sync.WaitGroup
	for caller := range 8 {
		all.Go(func() {
			conn := r.dial()
			reader := bufio.NewReader(conn)
			for i := range 200 {
				id := fmt.Sprintf("r-%d-%d", caller, i)
				if _, err := io.WriteString(conn, request("POST", "/booking/", id, "Content-Length: 0\r\n")); err != nil {
					c.Error(err)
					return
				}
				got := readResponse(c, reader, "POST")
				switch {
				case got.status != 200:
					failed.Add(1)
					c.Logf("%s: %d %s", id, got.status, got.body)
				case got.headers.Get("Request-Id") != id || !isOriginResponse(got.body):
					wrong.Add(1)
				}
			}
		})
	}
	all.Wait()
	c.Check(wrong.Load(), qt.Equals, int64(0))
	c.Check(failed.Load(), qt.Equals, int64(0))
}
