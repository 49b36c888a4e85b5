package broker

import (
	"context"
	"slices"
	"sync"

	"github.com/cockroachdb/errors"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/base/count"
	"siskinsaddle/internal/base/logs"
	"siskinsaddle/internal/base/meter"
	"siskinsaddle/internal/policy/fleet"
	"siskinsaddle/internal/policy/grant"
	"siskinsaddle/internal/policy/place"
	"siskinsaddle/internal/share/guard"
)

const (
	// decidePeriod is the time between decision rounds while requests wait, in
	// milliseconds, since the pending prefill of the servers shrinks over time.
	decidePeriod = 10 * clock.Millis(1)
	// maxEagerWaiting is the largest number of waiting requests up to which each event
	// triggers a decision round; with more, pace batches the events. A round takes
	// some 1 us for each waiting request with 60 servers, and a request has three
	// events.
	maxEagerWaiting = 4
	// maxSuspension is the gap without any message or tick above which the host counts
	// as having been suspended, in milliseconds. The waiting requests have then been
	// sent to another keeper.
	maxSuspension = 700 * clock.Millis(1)
)

// ReasonQuarantined is the reason of a decision that refuses a prompt for one of its
// segments.
const ReasonQuarantined = "Quarantined"

// errReset ends the requests that wait at a keeper whose host was suspended.
var errReset = errors.New("the keeper's host was suspended and the request dropped")

// poolKeeper decides the grant requests of one pool while this host is its keeper.
type poolKeeper struct {
	pool     pool
	settings grant.Settings
	clock    clock.Clock
	log      *logs.Limited
	count    *count.Set
	label    count.Label

	mu      sync.Mutex
	core    *grant.Core
	servers []fleet.Server
	waiting map[string]chan grant.Decision
	// ticking is set while a goroutine runs tick.
	ticking bool
	// pace and awakeAt hold readings of the boot-time clock: those of the last round and
	// of the last call of decide.
	pace    pace
	awakeAt clock.Millis
	// querySegments queries the segments that a server has cached. queried has the
	// servers that were queried, by ID and address.
	querySegments func(ctx context.Context, s fleet.Server) ([]place.Segment, error)
	queried       map[string]bool
	// queries is Broker.segmentQueries.
	queries chan struct{}
	guard   *guard.Guard
	// others are the other hosts that decide for this pool, by when they last said so;
	// announce tells hosts that this one does. grantedAt is when it last granted a server with a
	// rate limit, and toldAt when it last told the others.
	others    map[string]clock.Millis
	announce  func()
	grantedAt clock.Millis
	toldAt    clock.Millis
	// used is set at the first request. Servers are not queried before it.
	used bool
}

func newPoolKeeper(p pool, b *Broker) *poolKeeper {
	return &poolKeeper{
		pool:          p,
		settings:      b.Settings,
		clock:         b.Clock,
		log:           b.Log.With("service", p),
		count:         b.Count,
		label:         meter.Label("pool", p.String()),
		core:          grant.New(b.Settings),
		waiting:       map[string]chan grant.Decision{},
		querySegments: b.CachedSegments,
		queries:       b.segmentQueries,
		guard:         b.Guard,
		others:        map[string]clock.Millis{},
		announce:      func() { b.announce(p) },
		queried:       map[string]bool{},
	}
}

// queryCached queries the cached segments of each server once. Without it, a keeper that
// takes over, or that starts together with all other hosts, would have them prefilled
// again. The caller holds the lock.
func (k *poolKeeper) queryCached() {
	if k.querySegments == nil || !k.used {
		return
	}
	for _, s := range k.servers {
		if key := queryKey(s); !k.queried[key] && !s.Leaving {
			k.queried[key] = true
			go k.loadCached(s)
		}
	}
}

func queryKey(s fleet.Server) string { return s.ID + "@" + s.Address }

