package accept

import (
	"context"
	"slices"
	"sync"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"github.com/panjf2000/ants/v2"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/base/count"
)

const (
	// hostsPerPoller is how many hosts of a domain share one host that polls
	// the platform.
	hostsPerPoller = 8
	pollEvery      = 500 * clock.Millis(1)
	pollOpenEvery  = 250 * clock.Millis(1)
	// pollIdleEvery is how often the other hosts read the platform themselves.
	pollIdleEvery = 5 * clock.Second
	// staleAfter is the age of knowledge at which a host verifies it itself.
	staleAfter  = 1200 * clock.Millis(1)
	checkEvery  = 400 * clock.Millis(1)
	callWait    = 700 * clock.Millis(1)
	rosterEvery = 10 * clock.Second
	helloEvery  = clock.Second
	tickEvery   = 50 * clock.Millis(1)
	warnEvery   = clock.Minute
	// spareChecks is how many peers beyond a majority are asked at first.
	spareChecks = 2
)

// Watch keeps a Holder's knowledge current, by the platform and by peers.
type Watch struct {
	Holder   *Holder
	Platform Platform
	Peers    Peers
	Log      *log.Logger
	Counters *count.Set

	mu        sync.Mutex
	polledAt  clock.Millis
	checkedAt clock.Millis
	rosterAt  clock.Millis
	helloAt   clock.Millis
	askAll    bool
	hinted    bool
	begun     bool
	// warned is when the last failure of each kind was logged.
	warned map[string]clock.Millis
}

// Run takes the steps until the context ends. Each kind of step has its own
// loop, so that one silent party delays no other.
func (w *Watch) Run(ctx context.Context) {
	var loops sync.WaitGroup
	for _, step := range []func(context.Context){w.StepBeat, w.StepPlatform, w.StepPeers, w.StepRoster, w.StepBodies} {
		loops.Go(func() { loop(ctx, w.Platform.Clock, step) })
	}
	loops.Wait()
}

// Concurrent is Peers.Each on a pool. The pool should have a worker for each
// host of the domain, since every one of them may wait for a silent peer.
func Concurrent(pool *ants.Pool) func(n int, f func(i int)) {
	return func(n int, f func(i int)) {
		var all sync.WaitGroup
		for i := range n {
			all.Add(1)
			work := func() {
				defer all.Done()
				f(i)
			}
			if pool.Submit(work) != nil {
				work() // the pool is closed or full
			}
		}
		all.Wait()
	}
}

func loop(ctx context.Context, c clock.Clock, step func(context.Context)) {
	for ctx.Err() == nil {
		step(ctx)
		select {
		case <-ctx.Done():
		case <-c.Pulse(tickEvery):
		}
	}
}

// StepBeat marks that this process runs, by which a pause shows.
func (w *Watch) StepBeat(context.Context) {
	w.Holder.beat()
}

// Hint makes the host verify what it knows at once, when a heartbeat told of
// a number that it does not know.
func (w *Watch) Hint(number int64) {
	k := w.Holder.Knowledge()
	if number <= max(k.Closed, k.Staged.Number) {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.hinted = true
}

// due tells whether a period is over, and begins the next.
func (w *Watch) due(last *clock.Millis, now, every clock.Millis) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.begun {
		w.polledAt, w.checkedAt, w.rosterAt, w.helloAt = never, never, never, never
		w.begun = true
	}
	if now-*last < every {
		return false
	}
	*last = now
	return true
}

// rank returns this host's place in the order of its domain, and the order.
func (w *Watch) rank() (place int, order []string) {
	h := w.Holder
	h.mu.Lock()
	defer h.mu.Unlock()
	order = h.roster.ranked(h.Host, h.Domain)
	return slices.Index(order, h.Host), order
}

func pollers(hosts int) int {
	return (hosts + hostsPerPoller - 1) / hostsPerPoller
}

// pollPeriod is how often a host reads the platform's record.
func pollPeriod(k Knowledge, now clock.Millis, poller, hinted bool) clock.Millis {
	_, undecided := k.Undecided()
	stale := now-k.VerifiedAt > staleAfter
	switch {
	case hinted, undecided && (poller || stale):
		return pollOpenEvery
	case poller, stale:
		return pollEvery
	default:
		return pollIdleEvery
	}
}

// StepPlatform reads the platform's record when it is due.
func (w *Watch) StepPlatform(ctx context.Context) {
	h := w.Holder
	now := h.now()
	place, order := w.rank()
	w.mu.Lock()
	hinted := w.hinted
	w.mu.Unlock()
	if !w.due(&w.polledAt, now, pollPeriod(h.Knowledge(), now, place < pollers(len(order)), hinted)) {
		return
	}
	r, err := w.Platform.Read(ctx)
	if err != nil {
		w.failed("platform", err)
		return
	}
	w.mu.Lock()
	w.hinted = false
	w.mu.Unlock()
	h.Learn(r.sighting(now))
	w.Counters.Add("siskinsaddle_manifest_verified_total", 1, count.Label{Key: "by", Value: "platform"})
}

// failed counts a failure. Of one kind of failure it logs one in each
// warnEvery, since in an outage every poll fails.
func (w *Watch) failed(what string, err error) {
	w.Counters.Add("siskinsaddle_manifest_failed_total", 1, count.Label{Key: "what", Value: what})
	if w.warns(what, w.Holder.now()) {
		w.Log.Warn("Verifying the manifest failed.", "at", what, "error", err)
	}
}

func (w *Watch) warns(what string, now clock.Millis) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	last, ok := w.warned[what]
	if ok && now-last < warnEvery {
		return false
	}
	if w.warned == nil {
		w.warned = map[string]clock.Millis{}
	}
	w.warned[what] = now
	return true
}

