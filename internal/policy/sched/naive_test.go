package sched_test

import (
	"math"
	"slices"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/policy/sched"
)

// naive implements the scheduler's rules as linear scans. It is slow, but keeps no
// derived state that could become stale.
type naive struct {
	settings      sched.Settings
	servers       []sched.Server
	waiting       []naiveEntry
	running       []naiveEntry
	unservedSince map[string]clock.Millis
	holdTime      map[string]float64
	arrivals      []naiveEntry
	// reserve is the number of slots currently reserved for urgent tiers.
	reserve   int
	decisions []sched.Decision
}

type naiveEntry struct {
	sched.Request
	server              string
	granted             clock.Millis
	long                bool
	unservedSinceBefore clock.Millis
}

func (n *naive) class(name string) sched.Class {
	at := slices.IndexFunc(n.settings.Classes, func(c sched.Class) bool { return c.Name == name })
	return n.settings.Classes[at]
}

// newNaive adds a separate class for the requests of each class whose answer has
// begun.
func newNaive(s sched.Settings) *naive {
	n := &naive{settings: s, unservedSince: map[string]clock.Millis{}, holdTime: map[string]float64{}}
	n.settings.Classes = nil
	for _, c := range s.Classes {
		begun := c
		begun.Name += begunMark
		begun.MaxWaiting = 0
		n.settings.Classes = append(n.settings.Classes, c, begun)
	}
	return n
}

const begunMark = "*"

func (n *naive) weight(workspace string) int {
	for _, w := range n.settings.Workspaces {
		if w.Name == workspace {
			return w.Weight
		}
	}
	return 1
}

func count(list []naiveEntry, match func(naiveEntry) bool) int {
	total := 0
	for _, e := range list {
		if match(e) {
			total++
		}
	}
	return total
}

func (n *naive) waitingIn(class string) int {
	return count(n.waiting, func(e naiveEntry) bool { return e.Class == class })
}

func (n *naive) serves(s sched.Server, model string) bool {
	return (s.State == sched.ServerUp || s.State == sched.ServerSuspect) && slices.Contains(s.Models, model)
}

func (n *naive) fits(s sched.Server, e naiveEntry, floor bool) bool {
	running := count(n.running, func(r naiveEntry) bool { return r.server == s.Name })
	long := count(n.running, func(r naiveEntry) bool { return r.server == s.Name && r.long })
	free := s.Slots - running
	longMost := max(1, int(n.settings.LongShare*float64(s.Slots)))
	if floor {
		longMost++
	}
	otherServes := slices.ContainsFunc(n.servers, func(o sched.Server) bool {
		return n.serves(o, e.Model) && !slices.Contains(e.Avoid, o.Name)
	})
	switch {
	case s.State != sched.ServerUp || free <= 0 || !slices.Contains(s.Models, e.Model):
		return false
	case e.long && long >= longMost:
		return false
	case !floor && n.class(e.Class).Tier > n.settings.Headroom.Tier && (free <= n.settings.Headroom.Slots || n.free() <= n.reserve):
		return false
	}
	return !otherServes || !slices.Contains(e.Avoid, s.Name)
}

// server returns the name of the fitting server with the largest share of free
// slots, "" for none.
func (n *naive) server(e naiveEntry, floor bool) string {
	best, most := "", 0.0
	for _, s := range n.servers {
		running := count(n.running, func(r naiveEntry) bool { return r.server == s.Name })
		free := float64(s.Slots-running) / float64(s.Slots)
		if n.fits(s, e, floor) && free > most {
			best, most = s.Name, free
		}
	}
	return best
}

func (n *naive) over(e naiveEntry) bool {
	tier := n.class(e.Class).Tier
	inTier := func(o naiveEntry) bool { return n.class(o.Class).Tier == tier }
	mine := count(n.running, func(o naiveEntry) bool { return inTier(o) && o.Workspace == e.Workspace })
	total := count(n.running, inTier)
	weights := 0
	seen := map[string]bool{}
	for _, o := range slices.Concat(n.running, n.waiting) {
		if inTier(o) && !seen[o.Workspace] {
			seen[o.Workspace] = true
			weights += n.weight(o.Workspace)
		}
	}
	return mine*weights >= 3*(total+1)*n.weight(e.Workspace)
}

