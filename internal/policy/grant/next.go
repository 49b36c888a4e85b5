package grant

import (
	"math"
	"slices"
	"sort"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/policy/place"
)

// class is what is known of the requests of one route.
type class struct {
	// tokens is the mean prompt length, work the reading in milliseconds a
	// second, both with recent requests counting most.
	tokens float64
	count  int
	work   float64
	at     clock.Millis
}

const (
	// meanShare is how much one request counts in a mean.
	meanShare = 0.05
	// workTime is over which time reading work is averaged, in milliseconds.
	workTime = 5_000.0
)

func (c *Core) class(name string) *class {
	if c.classes[name] == nil {
		c.classes[name] = &class{}
	}
	return c.classes[name]
}

// asked counts a request in.
func (k *class) asked(a Ask) {
	k.count++
	share := max(meanShare, 1/float64(k.count))
	k.tokens += share * (float64(a.Tokens) - k.tokens)
}

func (k *class) fade(now clock.Millis) {
	k.work *= math.Exp(-float64(now-k.at) / workTime)
	k.at = now
}

// worked adds reading work of a request that was granted.
func (k *class) worked(now clock.Millis, read float64) {
	k.fade(now)
	k.work += read
}

func (c *Core) short(k *class) bool { return k.tokens < c.settings.ShortTokens }

// Before there was work, servers are dealt out as if this much of it had been
// seen, in milliseconds, with this share of short prompts: an answer to a short
// prompt that begins before the first long one comes is still running then.
const (
	priorWork  = 5_000.0
	priorShort = 0.07
)

// shortServers is how many servers the short classes get of n.
func (c *Core) shortServers(now clock.Millis, n int) int {
	short, long := priorWork*priorShort, priorWork*(1-priorShort)
	for _, k := range c.classes {
		k.fade(now)
		if c.short(k) {
			short += k.work
		} else {
			long += k.work
		}
	}
	if n < 2 {
		return 0
	}
	short *= c.settings.ShortWeight
	return min(max(int(float64(n)*short/(short+long)+0.5), 1), n-1)
}

// Next decides on what waits. Requests for which no server is ready yet stay.
func (c *Core) Next(now clock.Millis) []Decision {
	var decisions []Decision
	c.expire(now)
	if len(c.queue) == 0 {
		return decisions
	}
	c.sortQueue(now)
	usable := c.usable(now)
	shorts := c.shortServers(now, len(usable))
	left := c.queue[:0]
	for _, s := range usable {
		s.planned = 0
	}
	var ahead [2]float64
	for _, q := range c.queue {
		group := 0
		if c.short(c.class(q.Class)) {
			group = 1
		}
		d, ok := c.decide(now, q, usable, shorts, ahead[group]/float64(groupSize(len(usable), shorts, group)))
		if !ok {
			left = append(left, q)
			ahead[group] += c.cheapest(q.Ask)
			continue
		}
		d.ID, d.Host, d.Waited = q.ID, q.Host, now-q.at
		decisions = append(decisions, d)
	}
	c.queue = left
	return decisions
}

// groupSize is how many servers the short classes (1) or the others (0) have.
func groupSize(usable, shorts, group int) int {
	switch {
	case shorts == 0:
		return max(usable, 1)
	case group == 1:
		return shorts
	default:
		return usable - shorts
	}
}

// Sick returns the servers that get nothing new for now.
func (c *Core) Sick(now clock.Millis) []string {
	var ids []string
	for _, s := range c.order {
		if s.health.Avoided(now) {
			ids = append(ids, s.ID)
		}
	}
	return ids
}

// Waiting is the number of requests that wait.
func (c *Core) Waiting() int { return len(c.queue) }

// sortQueue puts the more urgent tiers first, and within a tier those that can
// still be on time, by the end of their time.
func (c *Core) sortQueue(now clock.Millis) {
	for _, q := range c.queue {
		q.rank = float64(q.at+q.Target) + c.settings.ReadWeight*c.cheapest(q.Ask)
	}
	sort.SliceStable(c.queue, func(i, j int) bool {
		a, b := c.queue[i], c.queue[j]
		if a.Tier != b.Tier {
			return a.Tier < b.Tier
		}
		if al, bl := now > a.at+a.Target, now > b.at+b.Target; al != bl {
			return bl
		}
		return a.rank < b.rank
	})
}

// cheapest is the least reading that any server would need for a prompt, in
// milliseconds.
func (c *Core) cheapest(a Ask) float64 {
	tokens := a.Tokens
	for _, p := range place.Shared(a.Parts) {
		if c.holders[p.Name] == 0 {
			break
		}
		tokens -= p.Tokens
	}
	return c.readTime(max(tokens, 1))
}

// usable returns the servers that may get something new, in the order of a hash
// that a server's coming or going does not disturb.
func (c *Core) usable(now clock.Millis) []*server {
	var usable, sick []*server
	for _, s := range c.order {
		switch {
		case s.Leaving:
		case s.health.Avoided(now):
			sick = append(sick, s)
		default:
			usable = append(usable, s)
		}
	}
	if len(usable) == 0 {
		usable = sick
	}
	return usable
}

