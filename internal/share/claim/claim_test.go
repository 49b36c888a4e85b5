package claim_test

import (
	"context"
	"flag"
	"fmt"
	"os"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/fakes/flaky"
	"siskinsaddle/internal/plat/object"
	"siskinsaddle/internal/plat/table"
	"siskinsaddle/internal/share/claim"
)

var ctx = context.Background()

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "1000")
	flag.Parse()
	os.Exit(m.Run())
}

// harness simulates a service and the hosts in front of it. runs is the reference
// that an implementation without faults would have: how often each key ran.
type harness struct {
	table           *flaky.Table
	objects         object.Store
	time            *clock.Manual
	faulty          bool
	template        claim.Request
	managers        []*claim.Manager
	dead            map[uint64]bool
	lastIncarnation uint64
	tickets         []*openTicket
	runs            map[string]int
	maxFence        map[string]uint64
	// unreported holds the keys that ran without their owner reporting an outcome.
	unreported map[string]bool
}

// openTicket is a ticket whose holder has not sent the request yet and may be
// paused.
type openTicket struct {
	manager *claim.Manager
	key     string
	ticket  claim.Ticket
}

func newHarness(template claim.Request, draw func() flaky.Fault) *harness {
	h := &harness{
		objects: object.NewMemory(), time: clock.NewManual(1_000), template: template,
		dead: map[uint64]bool{}, runs: map[string]int{}, maxFence: map[string]uint64{},
		unreported: map[string]bool{},
	}
	h.table = &flaky.Table{Store: table.NewMemory(), NextFault: func() flaky.Fault {
		if !h.faulty {
			return flaky.None
		}
		return draw()
	}}
	for range 2 {
		h.managers = append(h.managers, h.newManager())
	}
	return h
}

func (h *harness) newManager() *claim.Manager {
	h.lastIncarnation++
	return &claim.Manager{
		Table: h.table.Wrap(), Objects: h.objects, Clock: h.time.Clock(),
		Host: "host", Incarnation: h.lastIncarnation,
		OwnerDead:   func(_ string, incarnation uint64) bool { return h.dead[incarnation] },
		LookUp:      h.lookUp,
		InlineBytes: 8,
	}
}

func (h *harness) request(key string) claim.Request {
	r := h.template
	r.Workspace, r.Service, r.Key = "kestrel", "yard-app", key
	r.Hash = claim.HashOf("POST", "/bookings", []byte(key))
	return r
}

func responseTo(key string) claim.Response {
	return claim.Response{Status: 201, Body: []byte("booked " + key + " with a body beyond the record")}
}

func (h *harness) lookUp(_ context.Context, r claim.Request, fence uint64) claim.LookUp {
	h.maxFence[r.Key] = max(h.maxFence[r.Key], fence)
	if h.runs[r.Key] > 0 {
		return claim.LookUp{Kind: claim.LookUpRan, Response: responseTo(r.Key)}
	}
	return claim.LookUp{Kind: claim.LookUpNotRun}
}

// serve runs a request at the service. It refuses a stale fencing number if the
// service checks them, and reports whether the request ran.
func (h *harness) serve(key string, fence uint64) bool {
	if h.template.ChecksFencing && fence < h.maxFence[key] {
		return false
	}
	h.maxFence[key] = fence
	h.runs[key]++
	return true
}

func (h *harness) claim(t interface{ Fatalf(string, ...any) }, manager *claim.Manager, key string) claim.Verdict {
	v := manager.Claim(ctx, h.request(key))
	switch {
	case v.Kind == claim.VerdictSend:
		h.tickets = append(h.tickets, &openTicket{manager: manager, key: key, ticket: v.Ticket})
	case v.Kind == claim.VerdictReplay:
		if h.runs[key] != 1 || string(v.Response.Body) != string(responseTo(key).Body) || v.Response.Status != 201 {
			t.Fatalf("replayed %q after %d runs", v.Response.Body, h.runs[key])
		}
	case v.Ran == claim.RanYes && h.runs[key] != 1:
		t.Fatalf("refusal has Ran Yes after %d runs", h.runs[key])
	case v.Ran == claim.RanNo && v.Reason == claim.ReasonInProgress:
		t.Fatalf("refusal %s has Ran No", v.Reason)
	}
	return v
}

