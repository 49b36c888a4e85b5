package sched

import stdheap "container/heap"

// indexedHeap is a binary heap whose items store their index, so that any item can
// be moved or removed.
type indexedHeap[T any] struct {
	items []T
	less  func(a, b T) bool
	index func(T) *int
}

func (h *indexedHeap[T]) Len() int           { return len(h.items) }
func (h *indexedHeap[T]) Less(i, j int) bool { return h.less(h.items[i], h.items[j]) }

func (h *indexedHeap[T]) Swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	*h.index(h.items[i]) = i
	*h.index(h.items[j]) = j
}

// Push is called by container/heap only.
func (h *indexedHeap[T]) Push(x any) {
	item := x.(T)
	*h.index(item) = len(h.items)
	h.items = append(h.items, item)
}

// Pop is called by container/heap only.
func (h *indexedHeap[T]) Pop() any {
	last := len(h.items) - 1
	item := h.items[last]
	var zero T
	h.items[last] = zero
	h.items = h.items[:last]
	*h.index(item) = noIndex
	return item
}

// noIndex is the index of an item that is in no heap or list.
const noIndex = -1

func (h *indexedHeap[T]) top() T { return h.items[0] }

// put adds the item, or restores the heap order after its key changed.
func (h *indexedHeap[T]) put(item T) {
	if at := *h.index(item); at != noIndex {
		stdheap.Fix(h, at)
		return
	}
	stdheap.Push(h, item)
}

// drop removes the item if it is in the heap.
func (h *indexedHeap[T]) drop(item T) {
	if at := *h.index(item); at != noIndex {
		stdheap.Remove(h, at)
	}
}
