package claim

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/panjf2000/ants/v2"

	"siskinsaddle/internal/base/chart"
	"siskinsaddle/internal/plat/table"
)

// entry is a claim of this host that is open or not settled yet.
type entry struct {
	name    string
	request Request
	ticket  Ticket
	outcome outcome
	// bodyKept reports whether the response body is held in memory.
	bodyKept bool
	// settling reports whether the outcome is known and waits to be written.
	settling bool
}

// outcome is the outcome of a claim, to be written to its record.
type outcome struct {
	event  chart.Event
	answer Response
	// token is the token of the write, the same in each attempt.
	token string
	// seen and leave belong to an abandoned claim: the record that it was
	// written over, and the state to leave there.
	seen  stored
	leave chart.State
}

const eventAbandon chart.Event = "Abandon"

// reserve adds an entry for a claim and returns true. If this host already has
// an entry for the key, or has MaxPending entries, it returns a verdict and false.
func (m *Manager) reserve(e *entry) (Verdict, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.entries == nil {
		m.entries = map[string]*entry{}
	}
	if known, ok := m.entries[e.name]; ok {
		return known.verdict(e.request), false
	}
	if len(m.entries) >= orDefault(m.MaxPending, defaultMaxPending) {
		return refuse(ReasonTooManyClaims, RanNo, retryLater), false
	}
	m.entries[e.name] = e
	return Verdict{}, true
}

// verdict returns the verdict on another request with the key of a claim in
// memory.
func (e *entry) verdict(r Request) Verdict {
	switch {
	case e.request.Hash != r.Hash:
		return refuse(ReasonKeyReused, RanNo, 0)
	case e.settling && e.ran() && e.bodyKept:
		return Verdict{Kind: VerdictReplay, Response: e.outcome.answer}
	case e.settling && e.ran():
		return refuse(ReasonAnswerNotKept, RanYes, retryLater)
	default:
		// Also after NotSent: its write may have reached the table without an
		// answer, and another host may have run the request since.
		return refuse(ReasonInProgress, RanUnknown, retrySoon)
	}
}

func (e *entry) ran() bool {
	return e.outcome.event == eventAnswered || e.outcome.event == eventFoundRan
}

// unreserve removes the entry unless the claim is open or unsettled.
func (m *Manager) unreserve(e *entry, open bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !open && !e.settling {
		delete(m.entries, e.name)
	}
}

// statusStaleFence is the HTTP status by which a service refuses a stale fencing
// number.
const statusStaleFence = 409

// Finish records the complete response of the service. From a service that checks
// fencing numbers, status 409 counts as Unknown: another host may have raised the
// number, and that host then learns the outcome.
func (m *Manager) Finish(t Ticket, answer Response) {
	if t.request.ChecksFencing && answer.Status == statusStaleFence {
		m.Unknown(t)
		return
	}
	m.resolve(t, outcome{event: eventAnswered, answer: answer})
}

// NotSent records that provably no byte of the request was sent or will be sent
// under this ticket, so that the key can be claimed again. It waits for the first
// attempt to write the record; if that fails, Run writes it later.
func (m *Manager) NotSent(t Ticket) {
	e, ok := m.openEntry(t)
	if !ok {
		return
	}
	m.setOutcome(e, outcome{event: eventNotSent})
	if !m.settleOnce(context.Background(), e) {
		m.initQueue()
		m.settleQueue <- e
	}
}

// Unknown records that the request may have run. It is also the outcome if the
// service refused the ticket's fencing number as stale, because then another
// host has taken over the claim.
func (m *Manager) Unknown(t Ticket) {
	m.resolve(t, outcome{event: eventLost})
}

// resolve records the first outcome of a ticket and ignores later ones.
func (m *Manager) resolve(t Ticket, o outcome) {
	if e, ok := m.openEntry(t); ok {
		m.settleLater(e, o)
	}
}

func (m *Manager) openEntry(t Ticket) (*entry, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	e, ok := m.entries[t.name]
	return e, ok && !e.settling && e.ticket.token == t.token
}

// abandon gives up a claim whose write may or may not have reached the table.
// The state to leave depends on the record that it was written over: a request
// that may have run before stays unknown.
func (m *Manager) abandon(e *entry, seen stored, leave chart.State) {
	m.settleLater(e, outcome{event: eventAbandon, seen: seen, leave: leave})
}

func (m *Manager) settleLater(e *entry, o outcome) {
	m.setOutcome(e, o)
	m.initQueue()
	m.settleQueue <- e
}

