package bench

import (
	"container/heap"

	"siskinsaddle/internal/base/clock"
)

// event is an action at a point in virtual time. sequence orders events of the
// same time.
type event struct {
	at       clock.Millis
	sequence int
	do       func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].sequence < h[j].sequence
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// timeline runs events in order of virtual time, and events of the same time in
// the order in which they were scheduled.
type timeline struct {
	now      clock.Millis
	sequence int
	events   eventHeap
}

func (t *timeline) after(delay clock.Millis, do func()) { t.at(t.now+delay, do) }

func (t *timeline) at(at clock.Millis, do func()) {
	t.sequence++
	heap.Push(&t.events, event{at: max(at, t.now), sequence: t.sequence, do: do})
}

// next runs the next event. It returns false if there is none.
func (t *timeline) next() bool {
	if len(t.events) == 0 {
		return false
	}
	e := heap.Pop(&t.events).(event)
	t.now = e.at
	e.do()
	return true
}
