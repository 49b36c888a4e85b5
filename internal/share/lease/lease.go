// Package lease gives one host at a time a right, such as giving orders to the
// engines of a service in a failure domain, by a record in the table.
//
// The record names the holder, the fencing number and how long a token is good.
// Each renewal writes a new token under the condition that the former one still
// stands. No host compares its clock with another's:
//
//   - The holder may act until Duration less Margin after the start of its last
//     write that took effect, by its own monotonic clock.
//   - Another host takes over once it has seen the same token for Duration plus
//     Margin, by its own. The fencing number then rises by one.
//
// The holder asks Holds just before it acts. A process that is paused between
// that and the act can still act late; the fencing number goes with the act, so
// that a receiver that checks it refuses.
//
// # Usage
//
//	l := &lease.Lease{
//		Table: records, Clock: clock.System(), Name: "canvas-llm/prairie-a",
//		Host: "prairie-a-1", Incarnation: 17, Duration: 6_000, Margin: 1_000,
//	}
//	go l.Run(ctx)
//	if fence, ok := l.Holds(); ok {
//		// act, with the number
//	}
package lease

import (
	"context"
	_ "embed"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"siskinsaddle/internal/base/chart"
	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/plat/table"
)

// Kind is the kind of the table's records that hold leases.
const Kind = "Lease"

const (
	// stepsPerDuration is how often a holder renews within one Duration.
	stepsPerDuration = 3
	// maxIssued bounds the remembered tokens whose writes got no answer.
	maxIssued = 8
	// The settings of a lease where they are 0.
	defaultDuration = 6 * clock.Second
	defaultMargin   = clock.Second
)

//go:embed lease.chart.hujson
var chartFile []byte

var leaseChart = chart.MustParse("lease.chart.hujson", chartFile)

const (
	eventSeenMine  chart.Event = "SeenMine"
	eventSeenOther chart.Event = "SeenOther"
	eventReleased  chart.Event = "Released"

	stateHolding chart.State = "Holding"
)

// record is the body of a lease's record. A lease that was released has no
// holder. Records are never removed, so that the fencing number never falls.
type record struct {
	Holder      string
	Incarnation uint64
	Fence       uint64
	Duration    clock.Millis
}

// issued is a write of this host: its token and the reading of the clock before
// it was sent.
type issued struct {
	token string
	start clock.Millis
	fence uint64
}

// Lease is one host's view of one lease. Its fields are set before Run.
type Lease struct {
	Table       table.Store
	Clock       clock.Clock
	Name        string
	Host        string
	Incarnation uint64
	// Candidate tells whether this host watches the lease, so that a few hosts
	// read the table for it and not every one. Nil is always. A holder goes on
	// renewing until it releases.
	Candidate func() bool
	// Duration is how long a token is good, Margin what is taken off for the
	// holder and added for the others, both in milliseconds.
	Duration clock.Millis
	Margin   clock.Millis

	mu    sync.Mutex
	state chart.State
	// until is when this host's right ends, by its own clock.
	until clock.Millis
	fence uint64
	// token is the last one seen in the table, and since when it was first
	// seen there. wait is how long it is good by its record.
	token  string
	since  clock.Millis
	wait   clock.Millis
	issued []issued
}

// Run renews or watches the lease until the context ends, then releases it.
func (l *Lease) Run(ctx context.Context) error {
	for {
		l.Step(ctx)
		select {
		case <-ctx.Done():
			l.Release(context.WithoutCancel(ctx))
			return nil
		case <-l.Clock.Pulse(l.duration() / stepsPerDuration):
		}
	}
}

// Holds returns the fencing number, and whether this host may act now.
func (l *Lease) Holds() (uint64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fence, l.state == stateHolding && l.Clock.Now() < l.until
}

