package proxy_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"siskinsaddle/internal/base/meter"
	"siskinsaddle/internal/fakes/origin"
	"siskinsaddle/internal/policy/fleet"
)

// The kinds of requests in these tests, and whether a keeper decides on them.
var noticeLoads = []struct {
	name, path string
	prompts    bool
	broker     bool
}{
	{"calls", "/booking/x", false, false},
	{"calls that may run again", "/lookup/x", false, false},
	{"prompts", "/chat/x", true, true},
	{"prompts, alone", "/chat/x", true, false},
}

// promptFields returns the header lines of a caller's prompts. Those of every second caller
// are long, so that all servers get some.
func promptFields(n int) string {
	return fmt.Sprintf("%s: shared-%d:350,own-%d:900\r\n%s: %d,10\r\n", fields.PromptSegments, n, n, fields.TokenCounts, 1250+5000*(n%2))
}

// load sends requests from several callers for a time and returns how many were served
// and how many were not.
func (r *harness) load(path string, prompts bool, callers int, interval, duration time.Duration) (served, failed int) {
	var mu sync.Mutex
	var all sync.WaitGroup
	until := time.Now().Add(duration)
	for n := range callers {
		all.Go(func() {
			for i := 0; time.Now().Before(until); i++ {
				prompt := ""
				if prompts {
					prompt = promptFields(n)
				}
				got := r.send("POST", path, fmt.Sprintf("%d-%d-%d", until.UnixNano(), n, i), prompt+"Content-Length: 0\r\n")
				mu.Lock()
				if got.status == 200 {
					served++
				} else {
					failed++
				}
				mu.Unlock()
				time.Sleep(interval)
			}
		})
	}
	all.Wait()
	return served, failed
}

// arrivalTimes records when requests arrive at a server.
type arrivalTimes struct {
	mu    sync.Mutex
	times []time.Time
}

func (a *arrivalTimes) record(*http.Request, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.times = append(a.times, time.Now())
}

// between returns the number of requests that arrived in a time span.
func (a *arrivalTimes) between(from, until time.Time) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := 0
	for _, at := range a.times {
		if at.After(from) && at.Before(until) {
			n++
		}
	}
	return n
}

// The server's record does not say that it is leaving.
func TestServerThatSaysItLeavesGetsNoMoreRequests(t *testing.T) {
	for _, k := range noticeLoads {
		t.Run(k.name, func(t *testing.T) {
			t.Parallel()
			c, r := start(t, 2, k.prompts)
			var arrivals arrivalTimes
			o := &origin.Origin{Stream: k.prompts, OnRequest: arrivals.record}
			o.SetLeaving(true)
			r.addServer(o)
			r.forwarder.SetServers(r.serverList())
			if k.broker {
				r.withBroker()
			}
			r.load(k.path, k.prompts, 8, 10*time.Millisecond, time.Second)
			c.Assert(arrivals.between(time.Time{}, time.Now()) > 0, qt.IsTrue)
			noticed := time.Now()
			// The record is written again, as it is, or lapses and comes back.
			r.removeServer(o.ID)
			r.forwarder.SetServers(r.serverList())
			r.list = append(r.list, fleet.Server{ID: o.ID, Service: "app", Address: o.ListenAddress()})
			r.forwarder.SetServers(r.serverList())
			_, failed := r.load(k.path, k.prompts, 8, 10*time.Millisecond, time.Second)
			c.Check(arrivals.between(noticed, time.Now()), qt.Equals, 0)
			c.Check(failed, qt.Equals, 0)
		})
	}
}

func TestRestartedServerGetsRequestsAgain(t *testing.T) {
	c, r := start(t, 1, false)
	r.servers[0].SetLeaving(true)
	c.Assert(r.send("POST", "/booking/x", "r1", "Content-Length: 0\r\n").status, qt.Equals, 200)
	c.Assert(r.send("POST", "/booking/x", "r2", "Content-Length: 0\r\n").status, qt.Equals, 503)
	r.list[0].Born = 8
	r.forwarder.SetServers(r.serverList())
	c.Assert(r.send("POST", "/booking/x", "r3", "Content-Length: 0\r\n").status, qt.Equals, 200)
}

