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
	// retrySoon is the RetryAfter for a request in progress, retryLater that
	// for a store that is down. In milliseconds.
	retrySoon  clock.Millis = 250
	retryLater              = clock.Second
	// failuresBeforeBackoff is the number of consecutive failed calls to the
	// table after which claims are refused without a call.
	failuresBeforeBackoff = 3
)

func refuse(reason Reason, ran Ran, after clock.Millis) Verdict {
	return Verdict{Kind: VerdictRefuse, Reason: reason, Ran: ran, RetryAfter: after}
}

// Claim decides whether to send a request, replay its response or refuse it.
// After VerdictSend the caller must call exactly one of Finish, NotSent and
// Unknown.
func (d *Desk) Claim(ctx context.Context, o Order) Verdict {
	e := &entry{name: recordName(o), order: o}
	v, reserved := d.reserve(e)
	if reserved {
		v = d.claim(ctx, e)
		d.unreserve(e, v.Kind == VerdictSend)
	}
	if v.Kind == VerdictRefuse {
		d.countReason("siskinsaddle_claims_refused_total", string(v.Reason))
	}
	return v
}

// claim tries to create a new record first, so the common case needs no read.
func (d *Desk) claim(ctx context.Context, e *entry) Verdict {
	if d.inBackoff() {
		return refuse(ReasonStoreDown, RanNo, retryLater)
	}
	v, conflict := d.take(ctx, e, stored{record: record{State: stateAbsent}})
	if conflict {
		return d.claimExisting(ctx, e)
	}
	return v
}

// take writes the claim over the record seen. conflict reports whether the write
// failed because the table holds another record.
func (d *Desk) take(ctx context.Context, e *entry, seen stored) (v Verdict, conflict bool) {
	err := d.issueTicket(ctx, e, seen, eventClaim)
	switch {
	case err == nil:
		return Verdict{Kind: VerdictSend, Ticket: e.ticket}, false
	case errors.Is(err, table.ErrConflict):
		return refuse(ReasonInProgress, RanUnknown, retrySoon), true
	case errors.Is(err, table.ErrOutcomeUnknown):
		return d.confirm(ctx, e, seen), false
	default:
		return refuse(ReasonStoreDown, RanNo, retryLater), false
	}
}

// confirm reads back a claim whose write got no answer. While the table still
// holds the record seen, the write may yet take effect: nothing is sent, and the
// claim is abandoned by Run. Over any other record the write can no longer take
// effect.
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

// issueTicket creates a ticket and writes the claim over the record seen. The
// fencing number follows the wall clock, so it also increases across a record
// that was removed.
func (d *Desk) issueTicket(ctx context.Context, e *entry, seen stored, event chart.Event) error {
	move, err := claimChart.Step(seen.State, event)
	if err != nil {
		return err
	}
	fence := max(seen.Fence+1, uint64(max(d.Clock.Wall(), 1)))
	d.setTicket(e, Ticket{Fence: fence, name: e.name, token: table.NewToken(), order: e.order})
	return d.put(ctx, e.name, e.ticket.token, d.ownRecord(e, move.To), seen.condition())
}

func (d *Desk) setTicket(e *entry, t Ticket) {
	d.mu.Lock()
	defer d.mu.Unlock()
	e.ticket = t
}

// ownRecord returns a record owned by this host under the entry's ticket.
func (d *Desk) ownRecord(e *entry, state chart.State) record {
	return record{
		State:       state,
		Owner:       d.Host,
		Incarnation: d.Incarnation,
		Fence:       e.ticket.Fence,
		Hash:        e.order.Hash[:],
	}
}

// claimExisting returns the verdict on a key that already has a record (label
// meet in spec/claim.inc).
func (d *Desk) claimExisting(ctx context.Context, e *entry) Verdict {
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
	if seen.State == stateClaimed && !d.ownerGone(seen.record) {
		return refuse(ReasonInProgress, RanUnknown, retrySoon)
	}
	return handlers[seen.State](d, ctx, e, seen)
}

// handlers decide about the record of another call, by its state. A Claimed
// record is passed on only if its owner is considered dead.
var handlers = map[chart.State]func(d *Desk, ctx context.Context, e *entry, seen stored) Verdict{
	stateAbsent:  (*Desk).reclaim,
	stateNotRun:  (*Desk).reclaim,
	stateClaimed: (*Desk).resolveOutcome,
	stateUnknown: (*Desk).resolveOutcome,
	stateDone:    (*Desk).replay,
}

func (d *Desk) reclaim(ctx context.Context, e *entry, seen stored) Verdict {
	v, _ := d.take(ctx, e, seen)
	return v
}

// resolveOutcome tries to find out at the service whether a request ran.
func (d *Desk) resolveOutcome(ctx context.Context, e *entry, seen stored) Verdict {
	switch {
	case e.order.HasLookUp && e.order.ChecksFencing:
		return d.takeOver(ctx, e, seen)
	case e.order.HasLookUp:
		return d.lookUpOnly(ctx, e, seen)
	default:
		return refuse(ReasonUnknownOutcome, RanUnknown, 0)
	}
}

// ownerGone reports whether the owner of a claim is considered dead. So is
// a claim of this process that reaches this point: the process holds its own
// claims in memory and can do nothing more about one that it no longer holds.
func (d *Desk) ownerGone(r record) bool {
	if r.Owner == d.Host && r.Incarnation == d.Incarnation {
		return true
	}
	return d.Gone(r.Owner, r.Incarnation)
}

func (d *Desk) replay(ctx context.Context, _ *entry, seen stored) Verdict {
	answer, err := d.loadResponse(ctx, seen.record)
	if err != nil {
		return refuse(ReasonAnswerNotKept, RanYes, retryLater)
	}
	return Verdict{Kind: VerdictReplay, Response: answer}
}

// takeOver raises the fencing number in the record and passes it to the service
// with the look-up, which makes the service refuse the former owner from then
// on. Only then does LookUpNotRun mean that nobody else can still run the
// request.
func (d *Desk) takeOver(ctx context.Context, e *entry, seen stored) Verdict {
	err := d.issueTicket(ctx, e, seen, eventTakeOver)
	if errors.Is(err, table.ErrOutcomeUnknown) {
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

// lookUpOnly looks up a request at a service that does not check fencing numbers.
// LookUpRan is conclusive; LookUpNotRun is not, since a paused owner may resume
// and send the request.
func (d *Desk) lookUpOnly(ctx context.Context, e *entry, seen stored) Verdict {
	found := d.LookUp(ctx, e.order, 0)
	if found.Kind != LookUpRan {
		return refuse(ReasonUnknownOutcome, RanUnknown, retryLater)
	}
	d.setTicket(e, Ticket{Fence: seen.Fence, name: e.name, token: seen.token, order: e.order})
	d.settleLater(e, outcome{event: eventFoundRan, answer: found.Response})
	return Verdict{Kind: VerdictReplay, Response: found.Response}
}

// inBackoff reports whether calls to the table are suspended after repeated
// failures.
func (d *Desk) inBackoff() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.storeFailures >= failuresBeforeBackoff && d.Clock.Now() < d.backoffUntil
}

// recordStoreResult counts consecutive failures of the table and sets the end of
// the backoff. A conflict counts as success.
func (d *Desk) recordStoreResult(err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err == nil || errors.Is(err, table.ErrConflict) {
		d.storeFailures = 0
		return
	}
	d.storeFailures++
	d.backoffUntil = d.Clock.Now() + orDefault(d.RetryEvery, defaultRetryEvery)
}
