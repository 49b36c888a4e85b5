package watch

import "sync"

// bell wakes all who wait for it.
type bell struct {
	mu   sync.Mutex
	next chan struct{}
}

// wait returns a channel that closes when the bell rings next.
func (b *bell) wait() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.next == nil {
		b.next = make(chan struct{})
	}
	return b.next
}

func (b *bell) ring() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.next != nil {
		close(b.next)
		b.next = nil
	}
}
