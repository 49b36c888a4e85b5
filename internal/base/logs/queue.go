package logs

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"

	"siskinsaddle/internal/base/clock"
)

// queueLines is how many lines wait for a reader of the output that has
// stalled: some seconds of a crest.
const queueLines = 2_048

// Queue is a writer that never blocks: lines wait in a queue of fixed size for
// one goroutine that writes them. When the queue is full, a line is left out
// and counted, and the next line that is written says how many were.
type Queue struct {
	lines chan []byte
	out   io.Writer
	left  atomic.Int64
	total atomic.Int64
	done  chan struct{}
	close sync.Once
}

// NewQueue returns a Queue in front of a writer.
func NewQueue(out io.Writer) *Queue {
	q := &Queue{lines: make(chan []byte, queueLines), out: out, done: make(chan struct{})}
	go q.run()
	return q
}

// Write takes a whole line. It always succeeds.
func (q *Queue) Write(line []byte) (int, error) {
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.left.Add(1)
		q.total.Add(1)
	}
	return len(line), nil
}

// LeftOut is the number of lines that were left out so far.
func (q *Queue) LeftOut() int64 { return q.total.Load() }

func (q *Queue) run() {
	defer close(q.done)
	for line := range q.lines {
		if left := q.left.Swap(0); left > 0 {
			line = append(fmt.Appendf(nil, "level=warn prefix=logs msg=\"Lines were left out.\" cause=Queue lines=%d\n", left), line...)
		}
		if _, err := q.out.Write(line); err != nil {
			// There is nowhere to report it; the count shows in the metrics.
			q.total.Add(1)
		}
	}
}

// Close writes what waits, for at most this many milliseconds. Nothing may be
// written afterwards.
func (q *Queue) Close(c clock.Clock, wait clock.Millis) {
	q.close.Do(func() { close(q.lines) })
	select {
	case <-q.done:
	case <-c.After(wait):
	}
}
