package grant

import (
	"math"
	"slices"
	"sort"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/policy/place"
)

// class holds the moving averages over the requests of one class, that is, of one
// route.
type class struct {
	// meanTokens is the mean prompt length, with more weight on recent requests.
	// prefillWork is the sum of prefill times in milliseconds, which decays with
	// workDecayTime.
	meanTokens  float64
	count       int
	prefillWork float64
	updatedAt   clock.Millis
}

const (
	// minMeanWeight is the minimum weight of a new request in the mean length.
	minMeanWeight = 0.05
	// workDecayTime is the time constant of the decay of prefill work, in
	// milliseconds.
	workDecayTime = 5_000.0
)

func (c *Core) class(name string) *class {
	if c.classes[name] == nil {
		c.classes[name] = &class{}
	}
	return c.classes[name]
}

// observe adds a request to the mean length.
func (k *class) observe(r Request) {
	k.count++
	weight := max(minMeanWeight, 1/float64(k.count))
	k.meanTokens += weight * (float64(r.Tokens) - k.meanTokens)
}

func (k *class) decay(now clock.Millis) {
	k.prefillWork *= math.Exp(-float64(now-k.updatedAt) / workDecayTime)
	k.updatedAt = now
}

// addWork adds the prefill time of a granted request, in milliseconds.
func (k *class) addWork(now clock.Millis, prefill float64) {
	k.decay(now)
	k.prefillWork += prefill
}

func (c *Core) short(k *class) bool { return k.meanTokens < c.settings.ShortTokens }

// The prefill work that is assumed beforehand when servers are divided, in
// milliseconds, and the share of it for short prompts. They reserve servers before
// any work was seen, because answers to short prompts that start before the first
// long prompt are still running when it arrives.
const (
	priorWork       = 5_000.0
	priorShortShare = 0.07
)

// shortServers returns how many of n servers are reserved for short classes.
func (c *Core) shortServers(now clock.Millis, n int) int {
	short, long := priorWork*priorShortShare, priorWork*(1-priorShortShare)
	for _, k := range c.classes {
		k.decay(now)
		if c.short(k) {
			short += k.prefillWork
		} else {
			long += k.prefillWork
		}
	}
	if n < 2 {
		return 0
	}
	short *= c.settings.ShortWeight
	return min(max(int(float64(n)*short/(short+long)+0.5), 1), n-1)
}

// Next grants or refuses the waiting requests. Requests for which no server is ready
// stay in the queue, up to MaxWaiting of them: the queue has a bound so that the time
// for a round has one, and it refuses the least urgent requests rather than the latest.
func (c *Core) Next(now clock.Millis) []Decision {
	var decisions []Decision
	c.expireGrants(now)
	if len(c.queue) == 0 {
		return decisions
	}
	c.sortQueue(now)
	usable := c.usable(now)
	shortCount := c.shortServers(now, len(usable))
	remaining := c.queue[:0]
	limited := slices.ContainsFunc(c.rankedServers, func(s *server) bool { return s.bucket != nil })
	for _, s := range usable {
		s.plannedPrefill, s.plannedRequests = 0, 0
		s.updateStartDelay(now)
	}
	// queuedPrefill is indexed by kind of class: 0 for long, 1 for short.
	var queuedPrefill [2]float64
	for _, q := range c.queue {
		kind := 0
		if c.short(c.class(q.Class)) {
			kind = 1
		}
		ahead := queuedPrefill[kind] / float64(reservedServers(len(usable), shortCount, kind))
		d, ok := Decision{Reason: "QueueFull", RetryAfter: clock.Millis(ahead)}, true
		if len(remaining) < c.settings.MaxWaiting {
			d, ok = c.decide(now, q, usable, shortCount, ahead)
		}
		if !ok {
			remaining = append(remaining, q)
			queuedPrefill[kind] += c.minPrefill(q)
			continue
		}
		c.releaseSegments(q.prefix)
		d.ID, d.Host, d.Waited, d.Limited = q.ID, q.Host, now-q.queuedAt, limited
		decisions = append(decisions, d)
	}
	c.queue = remaining
	return decisions
}

// reservedServers returns the number of servers reserved for a kind of class, 1 for
// short ones or 0 for long ones.
func reservedServers(usable, shortCount, kind int) int {
	switch {
	case shortCount == 0:
		return max(usable, 1)
	case kind == 1:
		return shortCount
	default:
		return usable - shortCount
	}
}

