package sched

import stdheap "container/heap"

// indexed is a binary heap whose items know their place, so that an item can
// be moved or removed wherever it stands.
type indexed[T any] struct {
	items []T
	less  func(a, b T) bool
	place func(T) *int
}

func (h *indexed[T]) Len() int           { return len(h.items) }
func (h *indexed[T]) Less(i, j int) bool { return h.less(h.items[i], h.items[j]) }

func (h *indexed[T]) Swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	*h.place(h.items[i]) = i
	*h.place(h.items[j]) = j
}

// Push is called by container/heap only.
func (h *indexed[T]) Push(x any) {
	item := x.(T)
	*h.place(item) = len(h.items)
	h.items = append(h.items, item)
}

// Pop is called by container/heap only.
func (h *indexed[T]) Pop() any {
	last := len(h.items) - 1
	item := h.items[last]
	var zero T
	h.items[last] = zero
	h.items = h.items[:last]
	*h.place(item) = absent
	return item
}

// absent is the place of an item that is in no heap.
const absent = -1

func (h *indexed[T]) top() T { return h.items[0] }

// put adds the item, or moves it to where it belongs now.
func (h *indexed[T]) put(item T) {
	if at := *h.place(item); at != absent {
		stdheap.Fix(h, at)
		return
	}
	stdheap.Push(h, item)
}

// drop removes the item if it is there.
func (h *indexed[T]) drop(item T) {
	if at := *h.place(item); at != absent {
		stdheap.Remove(h, at)
	}
}