// A torn response and a refusal count, and one that belongs to another request does not.
func TestLeavingIsNoticedInEachOwnResponse(t *testing.T) {
	for behavior, want := range map[origin.Behavior]int64{origin.Tear: 1, origin.NotRun: 1, origin.Fail: 1, origin.Moved: 0} {
		c, r := start(t, 1, false)
		r.servers[0].SetLeaving(true)
		r.servers[0].SetDefault(behavior)
		r.send("POST", "/booking/x", "r1", "Content-Length: 0\r\n")
		r.forwarder.UpdateGauges()
		c.Check(r.count.Gauge(meter.Servers, meter.Label("state", "Leaving")), qt.Equals, want, qt.Commentf("%s", behavior))
	}
}

// The users allow two requests between half a second after the refusal and the end of the
// hold-off.
func TestServerThatHoldsOffGetsNoRequests(t *testing.T) {
	const wait = 2 * time.Second
	for _, k := range noticeLoads {
		t.Run(k.name, func(t *testing.T) {
			t.Parallel()
			c, r := start(t, 2, k.prompts)
			var arrivals arrivalTimes
			o := &origin.Origin{Stream: k.prompts, OnRequest: arrivals.record}
			o.SetHoldOff(fmt.Sprint(wait.Seconds()))
			r.addServer(o)
			r.forwarder.SetServers(r.serverList())
			if k.broker {
				r.withBroker()
			}
			time.AfterFunc(wait/2, func() { o.SetHoldOff("") })
			_, failed := r.load(k.path, k.prompts, 10, 30*time.Millisecond, 2*wait)
			first := arrivals.times[0]
			c.Check(arrivals.between(first.Add(500*time.Millisecond), first.Add(wait)) <= 2, qt.IsTrue,
				qt.Commentf("%d requests", arrivals.between(first.Add(500*time.Millisecond), first.Add(wait))))
			c.Check(arrivals.between(first.Add(wait), time.Now()) > 0, qt.IsTrue)
			// Two servers are idle. The route of prompts allows one server only, so that those
			// that find out are refused.
			refused := 0
			if k.prompts {
				refused = arrivals.between(time.Time{}, first.Add(500*time.Millisecond))
			}
			c.Check(failed <= refused, qt.IsTrue, qt.Commentf("%d failed", failed))
		})
	}
}

func TestCallersAreToldTheHoldOffOfAllServers(t *testing.T) {
	for _, broker := range []bool{false, true} {
		c, r := start(t, 2, broker)
		path, header := "/booking/x", "Content-Length: 0\r\n"
		if broker {
			r.withBroker()
			path, header = "/chat/x", header+fields.PromptSegments+": shared:350,own:900\r\n"
		}
		for _, o := range r.servers {
			o.SetHoldOff("3")
		}
		r.send("POST", path, "r1", header)
		r.send("POST", path, "r2", header)
		got := r.send("POST", path, "r3", header)
		c.Check(got.status, qt.Equals, 503)
		var wait float64
		_, err := fmt.Sscan(got.headers.Get("Retry-After"), &wait)
		c.Assert(err, qt.IsNil)
		c.Check(wait > 2.5 && wait < 4, qt.IsTrue, qt.Commentf("%g s", wait))
		c.Check(r.runs("r3"), qt.Equals, 0)
	}
}

func TestUnreadableHoldOffIsCounted(t *testing.T) {
	c, r := start(t, 1, false)
	r.servers[0].SetHoldOff("-4")
	r.send("POST", "/booking/x", "r1", "Content-Length: 0\r\n")
	r.servers[0].SetHoldOff("")
	c.Assert(r.send("POST", "/booking/x", "r2", "Content-Length: 0\r\n").status, qt.Equals, 200)
	c.Assert(r.count.Count(meter.OddFields, meter.Label("field", "HoldOff")), qt.Equals, int64(1))
}
