package claim

import (
	"bytes"
	"context"

	"github.com/cockroachdb/errors"

	"siskinsaddle/internal/base/chart"
	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/plat/table"
)

const (
	// retrySoon is for a request that is in progress, retryLater for a store
	// that is down. In milliseconds.
	retrySoon  clock.Millis = 250
	retryLater              = clock.Second
	// faultsToPause is how many calls to the table fail one after the other
	// before claims are refused without a call.
	faultsToPause = 3
)

func refuse(reason Reason, ran Ran, after clock.Millis) Verdict {
	return Verdict{Kind: VerdictRefuse, Reason: reason, Ran: ran, RetryAfter: after}
}

// Claim says whether to send a request, to replay its answer or to refuse it.
// After VerdictSend exactly one of Finish, NotSent and Unknown must follow.
func (d *Desk) Claim(ctx context.Context, o Order) Verdict {
	e := &entry{name: nameOf(o), order: o}
	v, reserved := d.reserve(e)
	if reserved {
		v = d.claim(ctx, e)
		d.unreserve(e, v.Kind == VerdictSend)
	}
	if v.Kind == VerdictRefuse {
		d.add("siskinsaddle_claims_refused_total", string(v.Reason))
	}
	return v
}

// claim tries a new record first, which needs no read in the usual case.
func (d *Desk) claim(ctx context.Context, e *entry) Verdict {
	if d.paused() {
		return refuse(ReasonStoreDown, RanNo, retryLater)
	}
	v, conflict := d.take(ctx, e, stored{record: record{State: stateAbsent}})
	if conflict {
		return d.meet(ctx, e)
	}
	return v
}

// take writes the claim over the record that was seen. It tells apart the
// conflict with a record that was not seen.
func (d *Desk) take(ctx context.Context, e *entry, seen stored) (v Verdict, conflict bool) {
	err := d.issue(ctx, e, seen, eventClaim)
	switch {
	case err == nil:
		return Verdict{Kind: VerdictSend, Ticket: e.ticket}, false
	case errors.Is(err, table.ErrConflict):
		return refuse(ReasonInProgress, RanUnknown, retrySoon), true
	case errors.Is(err, table.ErrUnsure):
		return d.confirm(ctx, e, seen), false
	default:
		return refuse(ReasonStoreDown, RanNo, retryLater), false
	}
}

// confirm reads back a claim whose write got no answer. Over the record that was
// seen, it may still arrive: nothing is sent, and Run sees to it that the claim
// is given up. Over any other record it never will.
func (d *Desk) confirm(ctx context.Context, e *entry, seen stored) Verdict {
	now, err := d.read(ctx, e.name)
	switch {
	case err == nil && now.token == e.ticket.token:
		return Verdict{Kind: VerdictSend, Ticket: e.ticket}
	case err == nil && now.token != seen.token:
		return refuse(ReasonInProgress, RanUnknown, retrySoon)
	default:
		d.abandon(e, seen, stateNotRun)
		return refuse(ReasonStoreUnsure, RanNo, retryLater)
	}
}

// issue makes a ticket and writes the claim over the record that was seen. The
// fencing number follows the wall clock, so that it rises also over a record
// that has been removed.
func (d *Desk) issue(ctx context.Context, e *entry, seen stored, event chart.Event) error {
	move, err := claimChart.Step(seen.State, event)
	if err != nil {
		return err
	}
	fence := max(seen.Fence+1, uint64(max(d.Clock.Wall(), 1)))
	d.setTicket(e, Ticket{Fence: fence, name: e.name, token: table.NewToken(), order: e.order})
	return d.put(ctx, e.name, e.ticket.token, d.owned(e, move.To), seen.condition())
}

func (d *Desk) setTicket(e *entry, t Ticket) {
	d.mu.Lock()
	defer d.mu.Unlock()
	e.ticket = t
}

// owned is a record of this host under its ticket.
func (d *Desk) owned(e *entry, state chart.State) record {
	return record{
		State:       state,
		Owner:       d.Host,
		Incarnation: d.Incarnation,
		Fence:       e.ticket.Fence,
		Hash:        e.order.Hash[:],
	}
}

// meet decides about a key that has a record.
func (d *Desk) meet(ctx context.Context, e *entry) Verdict {
	seen, err := d.read(ctx, e.name)
	if err != nil {
		return refuse(ReasonStoreDown, RanUnknown, retryLater)
	}
	if seen.expired(d.Clock.Wall()) {
		seen = stored{record: record{State: stateAbsent, Fence: seen.Fence}, token: seen.token}
	}
	if seen.State != stateAbsent && !bytes.Equal(seen.Hash, e.order.Hash[:]) {
		return refuse(ReasonKeyReused, RanNo, 0)
	}
	if seen.State == stateClaimed && !d.gone(seen.record) {
		return refuse(ReasonInProgress, RanUnknown, retrySoon)
	}
	return meetings[seen.State](d, ctx, e, seen)
}