func (k *poolKeeper) loadCached(s fleet.Server) {
	k.queries <- struct{}{}
	segments, err := k.querySegments(context.Background(), s)
	<-k.queries
	if err != nil {
		k.log.Warn("Querying a server's cached segments failed.", "server", s.ID, "err", err)
		return
	}
	k.log.Info("A server reported its cached segments.", "server", s.ID, "parts", len(segments))
	k.mu.Lock()
	defer k.mu.Unlock()
	k.core.AddCached(k.clock.Now(), []grant.CachedSegments{{Server: s.ID, Segments: segments}})
	k.decide()
}

func (k *poolKeeper) setServers(all []fleet.Server, split grant.Split) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.servers = nil
	queried := map[string]bool{}
	for _, s := range all {
		if split.Has(k.pool.index, s.ID) {
			k.servers = append(k.servers, s)
			queried[queryKey(s)] = k.queried[queryKey(s)]
		}
	}
	// A server that left the pool and comes back is queried again.
	k.queried = queried
	k.core.SetServers(k.servers)
	k.queryCached()
	k.decide()
}

// request decides a grant request. Prompts with a quarantined segment are refused, also
// if the quarantine began while they waited.
func (k *poolKeeper) request(ctx context.Context, req grant.Request) (grant.Decision, error) {
	if d, ok := k.quarantined(req); ok {
		return d, nil
	}
	d, err := k.enqueue(ctx, req)
	if err != nil || d.Server == "" || k.guard == nil {
		return d, err
	}
	if refusal, ok := k.quarantined(req); ok {
		k.handleEvent(eventMessage{ID: req.ID, Kind: eventEnded, Outcome: place.OutcomeCancelled})
		return refusal, nil
	}
	k.watchRequest(req, d.Server)
	return d, nil
}

// quarantined returns the refusal of a prompt with a quarantined segment.
func (k *poolKeeper) quarantined(req grant.Request) (grant.Decision, bool) {
	if k.guard == nil {
		return grant.Decision{}, false
	}
	segment, left := k.guard.Quarantined(k.pool.service, req.Segments)
	if segment == "" {
		return grant.Decision{}, false
	}
	return grant.Decision{ID: req.ID, Host: req.Host, Reason: ReasonQuarantined, RetryAfter: left}, true
}

// watchRequest passes a granted request to the guard.
func (k *poolKeeper) watchRequest(req grant.Request, server string) {
	k.mu.Lock()
	i := slices.IndexFunc(k.servers, func(s fleet.Server) bool { return s.ID == server })
	found := fleet.Server{ID: server}
	if i >= 0 {
		found = k.servers[i]
	}
	k.mu.Unlock()
	k.guard.Granted(k.pool.service, req.ID, found, req.Segments, req.TimeLeft)
}

// enqueue enqueues a grant request and waits for the decision.
func (k *poolKeeper) enqueue(ctx context.Context, req grant.Request) (grant.Decision, error) {
	decided := make(chan grant.Decision, 1)
	k.mu.Lock()
	k.waiting[req.ID] = decided
	if !k.used && !req.Plain {
		k.used = true
		k.queryCached()
	}
	k.core.Enqueue(k.clock.Now(), req)
	k.decide()
	k.mu.Unlock()
	select {
	case got, ok := <-decided:
		if !ok {
			return grant.Decision{}, errReset
		}
		return got, nil
	case <-ctx.Done():
		k.mu.Lock()
		defer k.mu.Unlock()
		delete(k.waiting, req.ID)
		k.core.Cancel(k.clock.Now(), req.ID)
		k.decide()
		return grant.Decision{}, ctx.Err()
	}
}

func (k *poolKeeper) handleEvent(e eventMessage) {
	if k.guard != nil {
		if e.Kind == eventStarted {
			k.guard.Started(k.pool.service, e.ID)
		} else {
			k.guard.Ended(k.pool.service, e.ID, e.Outcome)
		}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.clock.Now()
	switch {
	case e.Kind == eventStarted:
		k.core.FirstEvent(now, e.ID)
	case e.Outcome == place.OutcomeCancelled:
		delete(k.waiting, e.ID)
		k.core.Cancel(now, e.ID)
	default:
		k.core.Ended(now, e.ID, e.Outcome)
	}
	k.decide()
}

// setLimit sets the rate that a server of the pool has named.
func (k *poolKeeper) setLimit(l grant.Limit) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.core.SetLimit(k.clock.Now(), l)
	k.decide()
}

