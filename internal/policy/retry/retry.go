// Package retry decides what happens to a request whose attempt failed, and
// when a second attempt is sent beside a slow first one. It is the one layer
// that retries.
//
// What may be done depends on four facts only, and stands in a table of named
// rules: whether the request may run more than once, how much of it was sent,
// whether part of the answer has reached the caller, and whether the answer is
// a stream that the server can resume. Whether it is done depends on the
// caller's deadline and on a budget: retries are paid from a share of the
// requests that succeeded, so that they cannot multiply the load of a fault.
//
// # Usage
//
//	rule := retry.Decide(retry.Facts{MayRepeat: true, Sent: retry.SentWhole, Reached: true, Resumable: true})
//	// rule.Action == retry.ActionResume
//
//	b := retry.NewBudget(0.1, 10)
//	b.Succeeded()
//	if rule.Action.Sends() && retry.InTime(now, expected, giveUp) && b.Take() {
//		// send
//	}
package retry

import "siskinsaddle/internal/base/clock"

// Sent is how much of an attempt's request the server may have seen.
type Sent string

// How much was sent. What is not known counts as SentWhole.
const (
	SentNothing Sent = "Nothing"
	SentPart    Sent = "Part"
	SentWhole   Sent = "Whole"
)

// Facts is what is known of a failed attempt.
type Facts struct {
	MayRepeat bool
	Sent      Sent
	// Reached tells that bytes of the answer have reached the caller.
	Reached bool
	// Resumable tells that the server can go on at an offset of the answer.
	Resumable bool
}

// Action is what is done about a failed attempt.
type Action string

// The actions.
const (
	// ActionSend sends the request again, from the beginning.
	ActionSend Action = "Send"
	// ActionResume sends the request again with the offset that the caller
	// has reached, under the same request id.
	ActionResume Action = "Resume"
	// ActionRefuseNotRun tells the caller that the request did not run.
	ActionRefuseNotRun Action = "RefuseNotRun"
	// ActionRefuseUnknown tells the caller that it is unknown whether the
	// request ran.
	ActionRefuseUnknown Action = "RefuseUnknown"
	// ActionBreakOff ends an answer that was begun, with an error.
	ActionBreakOff Action = "BreakOff"
)

// Sends tells whether the action is another attempt.
func (a Action) Sends() bool { return a == ActionSend || a == ActionResume }

// Rule is one entry of the table.
type Rule struct {
	Name   string
	Action Action
	// Otherwise is done when the budget or the time does not allow Action.
	Otherwise Action
}

// The rules. A request of which nothing was sent has not run, so that it may
// be sent whatever it is. One of which anything was sent may have run.
var (
	ruleUnsent    = Rule{Name: "Unsent", Action: ActionSend, Otherwise: ActionRefuseNotRun}
	ruleOnce      = Rule{Name: "Once", Action: ActionRefuseUnknown, Otherwise: ActionRefuseUnknown}
	ruleOnceBegun = Rule{Name: "OnceBegun", Action: ActionBreakOff, Otherwise: ActionBreakOff}
	ruleRestart   = Rule{Name: "Restart", Action: ActionSend, Otherwise: ActionRefuseUnknown}
	ruleResume    = Rule{Name: "Resume", Action: ActionResume, Otherwise: ActionBreakOff}
	ruleBroken    = Rule{Name: "Broken", Action: ActionBreakOff, Otherwise: ActionBreakOff}
)

// attempt is the part of the facts that the table is looked up by.
type attempt struct {
	mayRepeat bool
	reached   bool
	resumable bool
}

var afterSending = map[attempt]Rule{
	{mayRepeat: false, reached: false, resumable: false}: ruleOnce,
	{mayRepeat: false, reached: false, resumable: true}:  ruleOnce,
	{mayRepeat: false, reached: true, resumable: false}:  ruleOnceBegun,
	{mayRepeat: false, reached: true, resumable: true}:   ruleOnceBegun,
	{mayRepeat: true, reached: false, resumable: false}:  ruleRestart,
	{mayRepeat: true, reached: false, resumable: true}:   ruleRestart,
	{mayRepeat: true, reached: true, resumable: false}:   ruleBroken,
	{mayRepeat: true, reached: true, resumable: true}:    ruleResume,
}

// Decide returns the rule for a failed attempt.
func Decide(f Facts) Rule {
	if f.Sent == SentNothing && !f.Reached {
		return ruleUnsent
	}
	return afterSending[attempt{mayRepeat: f.MayRepeat, reached: f.Reached, resumable: f.Resumable}]
}

// InTime tells whether another attempt, with its first token expected after
// this many milliseconds, can serve the caller before it gives up.
func InTime(now, expected, giveUp clock.Millis) bool { return now+expected < giveUp }

// Budget pays for retries, or for hedges, from a share of successes. Take
// NewBudget; it is not safe for concurrent use.
type Budget struct {
	share float64
	most  float64
	left  float64
}

// NewBudget returns a full Budget: each success pays for share attempts, and
// at most this many are saved up.
func NewBudget(share, most float64) *Budget {
	return &Budget{share: share, most: most, left: most}
}

// Succeeded notes a request that succeeded at its first attempt.
func (b *Budget) Succeeded() { b.left = min(b.most, b.left+b.share) }

// Take pays for one attempt, or returns false.
func (b *Budget) Take() bool {
	if b.left < 1 {
		return false
	}
	b.left--
	return true
}
