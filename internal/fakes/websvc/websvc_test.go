package websvc_test

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"

	"siskinsaddle/internal/fakes/websvc"
)

func start(c *qt.C) *websvc.Service {
	s := &websvc.Service{Name: "yard-app-1", ChecksFencing: true}
	c.Assert(s.Start(), qt.IsNil)
	c.Cleanup(s.Stop)
	return s
}

// call sends one request without retries on a new connection.
func call(s *websvc.Service, method, path, key, fence string) (int, string, error) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + s.Address() + path)
	request.Header.SetMethod(method)
	request.Header.Set(websvc.HeaderKey, key)
	request.Header.Set(websvc.HeaderFencing, fence)
	request.SetBodyString(`{"Visit": "north fountain"}`)
	client := &fasthttp.Client{MaxIdemponentCallAttempts: 1}
	err := client.Do(request, response)
	return response.StatusCode(), string(response.Body()), err
}

func TestBookingRunsUnlessDroppedBeforeRequestEnds(t *testing.T) {
	c := qt.New(t)
	s := start(c)
	for _, p := range []struct {
		at   websvc.DropPoint
		runs int
		ok   bool
	}{
		{websvc.DropBeforeRequest, 0, false},
		{websvc.DropDuringRequest, 0, false},
		{websvc.DropAfterRequest, 1, false},
		{websvc.DropDuringResponse, 1, false},
		{websvc.DropAfterResponse, 1, true},
		{websvc.DropNever, 1, true},
	} {
		s.SetFaults(websvc.Faults{DropAt: p.at})
		_, _, err := call(s, "POST", "/bookings", "key-"+string(p.at), "1")
		c.Assert(err == nil, qt.Equals, p.ok, qt.Commentf("%s: %v", p.at, err))
		c.Assert(s.Runs()["key-"+string(p.at)], qt.Equals, p.runs, qt.Commentf("%s", p.at))
	}
}

func TestLookupRaisesMinimumFencingNumber(t *testing.T) {
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