// holdOff records that a server wants no requests from a host for a time.
func (k *poolKeeper) holdOff(host string, m holdOffMessage) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.core.SetHoldOff(k.clock.Now(), grant.HoldOff{Server: m.Server, Born: m.Born, Host: host, Left: m.Left})
	k.decide()
}

func (k *poolKeeper) handleReport(m reportMessage) {
	for _, r := range m.Running {
		if k.guard == nil {
			break
		}
		r.Request.TimeLeft = r.TimeLeft
		k.watchRequest(r.Request, r.Server)
		if r.Started {
			k.guard.Started(k.pool.service, r.Request.ID)
		}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.clock.Now()
	k.core.AddCached(now, m.Cached)
	for _, r := range m.Running {
		r.Request.TimeLeft = r.TimeLeft
		k.core.AddRunning(now, r.Request, r.Server, r.Started)
	}
	k.decide()
}

// decide runs a decision round and delivers the decisions. While more than
// maxEagerWaiting requests wait and no round is due, it leaves the round to tick. The
// caller holds the lock.
func (k *poolKeeper) decide() {
	now := k.clock.Boot()
	if k.ticking && now-k.awakeAt > maxSuspension {
		k.reset(now - k.awakeAt)
	}
	k.awakeAt = now
	if k.ticking && k.core.Waiting() > maxEagerWaiting && !k.pace.due(now) {
		return
	}
	waiting := k.core.Waiting()
	for _, h := range k.core.TakeChanges() {
		k.log.Info("A server's health changed.",
			"server", h.Server, "change", string(h.Change), "outcome", string(h.Outcome), "id", h.ID)
	}
	k.countKeepers(now)
	for _, got := range k.core.Next(k.clock.Now()) {
		k.grantedLimited(now, got)
		if decided, ok := k.waiting[got.ID]; ok {
			delete(k.waiting, got.ID)
			decided <- got
		}
	}
	k.awakeAt = k.clock.Boot()
	k.pace = pace{beganAt: now, endedAt: k.awakeAt}
	k.recordRound(k.awakeAt-now, waiting)
	if k.core.Waiting() > 0 && !k.ticking {
		k.ticking = true
		go k.tick()
	}
}

// recordRound updates the metrics after a round of decisions on waiting requests.
func (k *poolKeeper) recordRound(took clock.Millis, waiting int) {
	k.count.Set(meter.WaitingRequests, int64(k.core.Waiting()), k.label)
	if waiting == 0 {
		return
	}
	k.count.Observe(meter.RoundTime, int64(took), k.label)
	if took > decidePeriod {
		k.log.Warn("A decision round took longer than the time between two rounds.",
			"took", took, "waiting", waiting)
	}
}

// reset discards all requests after a suspension of the host: granted ones may have
// ended, and waiting ones were sent to another keeper. The hosts report their running
// requests again. The caller holds the lock.
func (k *poolKeeper) reset(gap clock.Millis) {
	k.log.Warn("The keeper's host was suspended; its requests are discarded.", "gap", gap, "waiting", len(k.waiting))
	for id, decided := range k.waiting {
		close(decided)
		delete(k.waiting, id)
	}
	k.others = map[string]clock.Millis{}
	cached, limits := k.core.CachedSegments(), k.core.Limits(k.clock.Now())
	k.core = grant.New(k.settings)
	k.core.SetServers(k.servers)
	for _, l := range limits {
		k.core.SetLimit(k.clock.Now(), l)
	}
	k.core.AddCached(k.clock.Now(), cached)
}

// tick runs decision rounds periodically while requests wait.
func (k *poolKeeper) tick() {
	for {
		<-k.clock.After(decidePeriod)
		k.mu.Lock()
		k.decide()
		if k.core.Waiting() == 0 {
			k.ticking = false
			k.mu.Unlock()
			return
		}
		k.mu.Unlock()
	}
}
