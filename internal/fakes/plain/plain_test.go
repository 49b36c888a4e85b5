package plain_test

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"

	"siskinsaddle/internal/fakes/plain"
)

func start(c *qt.C) *plain.Service {
	s := &plain.Service{Name: "yard-app-1", ChecksFencing: true}
	c.Assert(s.Start(), qt.IsNil)
	c.Cleanup(s.Stop)
	return s
}

// call sends one request on a fresh connection, without retries.
func call(s *plain.Service, method, path, key, fence string) (int, string, error) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + s.Address() + path)
	request.Header.SetMethod(method)
	request.Header.Set(plain.HeaderKey, key)
	request.Header.Set(plain.HeaderFencing, fence)
	request.SetBodyString(`{"Visit": "north fountain"}`)
	client := &fasthttp.Client{MaxIdemponentCallAttempts: 1}
	err := client.Do(request, response)
	return response.StatusCode(), string(response.Body()), err
}

func TestDropPoints(t *testing.T) {
	c := qt.New(t)
	s := start(c)
	for _, p := range []struct {
		at   plain.DropPoint
		runs int
		ok   bool
	}{
		{plain.DropBeforeRequest, 0, false},
		{plain.DropDuringRequest, 0, false},
		{plain.DropAfterRequest, 1, false},
		{plain.DropDuringResponse, 1, false},
		{plain.DropAfterResponse, 1, true},
		{plain.DropNever, 1, true},
	} {
		s.SetFaults(plain.Faults{DropAt: p.at})
		_, _, err := call(s, "POST", "/bookings", "key-"+string(p.at), "1")
		c.Assert(err == nil, qt.Equals, p.ok, qt.Commentf("%s: %v", p.at, err))
		c.Assert(s.Runs()["key-"+string(p.at)], qt.Equals, p.runs, qt.Commentf("%s", p.at))
	}
}

func TestLookupRaisesTheFence(t *testing.T) {
	c := qt.New(t)
	s := start(c)
	_, body, err := call(s, "GET", "/bookings/lookup?key=k", "", "5")
	c.Assert(err, qt.IsNil)
	c.Assert(body, qt.Contains, `"Ran":false`)
	status, body, err := call(s, "POST", "/bookings", "k", "4")
	c.Assert(err, qt.IsNil)
	c.Assert(status, qt.Equals, fasthttp.StatusConflict)
	c.Assert(body, qt.Contains, "StaleFence")
	status, _, err = call(s, "POST", "/bookings", "k", "5")
	c.Assert(err, qt.IsNil)
	c.Assert(status, qt.Equals, fasthttp.StatusOK)
	_, body, err = call(s, "GET", "/bookings/lookup?key=k", "", "6")
	c.Assert(err, qt.IsNil)
	c.Assert(body, qt.Contains, `"Ran":true`)
	c.Assert(s.Runs(), qt.DeepEquals, map[string]int{"k": 1})
}
