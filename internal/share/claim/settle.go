package claim

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/panjf2000/ants/v2"

	"siskinsaddle/internal/base/chart"
	"siskinsaddle/internal/plat/table"
)

// entry is a claim that this host has open or has not settled yet.
type entry struct {
	name    string
	order   Order
	ticket  Ticket
	outcome outcome
	// kept tells that the response's body is held.
	kept bool
	// settling tells that the outcome is to be written.
	settling bool
}

// outcome is what is to be recorded.
type outcome struct {
	event  chart.Event
	answer Response
	// token is that of the write, the same in each attempt.
	token string
	// seen and leave are for a claim that is given up: the record that it was
	// written over, and the state to leave there.
	seen  stored
	leave chart.State
}

const eventAbandon chart.Event = "Abandon"

// reserve takes a place for a claim. Without one it returns the verdict: from
// memory where this host knows the key already.
func (d *Desk) reserve(e *entry) (Verdict, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.entries == nil {
		d.entries = map[string]*entry{}
	}
	if known, ok := d.entries[e.name]; ok {
		return known.verdict(e.order), false
	}
	if len(d.entries) >= orElse(d.MaxPending, defaultMaxPending) {
		return refuse(ReasonTooManyClaims, RanNo, retryLater), false
	}
	d.entries[e.name] = e
	return Verdict{}, true
}

// verdict answers a second request with the key of a claim in memory.
func (e *entry) verdict(o Order) Verdict {
	switch {
	case e.order.Hash != o.Hash:
		return refuse(ReasonKeyReused, RanNo, 0)
	case e.settling && e.ran() && e.kept:
		return Verdict{Kind: VerdictReplay, Response: e.outcome.answer}
	case e.settling && e.ran():
		return refuse(ReasonAnswerNotKept, RanYes, retryLater)
	default:
		// Also after NotSent: that may stand in the table already without this
		// host knowing, and another host may have run the request since.
		return refuse(ReasonInProgress, RanUnknown, retrySoon)
	}
}

func (e *entry) ran() bool {
	return e.outcome.event == eventAnswered || e.outcome.event == eventFoundRan
}

// unreserve gives the place back unless the claim is open or unsettled.
func (d *Desk) unreserve(e *entry, open bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !open && !e.settling {
		delete(d.entries, e.name)
	}
}

// statusStale is the status with which a service refuses an old number.
const statusStale = 409

// Finish records the whole answer of the service. From a service that checks
// fencing numbers, status 409 counts as Unknown: it may be the refusal of a
// number that another host has raised, and that host learns the outcome.
func (d *Desk) Finish(t Ticket, answer Response) {
	if t.order.ChecksFencing && answer.Status == statusStale {
		d.Unknown(t)
		return
	}
	d.end(t, outcome{event: eventAnswered, answer: answer})
}

// NotSent records that provably no byte of the request was sent, nor ever will
// be under this ticket. The key can be claimed again: at once, where the table
// takes the record at the first attempt, for which NotSent waits.
func (d *Desk) NotSent(t Ticket) {
	e, ok := d.opened(t)
	if !ok {
		return
	}
	d.mark(e, outcome{event: eventNotSent})
	if !d.settleOnce(context.Background(), e) {
		d.start()
		d.ready <- e
	}
}

// Unknown records that the request may have run. It is also the outcome where
// the service refused the ticket's fencing number as too old, because then
// another host has taken the claim over.
func (d *Desk) Unknown(t Ticket) {
	d.end(t, outcome{event: eventLost})
}

// end takes the first outcome of a ticket; later ones change nothing.
func (d *Desk) end(t Ticket, o outcome) {
	if e, ok := d.opened(t); ok {
		d.settleLater(e, o)
	}
}

func (d *Desk) opened(t Ticket) (*entry, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	e, ok := d.entries[t.name]
	return e, ok && !e.settling && e.ticket.token == t.token
}

// abandon gives up a claim that was written over a record, but perhaps has not
// arrived yet. The state to leave depends on what was there: a request that may
// have run before stays unknown.
func (d *Desk) abandon(e *entry, seen stored, leave chart.State) {
	d.settleLater(e, outcome{event: eventAbandon, seen: seen, leave: leave})
}

func (d *Desk) settleLater(e *entry, o outcome) {
	d.mark(e, o)
	d.start()
	d.ready <- e
}

