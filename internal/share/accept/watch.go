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
	hostsPerPoller        = 8
	pollInterval          = 500 * clock.Millis(1)
	undecidedPollInterval = 250 * clock.Millis(1)
	// idlePollInterval is how often the other hosts read the platform themselves.
	idlePollInterval = 5 * clock.Second
	// staleAfter is the age of its knowledge above which a host reads the platform
	// and asks peers itself.
	staleAfter     = 1200 * clock.Millis(1)
	checkInterval  = 400 * clock.Millis(1)
	callTimeout    = 700 * clock.Millis(1)
	rosterInterval = 10 * clock.Second
	helloInterval  = clock.Second
	stepInterval   = 50 * clock.Millis(1)
	warnInterval   = clock.Minute
	// extraChecks is the number of peers asked first in addition to a majority.
	extraChecks = 2
)

// Watcher keeps a Holder's knowledge current from the platform and from peers.
type Watcher struct {
	Holder   *Holder
	Platform Platform
	Peers    Peers
	Log      *log.Logger
	Counters *count.Set

	mu          sync.Mutex
	polledAt    clock.Millis
	checkedAt   clock.Millis
	rosterAt    clock.Millis
	helloAt     clock.Millis
	askAll      bool
	hinted      bool
	initialized bool
	// warnedAt is when the last failure of each kind was logged.
	warnedAt map[string]clock.Millis
}

// Run repeats the steps until the context ends. Each kind of step has its own
// loop, so that an unresponsive peer or platform does not delay the others.
func (w *Watcher) Run(ctx context.Context) {
	var loops sync.WaitGroup
	for _, step := range []func(context.Context){w.StepTick, w.StepPlatform, w.StepPeers, w.StepRoster, w.StepBodies} {
		loops.Go(func() { loop(ctx, w.Platform.Clock, step) })
	}
	loops.Wait()
}

// Concurrent returns a Peers.ForEachConcurrently that runs on a pool. The pool
// should have a worker for each host of the domain, since every one of them may
// wait for a silent peer.
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
		case <-c.AfterTick(stepInterval):
		}
	}
}

// StepTick records that this process is running, so that pauses are detected.
func (w *Watcher) StepTick(context.Context) {
	w.Holder.tick()
}

// HintGeneration makes the host poll the platform soon if number, taken from a
// heartbeat, is a generation that it does not know.
func (w *Watcher) HintGeneration(number int64) {
	k := w.Holder.Knowledge()
	if number <= max(k.Closed, k.Staged.Number) {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.hinted = true
}

// due reports whether the interval has passed, and if so starts the next one.
func (w *Watcher) due(last *clock.Millis, now, interval clock.Millis) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.initialized {
		w.polledAt, w.checkedAt, w.rosterAt, w.helloAt = never, never, never, never
		w.initialized = true
	}
	if now-*last < interval {
		return false
	}
	*last = now
	return true
}

// rank returns this host's position in the rendezvous order of its domain, and the
// order.
func (w *Watcher) rank() (position int, order []string) {
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
		return undecidedPollInterval
	case poller, stale:
		return pollInterval
	default:
		return idlePollInterval
	}
}

// StepPlatform reads the platform's record when it is due.
func (w *Watcher) StepPlatform(ctx context.Context) {
	h := w.Holder
	now := h.now()
	position, order := w.rank()
	w.mu.Lock()
	hinted := w.hinted
	w.mu.Unlock()
	if !w.due(&w.polledAt, now, pollPeriod(h.Knowledge(), now, position < pollers(len(order)), hinted)) {
		return
	}
	r, err := w.Platform.Read(ctx)
	if err != nil {
		w.recordStepFailure("platform", err)
		return
	}
	w.mu.Lock()
	w.hinted = false
	w.mu.Unlock()
	h.Learn(r.observation(now))
	w.Counters.Add("siskinsaddle_manifest_verified_total", 1, count.Label{Key: "by", Value: "platform"})
}

// recordStepFailure counts a failure. It logs at most one failure of each kind per
// warnInterval, since in an outage every poll fails.
func (w *Watcher) recordStepFailure(what string, err error) {
	w.Counters.Add("siskinsaddle_manifest_failed_total", 1, count.Label{Key: "what", Value: what})
	if w.shouldWarn(what, w.Holder.now()) {
		w.Log.Warn("A step of the manifest protocol failed.", "at", what, "error", err)
	}
}

func (w *Watcher) shouldWarn(what string, now clock.Millis) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	last, ok := w.warnedAt[what]
	if ok && now-last < warnInterval {
		return false
	}
	if w.warnedAt == nil {
		w.warnedAt = map[string]clock.Millis{}
	}
	w.warnedAt[what] = now
	return true
}

// peersToCheck returns the peers to ask. A host whose knowledge is no older than
// staleAfter asks only its poller, or none if it is a poller itself. A stale host
// asks more than half of its domain, and the whole domain if that did not suffice.
//
// For example, of 10 hosts in order, the first two are pollers, and the host
// at position 5 asks the one at position 1.
func peersToCheck(position int, order []string, stale, askAll bool) []string {
	others := slices.Delete(slices.Clone(order), position, position+1)
	n := pollers(len(order))
	switch {
	case len(others) == 0, !stale && position < n:
		return nil
	case !stale:
		return []string{order[position%n]}
	case askAll:
		return others
	default:
		return others[:min(len(others), majority(len(order))-1+extraChecks)]
	}
}

