package hostd_test

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"

	"siskinsaddle/internal/base/count"
	"siskinsaddle/internal/fakes/cloud"
	"siskinsaddle/internal/fakes/engine"
	"siskinsaddle/internal/fakes/websvc"
	"siskinsaddle/internal/plat/disco"
	"siskinsaddle/internal/serve/hostd"
	"siskinsaddle/internal/serve/refuse"
	"siskinsaddle/internal/share/mfest"
)

// bookingResult is the response to a booking call.
type bookingResult struct {
	status int
	reason refuse.Reason
	ran    refuse.Ran
}

func (b *testbed) book(h *hostd.Host, method, key string) bookingResult {
	request, answer := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	request.SetRequestURI("http://" + h.Address() + "/services/yard-app/bookings")
	request.Header.SetMethod(method)
	request.Header.Set("Authorization", "Bearer demo-key")
	if key != "" {
		request.Header.Set("Idempotency-Key", key)
	}
	request.SetBodyString(`{"Stall": "12"}`)
	b.c.Assert(fasthttp.Do(request, answer), qt.IsNil)
	var refusal struct {
		Reason refuse.Reason
		Ran    refuse.Ran
	}
	if answer.StatusCode() != fasthttp.StatusOK {
		b.c.Assert(json.Unmarshal(answer.Body(), &refusal), qt.IsNil, qt.Commentf("%s", answer.Body()))
	}
	return bookingResult{status: answer.StatusCode(), reason: refusal.Reason, ran: refusal.Ran}
}

// checkBooking checks that a booking ran at most once, that a success means one run,
// and that a last result of "not run" means none.
func (b *testbed) checkBooking(key string, results ...bookingResult) {
	runs := b.standIns.Runs("yard-app")[key]
	note := qt.Commentf("%s ran %d times, results %+v", key, runs, results)
	b.c.Assert(runs <= 1, qt.IsTrue, note)
	for _, r := range results {
		if r.status == fasthttp.StatusOK {
			b.c.Assert(runs, qt.Equals, 1, note)
		}
	}
	last := results[len(results)-1]
	if last.ran == refuse.RanNo {
		b.c.Assert(runs, qt.Equals, 0, note)
	}
}

// A booking that is sent through two hosts runs at most once wherever the
// connection to the service drops, and a booking that ran is never reported as
// not run.
func TestBookingUnderDrops(t *testing.T) {
	b := newTestbed(t, "prairie-a", "prairie-a")
	points := []websvc.DropPoint{
		websvc.DropBeforeRequest, websvc.DropDuringRequest, websvc.DropAfterRequest,
		websvc.DropDuringResponse, websvc.DropAfterResponse,
	}
	for _, point := range points {
		key := "drop-" + string(point)
		b.standIns.Plain("yard-app-1").SetFaults(websvc.Faults{DropAt: point, DropCount: 1, ChecksFencing: true})
		b.checkBooking(key, b.book(b.host, "POST", key), b.book(b.hosts[1], "POST", key))
	}
}

// A booking with a key is refused as not run while the table is down, and a lost
// response of the table causes no second run.
func TestBookingUnderPlatformFaults(t *testing.T) {
	faults := map[string]cloud.Faults{
		"down":        {Down: true},
		"throttled":   {Throttle: true},
		"lost answer": {LoseAnswersAfterWrite: 1},
		"lost write":  {LoseRequestsBeforeWrite: 1},
	}
	b := newTestbed(t, "prairie-a", "prairie-a")
	for name, f := range faults {
		b.c.Run(name, func(*qt.C) {
			key := strings.ReplaceAll(name, " ", "-")
			b.standIns.Platform().SetFaults(f)
			first := b.book(b.host, "POST", key)
			b.standIns.Platform().SetFaults(cloud.Faults{})
			b.checkBooking(key, first, b.book(b.hosts[1], "POST", key))
		})
	}
	b.standIns.Platform().SetFaults(cloud.Faults{Down: true})
	result := b.book(b.host, "POST", "down-2")
	b.c.Assert(result.status, qt.Equals, fasthttp.StatusServiceUnavailable)
	b.c.Assert(result.ran, qt.Equals, refuse.RanNo)
	b.checkBooking("down-2", result)
	// A booking without a key does not use the table.
	b.c.Assert(b.book(b.host, "POST", "").status, qt.Equals, fasthttp.StatusOK)
	_, err := b.collect(5, -1, nil)
	b.c.Assert(err, qt.IsNil)
}

