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
	// maxInlineBytes is the maximum size of a body that is stored in the claim's
	// own record.
	maxInlineBytes = 8 << 10
	// maxPendingClaims and maxHeldBytes bound the unsettled claims of a host.
	maxPendingClaims   = 4_096
	maxHeldBytes       = 32 << 20
	claimRetryInterval = 200 * clock.Millis(1)
	// idleSweepInterval is the time between two pages while no claim has expired,
	// busySweepInterval the time after a page with expired claims.
	idleSweepInterval = 5 * clock.Second
	busySweepInterval = 200 * clock.Millis(1)
	sweepPageSize     = 100
	sweepDuty         = "claims/sweep"
	// statusStaleFence is the status with which a service that checks fencing
	// numbers refuses a stale one.
	statusStaleFence = 409
)

func (h *Host) newClaimManager() *claim.Manager {
	return &claim.Manager{
		Table:        h.Table,
		Objects:      h.Objects,
		Clock:        h.Clock,
		Count:        h.Count,
		Host:         h.Settings.HostName,
		Incarnation:  uint64(h.link.Incarnation),
		OwnerDead:    h.isDead,
		LookUp:       h.lookUp,
		Retention:    h.manifest.retention,
		InlineBytes:  maxInlineBytes,
		MaxPending:   maxPendingClaims,
		MaxHeldBytes: maxHeldBytes,
		StoreTimeout: h.Settings.Platform.TimeoutMilliseconds,
		RetryEvery:   claimRetryInterval,
	}
}

// sweepClaims removes expired claims page by page until the context ends. One
// live host of the deployment sweeps at a time. After a page with expired claims
// the next one follows sooner, so that up to 500 claims a second are removed.
func (h *Host) sweepClaims(ctx context.Context) {
	wait := idleSweepInterval
	for {
		select {
		case <-ctx.Done():
			return
		case <-h.Clock.AfterTick(wait):
		}
		wait = idleSweepInterval
		if h.sweepOnce(ctx) > 0 {
			wait = busySweepInterval
		}
	}
}

// sweepOnce sweeps one page if this host has the sweep duty, and returns the number
// of claims removed.
func (h *Host) sweepOnce(ctx context.Context) int {
	sweeper, ok := hosts.RendezvousWinner(sweepDuty, h.members.View().Hosts())
	if !ok || sweeper.Name != h.Settings.HostName {
		return 0
	}
	removed, err := h.claims.RemoveExpired(ctx, sweepPageSize)
	if err != nil {
		h.Log.WithPrefix("claims").Debug("Could not remove expired claims.", "error", err)
	}
	return removed
}

// claimRefusals maps the reasons of package claim to refusals.
var claimRefusals = map[claim.Reason]refuse.Reason{
	claim.ReasonStoreDown:      refuse.ReasonStoreDown,
	claim.ReasonStoreUnsure:    refuse.ReasonStoreUnsure,
	claim.ReasonKeyReused:      refuse.ReasonKeyReused,
	claim.ReasonInProgress:     refuse.ReasonInProgress,
	claim.ReasonUnknownOutcome: refuse.ReasonOutcomeUnknown,
	claim.ReasonAnswerNotKept:  refuse.ReasonAnswerNotKept,
	claim.ReasonTooManyClaims:  refuse.ReasonTooManyClaims,
}

// callWithKey claims the call's idempotency key, sends the call at most once and
// records the outcome. A caller that disconnects does not cancel a call in progress.
func (h *Host) callWithKey(ctx context.Context, c calls.Call, send calls.SendOnce) (calls.Answer, *refuse.Refusal) {
	ctx = context.WithoutCancel(ctx)
	request := h.claimRequest(c)
	verdict := h.claims.Claim(ctx, request)
	switch verdict.Kind {
	case claim.VerdictReplay:
		answer := callAnswer(verdict.Response)
		answer.Replayed = true
		return answer, nil
	case claim.VerdictRefuse:
		return calls.Answer{}, refuse.New(claimRefusals[verdict.Reason]).
			WithRan(refuse.Ran(verdict.Ran)).
			WithRetryAfter(verdict.RetryAfter)
	}
	result := send(ctx, c.Method, c.Path, verdict.Ticket.Fence)
	switch {
	case result.Err == nil && request.ChecksFencing && result.Answer.Status == statusStaleFence:
		// The service has seen a higher fencing number for this claim.
		h.claims.Unknown(verdict.Ticket)
		return calls.Answer{}, refuse.New(refuse.ReasonOutcomeUnknown)
	case result.Err == nil:
		h.claims.Finish(verdict.Ticket, claimResponse(result.Answer))
		return result.Answer, nil
	case result.Sent == wire.SentNothing:
		h.claims.NotSent(verdict.Ticket)
		return calls.Answer{}, refuse.New(refuse.ReasonBackendRefused)
	}
	h.claims.Unknown(verdict.Ticket)
	return calls.Answer{}, refuse.New(refuse.ReasonOutcomeUnknown)
}

// claimRequest returns the claim request of a call's idempotency key.
func (h *Host) claimRequest(c calls.Call) claim.Request {
	request := claim.Request{
		Workspace: c.Request.Workspace,
		Service:   c.Request.Service,
		Key:       c.Key,
		Hash:      claim.HashOf(c.Method, c.Path, c.Body),
	}
	if s, ok := h.manifest.index().Service(c.Request.Service); ok {
		request.ChecksFencing = s.ChecksFencing
		request.HasLookUp = s.LookUpPath != ""
	}
	return request
}

func claimResponse(a calls.Answer) claim.Response {
	r := claim.Response{Status: a.Status, Body: a.Body}
	for _, h := range a.Headers {
		r.Headers = append(r.Headers, claim.Header{Name: h.Name, Value: h.Value})
	}
	return r
}

func callAnswer(r claim.Response) calls.Answer {
	a := calls.Answer{Status: r.Status, Body: r.Body}
	for _, h := range r.Headers {
		a.Headers = append(a.Headers, wire.Header{Name: h.Name, Value: h.Value})
	}
	return a
}

// lookUpResponse is a service's response on its look-up path.
type lookUpResponse struct {
	Ran     bool
	Outcome json.RawMessage
}

// lookUp asks a service whether the call with a key ran. It sends the fencing
// number, so that a service that checks it refuses lower ones from then on.
func (h *Host) lookUp(ctx context.Context, r claim.Request, fence uint64) claim.LookUp {
	noAnswer := claim.LookUp{Kind: claim.LookUpNoAnswer}
	s, ok := h.manifest.index().Service(r.Service)
	if !ok {
		return noAnswer
	}
	address, ok := h.discovery.anyAddress(r.Service)
	if !ok {
		return noAnswer
	}
	call := calls.Call{Key: r.Key}
	call.Request.Workspace = r.Workspace
	result := h.calls.Sender(call, address)(ctx, "GET", s.LookUpPath+"?key="+url.QueryEscape(r.Key), fence)
	var answer lookUpResponse
	if result.Err != nil || result.Answer.Status != 200 || json.Unmarshal(result.Answer.Body, &answer) != nil {
		return noAnswer
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