// offer is what one server would be for a request.
type offer struct {
	server *server
	cost   float64
	// after is the time until the server should be handed the request, read
	// how long it reads then, both in milliseconds.
	after float64
	read  float64
	fresh int
	// waits tells that a shared part is on its way to the server.
	waits bool
	// full tells that the server's slots are all taken.
	full bool
}

// fullPrice puts servers with a free slot before those without, in
// milliseconds: about the time until one of many answers ends.
const fullPrice = 500.0

// decide grants the cheapest server if it is ready for the request, refuses a
// request that cannot be answered in its time behind what waits ahead of it, in
// milliseconds, and otherwise leaves it waiting. A refused caller can come back
// when there is less to read; one that is held to its end cannot.
func (c *Core) decide(now clock.Millis, q *asked, usable []*server, shorts int, ahead float64) (Decision, bool) {
	best, next, ok := c.best(now, q, usable, shorts)
	if !ok {
		return Decision{Reason: "NoServer", RetryAfter: noServerWait}, true
	}
	if now+clock.Millis(max(best.after, ahead)+best.read)+c.settings.LeastTail > q.until {
		return Decision{Reason: "OutOfTime", RetryAfter: clock.Millis(max(best.after, ahead))}, true
	}
	if !c.ready(best) {
		best.server.planned += best.read
		return Decision{}, false
	}
	d := Decision{
		Server: best.server.ID,
		Reason: reason(q, best),
		Unread: clock.Millis(best.after),
		Cost:   clock.Millis(best.cost),
		Queued: len(c.queue) - 1,
		Sign:   -1,
	}
	if best.server.signAt > 0 {
		d.Sign = now - best.server.signAt
	}
	if next.server != nil {
		d.Next, d.NextCost = next.server.ID, clock.Millis(next.cost)
	}
	g := c.give(now, q.Ask, q.until, best.server)
	c.class(q.Class).worked(now, g.read)
	return d, true
}

// ready tells whether a server should be handed a request now.
func (c *Core) ready(o offer) bool {
	if o.waits || o.full || o.server.planned > 0 {
		return false
	}
	if o.read <= c.settings.QuickRead {
		return o.after <= c.settings.Ahead
	}
	return o.after < c.settings.LongAhead
}

// noServerWait is about the time until a restarted server's record is back, in
// milliseconds.
const noServerWait = 500 * clock.Millis(1)

// reason names why a server was granted: it has the parts that are shared, or
// the least to read.
func reason(q *asked, o offer) string {
	shared := 0
	for _, p := range place.Shared(q.Parts) {
		shared += p.Tokens
	}
	if shared > 0 && o.fresh < q.Tokens-shared+comingTokens {
		return "Cached"
	}
	return "LeastUnread"
}

// best returns the two cheapest servers.
func (c *Core) best(now clock.Millis, q *asked, usable []*server, shorts int) (best, next offer, found bool) {
	short := c.short(c.class(q.Class))
	for i, s := range usable {
		if slices.Contains(q.Avoid, s.ID) {
			continue
		}
		o := c.offer(now, q, s)
		if shorts > 0 && short != (i < shorts) {
			o.cost += c.settings.OtherGroup
		}
		if !short {
			o.cost += c.settings.PerShort * float64(s.shorts)
		}
		switch {
		case !found:
			best, found = o, true
		case o.cost < best.cost:
			best, next = o, best
		case next.server == nil || o.cost < next.cost:
			next = o
		}
	}
	return best, next, found
}

// offer works out what a server costs a request: the time until its first
// event, and what reading a part again takes from the others.
func (c *Core) offer(now clock.Millis, q *asked, s *server) offer {
	o := offer{server: s, after: s.backlog(now) + s.pause(now)}
	o.fresh, o.waits = s.later(q.Parts, q.Tokens)
	o.read = c.readTime(o.fresh)
	o.cost = o.after + o.read + c.settings.PerRunning*float64(s.running)
	if s.Slots > 0 && s.running >= s.Slots {
		o.full = true
		o.cost += fullPrice
	}
	o.cost += c.settings.Again * float64(c.heldElsewhere(q, s)) / c.pace
	return o
}

// heldElsewhere is how many tokens the server would read that another one
// holds or is about to hold.
func (c *Core) heldElsewhere(q *asked, s *server) int {
	again := 0
	for _, p := range place.Shared(q.Parts) {
		if c.holders[p.Name] == 0 && c.coming[p.Name] == 0 {
			continue
		}
		if _, ok := s.parts[p.Name]; !ok && !s.comes(p.Name) {
			again += p.Tokens
		}
	}
	return again
}

// expire ends what its host never said the end of.
func (c *Core) expire(now clock.Millis) {
	for id, g := range c.granted {
		if now > g.until+grantSlack {
			c.Ended(now, id, place.OutcomeCancelled)
		}
	}
}

// grantSlack is how long after its time a request may still be told to have
// ended, in milliseconds.
const grantSlack = 500 * clock.Millis(1)
