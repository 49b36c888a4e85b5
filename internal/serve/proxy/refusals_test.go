package proxy_test

import (
	"bufio"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"siskinsaddle/internal/fakes/origin"
)

// refusalRoute is a route of the harness. Repeatable requests may run more than once, on up to
// maxServers servers.
type refusalRoute struct {
	path       string
	stream     bool
	repeatable bool
	maxServers int
}

var refusalRoutes = []refusalRoute{
	{"/lookup/", false, true, 2},
	{"/open/", false, true, 2},
	{"/booking/", false, false, 2},
	{"/once/", true, false, 1},
	{"/chat/", true, false, 1},
	{"/resumed/", true, true, 2},
}

var (
	markedRefusals   = []origin.Behavior{origin.NotRun, origin.NotRunLimited, origin.NotRunTimedOut, origin.NotRunMoved, origin.Moved}
	unmarkedRefusals = []origin.Behavior{origin.RanUnavailable, origin.RanLimited, origin.RanTimedOut}
)

func promisesNotRun(status int) bool {
	return status == 408 || status == 421 || status == 429 || status == 503
}

// refusalCase is what the first and the second server do with a request, and what its caller
// gets.
type refusalCase struct {
	method  string
	acts    []origin.Behavior
	status  int
	runs    int
	stamped bool
}

// refusalCases returns the cases of a route for one refusal as the first and as the second
// response.
func refusalCases(r refusalRoute, act origin.Behavior, marked bool) []refusalCase {
	status, runs := 503, 0
	if !marked {
		status, runs = 502, 1
	}
	both := runs
	if r.repeatable {
		both = 2 * runs
	}
	list := []refusalCase{
		{"POST", []origin.Behavior{act, act}, status, both, false},
		{"HEAD", []origin.Behavior{act, act}, status, both, false},
	}
	if r.maxServers == 1 {
		return list
	}
	list = append(list, refusalCase{"POST", []origin.Behavior{origin.NotRun, act}, status, runs, false})
	if marked || r.repeatable {
		list = append(list, refusalCase{"POST", []origin.Behavior{act, origin.Answer}, 200, runs + 1, true})
	} else {
		list = append(list, refusalCase{"POST", []origin.Behavior{act, origin.Answer}, 502, 1, false})
	}
	if r.repeatable {
		list = append(list,
			refusalCase{"POST", []origin.Behavior{origin.Fail, act}, 500, runs + 1, true},
			refusalCase{"POST", []origin.Behavior{origin.Reset, act}, 502, runs + 1, false})
	}
	return list
}

// A server's 408, 429 or 503 that does not say that the request has not run must not reach
// callers, who would take it for that promise.
func TestServerRefusalIsNoPromiseThatTheRequestHasNotRun(t *testing.T) {
	for _, r := range refusalRoutes {
		for _, act := range append(markedRefusals, unmarkedRefusals...) {
			for _, test := range refusalCases(r, act, slices.Contains(markedRefusals, act)) {
				t.Run(fmt.Sprint(test.method, r.path, test.acts), func(t *testing.T) { checkRefusal(t, r, test) })
			}
		}
	}
}

func checkRefusal(t *testing.T, route refusalRoute, test refusalCase) {
	c, r := start(t, 2, route.stream)
	setActs(r, test.acts)
	got := r.send(test.method, route.path, "r1", "Content-Length: 0\r\n")
	c.Check(got.status, qt.Equals, test.status)
	c.Check(got.whole, qt.IsTrue)
	c.Check(r.runs("r1"), qt.Equals, test.runs)
	c.Check(got.headers.Get("Stamp") != "", qt.Equals, test.stamped)
	if got.status == 503 {
		wait, err := strconv.ParseFloat(got.headers.Get("Retry-After"), 64)
		c.Check(err, qt.IsNil)
		c.Check(wait > 0, qt.IsTrue)
	}
}

// The refusal meets a request whose stream has begun, whose body is not sent yet, or whose
// connection has an unread response.
func TestServerRefusalInOddPlacesIsNoPromise(t *testing.T) {
	body := strings.Repeat("x", 1<<20)
	for _, test := range []struct {
		name   string
		path   string
		stream bool
		acts   []origin.Behavior
		body   string
		status int
		whole  bool
	}{
		{"an upload", "/booking/", false, []origin.Behavior{origin.RanEarly}, body, 502, true},
		{"an upload of a stream", "/once/", true, []origin.Behavior{origin.RanEarly}, body, 502, true},
		{"a repeated upload", "/lookup/", false, []origin.Behavior{origin.RanEarly, origin.Answer}, body, 200, true},
		{"a resumed stream", "/resumed/", true, []origin.Behavior{origin.Tear, origin.RanUnavailable}, "", 200, false},
		{"a resumed stream that did not run", "/resumed/", true, []origin.Behavior{origin.Tear, origin.NotRun}, "", 200, false},
		{"a refusal without an id before the answer", "/booking/", false, []origin.Behavior{origin.UnnamedUnavailable}, "", 200, true},
		{"one before a stream", "/once/", true, []origin.Behavior{origin.UnnamedUnavailable}, "", 200, true},
		{"one that says that it did not run", "/booking/", false, []origin.Behavior{origin.UnnamedRefusal}, "", 200, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			c, r := start(t, 2, test.stream)
			setActs(r, test.acts)
			conn := r.dial()
			_, err := io.WriteString(conn, request("POST", test.path, "r1", fmt.Sprintf("Content-Length: %d\r\n", len(test.body)))+test.body)
			c.Assert(err, qt.IsNil)
			got := readResponse(c, bufio.NewReader(conn), "POST")
			c.Check(got.status, qt.Equals, test.status)
			c.Check(got.whole, qt.Equals, test.whole)
			c.Check(r.runs("r1") > 0 && promisesNotRun(got.status), qt.IsFalse)
		})
	}
}
