package bench

import (
	"fmt"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/policy/sched"
)

// askKind is why a host asks for a slot.
type askKind string

const (
	askFirst askKind = "First"
	askRetry askKind = "Retry"
	askSpill askKind = "Spill"
	askHedge askKind = "Hedge"
)

// ask is one request to a keeper for a slot. A request has several where it is
// retried, hedged or spilled.
type ask struct {
	id      string
	kind    askKind
	request *request
	keeper  *keeper
	avoid   []string
	attempt *attempt
	// closed is true once the host no longer waits for the answer.
	closed bool
}

func (w *world) newAsk(r *request, to *keeper, kind askKind, avoid []string) *ask {
	r.asks++
	a := &ask{id: fmt.Sprintf("%s.%d", r.id, r.asks), kind: kind, request: r, keeper: to, avoid: avoid}
	w.asks[a.id] = a
	return a
}

// form is the request as the scheduler sees it.
func (a *ask) form() sched.Request {
	r := a.request
	f := sched.Request{
		ID:           a.id,
		Host:         r.world.hostName(r.hostPlace()),
		Service:      "llm",
		Class:        r.class.Name,
		Workspace:    r.workspace,
		Arrived:      r.at,
		Deadline:     r.at + r.class.FirstTokenMilliseconds,
		GiveUp:       r.giveUp(),
		PromptTokens: r.prompt + r.got,
		Prefix:       r.prefix,
		Spilled:      a.kind == askSpill,
		Avoid:        a.avoid,
	}
	if r.got > 0 {
		f.Deadline = r.last + r.class.FirstTokenMilliseconds
		f.GiveUp = r.world.now + r.class.MaxWaitMilliseconds
	}
	return f
}

// send sends the ask to its keeper.
func (a *ask) send() {
	w := a.request.world
	form := a.form()
	w.send(a.request.hostPlace(), a.keeper.place, form, func() { a.keeper.offer(form) })
}

// release ends a granted ask.
func (a *ask) release(p sched.Progress, how sched.Outcome, server string) {
	a.closed = true
	w := a.request.world
	d := sched.Done{Progress: p, Outcome: how}
	d.ID = a.id
	w.send(a.request.hostPlace(), a.keeper.place, d, func() { a.keeper.release(d, server) })
}

// withdraw ends an ask that waits.
func (a *ask) withdraw() {
	a.closed = true
	w := a.request.world
	w.send(a.request.hostPlace(), a.keeper.place, a.id, func() { a.keeper.cancel(a.id) })
}

// silentTimeout is after what time a host takes silence for a lost connection.
const silentTimeout = clock.Second