// Step reads the record, and writes it if this host holds the lease or may take
// it over. A read that fails leaves everything as it is, so that the right of a
// holder ends by its own clock.
func (l *Lease) Step(ctx context.Context) {
	if !l.watches() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, (l.duration() / stepsPerDuration).Duration())
	defer cancel()
	r, err := l.Table.Get(ctx, Kind, l.Name)
	if errors.Is(err, table.ErrAbsent) {
		l.write(ctx, record{}, table.IfAbsent())
		return
	}
	if err != nil {
		return
	}
	var seen record
	if err := msgpack.Unmarshal(r.Body, &seen); err != nil {
		return
	}
	if l.see(r.Token, seen) {
		l.write(ctx, seen, table.IfToken(r.Token))
	}
}

func (l *Lease) watches() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state == stateHolding || l.Candidate == nil || l.Candidate()
}

// Release ends the right of this host and lets another take over at once. The
// tokens written before give no right any more, even if the release itself is
// lost or late, since from then on another host may hold.
func (l *Lease) Release(ctx context.Context) {
	l.mu.Lock()
	token, fence := l.token, l.fence
	holding := l.state == stateHolding
	l.move(eventReleased)
	l.issued = nil
	l.mu.Unlock()
	if !holding {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, (l.duration() / stepsPerDuration).Duration())
	defer cancel()
	body, err := msgpack.Marshal(record{Fence: fence, Duration: l.duration()})
	if err != nil {
		return
	}
	// A release that fails costs the next holder one wait and nothing else.
	_ = l.Table.Put(ctx, table.Record{Kind: Kind, Name: l.Name, Token: table.NewToken(), Body: body}, table.IfToken(token))
}

// see takes note of a token that stands in the table, and tells whether this
// host may write over it.
func (l *Lease) see(token string, r record) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Clock.Now()
	if token != l.token {
		l.token, l.since, l.wait = token, now, r.Duration+l.margin()
	}
	if mine, ok := l.find(token); ok {
		l.hold(mine)
		return true
	}
	l.move(eventSeenOther)
	return r.Holder == "" || now-l.since >= l.wait
}

// write renews or takes over. An unsure write is found by its token at the next
// step, if it took effect.
func (l *Lease) write(ctx context.Context, seen record, c table.Condition) {
	mine := l.issue(seen)
	body, err := msgpack.Marshal(record{Holder: l.Host, Incarnation: l.Incarnation, Fence: mine.fence, Duration: l.duration()})
	if err != nil {
		return
	}
	err = l.Table.Put(ctx, table.Record{Kind: Kind, Name: l.Name, Token: mine.token, Body: body}, c)
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case err == nil:
		l.token, l.since, l.wait = mine.token, l.Clock.Now(), l.duration()+l.margin()
		l.issued = []issued{mine}
		l.hold(mine)
	case errors.Is(err, table.ErrUnsure):
		l.issued = append(l.issued, mine)
		l.issued = l.issued[max(0, len(l.issued)-maxIssued):]
	}
}

// issue makes a token. A renewal keeps the fencing number, a takeover raises it.
func (l *Lease) issue(seen record) issued {
	l.mu.Lock()
	defer l.mu.Unlock()
	fence := seen.Fence + 1
	if l.state == stateHolding {
		fence = seen.Fence
	}
	return issued{token: table.NewToken(), start: l.Clock.Now(), fence: fence}
}

// hold sets the right that one write of this host gives.
func (l *Lease) hold(w issued) {
	l.move(eventSeenMine)
	l.fence = w.fence
	l.until = max(l.until, w.start+l.duration()-l.margin())
}

func (l *Lease) find(token string) (issued, bool) {
	for _, w := range l.issued {
		if w.token == token {
			return w, true
		}
	}
	return issued{}, false
}

// move steps the chart. An event that a state does not take changes nothing.
func (l *Lease) move(event chart.Event) {
	if l.state == "" {
		l.state = leaseChart.Initial
	}
	step, err := leaseChart.Step(l.state, event)
	if err == nil {
		l.state = step.To
	}
	if l.state != stateHolding {
		l.until = 0
	}
}

func (l *Lease) duration() clock.Millis {
	if l.Duration > 0 {
		return l.Duration
	}
	return defaultDuration
}

func (l *Lease) margin() clock.Millis {
	if l.Margin > 0 {
		return l.Margin
	}
	return defaultMargin
}
