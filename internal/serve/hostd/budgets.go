package hostd

import (
	"sync"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/base/count"
	"siskinsaddle/internal/policy/retry"
	"siskinsaddle/internal/policy/sched"
	"siskinsaddle/internal/serve/relay"
	"siskinsaddle/internal/serve/wire"
	"siskinsaddle/internal/share/mfest"
)

const (
	// maxSavedRetries and maxSavedHedges bound what a budget accumulates.
	maxSavedRetries = 100
	maxSavedHedges  = 20
)

// budgets holds the host's budgets for retries and hedges.
type budgets struct {
	clock       clock.Clock
	count       *count.Set
	maxAttempts int
	mu          sync.Mutex
	retries     *retry.Budget
	retryShare  float64
	// hedges has an entry for each service with a HedgeShare above 0.
	hedges map[string]serviceHedge
}

// serviceHedge is the hedging state of one service and the share it was made for.
type serviceHedge struct {
	*retry.Hedge
	share float64
}

func newBudgets(c clock.Clock, s *count.Set, maxAttempts int) *budgets {
	return &budgets{clock: c, count: s, maxAttempts: maxAttempts, retries: retry.NewBudget(0, maxSavedRetries)}
}

// setManifest applies the shares of a manifest. A budget whose share is unchanged
// keeps its state. Otherwise every manifest change would refill the retry budget
// and discard the observed times to the first token.
func (b *budgets) setManifest(x *mfest.Index) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if share := x.Manifest.Limits.RetryShare; share != b.retryShare {
		b.retryShare = share
		b.retries = retry.NewBudget(share, maxSavedRetries)
	}
	hedges := map[string]serviceHedge{}
	for _, s := range x.Manifest.Services {
		if s.HedgeShare <= 0 {
			continue
		}
		h, ok := b.hedges[s.Name]
		if !ok || h.share != s.HedgeShare {
			h = serviceHedge{Hedge: retry.NewHedge(s.HedgeShare, maxSavedHedges), share: s.HedgeShare}
		}
		hedges[s.Name] = h
	}
	b.hedges = hedges
}

func (b *budgets) recordFinished(sched.Request) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.retries.Succeeded()
}

// retrySent maps how much of a request was sent to the terms of package retry.
var retrySent = map[wire.Sent]retry.Sent{
	wire.SentNothing: retry.SentNothing,
	wire.SentMaybe:   retry.SentPart,
	wire.SentAll:     retry.SentWhole,
}

// denial is the reason why a failed attempt is not retried; empty if it is.
type denial string

const (
	// deniedByRule: the request may have run, or the stream cannot be resumed.
	deniedByRule     denial = "Rule"
	deniedByAttempts denial = "Attempts"
	deniedByDeadline denial = "Deadline"
	deniedByBudget   denial = "Budget"
)

// mayRetry decides whether a failed attempt is retried, and counts denials by
// reason.
func (b *budgets) mayRetry(f relay.Failure) bool {
	reason := b.findDenial(f)
	if reason == "" {
		return true
	}
	b.count.Add("siskinsaddle_retries_denied_total", 1,
		count.Label{Key: "reason", Value: string(reason)},
		count.Label{Key: "class", Value: f.Class})
	return false
}

// findDenial returns the reason against another attempt, if any. A request of which
// nothing was sent and a stream that is resumed cause no work to be done twice, so
// that only a restart is charged to the budget.
func (b *budgets) findDenial(f relay.Failure) denial {
	b.mu.Lock()
	defer b.mu.Unlock()
	rule := retry.Decide(retry.Facts{
		MayRepeat:     f.Repeatable,
		Sent:          retrySent[f.Sent],
		ReachedCaller: f.Delivered > 0,
		Resumable:     f.Cause != relay.CauseNoResume,
	})
	switch {
	case !rule.Action.Sends():
		return deniedByRule
	case f.Attempt >= b.maxAttempts:
		return deniedByAttempts
	case f.Delivered > 0:
		return ""
	case !retry.InTime(b.clock.Now(), 0, f.GiveUp):
		return deniedByDeadline
	case f.Sent == wire.SentNothing || b.retries.Take():
		return ""
	}
	return deniedByBudget
}

// hedgeAfter returns the delay in milliseconds after which a request is hedged, 0
// if its service does not hedge.
func (b *budgets) hedgeAfter(r sched.Request) clock.Millis {
	b.mu.Lock()
	defer b.mu.Unlock()
	h, ok := b.hedges[r.Service]
	if !ok {
		return 0
	}
	return h.Delay(r.Class, r.Model)
}

// mayHedge decides whether a request is hedged now, and charges the hedge budget.
func (b *budgets) mayHedge(r sched.Request, granted clock.Millis) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	facts := retry.Facts{MayRepeat: true, Sent: retry.SentWhole}
	h, ok := b.hedges[r.Service]
	return ok && h.Start(b.clock.Now(), granted, r.GiveUp, r.Class, r.Model, facts)
}

func (b *budgets) recordFirstToken(r sched.Request, took clock.Millis) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if h, ok := b.hedges[r.Service]; ok {
		h.FirstToken(r.Class, r.Model, took)
	}
}