// meetings says what to do about a record of another call, by its state. An
// open claim comes here only if its owner is gone.
var meetings = map[chart.State]func(d *Desk, ctx context.Context, e *entry, seen stored) Verdict{
	stateAbsent:  (*Desk).retake,
	stateNotRun:  (*Desk).retake,
	stateClaimed: (*Desk).find,
	stateUnknown: (*Desk).find,
	stateDone:    (*Desk).replay,
}

func (d *Desk) retake(ctx context.Context, e *entry, seen stored) Verdict {
	v, _ := d.take(ctx, e, seen)
	return v
}

// find tries to learn what became of a request.
func (d *Desk) find(ctx context.Context, e *entry, seen stored) Verdict {
	switch {
	case e.order.HasLookUp && e.order.ChecksFencing:
		return d.takeOver(ctx, e, seen)
	case e.order.HasLookUp:
		return d.ask(ctx, e, seen)
	default:
		return refuse(ReasonUnknownOutcome, RanUnknown, 0)
	}
}

// gone tells whether the owner of a claim can do nothing more about it. This
// process has its own claims in memory, and came here because it has not.
func (d *Desk) gone(r record) bool {
	if r.Owner == d.Host && r.Incarnation == d.Incarnation {
		return true
	}
	return d.Gone(r.Owner, r.Incarnation)
}

func (d *Desk) replay(ctx context.Context, _ *entry, seen stored) Verdict {
	answer, err := d.response(ctx, seen.record)
	if err != nil {
		return refuse(ReasonAnswerNotKept, RanYes, retryLater)
	}
	return Verdict{Kind: VerdictReplay, Response: answer}
}

// takeOver raises the fencing number in the record and then shows it to the
// service, which from then on refuses the former owner. Only then does "not
// run" mean that nobody else can still run the request.
func (d *Desk) takeOver(ctx context.Context, e *entry, seen stored) Verdict {
	err := d.issue(ctx, e, seen, eventTakeOver)
	if errors.Is(err, table.ErrUnsure) {
		now, readErr := d.read(ctx, e.name)
		if readErr != nil || now.token != e.ticket.token {
			d.abandon(e, seen, stateUnknown)
			return refuse(ReasonStoreUnsure, RanUnknown, retryLater)
		}
		err = nil
	}
	if errors.Is(err, table.ErrConflict) {
		return refuse(ReasonInProgress, RanUnknown, retrySoon)
	}
	if err != nil {
		return refuse(ReasonStoreDown, RanUnknown, retryLater)
	}
	found := d.LookUp(ctx, e.order, e.ticket.Fence)
	switch found.Kind {
	case LookUpNotRun:
		return Verdict{Kind: VerdictSend, Ticket: e.ticket}
	case LookUpRan:
		d.settleLater(e, outcome{event: eventFoundRan, answer: found.Response})
		return Verdict{Kind: VerdictReplay, Response: found.Response}
	default:
		d.settleLater(e, outcome{event: eventLost})
		return refuse(ReasonUnknownOutcome, RanUnknown, retryLater)
	}
}

// ask looks up a request at a service that does not check fencing numbers. That
// it ran is believed; that it did not run is not, since the owner may wake.
func (d *Desk) ask(ctx context.Context, e *entry, seen stored) Verdict {
	found := d.LookUp(ctx, e.order, 0)
	if found.Kind != LookUpRan {
		return refuse(ReasonUnknownOutcome, RanUnknown, retryLater)
	}
	d.setTicket(e, Ticket{Fence: seen.Fence, name: e.name, token: seen.token, order: e.order})
	d.settleLater(e, outcome{event: eventFoundRan, answer: found.Response})
	return Verdict{Kind: VerdictReplay, Response: found.Response}
}

// paused tells whether the table failed often enough to refuse without a call.
func (d *Desk) paused() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.faults >= faultsToPause && d.Clock.Now() < d.retryAt
}

// note counts the failures of the table that follow each other.
func (d *Desk) note(err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err == nil || errors.Is(err, table.ErrConflict) {
		d.faults = 0
		return
	}
	d.faults++
	d.retryAt = d.Clock.Now() + orElse(d.RetryEvery, defaultRetryEvery)
}
