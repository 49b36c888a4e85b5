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
func (m *Manager) Claim(ctx context.Context, r Request) Verdict {
	e := &entry{name: recordName(r), request: r}
	v, reserved := m.reserve(e)
	if reserved {
		v = m.claim(ctx, e)
		m.unreserve(e, v.Kind == VerdictSend)
	}
	if v.Kind == VerdictRefuse {
		m.countReason("siskinsaddle_claims_refused_total", string(v.Reason))
	}
	return v
}

// claim tries to create a new record first, so the common case needs no read.
func (m *Manager) claim(ctx context.Context, e *entry) Verdict {
	if m.inBackoff() {
		return refuse(ReasonStoreDown, RanNo, retryLater)
	}
	v, conflict := m.take(ctx, e, stored{record: record{State: stateAbsent}})
	if conflict {
		return m.claimExisting(ctx, e)
	}
	return v
}

// take writes the claim over the record seen. conflict reports whether the write
// failed because the table holds another record.
func (m *Manager) take(ctx context.Context, e *entry, seen stored) (v Verdict, conflict bool) {
	err := m.issueTicket(ctx, e, seen, eventClaim)
	switch {
	case err == nil:
		return Verdict{Kind: VerdictSend, Ticket: e.ticket}, false
	case errors.Is(err, table.ErrConflict):
		return refuse(ReasonInProgress, RanUnknown, retrySoon), true
	case errors.Is(err, table.ErrOutcomeUnknown):
		return m.confirm(ctx, e, seen), false
	default:
		return refuse(ReasonStoreDown, RanNo, retryLater), false
	}
}

// confirm reads back a claim whose write got no answer. While the table still
// holds the record seen, the write may yet take effect: nothing is sent, and the
// claim is abandoned by Run. Over any other record the write can no longer take
// effect.
func (m *Manager) confirm(ctx context.Context, e *entry, seen stored) Verdict {
	now, err := m.read(ctx, e.name)
	switch {
	case err == nil && now.token == e.ticket.token:
		return Verdict{Kind: VerdictSend, Ticket: e.ticket}
	case err == nil && now.token != seen.token:
		return refuse(ReasonInProgress, RanUnknown, retrySoon)
	default:
		m.abandon(e, seen, stateNotRun)
		return refuse(ReasonStoreUnsure, RanNo, retryLater)
	}
}

// issueTicket creates a ticket and writes the claim over the record seen. The
// fencing number follows the wall clock, so it also increases across a record
// that was removed.
func (m *Manager) issueTicket(ctx context.Context, e *entry, seen stored, event chart.Event) error {
	transition, err := claimChart.Step(seen.State, event)
	if err != nil {
		return err
	}
	fence := max(seen.Fence+1, uint64(max(m.Clock.Wall(), 1)))
	m.setTicket(e, Ticket{Fence: fence, name: e.name, token: table.NewToken(), request: e.request})
	return m.put(ctx, e.name, e.ticket.token, m.ownRecord(e, transition.To), seen.condition())
}

func (m *Manager) setTicket(e *entry, t Ticket) {
	m.mu.Lock()
	defer m.mu.Unlock()
	e.ticket = t
}

// ownRecord returns a record owned by this host under the entry's ticket.
func (m *Manager) ownRecord(e *entry, state chart.State) record {
	return record{
		State:       state,
		Owner:       m.Host,
		Incarnation: m.Incarnation,
		Fence:       e.ticket.Fence,
		Hash:        e.request.Hash[:],
	}
}

// claimExisting returns the verdict on a key that already has a record (label
// meet in spec/claim.inc).
func (m *Manager) claimExisting(ctx context.Context, e *entry) Verdict {
	seen, err := m.read(ctx, e.name)
	if err != nil {
		return refuse(ReasonStoreDown, RanUnknown, retryLater)
	}
	if seen.expired(m.Clock.Wall()) {
		seen = stored{record: record{State: stateAbsent, Fence: seen.Fence}, token: seen.token}
	}
	if seen.State != stateAbsent && !bytes.Equal(seen.Hash, e.request.Hash[:]) {
		return refuse(ReasonKeyReused, RanNo, 0)
	}
	if seen.State == stateClaimed && !m.ownerDead(seen.record) {
		return refuse(ReasonInProgress, RanUnknown, retrySoon)
	}
	return handlers[seen.State](m, ctx, e, seen)
}

