package logs

import (
	"sync"

	"github.com/charmbracelet/log"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/base/count"
	"siskinsaddle/internal/base/meter"
)

// The rate of each kind of line: about four times what one host of the users'
// smaller sites gets at a crest.
const (
	linesPerSecond = 200
	linesAtOnce    = 400
)

// Limited is a logger that bounds the lines of each kind. A kind is a line's
// text. What was left out is counted and said in the next line of its kind.
// Errors are written as one line, without their stack.
type Limited struct {
	to     *log.Logger
	limits *limits
}

type limits struct {
	clock clock.Clock
	count *count.Set
	mu    sync.Mutex
	kinds map[string]*kind
}

// kind is a bucket of lines that may be written.
type kind struct {
	left    float64
	at      clock.Millis
	leftOut int
}

// Limit bounds what is written to a logger.
func Limit(to *log.Logger, c clock.Clock, counters *count.Set) *Limited {
	return &Limited{to: to, limits: &limits{clock: c, count: counters, kinds: map[string]*kind{}}}
}

// WithPrefix names the part of the program that logs. Kinds are shared.
func (l *Limited) WithPrefix(prefix string) *Limited {
	return &Limited{to: l.to.WithPrefix(prefix), limits: l.limits}
}

// With adds fields to each line.
func (l *Limited) With(fields ...any) *Limited {
	return &Limited{to: l.to.With(plain(fields)...), limits: l.limits}
}

// Debug writes a line for developers.
func (l *Limited) Debug(text string, fields ...any) { l.write(l.to.Debug, text, fields) }

// Info writes a line about a decision or a change.
func (l *Limited) Info(text string, fields ...any) { l.write(l.to.Info, text, fields) }

// Warn writes a line about something that works around a fault.
func (l *Limited) Warn(text string, fields ...any) { l.write(l.to.Warn, text, fields) }

// Error writes a line about something that somebody should look at.
func (l *Limited) Error(text string, fields ...any) { l.write(l.to.Error, text, fields) }

func (l *Limited) write(to func(any, ...any), text string, fields []any) {
	leftOut, ok := l.limits.take(text)
	if !ok {
		return
	}
	fields = plain(fields)
	if leftOut > 0 {
		fields = append(fields, "leftOut", leftOut)
	}
	to(text, fields...)
}

// take pays for a line. It returns how many of its kind were left out before.
func (m *limits) take(text string) (int, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	k := m.kinds[text]
	if k == nil {
		k = &kind{left: linesAtOnce, at: now}
		m.kinds[text] = k
	}
	k.left = min(k.left+float64(now-k.at)*linesPerSecond/float64(clock.Second), linesAtOnce)
	k.at = now
	if k.left < 1 {
		k.leftOut++
		if m.count != nil {
			m.count.Add(meter.LeftOut, 1, count.Label{Key: "cause", Value: "Rate"})
		}
		return 0, false
	}
	k.left--
	leftOut := k.leftOut
	k.leftOut = 0
	return leftOut, true
}

// plain replaces errors by their text.
func plain(fields []any) []any {
	for i, f := range fields {
		if err, ok := f.(error); ok {
			fields[i] = err.Error()
		}
	}
	return fields
}
