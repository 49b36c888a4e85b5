package logs

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"

	"siskinsaddle/internal/base/clock"
)

// queueLines is the number of lines buffered while the reader of the output is
// stalled: a few seconds of lines at peak load.
const queueLines = 2_048

// Queue is a writer that never blocks: lines wait in a queue of fixed size for
// one goroutine that writes them. When the queue is full, lines are dropped and
// counted; a warning with their number precedes the next line that is written.
type Queue struct {
	lines chan []byte
	out   io.Writer
	// dropped counts the dropped lines that no warning has reported yet.
	dropped atomic.Int64
	// total counts all dropped lines, including those whose write failed.
	total atomic.Int64
	done  chan struct{}
	close sync.Once
}

// NewQueue returns a Queue that writes to out, and starts its goroutine.
func NewQueue(out io.Writer) *Queue {
	q := &Queue{lines: make(chan []byte, queueLines), out: out, done: make(chan struct{})}
	go q.run()
	return q
}

// Write queues a whole line or drops it. It never blocks and never fails.
func (q *Queue) Write(line []byte) (int, error) {
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.dropped.Add(1)
		q.total.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped so far.
func (q *Queue) Dropped() int64 { return q.total.Load() }

func (q *Queue) run() {
	defer close(q.done)
	for line := range q.lines {
		if dropped := q.dropped.Swap(0); dropped > 0 {
			line = append(fmt.Appendf(nil, "level=warn prefix=logs msg=\"Log lines dropped.\" cause=Queue lines=%d\n", dropped), line...)
		}
		if _, err := q.out.Write(line); err != nil {
			// A failed write cannot be logged; it shows in the metrics.
			q.total.Add(1)
		}
	}
}

// Close writes the queued lines, for at most wait milliseconds. Write must not
// be called afterwards.
func (q *Queue) Close(c clock.Clock, wait clock.Millis) {
	q.close.Do(func() { close(q.lines) })
	select {
	case <-q.done:
	case <-c.After(wait):
	}
}
