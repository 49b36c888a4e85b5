package sched

import (
	"sort"

	"siskinsaddle/internal/base/clock"
)

// DefaultFloorPeriod holds for a class that declares none.
const DefaultFloorPeriod = 10 * clock.Second

// classKey names the work of a class whose answers have begun elsewhere, or
// the rest of it.
type classKey struct {
	name  string
	begun bool
}

// class is the waiting work of a classKey. The two parts of a class have a floor
// each, so that broken answers are completed without cost to new requests.
type class struct {
	Class
	begun   bool
	tier    *tier
	waiting int
	// unserved is since when the class has had waiting work and no grant.
	unserved clock.Millis
	// hold is the mean time in milliseconds that a request keeps its slot, 0
	// while none has ended.
	hold  float64
	surge surge
	// lanes are those with waiting requests.
	lanes    []*lane
	byKey    map[laneKey]*lane
	heaviest indexed[*backlog]
	backlogs map[string]*backlog
}

func newClass(c Class, begun bool, t *tier) *class {
	if c.FloorPeriod <= 0 {
		c.FloorPeriod = DefaultFloorPeriod
	}
	n := &class{Class: c, begun: begun, tier: t, byKey: map[laneKey]*lane{}, backlogs: map[string]*backlog{}}
	n.heaviest.less = heavier
	n.heaviest.place = func(b *backlog) *int { return &b.place }
	t.classes = append(t.classes, n)
	return n
}

// holdWeight is the weight of one ended request in the mean hold time.
const holdWeight = 0.1

func (c *class) observeHold(held clock.Millis) {
	if c.hold == 0 {
		c.hold = float64(held)
		return
	}
	c.hold += holdWeight * (float64(held) - c.hold)
}

// backlog is what one workspace has waiting in one class.
type backlog struct {
	workspace string
	weight    int
	waiting   int
	place     int
	queues    []*queue
}

// heavier orders backlogs by waiting requests for their weight.
func heavier(a, b *backlog) bool {
	left, right := a.waiting*b.weight, b.waiting*a.weight
	if left != right {
		return left > right
	}
	return a.workspace < b.workspace
}

// victim is the entry that the class loses to a full queue: of the workspace
// with the most waiting requests for its weight the latest one, or where none
// is late the one that may start last.
func (c *class) victim(now clock.Millis) *entry {
	if e := c.oldest(); e.startBy < now {
		return e
	}
	var newest *entry
	for _, q := range c.heaviest.top().queues {
		if last := q.entries[len(q.entries)-1]; newest == nil || newest.before(last) {
			newest = last
		}
	}
	return newest
}

// oldest is the entry of the workspace with the most waiting requests for its
// weight that has to start first.
func (c *class) oldest() *entry {
	var oldest *entry
	for _, q := range c.heaviest.top().queues {
		if first := q.entries[0]; oldest == nil || first.before(oldest) {
			oldest = first
		}
	}
	return oldest
}

// buildTiers returns the classes by key and the tiers, the most urgent first.
func buildTiers(classes []Class) (map[classKey]*class, []*tier) {
	byNumber := map[int]*tier{}
	byKey := map[classKey]*class{}
	var tiers []*tier
	for _, c := range classes {
		t := byNumber[c.Tier]
		if t == nil {
			t = &tier{number: c.Tier, shares: map[string]*share{}}
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