// finish makes the holder of a ticket send the request, unless how is NotSent,
// and report the outcome, unless how is Crash.
func (h *harness) finish(o *openTicket, how string) {
	if how == "NotSent" {
		o.manager.NotSent(o.ticket)
		return
	}
	ran := h.serve(o.key, o.ticket.Fence)
	switch {
	case how == "Crash":
		h.unreported[o.key] = true
	case !ran:
		o.manager.Finish(o.ticket, claim.Response{Status: 409})
	case how == "Lost":
		o.manager.Unknown(o.ticket)
	default:
		o.manager.Finish(o.ticket, responseTo(o.key))
	}
}

var serviceKinds = map[string]claim.Request{
	"Plain":   {},
	"LookUp":  {HasLookUp: true},
	"Fencing": {HasLookUp: true, ChecksFencing: true},
}

// Hosts pause, are considered dead and resume, while the table loses, delays and
// refuses writes: no request runs twice and no verdict is wrong. Once the faults
// end, each key gets the verdict of a fault-free implementation.
func TestRandomFaultsMatchFaultFreeReference(t *testing.T) {
	for name, kind := range serviceKinds {
		t.Run(name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) { checkRandomFaults(t, kind) })
		})
	}
}

func checkRandomFaults(t *rapid.T, kind claim.Request) {
	faults := rapid.SampledFrom(append([]flaky.Fault{flaky.None, flaky.None, flaky.None}, flaky.AllFaults...))
	h := newHarness(kind, func() flaky.Fault { return faults.Draw(t, "fault") })
	keys := rapid.SampledFrom([]string{"a", "a", "a", "b"})
	h.faulty = true
	t.Repeat(map[string]func(*rapid.T){
		"Claim": func(t *rapid.T) {
			h.claim(t, h.managers[rapid.IntRange(0, 1).Draw(t, "desk")], keys.Draw(t, "key"))
		},
		"Act": func(t *rapid.T) {
			if len(h.tickets) == 0 {
				t.Skip("no open ticket")
			}
			i := rapid.IntRange(0, len(h.tickets)-1).Draw(t, "ticket")
			o := h.tickets[i]
			h.tickets = append(h.tickets[:i], h.tickets[i+1:]...)
			h.finish(o, rapid.SampledFrom([]string{"Answered", "Answered", "Lost", "NotSent", "Crash"}).Draw(t, "how"))
		},
		// The process keeps its state and may resume later, like a paused one.
		"TakeForDead": func(t *rapid.T) {
			i := rapid.IntRange(0, 1).Draw(t, "desk")
			h.dead[h.managers[i].Incarnation] = true
			h.managers[i] = h.newManager()
		},
		"Settle":  func(t *rapid.T) { h.managers[rapid.IntRange(0, 1).Draw(t, "desk")].SettleAll(ctx) },
		"Deliver": func(*rapid.T) { h.table.ApplyDelayed() },
		"Time":    func(*rapid.T) { h.time.Advance(500) },
		"": func(t *rapid.T) {
			for key, n := range h.runs {
				if n > 1 {
					t.Fatalf("%q ran %d times", key, n)
				}
			}
		},
	})
	h.faulty = false
	h.time.Advance(clock.Second)
	for _, o := range h.tickets {
		h.finish(o, "Answered")
	}
	for _, m := range h.managers {
		if left := m.SettleAll(ctx); left > 0 {
			t.Fatalf("%d claims remain unsettled", left)
		}
	}
	// A write that arrives after all claims are settled must have no effect.
	h.table.ApplyDelayed()
	for _, key := range []string{"a", "b"} {
		h.checkFinalVerdict(t, key)
	}
}

