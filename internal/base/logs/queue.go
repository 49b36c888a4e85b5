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
	// mu guards closed and the closing of lines. Writers share it, so that they wait for
	// Close only.
	mu     sync.RWMutex
	closed bool
}

// NewQueue returns a Queue that writes to out, and starts its goroutine.
func NewQueue(out io.Writer) *Queue {
	q := &Queue{lines: make(chan []byte, queueLines), out: out, done: make(chan struct{})}
	go q.run()
	return q
}

// Write queues a whole line or drops it, as it does after Close. It never blocks and never
// fails.
func (q *Queue) Write(line []byte) (int, error) {
	if !q.queue(append([]byte(nil), line...)) {
		q.dropped.Add(1)
		q.total.Add(1)
	}
	return len(line), nil
}

func (q *Queue) queue(line []byte) bool {
	q.mu.RLock()
	defer q.mu.RUnlock()
	if q.closed {
		return false
	}
	select {
	case q.lines <- line:
		return true
	default:
		return false
	}
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

// Close writes the queued lines, for at most wait milliseconds. Goroutines may go on to
// write; their lines are dropped and counted.
func (q *Queue) Close(c clock.Clock, wait clock.Millis) {
	q.mu.Lock()
	if !q.closed {
		q.closed = true
		close(q.lines)
	}
	q.mu.Unlock()
	select {
	case <-q.done:
	case <-c.After(wait):
	}
}