// first returns the index of the entry to serve first among those that match
// and fit, -1 for none.
func (n *naive) first(now clock.Millis, floor bool, match func(naiveEntry) bool) int {
	best := -1
	for i, e := range n.waiting {
		if !match(e) || n.server(e, floor) == "" {
			continue
		}
		if best < 0 || n.before(now, e, n.waiting[best]) {
			best = i
		}
	}
	return best
}

// before reports whether a is served before b. The caller passes the later entry of
// the list as a, so that equal entries keep their order, or reverse it when late.
func (n *naive) before(now clock.Millis, a, b naiveEntry) bool {
	if a.Begun != b.Begun {
		return a.Begun
	}
	x, y := a.Deadline < now, b.Deadline < now
	if x != y {
		return y
	}
	if x, y := n.over(a), n.over(b); x != y {
		return y
	}
	if x {
		return a.Deadline >= b.Deadline
	}
	return a.Deadline < b.Deadline
}

func (n *naive) grant(now clock.Millis, at int, floor bool) {
	e := n.waiting[at]
	e.server, e.granted, e.unservedSinceBefore = n.server(e, floor), now, n.unservedSince[e.Class]
	n.waiting = slices.Delete(n.waiting, at, at+1)
	n.running = append(n.running, e)
	n.unservedSince[e.Class] = now
	n.decisions = append(n.decisions, sched.Decision{
		ID: e.ID, Kind: sched.DecisionGrant, Server: e.server, Floor: floor,
	})
}

func (n *naive) refuse(at int, why sched.Reason) {
	e := n.waiting[at]
	n.waiting = slices.Delete(n.waiting, at, at+1)
	n.refuseRequest(e.Request, why)
}

func (n *naive) refuseRequest(r sched.Request, why sched.Reason) {
	wait := n.estimate(n.class(r.Class).Tier)
	if wait > 0 {
		wait = min(30_000, max(250, wait))
	}
	n.decisions = append(n.decisions, sched.Decision{
		ID: r.ID, Kind: sched.DecisionRefuse, Reason: why, RetryAfter: wait,
	})
}

func (n *naive) estimate(tier int) clock.Millis {
	work := 0.0
	for _, c := range n.settings.Classes {
		if c.Tier <= tier {
			work += float64(n.waitingIn(c.Name)) * n.holdTime[c.Name]
		}
	}
	return clock.Millis(work / float64(max(1, n.slots())))
}

// sumUp sums a value over the servers that are up.
func (n *naive) sumUp(value func(sched.Server) int) int {
	total := 0
	for _, s := range n.servers {
		if s.State == sched.ServerUp {
			total += value(s)
		}
	}
	return total
}

func (n *naive) slots() int { return n.sumUp(func(s sched.Server) int { return s.Slots }) }

func (n *naive) free() int {
	return n.sumUp(func(s sched.Server) int {
		return max(0, s.Slots-count(n.running, func(r naiveEntry) bool { return r.server == s.Name }))
	})
}

// updateReserve counts the arrivals of the last 500 ms and of the last 5 s.
func (n *naive) updateReserve(now clock.Millis) {
	need := 0.0
	for _, c := range n.settings.Classes {
		if c.Tier > n.settings.Headroom.Tier {
			continue
		}
		since := func(from clock.Millis) float64 {
			return float64(count(n.arrivals, func(e naiveEntry) bool {
				return e.Class == c.Name && e.Arrived > now-from
			}))
		}
		growth := 1.0
		if since(5_000) >= 20 {
			growth = min(2, max(1, since(500)*10/since(5_000)))
		}
		need += growth * since(500) * n.holdTime[c.Name] / 500
	}
	held := count(n.running, func(e naiveEntry) bool { return n.class(e.Class).Tier <= n.settings.Headroom.Tier })
	n.reserve = max(0, int(min(0.5*float64(n.slots()), need-float64(held))))
}

func (n *naive) grantFloor(now clock.Millis) bool {
	best, end := -1, clock.Millis(math.MaxInt64)
	for _, c := range n.settings.Classes {
		since := n.unservedSince[c.Name]
		if n.waitingIn(c.Name) == 0 || now-since < c.FloorPeriod/2 || since+c.FloorPeriod >= end {
			continue
		}
		if at := n.first(now, true, func(e naiveEntry) bool { return e.Class == c.Name }); at >= 0 {
			best, end = at, since+c.FloorPeriod
		}
	}
	if best >= 0 {
		n.grant(now, best, true)
	}
	return best >= 0
}

