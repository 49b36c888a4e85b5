package sched

import (
	"sort"

	"siskinsaddle/internal/base/clock"
)

// DefaultFloorPeriod is the floor period of a class that declares none.
const DefaultFloorPeriod = 10 * clock.Second

// classKey identifies the requests of a class of whose answers a part has reached the
// caller, or all others of the class.
type classKey struct {
	name  string
	begun bool
}

// class holds the waiting requests of a classKey. The two parts of a class have a
// floor each, so that resuming interrupted answers does not use up the floor of new
// requests.
type class struct {
	Class
	begun   bool
	tier    *tier
	waiting int
	// unservedSince is the time of the last grant or, if later, the time at which
	// the class last went from no waiting requests to one.
	unservedSince clock.Millis
	// holdTime is the smoothed time, in milliseconds, that a request holds its
	// slot, 0 before the first request has ended.
	holdTime float64
	arrivals arrivals
	// lanes are the lanes that have waiting requests.
	lanes       []*lane
	byKey       map[laneKey]*lane
	backlogHeap indexedHeap[*backlog]
	backlogs    map[string]*backlog
}

func newClass(c Class, begun bool, t *tier) *class {
	if c.FloorPeriod <= 0 {
		c.FloorPeriod = DefaultFloorPeriod
	}
	n := &class{Class: c, begun: begun, tier: t, byKey: map[laneKey]*lane{}, backlogs: map[string]*backlog{}}
	n.backlogHeap.less = largerBacklog
	n.backlogHeap.index = func(b *backlog) *int { return &b.index }
	t.classes = append(t.classes, n)
	return n
}

// holdTimeWeight is the weight of one ended request in the smoothed hold time.
const holdTimeWeight = 0.1

func (c *class) observeHoldTime(held clock.Millis) {
	if c.holdTime == 0 {
		c.holdTime = float64(held)
		return
	}
	c.holdTime += holdTimeWeight * (float64(held) - c.holdTime)
}

// backlog holds the waiting requests of one workspace in one class.
type backlog struct {
	workspace string
	weight    int
	waiting   int
	index     int
	queues    []*queue
}

// largerBacklog orders backlogs by waiting requests relative to weight.
func largerBacklog(a, b *backlog) bool {
	left, right := a.waiting*b.weight, b.waiting*a.weight
	if left != right {
		return left > right
	}
	return a.workspace < b.workspace
}

// entryToShed returns the entry to shed when too many requests wait, from the workspace
// with the most waiting requests relative to its weight: the entry with the earliest
// startBy if that is late, else the one with the latest startBy.
func (c *class) entryToShed(now clock.Millis) *entry {
	if e := c.earliestDue(); e.startBy < now {
		return e
	}
	var latest *entry
	for _, q := range c.backlogHeap.top().queues {
		if last := q.entries[len(q.entries)-1]; latest == nil || latest.before(last) {
			latest = last
		}
	}
	return latest
}

// earliestDue returns the entry with the earliest startBy in the workspace with the
// most waiting requests relative to its weight.
func (c *class) earliestDue() *entry {
	var earliest *entry
	for _, q := range c.backlogHeap.top().queues {
		if first := q.entries[0]; earliest == nil || first.before(earliest) {
			earliest = first
		}
	}
	return earliest
}

// buildTiers returns the classes by key and the tiers, most urgent first.
func buildTiers(classes []Class) (map[classKey]*class, []*tier) {
	byNumber := map[int]*tier{}
	byKey := map[classKey]*class{}
	var tiers []*tier
	for _, c := range classes {
		t := byNumber[c.Tier]
		if t == nil {
			t = &tier{number: c.Tier, usages: map[string]*workspaceUsage{}}
			byNumber[c.Tier] = t
			tiers = append(tiers, t)
		}
		for _, begun := range []bool{false, true} {
			byKey[classKey{name: c.Name, begun: begun}] = newClass(c, begun, t)
		}
	}
	sort.Slice(tiers, func(i, j int) bool { return tiers[i].number < tiers[j].number })
	return byKey, tiers
}
