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

// booked is what a caller of a booking was told.
type booked struct {
	status int
	reason refuse.Reason
	ran    refuse.Ran
}

func (b *bed) book(h *hostd.Host, method, key string) booked {
	request, answer := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	request.SetRequestURI("http://" + h.Address() + "/services/yard-app/bookings")
	request.Header.SetMethod(method)
	request.Header.Set("Authorization", "Bearer demo-key")
	if key != "" {
		request.Header.Set("Idempotency-Key", key)
	}
	request.SetBodyString(`{"Stall": "12"}`)
	b.c.Assert(fasthttp.Do(request, answer), qt.IsNil)
	var told struct {
		Reason refuse.Reason
		Ran    refuse.Ran
	}
	if answer.StatusCode() != fasthttp.StatusOK {
		b.c.Assert(json.Unmarshal(answer.Body(), &told), qt.IsNil, qt.Commentf("%s", answer.Body()))
	}
	return booked{status: answer.StatusCode(), reason: told.Reason, ran: told.Ran}
}

// truthful checks what callers were told against how often a booking ran.
func (b *bed) truthful(key string, told ...booked) {
	runs := b.stand.Runs("yard-app")[key]
	note := qt.Commentf("%s ran %d times, told %+v", key, runs, told)
	b.c.Assert(runs <= 1, qt.IsTrue, note)
	for _, t := range told {
		if t.status == fasthttp.StatusOK {
			b.c.Assert(runs, qt.Equals, 1, note)
		}
	}
	last := told[len(told)-1]
	if last.ran == refuse.RanNo {
		b.c.Assert(runs, qt.Equals, 0, note)
	}
}

// Wherever the connection to the service drops, a booking that two hosts are
// asked for runs at most once, and nobody is told "not run" of one that ran.
func TestBookingUnderDrops(t *testing.T) {
	b := newBed(t, "prairie-a", "prairie-a")
	points := []websvc.DropPoint{
		websvc.DropBeforeRequest, websvc.DropDuringRequest, websvc.DropAfterRequest,
		websvc.DropDuringResponse, websvc.DropAfterResponse,
	}
	for _, point := range points {
		key := "drop-" + string(point)
		b.stand.Plain("yard-app-1").SetFaults(websvc.Faults{DropAt: point, DropCount: 1, ChecksFencing: true})
		b.truthful(key, b.book(b.host, "POST", key), b.book(b.hosts[1], "POST", key))
	}
}

// A keyed booking is refused "not run" while the table is down, and a lost
// answer of the table leads to no second run.
func TestBookingUnderPlatformFaults(t *testing.T) {
	faults := map[string]cloud.Faults{
		"down":        {Down: true},
		"throttled":   {Throttle: true},
		"lost answer": {LoseAnswersAfterWrite: 1},
		"lost write":  {LoseRequestsBeforeWrite: 1},
	}
	b := newBed(t, "prairie-a", "prairie-a")
	for name, f := range faults {
		b.c.Run(name, func(*qt.C) {
			key := strings.ReplaceAll(name, " ", "-")
			b.stand.Platform().SetFaults(f)
			first := b.book(b.host, "POST", key)
			b.stand.Platform().SetFaults(cloud.Faults{})
			b.truthful(key, first, b.book(b.hosts[1], "POST", key))
		})
	}
	b.stand.Platform().SetFaults(cloud.Faults{Down: true})
	told := b.book(b.host, "POST", "down-2")
	b.c.Assert(told.status, qt.Equals, fasthttp.StatusServiceUnavailable)
	b.c.Assert(told.ran, qt.Equals, refuse.RanNo)
	b.truthful("down-2", told)
	// A booking without a key needs no table.
	b.c.Assert(b.book(b.host, "POST", "").status, qt.Equals, fasthttp.StatusOK)
	_, err := b.answer(5, -1, nil)
	b.c.Assert(err, qt.IsNil)
}

// A server that is leaving gets no new work, also when the list cannot be
// read, and the list alone is enough as well.
func TestLeavingServerGetsNoNewWork(t *testing.T) {
	ways := map[string]func(b *bed){
		"own word, list down": func(b *bed) {
			b.stand.Platform().SetFaults(cloud.Faults{HostsDown: true, Down: true})
			b.stand.Engine(engines[0]).SetFaults(engine.Faults{Leaving: true})
		},
		"list": func(b *bed) {
			for _, e := range b.stand.Platform().Entries() {
				if e.Name == engines[0] {
					e.State = disco.StateLeaving
					b.stand.Platform().SetEntry(e)
				}
			}
		},
	}
	for name, leave := range ways {
		t.Run(name, func(t *testing.T) {
			b := newBed(t, "prairie-a", "prairie-a")
			leave(b)
			b.awaits(func() bool {
				before := b.stand.Engine(engines[0]).Counts().Requests
				for range 6 {
					_, err := b.answer(2, -1, nil)
					b.c.Assert(err, qt.IsNil)
				}
				return b.stand.Engine(engines[0]).Counts().Requests == before
			})
			b.c.Assert(b.stand.Engine(engines[1]).Counts().Requests > 0, qt.IsTrue)
		})
	}
}