// checkFinalVerdict compares the verdict on a key with the reference.
func (h *harness) checkFinalVerdict(t *rapid.T, key string) {
	ran := h.runs[key] > 0
	v := h.claim(t, h.newManager(), key)
	switch {
	case v.Kind == claim.VerdictSend && ran:
		t.Fatalf("%q ran, but the verdict is Send", key)
	case v.Kind == claim.VerdictReplay && !ran:
		t.Fatalf("%q did not run, but the verdict is Replay", key)
	case v.Kind != claim.VerdictReplay && ran && h.template.HasLookUp &&
		len(h.dead) == 0 && !h.unreported[key]:
		t.Fatalf("%q ran, but its outcome was not found: %+v", key, v)
	case v.Kind != claim.VerdictSend && !ran && len(h.dead) == 0:
		t.Fatalf("%q did not run, but the verdict is not Send: %+v", key, v)
	}
}

// Without faults a request costs two writes and no read, and its replay costs one
// conflicting write and one read.
func TestVerdictsAndTableCalls(t *testing.T) {
	c := qt.New(t)
	h := newHarness(claim.Request{}, nil)
	v := h.claim(c, h.managers[0], "a")
	c.Assert(v.Kind, qt.Equals, claim.VerdictSend)
	c.Assert(h.claim(c, h.managers[1], "a").Ran, qt.Equals, claim.RanUnknown)
	before := h.table.Counts()
	h.finish(h.tickets[0], "Answered")
	c.Assert(h.claim(c, h.managers[0], "a").Kind, qt.Equals, claim.VerdictReplay)
	c.Assert(h.managers[0].SettleAll(ctx), qt.Equals, 0)
	c.Assert(h.table.Counts().Writes-before.Writes, qt.Equals, 1)
	c.Assert(h.table.Counts().Reads, qt.Equals, before.Reads)
	before = h.table.Counts()
	c.Assert(h.claim(c, h.managers[1], "a").Kind, qt.Equals, claim.VerdictReplay)
	c.Assert(h.table.Counts().Writes-before.Writes, qt.Equals, 1)
	c.Assert(h.table.Counts().Reads-before.Reads, qt.Equals, 1)

	other := h.request("a")
	other.Hash = claim.HashOf("POST", "/bookings", []byte("other"))
	v = h.managers[1].Claim(ctx, other)
	c.Assert(v.Reason, qt.Equals, claim.ReasonKeyReused)
	c.Assert(v.Ran, qt.Equals, claim.RanNo)

	v = h.claim(c, h.managers[0], "b")
	h.finish(&openTicket{manager: h.managers[0], key: "b", ticket: v.Ticket}, "NotSent")
	c.Assert(h.claim(c, h.managers[1], "b").Kind, qt.Equals, claim.VerdictSend)

	// Records and the object are removed once they have expired, and not before.
	removed, err := h.managers[0].RemoveExpired(ctx, 10)
	c.Assert(err, qt.IsNil)
	c.Assert(removed, qt.Equals, 0)
	h.time.Advance(25 * clock.Hour)
	for _, want := range []int{1, 1, 0} {
		removed, err = h.managers[0].RemoveExpired(ctx, 1)
		c.Assert(err, qt.IsNil)
		c.Assert(removed, qt.Equals, want)
	}
}

// After a few failed calls, claims are refused without calling the table.
func TestStoreOutageIsRefusedWithoutTableCalls(t *testing.T) {
	c := qt.New(t)
	h := newHarness(claim.Request{}, func() flaky.Fault { return flaky.Down })
	h.faulty = true
	for i := range 100 {
		v := h.claim(c, h.managers[0], fmt.Sprint(i))
		c.Assert(v.Reason, qt.Equals, claim.ReasonStoreDown)
		c.Assert(v.Ran, qt.Equals, claim.RanNo)
	}
	c.Assert(h.table.Counts().Writes, qt.Equals, 3)
	h.faulty = false
	h.time.Advance(clock.Second)
	c.Assert(h.claim(c, h.managers[0], "a").Kind, qt.Equals, claim.VerdictSend)
}

