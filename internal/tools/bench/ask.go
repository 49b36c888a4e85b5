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
	askHedge askKind = "Hedge"
)

// service is the name of the benchmark's only service.
const service = "llm"

// ask is one request of a host for a slot. A request of a caller has several
// where it is retried or hedged.
type ask struct {
	id      string
	kind    askKind
	request *request
	avoid   []string
	attempt *attempt
	// closed is true once the host no longer waits for the decision.
	closed bool
}

func (w *world) newAsk(r *request, kind askKind, avoid []string) *ask {
	r.asks++
	a := &ask{id: fmt.Sprintf("%s.%d", r.id, r.asks), kind: kind, request: r, avoid: avoid}
	w.asks[a.id] = a
	return a
}

// form is the request as the scheduler sees it.
func (a *ask) form() sched.Request {
	r := a.request
	f := sched.Request{
		ID:           a.id,
		Service:      service,
		Class:        r.class.Name,
		Workspace:    r.workspace,
		Arrived:      r.at,
		Deadline:     r.at + r.class.FirstTokenMilliseconds,
		GiveUp:       r.giveUp(),
		PromptTokens: r.prompt + r.got,
		Prefix:       r.prefix,
		Avoid:        a.avoid,
	}
	if r.got > 0 {
		f.Begun = true
		f.Deadline = r.last + r.class.FirstTokenMilliseconds
		f.GiveUp = r.world.now + r.class.MaxWaitMilliseconds
	}
	return f
}

// silentTimeout is after what time silence is taken for a lost connection or
// a lost host.
const silentTimeout = clock.Second