// A server that is leaving gets no new work, whether it reports so itself while the
// list cannot be read, or only the list says so.
func TestLeavingServerGetsNoNewWork(t *testing.T) {
	cases := map[string]func(b *testbed){
		"own status, list down": func(b *testbed) {
			b.standIns.Platform().SetFaults(cloud.Faults{HostsDown: true, Down: true})
			b.standIns.Engine(engines[0]).SetFaults(engine.Faults{Leaving: true})
		},
		"list": func(b *testbed) {
			for _, e := range b.standIns.Platform().Entries() {
				if e.Name == engines[0] {
					e.State = disco.StateLeaving
					b.standIns.Platform().SetEntry(e)
				}
			}
		},
	}
	for name, leave := range cases {
		t.Run(name, func(t *testing.T) {
			b := newTestbed(t, "prairie-a", "prairie-a")
			leave(b)
			b.waitUntil(func() bool {
				before := b.standIns.Engine(engines[0]).Counts().Requests
				for range 6 {
					_, err := b.collect(2, -1, nil)
					b.c.Assert(err, qt.IsNil)
				}
				return b.standIns.Engine(engines[0]).Counts().Requests == before
			})
			b.c.Assert(b.standIns.Engine(engines[1]).Counts().Requests > 0, qt.IsTrue)
		})
	}
}

// No request of the other hosts fails when a host with keeper duties dies during a
// burst.
func TestHostDiesDuringBurst(t *testing.T) {
	b := newTestbed(t, "prairie-a", "prairie-a", "prairie-a")
	var work sync.WaitGroup
	failed := make(chan error, 60)
	for i := range 60 {
		work.Add(1)
		go func() {
			defer work.Done()
			_, err := b.collectFrom(b.hosts[i%2], 20, -1, nil)
			if err != nil {
				failed <- err
			}
		}()
		if i == 30 {
			b.aborts[2]()
		}
	}
	work.Wait()
	close(failed)
	for err := range failed {
		b.c.Error(err)
	}
}

// A manifest comes into force on every host of every failure domain, and a key
// that it no longer contains is refused from then on.
func TestManifestReachesEveryDomain(t *testing.T) {
	domains := []string{"prairie-a", "prairie-b", "prairie-b"}
	b := newTestbed(t, domains...)
	next := withDomains(mfest.Default(), domains)
	next.Base = 1
	next.Workspaces = slices.DeleteFunc(slices.Clone(next.Workspaces), func(w mfest.Workspace) bool {
		return w.Name == "kestrel"
	})
	b.push(next)
	for _, h := range b.hosts {
		b.awaitGeneration(h, 2)
		b.c.Assert(b.book(h, "POST", fmt.Sprint(h.Address())).reason, qt.Equals, refuse.ReasonWrongKey)
	}
	next.Base = 2
	next.Limits.MaxBodyBytes = 10
	b.push(next)
	b.awaitGeneration(b.host, 3)
	b.c.Assert(b.book(b.host, "POST", "long").reason, qt.Equals, refuse.ReasonBodyTooLarge)
}

func (b *testbed) awaitGeneration(h *hostd.Host, generation int64) {
	b.waitUntil(func() bool {
		code, _, err := fasthttp.Get(nil, "http://"+h.Address()+"/metrics")
		return err == nil && code == 200 && h.Count.Gauge("siskinsaddle_manifest_generation") == generation
	})
}