// setOutcome sets the outcome of a claim. It drops the response body if the host
// would hold more than MaxHeldBytes.
func (m *Manager) setOutcome(e *entry, o outcome) {
	m.mu.Lock()
	defer m.mu.Unlock()
	o.token = table.NewToken()
	e.bodyKept = m.heldBytes+len(o.answer.Body) <= orDefault(m.MaxHeldBytes, defaultMaxHeldBytes)
	if !e.bodyKept {
		o.answer.Body = nil
	}
	m.heldBytes += len(o.answer.Body)
	e.outcome = o
	e.settling = true
}

// initQueue creates the settle queue. Its capacity is the maximum number of
// entries, so a send to it never blocks.
func (m *Manager) initQueue() {
	m.queueOnce.Do(func() {
		m.settleQueue = make(chan *entry, orDefault(m.MaxPending, defaultMaxPending))
	})
}

// Run settles claims until the context ends. It then tries each unsettled claim
// once more.
func (m *Manager) Run(ctx context.Context) error {
	m.initQueue()
	pool, err := ants.NewPool(defaultSettleWorkers)
	if err != nil {
		return err
	}
	for {
		select {
		case e := <-m.settleQueue:
			if err := pool.Submit(func() { m.settleOrRequeue(ctx, e) }); err != nil {
				return err
			}
		case <-ctx.Done():
			err := pool.ReleaseTimeout(orDefault(m.StoreTimeout, defaultStoreTimeout).Duration())
			m.SettleAll(ctx)
			return err
		}
	}
}

// settleOrRequeue settles one claim, or queues it again after RetryEvery.
func (m *Manager) settleOrRequeue(ctx context.Context, e *entry) {
	if m.settleOnce(ctx, e) {
		return
	}
	select {
	case <-m.Clock.After(orDefault(m.RetryEvery, defaultRetryEvery)):
	case <-ctx.Done():
	}
	m.settleQueue <- e
}

// SettleAll tries to settle each unsettled claim once and returns how many are
// left. It skips claims while the table is in backoff after repeated failures.
func (m *Manager) SettleAll(ctx context.Context) int {
	m.initQueue()
	left := 0
	for range len(m.settleQueue) {
		e := <-m.settleQueue
		if m.inBackoff() || !m.settleOnce(ctx, e) {
			left++
			m.settleQueue <- e
		}
	}
	return left
}

// Pending returns how many claims are open or unsettled.
func (m *Manager) Pending() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.entries)
}

func (m *Manager) settleOnce(ctx context.Context, e *entry) bool {
	err := m.settle(ctx, e)
	if err != nil {
		m.countReason("siskinsaddle_claims_unsettled_total", string(e.outcome.event))
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.heldBytes -= len(e.outcome.answer.Body)
	delete(m.entries, e.name)
	return true
}

// settle replaces the claim in the table by its outcome. On a conflict it reads
// the current record and replaces that if the outcome supersedes it.
func (m *Manager) settle(ctx context.Context, e *entry) error {
	r, err := m.outcomeRecord(ctx, e)
	if err != nil {
		return err
	}
	condition := table.IfToken(e.ticket.token)
	if e.outcome.event == eventAbandon {
		condition = e.outcome.seen.condition()
	}
	err = m.put(ctx, e.name, e.outcome.token, r, condition)
	if !errors.Is(err, table.ErrConflict) {
		return err
	}
	now, err := m.read(ctx, e.name)
	if err != nil {
		return err
	}
	if !e.supersedes(now) {
		return nil
	}
	return m.put(ctx, e.name, e.outcome.token, r, now.condition())
}

// outcomeRecord returns the record to write for the outcome of a claim.
func (m *Manager) outcomeRecord(ctx context.Context, e *entry) (record, error) {
	o := e.outcome
	if o.event == eventAbandon {
		return m.abandonedRecord(e), nil
	}
	transition, err := claimChart.Step(stateClaimed, o.event)
	if err != nil {
		return record{}, err
	}
	r := m.ownRecord(e, transition.To)
	if !e.ran() {
		return r, nil
	}
	return m.withResponse(ctx, r, o.token, o.answer, e.bodyKept)
}

// abandonedRecord returns the record that an abandoned claim leaves (give in
// spec/claim.inc). A claim written over an earlier one leaves the record of the
// earlier owner, which can then still record its outcome.
func (m *Manager) abandonedRecord(e *entry) record {
	r := e.outcome.seen.record
	if e.outcome.leave == stateNotRun {
		return m.ownRecord(e, stateNotRun)
	}
	r.State = e.outcome.leave
	return r
}

// supersedes reports whether the outcome may replace the current record. An
// outcome is valid only under the fencing number of its own ticket.
func (e *entry) supersedes(now stored) bool {
	if now.token == e.outcome.token || now.State == stateAbsent {
		return false
	}
	if e.outcome.event == eventAbandon {
		return now.token == e.ticket.token
	}
	if _, err := claimChart.Step(now.State, e.outcome.event); err != nil {
		return false
	}
	return now.Fence == e.ticket.Fence
}