// A host that is lost with its keeper duties takes no request of the others
// with it.
func TestLostHostMidBurst(t *testing.T) {
	b := newBed(t, "prairie-a", "prairie-a", "prairie-a")
	var work sync.WaitGroup
	failed := make(chan error, 60)
	for i := range 60 {
		work.Add(1)
		go func() {
			defer work.Done()
			_, err := b.answerOf(b.hosts[i%2], 20, -1, nil)
			if err != nil {
				failed <- err
			}
		}()
		if i == 30 {
			b.kills[2]()
		}
	}
	work.Wait()
	close(failed)
	for err := range failed {
		b.c.Error(err)
	}
}

// A manifest comes into force on every host of every failure domain, and a
// key that it no longer has is refused from then on.
func TestManifestReachesEveryDomain(t *testing.T) {
	domains := []string{"prairie-a", "prairie-b", "prairie-b"}
	b := newBed(t, domains...)
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

func (b *bed) awaitGeneration(h *hostd.Host, generation int64) {
	b.awaits(func() bool {
		code, _, err := fasthttp.Get(nil, "http://"+h.Address()+"/metrics")
		return err == nil && code == 200 && h.Count.Gauge("siskinsaddle_manifest_generation") == generation
	})
}

// A server that takes long to begin is hedged: the other one answers, and the
// caller has the whole answer once.
func TestSlowStartIsHedged(t *testing.T) {
	b := newBed(t)
	want, err := b.answer(3, -1, nil)
	b.c.Assert(err, qt.IsNil)
	for range 40 {
		_, err := b.answer(3, -1, nil)
		b.c.Assert(err, qt.IsNil)
	}
	b.stand.Engine(engines[0]).SetFaults(engine.Faults{LateMilliseconds: 250})
	for range 8 {
		got, err := b.answer(3, -1, nil)
		b.c.Assert(err, qt.IsNil)
		b.c.Assert(got, qt.Equals, want)
	}
	won := b.host.Count.Count("siskinsaddle_hedges_total",
		count.Label{Key: "reason", Value: "Won"}, count.Label{Key: "class", Value: "standard"})
	b.c.Assert(won > 0, qt.IsTrue)
}

// A server that turns four times slower than its sibling gets less work.
func TestSlowedServerGetsLessWork(t *testing.T) {
	b := newBed(t)
	run := func(rounds int) (slow, fast int) {
		before := []int{b.stand.Engine(engines[0]).Counts().Requests, b.stand.Engine(engines[1]).Counts().Requests}
		var work sync.WaitGroup
		for range 4 {
			work.Add(1)
			go func() {
				defer work.Done()
				for range rounds {
					_, err := b.answer(15, -1, nil)
					b.c.Check(err, qt.IsNil)
				}
			}()
		}
		work.Wait()
		return b.stand.Engine(engines[0]).Counts().Requests - before[0],
			b.stand.Engine(engines[1]).Counts().Requests - before[1]
	}
	run(5)
	b.stand.Engine(engines[0]).SetFaults(engine.Faults{Slowdown: 4})
	run(5)
	slow, fast := run(10)
	b.c.Assert(slow*2 < fast, qt.IsTrue, qt.Commentf("slow %d, fast %d", slow, fast))
}

// A failure domain that has no backend server of its own sends its requests to
// another one.
func TestDomainWithoutServersSpills(t *testing.T) {
	b := newBed(t, "prairie-a", "prairie-b")
	var told []booked
	b.awaits(func() bool {
		told = append(told, b.book(b.hosts[1], "POST", "far"))
		return told[len(told)-1].status == fasthttp.StatusOK
	})
	b.truthful("far", told...)
	_, err := b.answerOf(b.hosts[1], 5, -1, nil)
	b.c.Assert(err, qt.IsNil)
}

// The engines are brought to the models that the manifest wants, and to other
// ones once it changes, by one host of the failure domain.
func TestOrdersFollowTheManifest(t *testing.T) {
	b := newBed(t, "prairie-a", "prairie-a")
	loaded := func(want ...string) func() bool {
		return func() bool {
			for _, name := range engines {
				var models []string
				for _, m := range b.stand.Engine(name).State().Models {
					models = append(models, m.Name+"@"+m.Version)
				}
				if !slices.Equal(models, want) {
					return false
				}
			}
			return true
		}
	}
	b.awaits(loaded("canvas-small@1"))
	next := withDomains(mfest.Default(), []string{"prairie-a"})
	next.Base = 1
	next.Services = slices.Clone(next.Services)
	next.Services[0].Models = []mfest.Model{{Name: "canvas-small", Version: "2", Adapters: []string{"awnings"}}}
	b.push(next)
	b.awaits(loaded("canvas-small@2"))
	// The adapter is loaded too, and a request may name it.
	b.awaits(func() bool {
		q := question(3)
		q.Model = "awnings"
		_, err := b.client().CreateChatCompletion(context.Background(), q)
		return err == nil
	})
	b.c.Assert(b.stand.Engine(engines[0]).StaleOrders()+b.stand.Engine(engines[1]).StaleOrders(), qt.Equals, 0)
}
