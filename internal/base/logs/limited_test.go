package logs_test

import (
	"bytes"
	"errors"
	"io"
	"os"
	"strings"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/base/count"
	"siskinsaddle/internal/base/logs"
)

// lines is a writer that counts.
type lines struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *lines) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

func (l *lines) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

func TestAFloodOfOneKindIsBoundedAndSaid(t *testing.T) {
	c := qt.New(t)
	out := &lines{}
	m := clock.NewManual(1_000)
	set := count.NewSet()
	l := logs.Limit(logs.New(out, logs.LevelInfo), m.Clock(), set)
	for range 5_000 {
		l.Info("A flood.")
	}
	l.Info("Another kind.")
	written := strings.Count(out.String(), "A flood.")
	c.Assert(written, qt.Equals, 400)
	c.Assert(strings.Contains(out.String(), "Another kind."), qt.IsTrue)
	c.Assert(set.Count("siskinsaddle_log_lines_left_out_total", count.Label{Key: "cause", Value: "Rate"}), qt.Equals, int64(4_600))
	m.Advance(1_000)
	l.Info("A flood.")
	c.Assert(strings.Contains(out.String(), "leftOut=4600"), qt.IsTrue)
}

func TestAnErrorIsOneLine(t *testing.T) {
	c := qt.New(t)
	out := &lines{}
	l := logs.Limit(logs.New(out, logs.LevelInfo), clock.System(), nil)
	l.Warn("It failed.", "err", errors.New("the reason"))
	c.Assert(strings.Count(out.String(), "\n"), qt.Equals, 1)
	c.Assert(strings.Contains(out.String(), `err="the reason"`), qt.IsTrue)
}

// A pipe that nobody reads fills up; a write to the queue must not wait for it.
func TestAStalledReaderDoesNotBlock(t *testing.T) {
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
	c.Assert(q.LeftOut() > 0, qt.IsTrue)
	go func() { _, _ = io.Copy(io.Discard, reader) }()
	q.Close(clock.System(), 60*clock.Second)
	c.Assert(writer.Close(), qt.IsNil)
}

func TestWhatWasLeftOutIsSaidInTheNextLine(t *testing.T) {
	c := qt.New(t)
	out := &gate{open: make(chan struct{})}
	q := logs.NewQueue(out)
	for range 5_000 {
		_, _ = q.Write([]byte("a line\n"))
	}
	close(out.open)
	q.Close(clock.System(), 60*clock.Second)
	c.Assert(strings.Contains(out.String(), `msg="Lines were left out." cause=Queue`), qt.IsTrue)
}

// gate is a writer that stalls until it is opened.
type gate struct {
	lines
	open chan struct{}
}

func (g *gate) Write(p []byte) (int, error) {
	<-g.open
	return g.lines.Write(p)
}

func TestCloseDoesNotWaitForAStalledReaderForever(t *testing.T) {
	c := qt.New(t)
	out := &gate{open: make(chan struct{})}
	q := logs.NewQueue(out)
	_, _ = q.Write([]byte("a line\n"))
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		q.Close(clock.System(), 10)
	}()
	<-closed
	close(out.open)
	c.Assert(q.LeftOut(), qt.Equals, int64(0))
}
