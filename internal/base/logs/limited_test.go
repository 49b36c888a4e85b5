package logs_test

import (
	"bytes"
	"errors"
	"io"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/base/count"
	"siskinsaddle/internal/base/logs"
)

// syncBuffer is a bytes.Buffer that is safe for concurrent use.
type syncBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// The burst of 400 lines is written and the other 4600 are counted. Once the
// bucket has tokens again, the next line reports how many were dropped.
func TestRepeatedMessageIsRateLimitedAndCounted(t *testing.T) {
	c := qt.New(t)
	out := &syncBuffer{}
	m := clock.NewManual(1_000)
	set := count.NewSet()
	l := logs.Limit(logs.New(out, logs.LevelInfo), m.Clock(), set)
	for range 5_000 {
		l.Info("A flood.")
	}
	l.Info("Another message.")
	written := strings.Count(out.String(), "A flood.")
	c.Assert(written, qt.Equals, 400)
	c.Assert(strings.Contains(out.String(), "Another message."), qt.IsTrue)
	c.Assert(set.Count("siskinsaddle_log_lines_left_out_total", count.Label{Key: "cause", Value: "Rate"}), qt.Equals, int64(4_600))
	m.Advance(1_000)
	l.Info("A flood.")
	c.Assert(strings.Contains(out.String(), "leftOut=4600"), qt.IsTrue)
}

// An error with a stack would span several lines; only its message is written.
func TestErrorFieldIsWrittenOnOneLine(t *testing.T) {
	c := qt.New(t)
	out := &syncBuffer{}
	l := logs.Limit(logs.New(out, logs.LevelInfo), clock.System(), nil)
	l.Warn("It failed.", "err", errors.New("the reason"))
	c.Assert(strings.Count(out.String(), "\n"), qt.Equals, 1)
	c.Assert(strings.Contains(out.String(), `err="the reason"`), qt.IsTrue)
}

// A pipe that nobody reads fills up; writes to the queue must not block on it.
func TestStalledReaderDoesNotBlockWrites(t *testing.T) {
	c := qt.New(t)
	reader, writer, err := os.Pipe()
	c.Assert(err, qt.IsNil)
	q := logs.NewQueue(writer)
	line := []byte(strings.Repeat("x", 1_000) + "\n")
	finished := make(chan struct{})
	go func() {
		defer close(finished)
		for range 10_000 {
			_, _ = q.Write(line)
		}
	}()
	<-finished // hangs if a write waits for the reader
	c.Assert(q.Dropped() > 0, qt.IsTrue)
	go func() { _, _ = io.Copy(io.Discard, reader) }()
	q.Close(clock.System(), 60*clock.Second)
	c.Assert(writer.Close(), qt.IsNil)
}

// The queue overflows while the writer is blocked; after that, the number of
// dropped lines must be reported.
func TestDroppedLinesAreReportedWithTheNextLine(t *testing.T) {
	c := qt.New(t)
	out := &blockingWriter{unblocked: make(chan struct{})}
	q := logs.NewQueue(out)
	for range 5_000 {
		_, _ = q.Write([]byte("a line\n"))
	}
	close(out.unblocked)
	q.Close(clock.System(), 60*clock.Second)
	c.Assert(strings.Contains(out.String(), `msg="Log lines dropped." cause=Queue`), qt.IsTrue)
}

// blockingWriter is a writer that blocks until unblocked is closed.
type blockingWriter struct {
	syncBuffer
	unblocked chan struct{}
}

func (w *blockingWriter) Write(p []byte) (int, error) {
	<-w.unblocked
	return w.syncBuffer.Write(p)
}

// Close gives up at its timeout while the writer is still blocked.
func TestCloseTimesOutOnStalledReader(t *testing.T) {
	c := qt.New(t)
	out := &blockingWriter{unblocked: make(chan struct{})}
	q := logs.NewQueue(out)
	_, _ = q.Write([]byte("a line\n"))
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		q.Close(clock.System(), 10)
	}()
	<-closed
	close(out.unblocked)
	c.Assert(q.Dropped(), qt.Equals, int64(0))
}

// Goroutines of a host still log while its process ends.
func TestWritesDuringAndAfterCloseAreDropped(t *testing.T) {
	c := qt.New(t)
	out := &syncBuffer{}
	q := logs.NewQueue(out)
	const writers, lines = 16, 500
	var all sync.WaitGroup
	for range writers {
		all.Go(func() {
			for range lines {
				_, err := q.Write([]byte("line\n"))
				c.Check(err, qt.IsNil)
			}
		})
	}
	time.Sleep(time.Millisecond)
	q.Close(clock.System(), 10*clock.Second)
	all.Wait()
	_, err := q.Write([]byte("late\n"))
	c.Assert(err, qt.IsNil)
	c.Assert(q.Dropped() > 0, qt.IsTrue)
	c.Assert(int64(strings.Count(out.String(), "line\n"))+q.Dropped(), qt.Equals, int64(writers*lines+1))
	c.Assert(strings.Contains(out.String(), "late"), qt.IsFalse)
}
