package proxy_test

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"siskinsaddle/internal/base/meter"
	"siskinsaddle/internal/fakes/origin"
	"siskinsaddle/internal/policy/place"
	"siskinsaddle/internal/serve/proxy"
)

// A server in trouble sends bytes until its caller closes the connection. What the
// caller of the host gets must neither look complete nor wait for the deadline where
// another server may answer.
func TestEndlessResponseIsNotForwarded(t *testing.T) {
	for _, test := range []struct {
		name     string
		path     string
		stream   bool
		behavior origin.Behavior
		status   int
		whole    bool
		runs     int
	}{
		{"a safe call with an endless header is sent to a second server", "/lookup/", false, origin.EndlessHeader, 200, true, 2},
		{"a safe call with an endless body is sent to a second server", "/lookup/", false, origin.EndlessBody, 200, true, 2},
		{"a safe call with endless chunks is sent to a second server", "/lookup/", false, origin.EndlessChunks, 200, true, 2},
		{"an unsafe call with an endless header has an unknown outcome", "/booking/", false, origin.EndlessHeader, 502, true, 1},
		{"an unsafe call with an endless body has an unknown outcome", "/booking/", false, origin.EndlessBody, 502, true, 1},
		{"an unsafe call with endless chunks has an unknown outcome", "/booking/", false, origin.EndlessChunks, 502, true, 1},
		{"a stream with an endless event is resumed at a second server", "/resumed/", true, origin.EndlessEvent, 200, true, 2},
		{"a stream without any event is sent to a second server", "/resumed/", true, origin.Trickle, 200, true, 2},
		{"a stream with an endless event that cannot be resumed breaks off", "/once/", true, origin.EndlessEvent, 200, false, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			c, r := start(t, 2, test.stream)
			setActs(r, []origin.Behavior{test.behavior, origin.Answer})
			began := time.Now()
			got := r.send("POST", test.path, "r1", "Content-Length: 0\r\n")
			c.Assert(time.Since(began) < 1_900*time.Millisecond, qt.IsTrue) // the route's limit is 2 s
			c.Assert(got.status, qt.Equals, test.status)
			c.Assert(got.whole, qt.Equals, test.whole)
			c.Assert(r.runs("r1"), qt.Equals, test.runs)
			switch {
			case test.status != 200:
				c.Assert(got.headers.Get("Stamp"), qt.Equals, "")
			case test.stream && test.whole:
				c.Assert(got.body, qt.Equals, origin.FullStream())
			case test.stream:
				c.Assert(got.body, qt.Equals, origin.FullStream()[:len(got.body)])
			default:
				c.Assert(isOriginResponse(got.body), qt.IsTrue)
			}
			// The connections close and the memory is released after the caller's response.
			for began := time.Now(); r.connections() > 1 || r.buffered() > 0; time.Sleep(time.Millisecond) {
				c.Assert(time.Since(began) < 5*time.Second, qt.IsTrue,
					qt.Commentf("%d connections are open, %d bytes are held", r.connections(), r.buffered()))
			}
		})
	}
}

// The server must be counted as failed, or it gets the next requests too.
func TestServerWithEndlessEventsIsAvoided(t *testing.T) {
	c, r := start(t, 2, true)
	for _, s := range r.servers {
		s.SetDefault(origin.EndlessEvent)
	}
	for i := range place.FailureThreshold {
		r.send("POST", "/resumed/", fmt.Sprint("s", i), "Content-Length: 0\r\n")
	}
	r.forwarder.UpdateGauges()
	c.Assert(r.count.Gauge(meter.Servers, meter.Label("state", "Avoided")), qt.Equals, int64(2))
}

// Servers in trouble send long events that do not end to many requests at a time. All streams
// share the memory for responses, and a sound one is served beside them.
func TestUnfinishedEventsOfManyStreamsShareTheMemoryForResponses(t *testing.T) {
	const (
		maxBuffered = 2 << 20
		streams     = 40
	)
	c, r := start(t, 2, true)
	r.forwarder.Apply(proxy.Limits{RepeatRatio: 0.2, RepeatSlack: 20, RepeatWindow: 10_000, MaxBuffered: maxBuffered})
	setActs(r, slices.Repeat([]origin.Behavior{origin.LongEvent}, streams))
	var all sync.WaitGroup
	for i := range streams {
		all.Go(func() {
			got := r.send("POST", "/once/", fmt.Sprint("long", i), "Content-Length: 0\r\n")
			c.Check(got.status >= 500, qt.IsTrue, qt.Commentf("status %d", got.status))
		})
	}
	sent := func() int {
		n := 0
		for i := range streams {
			n += r.runs(fmt.Sprint("long", i))
		}
		return n
	}
	for sent() < streams {
		time.Sleep(time.Millisecond)
	}
	for began := time.Now(); r.connections() > maxBuffered/origin.LongEventBytes; time.Sleep(time.Millisecond) {
		c.Assert(time.Since(began) < time.Second, qt.IsTrue, qt.Commentf("%d unfinished events are held", r.connections()))
	}
	c.Check(r.buffered() <= maxBuffered, qt.IsTrue)
	got := r.send("POST", "/resumed/", "sound", "Content-Length: 0\r\n")
	c.Check(got.body, qt.Equals, origin.FullStream())
	all.Wait()
	c.Check(r.buffered(), qt.Equals, int64(0))
}