// mark sets the outcome of a claim. A body beyond MaxHeldBytes is not kept.
func (d *Desk) mark(e *entry, o outcome) {
	d.mu.Lock()
	defer d.mu.Unlock()
	o.token = table.NewToken()
	e.kept = d.held+len(o.answer.Body) <= orElse(d.MaxHeldBytes, defaultMaxHeldBytes)
	if !e.kept {
		o.answer.Body = nil
	}
	d.held += len(o.answer.Body)
	e.outcome = o
	e.settling = true
}

// start makes the queue. It has a place for each entry, so that a send to it
// never waits.
func (d *Desk) start() {
	d.started.Do(func() {
		d.ready = make(chan *entry, orElse(d.MaxPending, defaultMaxPending))
	})
}

// Run settles claims until the context ends. What is unsettled then is tried
// once more.
func (d *Desk) Run(ctx context.Context) error {
	d.start()
	pool, err := ants.NewPool(defaultWriters)
	if err != nil {
		return err
	}
	for {
		select {
		case e := <-d.ready:
			if err := pool.Submit(func() { d.attempt(ctx, e) }); err != nil {
				return err
			}
		case <-ctx.Done():
			err := pool.ReleaseTimeout(orElse(d.StoreTimeout, defaultStoreTimeout).Duration())
			d.SettleAll(ctx)
			return err
		}
	}
}

// attempt settles one claim, or puts it back after a pause.
func (d *Desk) attempt(ctx context.Context, e *entry) {
	if d.settleOnce(ctx, e) {
		return
	}
	select {
	case <-d.Clock.After(orElse(d.RetryEvery, defaultRetryEvery)):
	case <-ctx.Done():
	}
	d.ready <- e
}

// SettleAll tries each unsettled claim once and returns how many are left. It
// skips the rest once the table has failed several times in a row.
func (d *Desk) SettleAll(ctx context.Context) int {
	d.start()
	left := 0
	for range len(d.ready) {
		e := <-d.ready
		if d.paused() || !d.settleOnce(ctx, e) {
			left++
			d.ready <- e
		}
	}
	return left
}

// Pending returns how many claims are open or unsettled.
func (d *Desk) Pending() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.entries)
}

func (d *Desk) settleOnce(ctx context.Context, e *entry) bool {
	err := d.settle(ctx, e)
	if err != nil {
		d.add("siskinsaddle_claims_unsettled_total", string(e.outcome.event))
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.held -= len(e.outcome.answer.Body)
	delete(d.entries, e.name)
	return true
}

// settle writes the outcome over the claim. On a conflict it reads what stands
// there and writes over that where the outcome still says more.
func (d *Desk) settle(ctx context.Context, e *entry) error {
	r, err := d.final(ctx, e)
	if err != nil {
		return err
	}
	condition := table.IfToken(e.ticket.token)
	if e.outcome.event == eventAbandon {
		condition = e.outcome.seen.condition()
	}
	err = d.put(ctx, e.name, e.outcome.token, r, condition)
	if !errors.Is(err, table.ErrConflict) {
		return err
	}
	now, err := d.read(ctx, e.name)
	if err != nil {
		return err
	}
	if !e.outweighs(now) {
		return nil
	}
	return d.put(ctx, e.name, e.outcome.token, r, now.condition())
}

// final is the record to write.
func (d *Desk) final(ctx context.Context, e *entry) (record, error) {
	o := e.outcome
	if o.event == eventAbandon {
		return d.given(e), nil
	}
	move, err := claimChart.Step(stateClaimed, o.event)
	if err != nil {
		return record{}, err
	}
	r := d.owned(e, move.To)
	if !e.ran() {
		return r, nil
	}
	return d.withOutcome(ctx, r, o.token, o.answer, e.kept)
}

// given is the record to leave of a claim that is given up. Over an earlier
// claim that is its owner's, so that the owner can still record its outcome.
func (d *Desk) given(e *entry) record {
	r := e.outcome.seen.record
	if e.outcome.leave == stateNotRun {
		return d.owned(e, stateNotRun)
	}
	r.State = e.outcome.leave
	return r
}

// outweighs tells whether the outcome goes over the record that stands there. It
// is the owner's word about its own number, and holds only under that number.
func (e *entry) outweighs(now stored) bool {
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
