package retry

import (
	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/policy/learn"
)

const (
	// hedgeQuantile is the share of first tokens that come before a hedge is
	// thought of.
	hedgeQuantile = 0.95
	// hedgeLeast is the shortest delay in milliseconds.
	hedgeLeast = 50 * clock.Millis(1)
	// hedgeKeys bounds the classes and models whose delays are kept.
	hedgeKeys = 1_000
)

// Hedge decides when a second attempt is sent beside a first one that has not
// answered. Take NewHedge; it is not safe for concurrent use.
type Hedge struct {
	budget *Budget
	// firsts are times to the first token in milliseconds.
	firsts *learn.Lengths
}

// NewHedge returns a Hedge that spends at most this share of successes.
func NewHedge(share, most float64) *Hedge {
	return &Hedge{budget: NewBudget(share, most), firsts: learn.New(hedgeKeys)}
}

// FirstToken notes the time to the first token of an attempt, in milliseconds.
func (h *Hedge) FirstToken(class, model string, took clock.Millis) {
	h.budget.Succeeded()
	h.firsts.Observe(learn.Key{Class: class, Model: model}, int(took))
}

// Delay is how long in milliseconds an attempt may go without a first token
// before it is hedged, 0 while nothing is known: no hedge then.
func (h *Hedge) Delay(class, model string) clock.Millis {
	q := h.firsts.Quantile(learn.Key{Class: class, Model: model}, hedgeQuantile)
	if q == 0 {
		return 0
	}
	return max(hedgeLeast, clock.Millis(q))
}

// Start tells whether a hedge is sent now, and pays for it. Only work that may
// repeat and of which nothing has reached the caller is hedged, and only while
// the second attempt can be in time.
func (h *Hedge) Start(now, sent, giveUp clock.Millis, class, model string, f Facts) bool {
	delay := h.Delay(class, model)
	if !f.MayRepeat || f.Reached || delay == 0 || now-sent < delay {
		return false
	}
	return InTime(now, delay, giveUp) && h.budget.Take()
}