func TestPendingClaimsAndHeldBytesAreBounded(t *testing.T) {
	c := qt.New(t)
	h := newHarness(claim.Request{}, func() flaky.Fault { return flaky.Down })
	m := h.managers[0]
	m.MaxPending, m.MaxHeldBytes = 2, 50
	for _, key := range []string{"a", "b"} {
		c.Assert(h.claim(c, m, key).Kind, qt.Equals, claim.VerdictSend)
	}
	c.Assert(h.claim(c, m, "c").Reason, qt.Equals, claim.ReasonTooManyClaims)
	h.faulty = true
	h.finish(h.tickets[0], "Answered")
	h.finish(h.tickets[1], "Answered")
	c.Assert(h.claim(c, m, "a").Kind, qt.Equals, claim.VerdictReplay)
	v := h.claim(c, m, "b")
	c.Assert(v.Reason, qt.Equals, claim.ReasonAnswerNotKept)
	c.Assert(v.Ran, qt.Equals, claim.RanYes)
	h.faulty = false
	h.time.Advance(clock.Second)
	c.Assert(m.SettleAll(ctx), qt.Equals, 0)
	c.Assert(m.Pending(), qt.Equals, 0)
	c.Assert(h.claim(c, m, "c").Kind, qt.Equals, claim.VerdictSend)
}

// Many callers use the same keys through three hosts at once, which settle in the
// background: each key is sent once, and every host replays it afterwards.
func TestConcurrentCallersSendEachKeyOnce(t *testing.T) {
	c := qt.New(t)
	records := table.NewMemory()
	ctx, stop := context.WithCancel(ctx)
	var managers []*claim.Manager
	var running, callers sync.WaitGroup
	for i := range 3 {
		m := &claim.Manager{
			Table: records, Objects: object.NewMemory(), Clock: clock.System(), Host: fmt.Sprint("host-", i), Incarnation: 1,
			OwnerDead: func(string, uint64) bool { return false },
		}
		managers = append(managers, m)
		running.Go(func() { c.Check(m.Run(ctx), qt.IsNil) })
	}
	const keys = 50
	var sent [keys]atomic.Int64
	h := &harness{}
	for i := range 12 {
		callers.Go(func() {
			for k := range keys {
				m := managers[(i+k)%len(managers)]
				v := m.Claim(ctx, h.request(fmt.Sprint(k)))
				if v.Kind == claim.VerdictSend {
					sent[k].Add(1)
					m.Finish(v.Ticket, responseTo(fmt.Sprint(k)))
				}
			}
		})
	}
	callers.Wait()
	stop()
	running.Wait()
	for k := range keys {
		c.Assert(sent[k].Load(), qt.Equals, int64(1))
		c.Assert(managers[k%3].Claim(context.Background(), h.request(fmt.Sprint(k))).Kind, qt.Equals, claim.VerdictReplay)
	}
}

// BenchmarkPending measures, by response size, the memory of a claim whose outcome
// is not written yet, and the table traffic that settles it.
func BenchmarkPending(b *testing.B) {
	for _, size := range []int{0, 256, 1 << 10, 4 << 10, 8 << 10, 64 << 10} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			h := newHarness(claim.Request{}, nil)
			h.table.Store.Put = func(context.Context, table.Record, table.Condition) error { return nil }
			m := h.managers[0]
			m.InlineBytes, m.MaxPending, m.MaxHeldBytes = 0, b.N+1, 1<<40
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			for i := range b.N {
				v := m.Claim(ctx, h.request(fmt.Sprint(i)))
				m.Finish(v.Ticket, claim.Response{Status: 201, Body: make([]byte, size)})
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportMetric(float64(int64(after.HeapAlloc)-int64(before.HeapAlloc))/float64(b.N), "heapB/claim")
			m.SettleAll(ctx)
			b.ReportMetric(float64(h.table.Counts().Bytes)/float64(b.N), "tableB/claim")
			b.ReportMetric(float64(h.table.Counts().Writes)/float64(b.N), "writes/claim")
			b.ReportMetric(float64(h.table.Counts().Reads)/float64(b.N), "reads/claim")
		})
	}
}
