// Package retry decides how a request is handled after a failed attempt, and when
// a slow attempt is hedged by a second one. It is the only layer that retries.
//
// A table of named rules gives the permitted action. It depends on four facts only:
// whether the request may run more than once, how much of it was sent, whether part
// of the answer has reached the caller, and whether the answer is a stream that the
// server can resume. The action is taken only if the caller's deadline and a retry
// budget allow it. The budget is a share of the successful requests, so that retries
// cannot multiply the load during a fault.
//
// # Usage
//
//	rule := retry.Decide(retry.Facts{
//		MayRepeat: true, Sent: retry.SentWhole, ReachedCaller: true, Resumable: true,
//	})
//	// rule.Action == retry.ActionResume
//
//	b := retry.NewBudget(0.1, 10)
//	b.Succeeded()
//	if rule.Action.Sends() && retry.InTime(now, expected, deadline) && b.Take() {
//		// send
//	}
package retry

import "siskinsaddle/internal/base/clock"

// Sent is how much of an attempt's request the server may have seen.
type Sent string

// The values of Sent. An unknown amount counts as SentWhole.
const (
	SentNothing Sent = "Nothing"
	SentPart    Sent = "Part"
	SentWhole   Sent = "Whole"
)

// Facts is the properties of a failed attempt by which Decide chooses a rule.
type Facts struct {
	MayRepeat bool
	Sent      Sent
	// ReachedCaller is set if part of the answer has been sent to the caller.
	ReachedCaller bool
	// Resumable is set if the server can resume the answer at an offset.
	Resumable bool
}

// Action is the reaction to a failed attempt.
type Action string

// The actions.
const (
	// ActionSend sends the request again, from the beginning.
	ActionSend Action = "Send"
	// ActionResume sends the request again under the same request ID, with the
	// offset up to which the caller has received the answer.
	ActionResume Action = "Resume"
	// ActionRefuseNotRun tells the caller that the request did not run.
	ActionRefuseNotRun Action = "RefuseNotRun"
	// ActionRefuseUnknown tells the caller that it is unknown whether the
	// request ran.
	ActionRefuseUnknown Action = "RefuseUnknown"
	// ActionBreakOff ends a partly sent answer with an error.
	ActionBreakOff Action = "BreakOff"
)

// Sends reports whether the action is another attempt.
func (a Action) Sends() bool { return a == ActionSend || a == ActionResume }

// Rule is one entry of the table.
type Rule struct {
	Name   string
	Action Action
	// Otherwise replaces Action if the budget or the deadline does not allow it.
	Otherwise Action
}

// The rules. A request of which nothing was sent has not run, so it may always be
// sent again. A request of which any part was sent may have run.
var (
	ruleUnsent    = Rule{Name: "Unsent", Action: ActionSend, Otherwise: ActionRefuseNotRun}
	ruleOnce      = Rule{Name: "Once", Action: ActionRefuseUnknown, Otherwise: ActionRefuseUnknown}
	ruleOnceBegun = Rule{Name: "OnceBegun", Action: ActionBreakOff, Otherwise: ActionBreakOff}
	ruleRestart   = Rule{Name: "Restart", Action: ActionSend, Otherwise: ActionRefuseUnknown}
	ruleResume    = Rule{Name: "Resume", Action: ActionResume, Otherwise: ActionBreakOff}
	ruleBroken    = Rule{Name: "Broken", Action: ActionBreakOff, Otherwise: ActionBreakOff}
)

// afterSendingKey is the key of rulesAfterSending.
type afterSendingKey struct {
	mayRepeat     bool
	reachedCaller bool
	resumable     bool
}

var rulesAfterSending = map[afterSendingKey]Rule{
	{mayRepeat: false, reachedCaller: false, resumable: false}: ruleOnce,
	{mayRepeat: false, reachedCaller: false, resumable: true}:  ruleOnce,
	{mayRepeat: false, reachedCaller: true, resumable: false}:  ruleOnceBegun,
	{mayRepeat: false, reachedCaller: true, resumable: true}:   ruleOnceBegun,
	{mayRepeat: true, reachedCaller: false, resumable: false}:  ruleRestart,
	{mayRepeat: true, reachedCaller: false, resumable: true}:   ruleRestart,
	{mayRepeat: true, reachedCaller: true, resumable: false}:   ruleBroken,
	{mayRepeat: true, reachedCaller: true, resumable: true}:    ruleResume,
}

// Decide returns the rule for a failed attempt.
func Decide(f Facts) Rule {
	if f.Sent == SentNothing && !f.ReachedCaller {
		return ruleUnsent
	}
	return rulesAfterSending[afterSendingKey{mayRepeat: f.MayRepeat, reachedCaller: f.ReachedCaller, resumable: f.Resumable}]
}

// InTime reports whether another attempt, whose first token is expected after the
// given time in milliseconds, can answer before the caller's deadline.
func InTime(now, expected, deadline clock.Millis) bool { return now+expected < deadline }

// Budget is a token bucket that limits retries, or hedges, to a share of the
// successful requests. It answers a load of failures, under which retries would
// multiply the work. Create it with NewBudget; it is not safe for concurrent use.
type Budget struct {
	share    float64
	capacity float64
	tokens   float64
}

// NewBudget returns a full Budget. Each success adds share tokens, up to capacity;
// each attempt takes one.
func NewBudget(share, capacity float64) *Budget {
	return &Budget{share: share, capacity: capacity, tokens: capacity}
}

// Succeeded records a request that succeeded at its first attempt.
func (b *Budget) Succeeded() { b.tokens = min(b.capacity, b.tokens+b.share) }

// Take takes a token for one attempt. It returns false if none is left.
func (b *Budget) Take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
