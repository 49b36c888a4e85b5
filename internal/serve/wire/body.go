package wire

import (
	"io"
	"sync"

	"github.com/cockroachdb/errors"
)

// body is the body of an answer. Close may be called while a Read waits.
type body struct {
	trip   *trip
	stream io.Reader
	mu     sync.Mutex
	read   int
	end    error
}

// Read returns io.EOF after the whole body, and another error where the
// connection broke or fell silent before it.
func (b *body) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.end != nil {
		return 0, b.end
	}
	if b.stream == nil {
		b.finish()
		return 0, io.EOF
	}
	n, err := b.stream.Read(p)
	b.read += n
	switch {
	case b.read > orElse(b.trip.client.MaxBodyBytes, defaultMaxBodyBytes):
		return n, b.fail(ErrTooLarge)
	case errors.Is(err, io.EOF):
		b.finish()
		return n, io.EOF
	case err != nil:
		return n, b.fail(b.trip.fault(err))
	}
	return n, nil
}

// Close closes the connection unless the whole body was read. It ends a Read
// that waits.
func (b *body) Close() error {
	if !b.mu.TryLock() {
		b.trip.cancel()
		b.mu.Lock()
	}
	defer b.mu.Unlock()
	switch {
	case b.end != nil:
	case b.stream == nil || b.trip.answer.Header.ContentLength() == 0:
		b.finish()
	default:
		_ = b.fail(ErrClosed)
	}
	return nil
}

func (b *body) finish() {
	b.end = io.EOF
	b.trip.finish()
}

func (b *body) fail(err error) error {
	b.end = err
	b.trip.drop()
	return err
}
