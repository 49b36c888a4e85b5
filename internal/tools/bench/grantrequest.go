package bench

import (
	"fmt"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/policy/sched"
)

// attemptKind is the reason an entry host requests a slot.
type attemptKind string

const (
	attemptFirst attemptKind = "First"
	attemptRetry attemptKind = "Retry"
	attemptHedge attemptKind = "Hedge"
)

// service is the name of the benchmark's only service.
const service = "llm"

// grantRequest is one request of an entry host for a slot. A caller's request
// has several if it is retried or hedged.
type grantRequest struct {
	id      string
	kind    attemptKind
	request *request
	avoid   []string
	attempt *attempt
	// closed is set once the host no longer waits for the decision.
	closed bool
}

func (sm *simulation) newGrantRequest(r *request, kind attemptKind, avoid []string) *grantRequest {
	r.grantRequestCount++
	g := &grantRequest{
		id: fmt.Sprintf("%s.%d", r.id, r.grantRequestCount), kind: kind, request: r, avoid: avoid,
	}
	sm.grantRequests[g.id] = g
	return g
}

// schedRequest returns the request in the scheduler's form. A stream that has
// begun gets a deadline that counts from its last token.
func (g *grantRequest) schedRequest() sched.Request {
	r := g.request
	f := sched.Request{
		ID:           g.id,
		Service:      service,
		Class:        r.class.Name,
		Workspace:    r.workspace,
		Arrived:      r.at,
		Deadline:     r.at + r.class.FirstTokenMilliseconds,
		GiveUp:       r.waitDeadline(),
		PromptTokens: r.prompt + r.received,
		Prefix:       r.prefix,
		Avoid:        g.avoid,
	}
	if r.received > 0 {
		f.Begun = true
		f.Deadline = r.last + r.class.FirstTokenMilliseconds
		f.GiveUp = r.simulation.now + r.class.MaxWaitMilliseconds
	}
	return f
}

// unresponsiveTimeout is how long a peer may send nothing before its connection
// or host is considered lost.
const unresponsiveTimeout = clock.Second
