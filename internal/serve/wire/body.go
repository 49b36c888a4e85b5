package wire

import (
	"io"
	"sync"

	"github.com/cockroachdb/errors"
)

// body is a response body. Close may be called while a Read blocks.
type body struct {
	roundTrip *roundTrip
	stream    io.Reader
	mu        sync.Mutex
	bytesRead int
	endErr    error
}

// Read returns io.EOF only after the complete body, and another error if the
// connection broke or stalled before that.
func (b *body) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.endErr != nil {
		return 0, b.endErr
	}
	if b.stream == nil {
		b.finish()
		return 0, io.EOF
	}
	n, err := b.stream.Read(p)
	b.bytesRead += n
	switch {
	case b.bytesRead > orElse(b.roundTrip.client.MaxBodyBytes, defaultMaxBodyBytes):
		return n, b.fail(ErrTooLarge)
	case errors.Is(err, io.EOF):
		b.finish()
		return n, io.EOF
	case err != nil:
		return n, b.fail(b.roundTrip.cause(err))
	}
	return n, nil
}

// Close closes the connection unless the complete body was read. It interrupts a
// blocked Read.
func (b *body) Close() error {
	if !b.mu.TryLock() {
		b.roundTrip.cancel()
		b.mu.Lock()
	}
	defer b.mu.Unlock()
	switch {
	case b.endErr != nil:
	case b.stream == nil || b.roundTrip.response.Header.ContentLength() == 0:
		b.finish()
	default:
		_ = b.fail(ErrClosed)
	}
	return nil
}

func (b *body) finish() {
	b.endErr = io.EOF
	b.roundTrip.finish()
}

func (b *body) fail(err error) error {
	b.endErr = err
	b.roundTrip.abandon()
	return err
}
