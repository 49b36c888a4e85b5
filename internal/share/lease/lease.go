// Package lease implements a lease that at most one host holds at a time, such as
// the lease to send orders to the engines of a service in a failure domain. It
// is stored as a record in the table.
//
// The record names the holder, the fencing number and how long a token is valid.
// Each renewal writes a new token on condition that the table still holds the
// former one. No host compares its clock with another's:
//
//   - The holder may act until Duration less Margin after the start of its last
//     successful write, by its own monotonic clock.
//   - Another host takes over once it has seen the same token for Duration plus
//     Margin, by its own clock. The fencing number then rises by one.
//
// The holder calls Holds immediately before it acts. A process that is paused
// between the two can still act late. The fencing number is sent with the action,
// so that a receiver that checks it can refuse.
//
// # Usage
//
//	l := &lease.Lease{
//		Table: records, Clock: clock.System(), Name: "canvas-llm/prairie-a",
//		Host: "prairie-a-1", Incarnation: 17, Duration: 6_000, Margin: 1_000,
//	}
//	go l.Run(ctx)
//	if fence, ok := l.Holds(); ok {
//		// act, and send the fencing number along
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
	// stepsPerDuration is the number of renewals within one Duration.
	stepsPerDuration = 3
	// maxOwnWrites bounds the writes that are kept because their result is unknown.
	maxOwnWrites = 8
	// Defaults of Lease.Duration and Lease.Margin.
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

// record is the body of a lease's table record. A released lease has no holder.
// Records are never deleted, so that the fencing number never decreases.
type record struct {
	Holder      string
	Incarnation uint64
	Fence       uint64
	Duration    clock.Millis
}

// ownWrite is a write of this host: its token, its fencing number and the time
// before it was sent.
type ownWrite struct {
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
	// Candidate reports whether this host watches the lease, so that only a few
	// hosts read the table for it. Nil means always. A holder continues to renew
	// until it releases the lease.
	Candidate func() bool
	// Duration is how long a token is valid. Margin is subtracted from it for the
	// holder and added to it for other hosts. Both are in milliseconds.
	Duration clock.Millis
	Margin   clock.Millis

	mu    sync.Mutex
	state chart.State
	// expiry is when this host's lease expires, by its own clock.
	expiry clock.Millis
	fence  uint64
	// token is the last one read from the table, seenAt when this host first saw
	// it, and takeoverWait how long it must stay unchanged before a takeover.
	token        string
	seenAt       clock.Millis
	takeoverWait clock.Millis
	ownWrites    []ownWrite
}

// Run renews or watches the lease until the context ends, then releases it.
func (l *Lease) Run(ctx context.Context) error {
	for {
		l.Step(ctx)
		select {
		case <-ctx.Done():
			l.Release(context.WithoutCancel(ctx))
			return nil
		case <-l.Clock.AfterTick(l.duration() / stepsPerDuration):
		}
	}
}

// Holds returns the fencing number and whether this host holds the lease now.
func (l *Lease) Holds() (uint64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fence, l.state == stateHolding && l.Clock.Now() < l.expiry
}

// Step reads the record, and writes it if this host holds the lease or may take
// it over. A failed read changes nothing: the lease of a holder then expires by
// its own clock.
func (l *Lease) Step(ctx context.Context) {
	if !l.participates() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, (l.duration() / stepsPerDuration).Duration())
	defer cancel()
	r, err := l.Table.Get(ctx, Kind, l.Name)
	if errors.Is(err, table.ErrNotFound) {
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
	if l.observe(r.Token, seen) {
		l.write(ctx, seen, table.IfToken(r.Token))
	}
}

// participates reports whether this host reads the record.
func (l *Lease) participates() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state == stateHolding || l.Candidate == nil || l.Candidate()
}

// Release gives up the lease and lets another host take over at once. Tokens
// written earlier are no longer valid on this host, even if the release itself
// is lost or late, since another host may hold the lease from then on.
func (l *Lease) Release(ctx context.Context) {
	l.mu.Lock()
	token, fence := l.token, l.fence
	holding := l.state == stateHolding
	l.apply(eventReleased)
	l.ownWrites = nil
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
	// If the release fails, the next holder only waits for the lease to expire.
	_ = l.Table.Put(ctx, table.Record{Kind: Kind, Name: l.Name, Token: table.NewToken(), Body: body}, table.IfToken(token))
}

// observe records the token that the table holds, and reports whether this host
// may overwrite it.
func (l *Lease) observe(token string, r record) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Clock.Now()
	if token != l.token {
		l.token, l.seenAt, l.takeoverWait = token, now, r.Duration+l.margin()
	}
	if own, ok := l.findWrite(token); ok {
		l.extend(own)
		return true
	}
	l.apply(eventSeenOther)
	return r.Holder == "" || now-l.seenAt >= l.takeoverWait
}

// write renews or takes over the lease. If a write with an unknown result took
// effect, the next step recognizes its token.
func (l *Lease) write(ctx context.Context, seen record, c table.Condition) {
	own := l.newWrite(seen)
	body, err := msgpack.Marshal(record{Holder: l.Host, Incarnation: l.Incarnation, Fence: own.fence, Duration: l.duration()})
	if err != nil {
		return
	}
	err = l.Table.Put(ctx, table.Record{Kind: Kind, Name: l.Name, Token: own.token, Body: body}, c)
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case err == nil:
		l.token, l.seenAt, l.takeoverWait = own.token, l.Clock.Now(), l.duration()+l.margin()
		l.ownWrites = []ownWrite{own}
		l.extend(own)
	case errors.Is(err, table.ErrOutcomeUnknown):
		l.ownWrites = append(l.ownWrites, own)
		l.ownWrites = l.ownWrites[max(0, len(l.ownWrites)-maxOwnWrites):]
	}
}

// newWrite creates a token. A renewal keeps the fencing number, a takeover
// increments it.
func (l *Lease) newWrite(seen record) ownWrite {
	l.mu.Lock()
	defer l.mu.Unlock()
	fence := seen.Fence + 1
	if l.state == stateHolding {
		fence = seen.Fence
	}
	return ownWrite{token: table.NewToken(), start: l.Clock.Now(), fence: fence}
}

// extend extends the lease by one write of this host.
func (l *Lease) extend(w ownWrite) {
	l.apply(eventSeenMine)
	l.fence = w.fence
	l.expiry = max(l.expiry, w.start+l.duration()-l.margin())
}

func (l *Lease) findWrite(token string) (ownWrite, bool) {
	for _, w := range l.ownWrites {
		if w.token == token {
			return w, true
		}
	}
	return ownWrite{}, false
}

// apply steps the state chart. An event without a transition in the current state
// changes nothing.
func (l *Lease) apply(event chart.Event) {
	if l.state == "" {
		l.state = leaseChart.Initial
	}
	step, err := leaseChart.Step(l.state, event)
	if err == nil {
		l.state = step.To
	}
	if l.state != stateHolding {
		l.expiry = 0
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