// whomToCheck returns the peers to ask. A host whose poller keeps it current
// asks that one alone; a stale host asks more than half of its domain, and all
// of it if that did not do.
//
// For example, of 10 hosts in order, the first two are pollers, and the host
// at place 5 asks the one at place 1.
func whomToCheck(place int, order []string, stale, askAll bool) []string {
	others := slices.Delete(slices.Clone(order), place, place+1)
	n := pollers(len(order))
	switch {
	case len(others) == 0, !stale && place < n:
		return nil
	case !stale:
		return []string{order[place%n]}
	case askAll:
		return others
	default:
		return others[:min(len(others), majority(len(order))-1+spareChecks)]
	}
}

// StepPeers asks peers for what they know when it is due.
func (w *Watch) StepPeers(ctx context.Context) {
	h := w.Holder
	now := h.now()
	if !w.due(&w.checkedAt, now, checkEvery) {
		return
	}
	place, order := w.rank()
	stale := now-h.Knowledge().VerifiedAt > staleAfter
	names := whomToCheck(place, order, stale, w.askAll)
	if stale {
		names = append(names, w.Peers.Far()...)
	}
	w.Peers.Each(len(names), func(i int) { w.check(ctx, names[i]) })
	h.Verify()
	w.askAll = stale && now-h.Knowledge().VerifiedAt > staleAfter
}

func (w *Watch) check(ctx context.Context, name string) {
	h := w.Holder
	k := h.Knowledge()
	asked := h.now()
	var reply CheckReply
	request := CheckRequest{From: h.Host, Accepted: k.Accepted.Number, Staged: k.Staged.Number}
	if err := w.call(ctx, name, KindCheck, request, &reply); err != nil {
		w.Counters.Add("siskinsaddle_manifest_failed_total", 1, count.Label{Key: "what", Value: "peer"})
		if at, ok := w.Peers.PathSeen(name); ok {
			h.PathSeen(name, at)
		}
		return
	}
	h.Checked(name, asked, reply)
	w.Counters.Add("siskinsaddle_manifest_verified_total", 1, count.Label{Key: "by", Value: "peer"})
}

func (w *Watch) call(ctx context.Context, host, kind string, request, reply any) error {
	ctx, cancel := within(ctx, w.Platform.Clock, callWait)
	defer cancel()
	return w.Peers.Call(ctx, host, kind, request, reply)
}

// StepRoster reads the registrations and says hello to the peers that have not
// been met, when it is due.
func (w *Watch) StepRoster(ctx context.Context) {
	h := w.Holder
	if now := h.now(); w.Peers.Registered() && w.due(&w.rosterAt, now, rosterEvery) {
		names, err := w.Peers.Registrations(ctx, h.Domain)
		if err != nil {
			w.failed("registrations", err)
			w.mu.Lock()
			w.rosterAt = now - rosterEvery + helloEvery
			w.mu.Unlock()
		} else {
			h.mu.Lock()
			h.roster.list(names, h.Host, now)
			h.mu.Unlock()
		}
	}
	if w.due(&w.helloAt, h.now(), helloEvery) {
		h.mu.Lock()
		w.addNear()
		unmet := h.roster.unmet()
		h.mu.Unlock()
		w.Peers.Each(len(unmet), func(i int) { w.hello(ctx, unmet[i]) })
	}
}

// addNear takes peers from membership while the registrations can not be read,
// so that a host that starts during an outage can ask somebody.
func (w *Watch) addNear() {
	r := w.Holder.roster
	if r.listed || w.Peers.Near == nil {
		return
	}
	for _, name := range w.Peers.Near() {
		if name != w.Holder.Host {
			r.add(name)
		}
	}
}

func (w *Watch) hello(ctx context.Context, name string) {
	var reply HelloReply
	err := w.call(ctx, name, KindHello, HelloRequest{From: w.Holder.Host}, &reply)
	if err != nil || !reply.Known {
		return
	}
	w.Holder.mu.Lock()
	defer w.Holder.mu.Unlock()
	if p, ok := w.Holder.roster.peers[name]; ok {
		p.met = true
	}
}

// Leave ends serving and tells the peers, so that they no longer count on this
// host. It is called when everything in progress has finished.
func (w *Watch) Leave(ctx context.Context) {
	w.Holder.Close()
	_, order := w.rank()
	w.Peers.Each(len(order), func(i int) {
		if order[i] != w.Holder.Host {
			_ = w.call(ctx, order[i], KindHello, HelloRequest{From: w.Holder.Host, Leaving: true}, &HelloReply{})
		}
	})
}

// StepBodies fetches the bodies that are wanted, from the object store or else
// from a peer.
func (w *Watch) StepBodies(ctx context.Context) {
	for _, ref := range w.Holder.Wanted() {
		packed, err := w.Platform.fetch(ctx, ref)
		if err != nil {
			w.failed("objects", err)
			packed, err = w.fetchFromPeers(ctx, ref)
		}
		if err == nil {
			err = w.Holder.Keep(ref, packed)
		}
		if err != nil {
			w.failed("body", err)
		}
	}
}

func (w *Watch) fetchFromPeers(ctx context.Context, ref Ref) ([]byte, error) {
	_, order := w.rank()
	for _, name := range slices.Concat(order, w.Peers.Far()) {
		var reply BodyReply
		if name == w.Holder.Host || w.call(ctx, name, KindBody, BodyRequest{Object: ref.Object}, &reply) != nil {
			continue
		}
		if len(reply.Packed) > 0 {
			return reply.Packed, nil
		}
	}
	return nil, errors.Newf("no peer holds manifest body %s", ref.Object)
}