// A request to a server that is slow to start is hedged: the other server responds,
// and the caller gets the completion exactly once.
func TestSlowStartIsHedged(t *testing.T) {
	b := newTestbed(t)
	want, err := b.collect(3, -1, nil)
	b.c.Assert(err, qt.IsNil)
	for range 40 {
		_, err := b.collect(3, -1, nil)
		b.c.Assert(err, qt.IsNil)
	}
	// The host prefers the server that was faster lately: the slow one has to be that.
	slow := 0
	for range 8 {
		e := b.standIns.Engine(engines[slow])
		e.SetFaults(engine.Faults{LateMilliseconds: 250})
		before := e.Counts().Requests
		got, err := b.collect(3, -1, nil)
		b.c.Assert(err, qt.IsNil)
		b.c.Assert(got, qt.Equals, want)
		if e.Counts().Requests == before {
			e.SetFaults(engine.Faults{})
			slow = 1 - slow
		}
	}
	won := b.host.Count.Count("siskinsaddle_hedges_total",
		count.Label{Key: "reason", Value: "Won"}, count.Label{Key: "class", Value: "standard"})
	b.c.Assert(won > 0, qt.IsTrue)
}

// A server that becomes four times slower than the other one gets less work.
func TestSlowedServerGetsLessWork(t *testing.T) {
	b := newTestbed(t)
	run := func(rounds int) (slow, fast int) {
		before := []int{b.standIns.Engine(engines[0]).Counts().Requests, b.standIns.Engine(engines[1]).Counts().Requests}
		var work sync.WaitGroup
		for range 4 {
			work.Add(1)
			go func() {
				defer work.Done()
				for range rounds {
					_, err := b.collect(15, -1, nil)
					b.c.Check(err, qt.IsNil)
				}
			}()
		}
		work.Wait()
		return b.standIns.Engine(engines[0]).Counts().Requests - before[0],
			b.standIns.Engine(engines[1]).Counts().Requests - before[1]
	}
	run(5)
	b.standIns.Engine(engines[0]).SetFaults(engine.Faults{Slowdown: 4})
	run(5)
	slow, fast := run(10)
	b.c.Assert(slow*2 < fast, qt.IsTrue, qt.Commentf("slow %d, fast %d", slow, fast))
}

// A failure domain without backend servers spills its requests to another one.
func TestDomainWithoutServersSpills(t *testing.T) {
	b := newTestbed(t, "prairie-a", "prairie-b")
	var results []bookingResult
	b.waitUntil(func() bool {
		results = append(results, b.book(b.hosts[1], "POST", "far"))
		return results[len(results)-1].status == fasthttp.StatusOK
	})
	b.checkBooking("far", results...)
	_, err := b.collectFrom(b.hosts[1], 5, -1, nil)
	b.c.Assert(err, qt.IsNil)
}

// One host of the failure domain brings the engines to the models that the manifest
// declares, and to other models after it changes.
func TestOrdersFollowTheManifest(t *testing.T) {
	b := newTestbed(t, "prairie-a", "prairie-a")
	loaded := func(want ...string) func() bool {
		return func() bool {
			for _, name := range engines {
				var models []string
				for _, m := range b.standIns.Engine(name).State().Models {
					models = append(models, m.Name+"@"+m.Version)
				}
				if !slices.Equal(models, want) {
					return false
				}
			}
			return true
		}
	}
	b.waitUntil(loaded("canvas-small@1"))
	next := withDomains(mfest.Default(), []string{"prairie-a"})
	next.Base = 1
	next.Services = slices.Clone(next.Services)
	next.Services[0].Models = []mfest.Model{{Name: "canvas-small", Version: "2", Adapters: []string{"awnings"}}}
	b.push(next)
	b.waitUntil(loaded("canvas-small@2"))
	// The adapter is loaded too, and a request can name it.
	b.waitUntil(func() bool {
		q := chatRequest(3)
		q.Model = "awnings"
		_, err := b.client().CreateChatCompletion(context.Background(), q)
		return err == nil
	})
	b.c.Assert(b.standIns.Engine(engines[0]).StaleOrders()+b.standIns.Engine(engines[1]).StaleOrders(), qt.Equals, 0)
}