// StepPeers asks peers for their knowledge of the record when it is due.
func (w *Watcher) StepPeers(ctx context.Context) {
	h := w.Holder
	now := h.now()
	if !w.due(&w.checkedAt, now, checkInterval) {
		return
	}
	position, order := w.rank()
	stale := now-h.Knowledge().VerifiedAt > staleAfter
	names := peersToCheck(position, order, stale, w.askAll)
	if stale {
		names = append(names, w.Peers.OtherDomains()...)
	}
	w.Peers.ForEachConcurrently(len(names), func(i int) { w.check(ctx, names[i]) })
	h.Verify()
	w.askAll = stale && now-h.Knowledge().VerifiedAt > staleAfter
}

func (w *Watcher) check(ctx context.Context, name string) {
	h := w.Holder
	k := h.Knowledge()
	sentAt := h.now()
	var reply CheckReply
	request := CheckRequest{From: h.Host, Accepted: k.Accepted.Number, Staged: k.Staged.Number}
	if err := w.call(ctx, name, KindCheck, request, &reply); err != nil {
		w.Counters.Add("siskinsaddle_manifest_failed_total", 1, count.Label{Key: "what", Value: "peer"})
		if at, ok := w.Peers.PathSeen(name); ok {
			h.PathSeen(name, at)
		}
		return
	}
	h.HandleCheckReply(name, sentAt, reply)
	w.Counters.Add("siskinsaddle_manifest_verified_total", 1, count.Label{Key: "by", Value: "peer"})
}

func (w *Watcher) call(ctx context.Context, host, kind string, request, reply any) error {
	ctx, cancel := withTimeout(ctx, w.Platform.Clock, callTimeout)
	defer cancel()
	return w.Peers.Call(ctx, host, kind, request, reply)
}

// StepRoster reads the registrations and sends a hello to the peers that have not
// exchanged one, when it is due.
func (w *Watcher) StepRoster(ctx context.Context) {
	h := w.Holder
	if now := h.now(); w.Peers.Registered() && w.due(&w.rosterAt, now, rosterInterval) {
		names, err := w.Peers.Registrations(ctx, h.Domain)
		if err != nil {
			w.recordStepFailure("registrations", err)
			w.mu.Lock()
			w.rosterAt = now - rosterInterval + helloInterval
			w.mu.Unlock()
		} else {
			h.mu.Lock()
			h.roster.setRegistrations(names, h.Host, now)
			h.mu.Unlock()
		}
	}
	if w.due(&w.helloAt, h.now(), helloInterval) {
		h.mu.Lock()
		w.addSameDomainPeers()
		withoutHello := h.roster.withoutHello()
		h.mu.Unlock()
		w.Peers.ForEachConcurrently(len(withoutHello), func(i int) { w.hello(ctx, withoutHello[i]) })
	}
}

// addSameDomainPeers adds the hosts from Peers.SameDomain until the registrations
// have been read, so that a host that starts during an outage has peers to ask.
func (w *Watcher) addSameDomainPeers() {
	r := w.Holder.roster
	if r.loaded || w.Peers.SameDomain == nil {
		return
	}
	for _, name := range w.Peers.SameDomain() {
		if name != w.Holder.Host {
			r.add(name)
		}
	}
}

func (w *Watcher) hello(ctx context.Context, name string) {
	var reply HelloReply
	err := w.call(ctx, name, KindHello, HelloRequest{From: w.Holder.Host}, &reply)
	if err != nil || !reply.Known {
		return
	}
	w.Holder.mu.Lock()
	defer w.Holder.mu.Unlock()
	if p, ok := w.Holder.roster.peers[name]; ok {
		p.knowsThisHost = true
	}
}

// Leave stops serving and tells the peers, so that they remove this host from
// their rosters. It is called when all requests in progress have finished.
func (w *Watcher) Leave(ctx context.Context) {
	w.Holder.Close()
	_, order := w.rank()
	w.Peers.ForEachConcurrently(len(order), func(i int) {
		if order[i] != w.Holder.Host {
			_ = w.call(ctx, order[i], KindHello, HelloRequest{From: w.Holder.Host, Leaving: true}, &HelloReply{})
		}
	})
}

// StepBodies fetches the missing bodies from the object store, or from a peer if
// that fails.
func (w *Watcher) StepBodies(ctx context.Context) {
	for _, ref := range w.Holder.MissingBodies() {
		packed, err := w.Platform.fetchBody(ctx, ref)
		if err != nil {
			w.recordStepFailure("objects", err)
			packed, err = w.fetchFromPeers(ctx, ref)
		}
		if err == nil {
			err = w.Holder.AddBody(ref, packed)
		}
		if err != nil {
			w.recordStepFailure("body", err)
		}
	}
}

func (w *Watcher) fetchFromPeers(ctx context.Context, ref Ref) ([]byte, error) {
	_, order := w.rank()
	for _, name := range slices.Concat(order, w.Peers.OtherDomains()) {
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
