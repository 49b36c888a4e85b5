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
	// savedRetries and savedHedges bound what a budget saves up.
	savedRetries = 100
	savedHedges  = 20
)

// tries holds the host's budgets for retries and hedges.
type tries struct {
	clock       clock.Clock
	count       *count.Set
	maxAttempts int
	mu          sync.Mutex
	budget      *retry.Budget
	retryShare  float64
	// hedges has an entry for each service that hedges.
	hedges map[string]serviceHedge
}

// serviceHedge is the hedging of one service.
type serviceHedge struct {
	*retry.Hedge
	share float64
}

func newTries(c clock.Clock, s *count.Set, maxAttempts int) *tries {
	return &tries{clock: c, count: s, maxAttempts: maxAttempts, budget: retry.NewBudget(0, savedRetries)}
}

// govern puts the manifest's shares in force. Where a share stays, so does what
// has been saved and learnt, or else every change of the manifest would fill
// the budget and forget the times to the first token.
func (t *tries) govern(x *mfest.Index) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if share := x.Manifest.Limits.RetryShare; share != t.retryShare {
		t.retryShare = share
		t.budget = retry.NewBudget(share, savedRetries)
	}
	hedges := map[string]serviceHedge{}
	for _, s := range x.Manifest.Services {
		if s.HedgeShare <= 0 {
			continue
		}
		h, ok := t.hedges[s.Name]
		if !ok || h.share != s.HedgeShare {
			h = serviceHedge{Hedge: retry.NewHedge(s.HedgeShare, savedHedges), share: s.HedgeShare}
		}
		hedges[s.Name] = h
	}
	t.hedges = hedges
}

func (t *tries) finished(sched.Request) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.budget.Succeeded()
}

var sentNames = map[wire.Sent]retry.Sent{
	wire.SentNothing: retry.SentNothing,
	wire.SentMaybe:   retry.SentPart,
	wire.SentAll:     retry.SentWhole,
}

// denial is why a failed attempt is not followed by another, empty where it is.
type denial string

const (
	// deniedByRule: the request may have run, or the answer cannot go on.
	deniedByRule     denial = "Rule"
	deniedByAttempts denial = "Attempts"
	deniedByDeadline denial = "Deadline"
	deniedByBudget   denial = "Budget"
)

// mayRetry decides on one more attempt and counts the reason against it.
func (t *tries) mayRetry(f relay.Failure) bool {
	why := t.deny(f)
	if why == "" {
		return true
	}
	t.count.Add("siskinsaddle_retries_denied_total", 1,
		count.Label{Key: "reason", Value: string(why)},
		count.Label{Key: "class", Value: f.Class})
	return false
}

// deny looks for a reason against one more attempt. A request of which nothing
// was sent, and a stream that is resumed, put no work on the servers twice, so
// only a restart is paid from the budget.
func (t *tries) deny(f relay.Failure) denial {
	t.mu.Lock()
	defer t.mu.Unlock()
	rule := retry.Decide(retry.Facts{
		MayRepeat:     f.Repeatable,
		Sent:          sentNames[f.Sent],
		ReachedCaller: f.Delivered > 0,
		Resumable:     f.Cause != relay.CauseNoResume,
	})
	switch {
	case !rule.Action.Sends():
		return deniedByRule
	case f.Attempt >= t.maxAttempts:
		return deniedByAttempts
	case f.Delivered > 0:
		return ""
	case !retry.InTime(t.clock.Now(), 0, f.GiveUp):
		return deniedByDeadline
	case f.Sent == wire.SentNothing || t.budget.Take():
		return ""
	}
	return deniedByBudget
}

func (t *tries) hedgeAfter(r sched.Request) clock.Millis {
	t.mu.Lock()
	defer t.mu.Unlock()
	h, ok := t.hedges[r.Service]
	if !ok {
		return 0
	}
	return h.Delay(r.Class, r.Model)
}

func (t *tries) mayHedge(r sched.Request, granted clock.Millis) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	facts := retry.Facts{MayRepeat: true, Sent: retry.SentWhole}
	h, ok := t.hedges[r.Service]
	return ok && h.Start(t.clock.Now(), granted, r.GiveUp, r.Class, r.Model, facts)
}

func (t *tries) firstToken(r sched.Request, took clock.Millis) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if h, ok := t.hedges[r.Service]; ok {
		h.FirstToken(r.Class, r.Model, took)
	}
}
