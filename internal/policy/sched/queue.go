package sched

import (
	"sort"
	"strings"

	"siskinsaddle/internal/base/clock"
)

// entry is a waiting request.
type entry struct {
	Request
	sequence uint64
	// startBy is the latest grant time that still meets the deadline.
	startBy clock.Millis
	queue   *queue
	index   int
}

// before orders entries by startBy, then by arrival.
func (e *entry) before(o *entry) bool {
	if e.startBy != o.startBy {
		return e.startBy < o.startBy
	}
	return e.sequence < o.sequence
}

// queue holds the waiting requests of one workspace in one lane.
//
// Its entries are sorted by startBy. The first ones are late:
//
//	startBy  100 140 | 210 260 300      now = 200, late = 2
//
// The order of service is 210, 260, 300, 140, 100.
type queue struct {
	lane       *lane
	usage      *workspaceUsage
	backlog    *backlog
	entries    []*entry
	late       int
	laneIndex  int
	timerIndex int
}

// head returns the entry to serve first.
func (q *queue) head() *entry {
	if q.late < len(q.entries) {
		return q.entries[q.late]
	}
	return q.entries[q.late-1]
}

func (q *queue) headLate() bool { return q.late == len(q.entries) }

// advance updates the number of late entries.
func (q *queue) advance(now clock.Millis) {
	for q.late < len(q.entries) && q.entries[q.late].startBy < now {
		q.late++
	}
}

func (q *queue) insert(e *entry, now clock.Millis) {
	at := sort.Search(len(q.entries), func(i int) bool { return e.before(q.entries[i]) })
	q.entries = append(q.entries, nil)
	copy(q.entries[at+1:], q.entries[at:])
	q.entries[at] = e
	if e.startBy < now {
		q.late++
	}
}

func (q *queue) remove(e *entry) {
	at := sort.Search(len(q.entries), func(i int) bool { return !q.entries[i].before(e) })
	copy(q.entries[at:], q.entries[at+1:])
	q.entries[len(q.entries)-1] = nil
	q.entries = q.entries[:len(q.entries)-1]
	if at < q.late {
		q.late--
	}
}

// serviceBefore reports whether a's head is served before b's head.
func serviceBefore(a, b *queue) bool {
	if a.lane.class.begun != b.lane.class.begun {
		return a.lane.class.begun
	}
	if a.headLate() != b.headLate() {
		return b.headLate()
	}
	if a.usage.overFairShare != b.usage.overFairShare {
		return b.usage.overFairShare
	}
	if a.headLate() {
		return b.head().before(a.head())
	}
	return a.head().before(b.head())
}

// laneKey groups requests by the properties that determine usable servers.
type laneKey struct {
	class string
	model string
	long  bool
	avoid string
}

// lane holds one class's waiting requests with the same model, length kind and avoided
// servers, which can use the same servers, in one queue per workspace.
type lane struct {
	laneKey
	class  *class
	queues indexedHeap[*queue]
	// avoid is the set of servers on which these requests have failed.
	avoid []string
	// byUsage maps a workspace's usage to its queue.
	byUsage map[*workspaceUsage]*queue
}

func newLane(k laneKey, c *class, avoid []string) *lane {
	l := &lane{laneKey: k, class: c, avoid: avoid, byUsage: map[*workspaceUsage]*queue{}}
	l.queues.less = serviceBefore
	l.queues.index = func(q *queue) *int { return &q.laneIndex }
	return l
}

func avoidKey(avoid []string) string {
	if len(avoid) == 0 {
		return ""
	}
	sorted := append([]string(nil), avoid...)
	sort.Strings(sorted)
	return strings.Join(sorted, "\n")
}
