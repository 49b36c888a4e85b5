package proxy

import (
	"io"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"
)

type endlessBody struct{ onRead func() }

func (e endlessBody) Read(p []byte) (int, error) {
	e.onRead()
	return len(p), nil
}

// Many endless responses at a time must neither exceed the host's memory nor leave no
// room for a short one.
func TestEndlessResponsesLeaveMemoryForShortOnes(t *testing.T) {
	c := qt.New(t)
	const (
		limit     = 8 << 20
		responses = 100
		rounds    = 20
	)
	var b buffers
	b.setLimit(limit)
	var most atomic.Int64
	var all sync.WaitGroup
	for range responses {
		all.Go(func() {
			for range rounds {
				_, held, err := b.readAll(endlessBody{func() {
					if used := b.used.Load(); used > most.Load() {
						most.Store(used)
					}
					runtime.Gosched()
				}}, maxBufferedBytes)
				c.Check(err, qt.ErrorIs, errTooLong)
				c.Check(held, qt.Equals, 0)
				body, held, err := b.readAll(strings.NewReader("short"), maxBufferedBytes)
				c.Check(err, qt.IsNil)
				c.Check(string(body), qt.Equals, "short")
				b.release(held)
			}
		})
	}
	all.Wait()
	// The first buffer of each response is never refused.
	c.Assert(most.Load() <= limit+responses*firstBufferBytes, qt.IsTrue, qt.Commentf("%d bytes", most.Load()))
	c.Assert(b.used.Load(), qt.Equals, int64(0))
}

func TestReadAllOfLongResponses(t *testing.T) {
	c := qt.New(t)
	var b buffers
	b.setLimit(0)
	for _, length := range []int{0, 1, firstBufferBytes - 1, firstBufferBytes, firstBufferBytes + 1, maxBufferedBytes - 1, maxBufferedBytes} {
		body, held, err := b.readAll(strings.NewReader(strings.Repeat("x", length)), maxBufferedBytes)
		c.Assert(err, qt.IsNil, qt.Commentf("%d bytes", length))
		c.Assert(len(body), qt.Equals, length)
		c.Assert(held >= length, qt.IsTrue)
		b.release(held)
	}
	_, _, err := b.readAll(strings.NewReader(strings.Repeat("x", maxBufferedBytes+1)), maxBufferedBytes)
	c.Assert(err, qt.ErrorIs, errTooLong)
	_, _, err = b.readAll(io.MultiReader(strings.NewReader("half"), brokenBody{}), maxBufferedBytes)
	c.Assert(err, qt.ErrorIs, io.ErrUnexpectedEOF)
	c.Assert(b.used.Load(), qt.Equals, int64(0))
}

type brokenBody struct{}

func (brokenBody) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }
