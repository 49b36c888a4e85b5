package hostd

import (
	"context"
	"encoding/json"
	"net/url"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/serve/calls"
	"siskinsaddle/internal/serve/refuse"
	"siskinsaddle/internal/serve/wire"
	"siskinsaddle/internal/share/claim"
	"siskinsaddle/internal/share/hosts"
)

const (
	// claimInlineBytes is the longest body that stands in a claim's record.
	claimInlineBytes = 8 << 10
	// claimPending and claimHeldBytes bound the unsettled claims of a host.
	claimPending   = 4_096
	claimHeldBytes = 32 << 20
	claimRetry     = 200 * clock.Millis(1)
	// sweepPeriod is the time between two pages while none has expired,
	// sweepSoon while some have.
	sweepPeriod = 5 * clock.Second
	sweepSoon   = 200 * clock.Millis(1)
	sweepPage   = 100
	sweepDuty   = "claims/sweep"
	// statusStale is the answer of a service that checks fencing numbers to an
	// old one.
	statusStale = 409
)

func (h *Host) newDesk() *claim.Desk {
	return &claim.Desk{
		Table:        h.Table,
		Objects:      h.Objects,
		Clock:        h.Clock,
		Count:        h.Count,
		Host:         h.Settings.HostName,
		Incarnation:  uint64(h.link.Incarnation),
		Gone:         h.gone,
		LookUp:       h.lookUp,
		Retention:    h.governed.retention,
		InlineBytes:  claimInlineBytes,
		MaxPending:   claimPending,
		MaxHeldBytes: claimHeldBytes,
		StoreTimeout: h.Settings.Platform.TimeoutMilliseconds,
		RetryEvery:   claimRetry,
	}
}

// sweepClaims removes expired claims page by page until the context ends. One
// of the deployment's live hosts sweeps at a time. While it finds expired ones,
// the next page follows soon, so that up to 500 claims a second can go.
func (h *Host) sweepClaims(ctx context.Context) {
	wait := sweepPeriod
	for {
		select {
		case <-ctx.Done():
			return
		case <-h.Clock.Pulse(wait):
		}
		wait = sweepPeriod
		if h.sweepOnce(ctx) > 0 {
			wait = sweepSoon
		}
	}
}

// sweepOnce reads a page if the duty is this host's and returns how many
// claims it removed.
func (h *Host) sweepOnce(ctx context.Context) int {
	sweeper, ok := hosts.Winner(sweepDuty, h.members.View().Hosts())
	if !ok || sweeper.Name != h.Settings.HostName {
		return 0
	}
	removed, err := h.desk.Sweep(ctx, sweepPage)
	if err != nil {
		h.Log.WithPrefix("claims").Debug("Could not remove expired claims.", "error", err)
	}
	return removed
}

// claimReasons gives the reasons of the claim desk their refusals.
var claimReasons = map[claim.Reason]refuse.Reason{
	claim.ReasonStoreDown:      refuse.ReasonStoreDown,
	claim.ReasonStoreUnsure:    refuse.ReasonStoreUnsure,
	claim.ReasonKeyReused:      refuse.ReasonKeyReused,
	claim.ReasonInProgress:     refuse.ReasonInProgress,
	claim.ReasonUnknownOutcome: refuse.ReasonOutcomeUnknown,
	claim.ReasonAnswerNotKept:  refuse.ReasonAnswerNotKept,
	claim.ReasonTooManyClaims:  refuse.ReasonTooManyClaims,
}

// keyed claims the call's key, sends the call at the most once and records the
// outcome. A caller that leaves does not stop a call that is under way.
func (h *Host) keyed(ctx context.Context, c calls.Call, send calls.SendOnce) (calls.Answer, *refuse.Refusal) {
	ctx = context.WithoutCancel(ctx)
	order := h.order(c)
	verdict := h.desk.Claim(ctx, order)
	switch verdict.Kind {
	case claim.VerdictReplay:
		answer := fromResponse(verdict.Response)
		answer.Replayed = true
		return answer, nil
	case claim.VerdictRefuse:
		return calls.Answer{}, refuse.New(claimReasons[verdict.Reason]).
			WithRan(refuse.Ran(verdict.Ran)).
			WithRetryAfter(verdict.RetryAfter)
	}
	tried := send(ctx, c.Method, c.Path, verdict.Ticket.Fence)
	switch {
	case tried.Err == nil && order.ChecksFencing && tried.Answer.Status == statusStale:
		// The service has seen a later owner of this claim.
		h.desk.Unknown(verdict.Ticket)
		return calls.Answer{}, refuse.New(refuse.ReasonOutcomeUnknown)
	case tried.Err == nil:
		h.desk.Finish(verdict.Ticket, toResponse(tried.Answer))
		return tried.Answer, nil
	case tried.Sent == wire.SentNothing:
		h.desk.NotSent(verdict.Ticket)
		return calls.Answer{}, refuse.New(refuse.ReasonBackendRefused)
	}
	h.desk.Unknown(verdict.Ticket)
	return calls.Answer{}, refuse.New(refuse.ReasonOutcomeUnknown)
}

func (h *Host) order(c calls.Call) claim.Order {
	order := claim.Order{
		Workspace: c.Request.Workspace,
		Service:   c.Request.Service,
		Key:       c.Key,
		Hash:      claim.HashOf(c.Method, c.Path, c.Body),
	}
	if s, ok := h.governed.index().Service(c.Request.Service); ok {
		order.ChecksFencing = s.ChecksFencing
		order.HasLookUp = s.LookUpPath != ""
	}
	return order
}

func toResponse(a calls.Answer) claim.Response {
	r := claim.Response{Status: a.Status, Body: a.Body}
	for _, h := range a.Headers {
		r.Headers = append(r.Headers, claim.Header{Name: h.Name, Value: h.Value})
	}
	return r
}

func fromResponse(r claim.Response) calls.Answer {
	a := calls.Answer{Status: r.Status, Body: r.Body}
	for _, h := range r.Headers {
		a.Headers = append(a.Headers, wire.Header{Name: h.Name, Value: h.Value})
	}
	return a
}

// lookedUp is a service's answer on its look-up path.
type lookedUp struct {
	Ran     bool
	Outcome json.RawMessage
}

// lookUp asks a service whether the call of a key ran. The fencing number goes
// along, so that a service which checks it refuses older ones from then on.
func (h *Host) lookUp(ctx context.Context, o claim.Order, fence uint64) claim.LookUp {
	none := claim.LookUp{Kind: claim.LookUpNoAnswer}
	s, ok := h.governed.index().Service(o.Service)
	if !ok {
		return none
	}
	address, ok := h.machines.any(o.Service)
	if !ok {
		return none
	}
	call := calls.Call{Key: o.Key}
	call.Request.Workspace = o.Workspace
	tried := h.calls.Once(call, address)(ctx, "GET", s.LookUpPath+"?key="+url.QueryEscape(o.Key), fence)
	var answer lookedUp
	if tried.Err != nil || tried.Answer.Status != 200 || json.Unmarshal(tried.Answer.Body, &answer) != nil {
		return none
	}
	if !answer.Ran {
		return claim.LookUp{Kind: claim.LookUpNotRun}
	}
	return claim.LookUp{Kind: claim.LookUpRan, Response: claim.Response{
		Status:  200,
		Headers: []claim.Header{{Name: "Content-Type", Value: "application/json"}},
		Body:    answer.Outcome,
	}}
}