// AvoidedServers returns the IDs of the servers that are in backoff now.
func (c *Core) AvoidedServers(now clock.Millis) []string {
	var ids []string
	for _, s := range c.rankedServers {
		if s.health.Avoided(now) {
			ids = append(ids, s.ID)
		}
	}
	return ids
}

// Waiting returns the number of requests in the queue.
func (c *Core) Waiting() int { return len(c.queue) }

// sortQueue sorts the queue by tier. Within a tier, requests that can still meet their
// target go first, by the time of the target plus their weighted prefill time.
func (c *Core) sortQueue(now clock.Millis) {
	for _, q := range c.queue {
		q.sortKey = float64(q.queuedAt+q.Target) + c.settings.PrefillWeight*c.minPrefill(q)
	}
	sort.SliceStable(c.queue, func(i, j int) bool {
		a, b := c.queue[i], c.queue[j]
		if a.Tier != b.Tier {
			return a.Tier < b.Tier
		}
		if aLate, bLate := now > a.queuedAt+a.Target, now > b.queuedAt+b.Target; aLate != bLate {
			return bLate
		}
		return a.sortKey < b.sortKey
	})
}

// minPrefill returns a lower bound of the prefill time of a prompt on any server, in
// milliseconds.
func (c *Core) minPrefill(q *queuedRequest) float64 {
	tokens := q.Tokens
	for i, p := range q.prefix {
		if p.holders == 0 {
			break
		}
		tokens -= q.Segments[i].Tokens
	}
	return c.prefillTime(max(tokens, 1))
}

// usable returns the servers that may get new requests, ordered by hash, so that
// adding or removing a server does not change the order of the others. It returns
// servers in backoff only if there is no other.
func (c *Core) usable(now clock.Millis) []*server {
	var usable, inBackoff []*server
	for _, s := range c.rankedServers {
		switch {
		case s.Leaving:
		case s.health.Avoided(now), now < s.heldOffUntil:
			inBackoff = append(inBackoff, s)
		default:
			usable = append(usable, s)
		}
	}
	if len(usable) == 0 {
		usable = inBackoff
	}
	return usable
}

// candidate is the estimate for running a request on one server.
type candidate struct {
	server *server
	cost   float64
	// startDelay is the time until the server can start on the request, prefill the
	// prefill time from then on, both in milliseconds.
	startDelay float64
	prefill    float64
	uncached   int
	// segmentPending is set if the server is prefilling a prefix segment of the
	// request.
	segmentPending bool
	// full is set if the server has no free slot.
	full bool
}

// fullCost is the cost of a server without a free slot, in milliseconds: about the
// time until one of its many answers ends.
const fullCost = 500.0

// decide grants the server with the least cost if it is ready for the request. It
// refuses a request that cannot be answered before its deadline after the prefill
// queued before it, queuedPrefill in milliseconds, and otherwise leaves it in the
// queue and returns false. An early refusal lets the caller retry when there is less
// to prefill, which it cannot do after waiting until its deadline.
func (c *Core) decide(
	now clock.Millis, q *queuedRequest, usable []*server, shortCount int, queuedPrefill float64,
) (Decision, bool) {
	best, next, ok := c.best(now, q, usable, shortCount)
	if !ok {
		return Decision{Reason: "NoServer", RetryAfter: noServerRetryAfter}, true
	}
	if now+clock.Millis(max(best.startDelay, queuedPrefill)+best.prefill)+c.minAnswerTime(q) > q.deadline {
		return Decision{Reason: "OutOfTime", RetryAfter: clock.Millis(max(best.startDelay, queuedPrefill))}, true
	}
	if !c.ready(best) {
		best.server.plan(now, best.prefill)
		return Decision{}, false
	}
	d := Decision{
		Server:         best.server.ID,
		Reason:         reason(q, best),
		StartDelay:     clock.Millis(best.startDelay),
		Cost:           clock.Millis(best.cost),
		OthersWaiting:  len(c.queue) - 1,
		Rate:           best.server.namedRate,
		SinceLastEvent: -1,
	}
	if best.server.lastEventAt > 0 {
		d.SinceLastEvent = now - best.server.lastEventAt
	}
	if next.server != nil {
		d.Next, d.NextCost = next.server.ID, clock.Millis(next.cost)
	}
	g := c.assign(now, q.Request, q.deadline, best.server)
	if best.server.bucket != nil {
		best.server.bucket.Take(now)
	}
	if q.Plain {
		c.calls++
		best.server.lastCall = c.calls
	}
	best.server.updateStartDelay(now)
	c.class(q.Class).addWork(now, g.prefill)
	return d, true
}

