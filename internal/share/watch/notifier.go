package watch

import "sync"

// notifier wakes all its waiters at once.
type notifier struct {
	mu   sync.Mutex
	next chan struct{}
}

// wait returns a channel that closes at the next notify.
func (b *notifier) wait() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.next == nil {
		b.next = make(chan struct{})
	}
	return b.next
}

func (b *notifier) notify() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.next != nil {
		close(b.next)
		b.next = nil
	}
}
