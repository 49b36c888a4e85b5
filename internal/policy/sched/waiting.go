package sched

import (
	"slices"

	"siskinsaddle/internal/base/clock"
)

// class returns a request's class. A class that is not in the settings is created
// in a tier less urgent than all others.
func (g *Group) class(r Request) *class {
	key := classKey{name: r.Class, begun: r.Begun}
	if c := g.classes[key]; c != nil {
		return c
	}
	last := 0
	if n := len(g.tiers); n > 0 {
		last = g.tiers[n-1].number
	}
	t := &tier{number: last + 1, usages: map[string]*workspaceUsage{}}
	g.tiers = append(g.tiers, t)
	for _, begun := range []bool{false, true} {
		g.classes[classKey{name: r.Class, begun: begun}] = newClass(Class{Name: r.Class, Tier: t.number}, begun, t)
	}
	return g.classes[key]
}

func (g *Group) weight(workspace string) int { return max(1, g.weights[workspace]) }

func (g *Group) usageOf(r Request) *workspaceUsage {
	return g.class(r).tier.usage(r.Workspace, g.weight(r.Workspace))
}

func (g *Group) isLong(tokens int) bool {
	return g.settings.LongTokens > 0 && tokens >= g.settings.LongTokens
}

// add inserts an entry into the queue of its workspace and updates the queue's
// position in the heaps.
func (g *Group) add(now clock.Millis, e *entry) {
	c := g.class(e.Request)
	q := g.queueFor(c, e.Request)
	e.queue = q
	q.insert(e, now)
	g.waiting[e.ID] = e
	g.expiry.put(e)
	if c.waiting == 0 {
		c.unservedSince = now
	}
	c.waiting++
	q.usage.waiting++
	q.backlog.waiting++
	c.backlogHeap.put(q.backlog)
	g.reposition(q)
}

// remove reverts add.
func (g *Group) remove(e *entry) {
	q, c := e.queue, e.queue.lane.class
	q.remove(e)
	delete(g.waiting, e.ID)
	g.expiry.drop(e)
	c.waiting--
	q.usage.waiting--
	q.backlog.waiting--
	g.reposition(q)
	c.backlogHeap.put(q.backlog)
	if q.backlog.waiting == 0 {
		c.backlogHeap.drop(q.backlog)
		delete(c.backlogs, q.backlog.workspace)
	}
	q.usage.release()
}

// reposition updates a queue's position in its lane and among the timers.
func (g *Group) reposition(q *queue) {
	if len(q.entries) == 0 {
		g.discard(q)
		return
	}
	q.lane.queues.put(q)
	if q.headLate() {
		g.timers.drop(q)
	} else {
		g.timers.put(q)
	}
}

func (g *Group) discard(q *queue) {
	l := q.lane
	l.queues.drop(q)
	g.timers.drop(q)
	delete(l.byUsage, q.usage)
	q.usage.queues = deleteItem(q.usage.queues, q)
	q.backlog.queues = deleteItem(q.backlog.queues, q)
	if l.queues.Len() == 0 {
		delete(l.class.byKey, l.laneKey)
		l.class.lanes = deleteItem(l.class.lanes, l)
	}
}

func deleteItem[T comparable](list []T, item T) []T {
	at := slices.Index(list, item)
	return slices.Delete(list, at, at+1)
}

func (g *Group) queueFor(c *class, r Request) *queue {
	avoid := g.effectiveAvoid(r)
	k := laneKey{class: c.Name, model: r.Model, long: g.isLong(r.PredictedTokens), avoid: avoidKey(avoid)}
	l := c.byKey[k]
	if l == nil {
		l = newLane(k, c, avoid)
		c.byKey[k] = l
		c.lanes = append(c.lanes, l)
	}
	s := g.usageOf(r)
	if q := l.byUsage[s]; q != nil {
		return q
	}
	b := c.backlogs[r.Workspace]
	if b == nil {
		b = &backlog{workspace: r.Workspace, weight: s.weight, index: noIndex}
		c.backlogs[r.Workspace] = b
	}
	q := &queue{lane: l, usage: s, backlog: b, laneIndex: noIndex, timerIndex: noIndex}
	l.byUsage[s] = q
	s.queues = append(s.queues, q)
	b.queues = append(b.queues, q)
	return q
}

// advance advances the clock: it marks late entries and refuses those whose callers
// no longer wait.
func (g *Group) advance(now clock.Millis) {
	for g.timers.Len() > 0 {
		q := g.timers.top()
		if q.entries[q.late].startBy >= now {
			break
		}
		q.advance(now)
		g.reposition(q)
	}
	for g.expiry.Len() > 0 && g.expiry.top().GiveUp <= now {
		e := g.expiry.top()
		g.remove(e)
		g.refuse(e.Request, ReasonExpired)
	}
}
