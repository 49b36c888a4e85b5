package retry

import (
	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/policy/learn"
)

const (
	// hedgeQuantile is the quantile of times to the first token after which an
	// attempt may be hedged.
	hedgeQuantile = 0.95
	// minHedgeDelay is the shortest hedge delay, in milliseconds.
	minHedgeDelay = 50 * clock.Millis(1)
	// maxHedgeKeys bounds the pairs of class and model with recorded times.
	maxHedgeKeys = 1_000
)

// Hedge decides when a second attempt is sent while a first one is unanswered. It
// answers a load in which single servers are slow. Create it with NewHedge; it is
// not safe for concurrent use.
type Hedge struct {
	budget *Budget
	// firstTokens holds the times to the first token, in milliseconds.
	firstTokens *learn.Lengths
}

// NewHedge returns a Hedge whose budget grows by share for each success, up to
// capacity.
func NewHedge(share, capacity float64) *Hedge {
	return &Hedge{budget: NewBudget(share, capacity), firstTokens: learn.New(maxHedgeKeys)}
}

// FirstToken records the time to the first token of an attempt, in milliseconds.
func (h *Hedge) FirstToken(class, model string, elapsed clock.Millis) {
	h.budget.Succeeded()
	h.firstTokens.Observe(learn.Key{Class: class, Model: model}, int(elapsed))
}

// Delay returns the time without a first token after which an attempt is hedged, in
// milliseconds. It returns 0, which disables hedging, until a time was recorded.
func (h *Hedge) Delay(class, model string) clock.Millis {
	q := h.firstTokens.Quantile(learn.Key{Class: class, Model: model}, hedgeQuantile)
	if q == 0 {
		return 0
	}
	return max(minHedgeDelay, clock.Millis(q))
}

// Start reports whether a hedge is sent now, and takes it from the budget. Only a
// request that may be repeated and of whose answer nothing has reached the caller is
// hedged, and only if the second attempt can answer before the deadline.
func (h *Hedge) Start(now, sentAt, deadline clock.Millis, class, model string, f Facts) bool {
	delay := h.Delay(class, model)
	if !f.MayRepeat || f.ReachedCaller || delay == 0 || now-sentAt < delay {
		return false
	}
	return InTime(now, delay, deadline) && h.budget.Take()
}