// handlers decide about the record of another call, by its state. A Claimed
// record is passed on only if its owner is considered dead.
var handlers = map[chart.State]func(m *Manager, ctx context.Context, e *entry, seen stored) Verdict{
	stateAbsent:  (*Manager).reclaim,
	stateNotRun:  (*Manager).reclaim,
	stateClaimed: (*Manager).resolveOutcome,
	stateUnknown: (*Manager).resolveOutcome,
	stateDone:    (*Manager).replay,
}

func (m *Manager) reclaim(ctx context.Context, e *entry, seen stored) Verdict {
	v, _ := m.take(ctx, e, seen)
	return v
}

// resolveOutcome tries to find out at the service whether a request ran.
func (m *Manager) resolveOutcome(ctx context.Context, e *entry, seen stored) Verdict {
	switch {
	case e.request.HasLookUp && e.request.ChecksFencing:
		return m.takeOver(ctx, e, seen)
	case e.request.HasLookUp:
		return m.lookUpOnly(ctx, e, seen)
	default:
		return refuse(ReasonUnknownOutcome, RanUnknown, 0)
	}
}

// ownerDead reports whether the owner of a claim is considered dead. So is
// a claim of this process that reaches this point: the process holds its own
// claims in memory and can do nothing more about one that it no longer holds.
func (m *Manager) ownerDead(r record) bool {
	if r.Owner == m.Host && r.Incarnation == m.Incarnation {
		return true
	}
	return m.OwnerDead(r.Owner, r.Incarnation)
}

func (m *Manager) replay(ctx context.Context, _ *entry, seen stored) Verdict {
	answer, err := m.loadResponse(ctx, seen.record)
	if err != nil {
		return refuse(ReasonAnswerNotKept, RanYes, retryLater)
	}
	return Verdict{Kind: VerdictReplay, Response: answer}
}

// takeOver raises the fencing number in the record and passes it to the service
// with the look-up, which makes the service refuse the former owner from then
// on. Only then does LookUpNotRun mean that nobody else can still run the
// request.
func (m *Manager) takeOver(ctx context.Context, e *entry, seen stored) Verdict {
	err := m.issueTicket(ctx, e, seen, eventTakeOver)
	if errors.Is(err, table.ErrOutcomeUnknown) {
		now, readErr := m.read(ctx, e.name)
		if readErr != nil || now.token != e.ticket.token {
			m.abandon(e, seen, stateUnknown)
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
	found := m.LookUp(ctx, e.request, e.ticket.Fence)
	switch found.Kind {
	case LookUpNotRun:
		return Verdict{Kind: VerdictSend, Ticket: e.ticket}
	case LookUpRan:
		m.settleLater(e, outcome{event: eventFoundRan, answer: found.Response})
		return Verdict{Kind: VerdictReplay, Response: found.Response}
	default:
		m.settleLater(e, outcome{event: eventLost})
		return refuse(ReasonUnknownOutcome, RanUnknown, retryLater)
	}
}

// lookUpOnly looks up a request at a service that does not check fencing numbers.
// LookUpRan is conclusive; LookUpNotRun is not, since a paused owner may resume
// and send the request.
func (m *Manager) lookUpOnly(ctx context.Context, e *entry, seen stored) Verdict {
	found := m.LookUp(ctx, e.request, 0)
	if found.Kind != LookUpRan {
		return refuse(ReasonUnknownOutcome, RanUnknown, retryLater)
	}
	m.setTicket(e, Ticket{Fence: seen.Fence, name: e.name, token: seen.token, request: e.request})
	m.settleLater(e, outcome{event: eventFoundRan, answer: found.Response})
	return Verdict{Kind: VerdictReplay, Response: found.Response}
}

// inBackoff reports whether calls to the table are suspended after repeated
// failures.
func (m *Manager) inBackoff() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.storeFailures >= failuresBeforeBackoff && m.Clock.Now() < m.backoffUntil
}

// recordStoreResult counts consecutive failures of the table and sets the end of
// the backoff. A conflict counts as success.
func (m *Manager) recordStoreResult(err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err == nil || errors.Is(err, table.ErrConflict) {
		m.storeFailures = 0
		return
	}
	m.storeFailures++
	m.backoffUntil = m.Clock.Now() + orDefault(m.RetryEvery, defaultRetryEvery)
}
