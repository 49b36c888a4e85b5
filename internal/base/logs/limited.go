package logs

import (
	"sync"

	"github.com/charmbracelet/log"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/base/count"
	"siskinsaddle/internal/base/meter"
)

// The rate limit of each message: about four times the peak load of one host at
// the users' smaller sites.
const (
	linesPerSecond = 200
	burstLines     = 400
)

// Limited is a logger that limits the rate of each message with a token bucket.
// Lines with the same message but other fields share a bucket. Dropped lines
// are counted, and the next line of that message that is written reports how
// many were dropped. Errors are written as one line, without their stack.
type Limited struct {
	logger *log.Logger
	limits *limits
}

type limits struct {
	clock   clock.Clock
	count   *count.Set
	mu      sync.Mutex
	buckets map[string]*bucket // by message
}

// bucket is the token bucket of one message.
type bucket struct {
	tokens float64 // lines that may be written
	at     clock.Millis
	// dropped counts the lines dropped since the last one that was written.
	dropped int
}

// Limit returns a rate-limited logger that writes to another. counters may be
// nil.
func Limit(logger *log.Logger, c clock.Clock, counters *count.Set) *Limited {
	return &Limited{logger: logger, limits: &limits{clock: c, count: counters, buckets: map[string]*bucket{}}}
}

// WithPrefix returns a logger with a component's prefix. It shares the rate
// limits of l.
func (l *Limited) WithPrefix(prefix string) *Limited {
	return &Limited{logger: l.logger.WithPrefix(prefix), limits: l.limits}
}

// With returns a logger that adds fields to each line. It shares the rate limits
// of l.
func (l *Limited) With(fields ...any) *Limited {
	return &Limited{logger: l.logger.With(errorsToText(fields)...), limits: l.limits}
}

// Debug writes a line for developers.
func (l *Limited) Debug(text string, fields ...any) { l.write(l.logger.Debug, text, fields) }

// Info writes a line about a decision or a change.
func (l *Limited) Info(text string, fields ...any) { l.write(l.logger.Info, text, fields) }

// Warn writes a line about a fault that the program works around.
func (l *Limited) Warn(text string, fields ...any) { l.write(l.logger.Warn, text, fields) }

// Error writes a line about a fault that an operator should check.
func (l *Limited) Error(text string, fields ...any) { l.write(l.logger.Error, text, fields) }

func (l *Limited) write(logf func(any, ...any), text string, fields []any) {
	dropped, ok := l.limits.allow(text)
	if !ok {
		return
	}
	fields = errorsToText(fields)
	if dropped > 0 {
		fields = append(fields, "leftOut", dropped)
	}
	logf(text, fields...)
}

// allow reports whether a line may be written, and takes a token for it. It also
// returns how many lines with this message were dropped since the last one that
// was written.
func (m *limits) allow(text string) (int, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	b := m.buckets[text]
	if b == nil {
		b = &bucket{tokens: burstLines, at: now}
		m.buckets[text] = b
	}
	b.tokens = min(b.tokens+float64(now-b.at)*linesPerSecond/float64(clock.Second), burstLines)
	b.at = now
	if b.tokens < 1 {
		b.dropped++
		if m.count != nil {
			m.count.Add(meter.LogLinesDropped, 1, count.Label{Key: "cause", Value: "Rate"})
		}
		return 0, false
	}
	b.tokens--
	dropped := b.dropped
	b.dropped = 0
	return dropped, true
}

// errorsToText replaces errors by their messages, in place.
func errorsToText(fields []any) []any {
	for i, f := range fields {
		if err, ok := f.(error); ok {
			fields[i] = err.Error()
		}
	}
	return fields
}