func (n *naive) grantTier(now clock.Millis) bool {
	n.updateReserve(now)
	for tier := 1; tier <= 5; tier++ {
		if at := n.first(now, false, func(e naiveEntry) bool { return n.class(e.Class).Tier == tier }); at >= 0 {
			n.grant(now, at, false)
			return true
		}
	}
	return false
}

func (n *naive) advance(now clock.Millis) {
	for {
		first := -1
		for i, e := range n.waiting {
			if e.GiveUp <= now && (first < 0 || e.GiveUp < n.waiting[first].GiveUp) {
				first = i
			}
		}
		if first < 0 {
			return
		}
		n.refuse(first, sched.ReasonExpired)
	}
}

func (n *naive) reschedule(now clock.Millis, offered string) {
	n.advance(now)
	for n.grantFloor(now) || n.grantTier(now) {
	}
	if offered != "" {
		n.enforceCapacity(now, n.class(offered))
	}
	for low := n.nextToShed(); low != ""; low = n.nextToShed() {
		at := n.oldest(low)
		tier := n.class(low).Tier
		if now+n.estimate(tier) <= usefulUntil(n.waiting[at]) && !n.higherTierTooLate(now, tier) {
			return
		}
		n.refuse(at, sched.ReasonShed)
	}
}

func (n *naive) offer(now clock.Millis, r sched.Request) {
	if r.Begun {
		r.Class += begunMark
	}
	if !slices.ContainsFunc(n.servers, func(s sched.Server) bool { return n.serves(s, r.Model) }) {
		n.refuseRequest(r, sched.ReasonNoServer)
		return
	}
	if n.waitingIn(r.Class) == 0 {
		n.unservedSince[r.Class] = now
	}
	e := naiveEntry{Request: r, long: r.PredictedTokens >= n.settings.LongTokens}
	n.waiting = append(n.waiting, e)
	n.arrivals = append(n.arrivals, e)
	n.reschedule(now, r.Class)
}

func (n *naive) setServers(now clock.Millis, list []sched.Server) {
	n.servers = list
	n.advance(now)
	for i := 0; i < len(n.waiting); {
		if slices.ContainsFunc(list, func(s sched.Server) bool { return n.serves(s, n.waiting[i].Model) }) {
			i++
			continue
		}
		n.refuse(i, sched.ReasonNoServer)
	}
	for n.grantFloor(now) || n.grantTier(now) {
	}
}

func (n *naive) progress(now clock.Millis, p sched.Progress) {
	for i := range n.running {
		if n.running[i].ID == p.ID {
			n.running[i].long = n.running[i].long || p.Tokens >= n.settings.LongTokens
		}
	}
	n.reschedule(now, "")
}

func (n *naive) release(now clock.Millis, id string, lost bool) {
	at := slices.IndexFunc(n.running, func(e naiveEntry) bool { return e.ID == id })
	if at < 0 {
		return
	}
	e := n.running[at]
	n.running = slices.Delete(n.running, at, at+1)
	if lost {
		if n.unservedSince[e.Class] == e.granted {
			n.unservedSince[e.Class] = e.unservedSinceBefore
		}
	} else if n.holdTime[e.Class] == 0 {
		n.holdTime[e.Class] = float64(now - e.granted)
	} else {
		n.holdTime[e.Class] += 0.1 * (float64(now-e.granted) - n.holdTime[e.Class])
	}
	n.reschedule(now, "")
}

func (n *naive) cancel(now clock.Millis, id string) {
	at := slices.IndexFunc(n.waiting, func(e naiveEntry) bool { return e.ID == id })
	if at < 0 {
		before := len(n.running)
		n.running = slices.DeleteFunc(n.running, func(e naiveEntry) bool { return e.ID == id })
		if len(n.running) < before {
			n.reschedule(now, "")
		}
		return
	}
	n.waiting = slices.Delete(n.waiting, at, at+1)
	n.advance(now)
}

func (n *naive) take() []sched.Decision {
	decisions := n.decisions
	n.decisions = nil
	return decisions
}