func (c *Core) minAnswerTime(q *queuedRequest) clock.Millis {
	if q.Plain {
		return c.settings.MinCallTime
	}
	return c.settings.MinAnswerTime
}

// ready reports whether the candidate's server should get the request now.
func (c *Core) ready(o candidate) bool {
	if o.segmentPending || o.full || o.server.plannedPrefill > 0 || o.server.limitWait > 0 {
		return false
	}
	if o.prefill <= c.settings.QuickPrefill {
		return o.startDelay <= c.settings.QuickMaxDelay
	}
	return o.startDelay < c.settings.LongMaxDelay
}

// noServerRetryAfter is about the time until a restarted server has a record again,
// in milliseconds.
const noServerRetryAfter = 500 * clock.Millis(1)

// reason returns why a server was granted: "Cached" if it has the prefix segments
// cached, and "LeastUnread" in every other case, for the server of least cost.
func reason(q *queuedRequest, o candidate) string {
	prefixTokens := 0
	for _, p := range place.PrefixSegments(q.Segments) {
		prefixTokens += p.Tokens
	}
	if prefixTokens > 0 && o.uncached < q.Tokens-prefixTokens+minPendingTokens {
		return "Cached"
	}
	return "LeastUnread"
}

// best returns the two candidates with the least cost. Calls go to servers of equal cost
// in turn; prompts go to the first by hash, so that it is the same for each prompt.
func (c *Core) best(now clock.Millis, q *queuedRequest, usable []*server, shortCount int) (best, next candidate, found bool) {
	short := c.short(c.class(q.Class))
	var o candidate
	for i, s := range usable {
		if s.excludedFor(now, q) {
			continue
		}
		c.evaluate(q, s, &o)
		if !q.Plain && shortCount > 0 && short != (i < shortCount) {
			o.cost += c.settings.OtherGroupCost
		}
		if !q.Plain && !short {
			o.cost += c.settings.RunningShortCost * float64(s.runningShort)
		}
		switch {
		case !found:
			best, found = o, true
		case o.cost < best.cost || (q.Plain && o.cost == best.cost && o.server.lastCall < best.server.lastCall):
			best, next = o, best
		case next.server == nil || o.cost < next.cost:
			next = o
		}
	}
	return best, next, found
}

// evaluate estimates the cost of a request on a server: the time until its first
// event, and the time that repeated prefill takes from other requests. It sets all
// fields of o, which the caller reuses for all servers.
func (c *Core) evaluate(q *queuedRequest, s *server, o *candidate) {
	o.server, o.startDelay, o.full = s, max(s.startDelay, float64(s.limitWait)), false
	o.uncached, o.segmentPending = s.uncachedAfterPending(q)
	o.prefill = c.prefillTime(o.uncached)
	o.cost = o.startDelay + o.prefill + c.settings.RunningCost*float64(s.running)
	if (s.Slots > 0 && s.running >= s.Slots) || (s.onTrial && s.running > 0) {
		o.full = true
		o.cost += fullCost
	}
	o.cost += c.settings.RecomputeWeight * float64(recomputedTokens(q, s)) / c.prefillRate
}

// recomputedTokens returns the number of tokens that the server would prefill although
// another server has them cached or is prefilling them.
func recomputedTokens(q *queuedRequest, s *server) int {
	tokens := 0
	for i, p := range q.prefix {
		if p.holders+p.prefilling > 0 && !p.isCached(s) && !p.isPending(s) {
			tokens += q.Segments[i].Tokens
		}
	}
	return tokens
}

// expireGrants ends grants whose host has not reported their end in time.
func (c *Core) expireGrants(now clock.Millis) {
	for id, g := range c.granted {
		if now > g.deadline+expirySlack {
			c.Ended(now, id, place.OutcomeCancelled)
		}
	}
}

// expirySlack is the time after a request's deadline in which its host may still
// report its end, in milliseconds.
const expirySlack = 500 * clock.Millis(1)
