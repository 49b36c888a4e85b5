package place

import "siskinsaddle/internal/base/clock"

// The bounds of the backoff for a failing server, in milliseconds. The minimum is
// about the time until a restarted server accepts connections, the maximum the time
// until the record of a dead server has expired.
const (
	minAvoidTime = 500 * clock.Millis(1)
	maxAvoidTime = 4_000 * clock.Millis(1)
)

// Health decides with an exponential backoff whether a failing server is avoided. It
// is made for the load on a dead or partly failed server: its errors return faster than
// a busy server's answers, so that it looks idle and would attract all requests.
// After each backoff a request may show whether the server has recovered.
type Health struct {
	avoidedUntil clock.Millis
	backoff      clock.Millis
	// failuresInRow is the number of consecutive OutcomeFailed requests.
	failuresInRow int
}

// FailureThreshold is the number of consecutive failures after which a server is
// avoided. Some calls fail on healthy servers: 14 % of the users' look-up calls, which
// are safe to repeat. Three such failures in a row occur about once in 360 calls.
const FailureThreshold = 3

// Avoided reports whether the server is in backoff and gets no new requests.
func (h *Health) Avoided(now clock.Millis) bool { return now < h.avoidedUntil }

// avoidAtOnce holds the outcomes of which one is enough to avoid the server. For
// OutcomeFailed see FailureThreshold.
var avoidAtOnce = map[Outcome]bool{
	OutcomeUnreachable: true,
	OutcomeBroken:      true,
	OutcomeSilent:      true,
	OutcomeMoved:       true,
}

// Change is the effect of an outcome on a server's health.
type Change string

// The changes.
const (
	ChangeNone    Change = ""
	ChangeAvoided Change = "Avoided"
	ChangeBack    Change = "Back"
)

// AnswerStarted records that an answer started, which resets the consecutive
// failures: a server that only fails starts none.
func (h *Health) AnswerStarted() { h.failuresInRow = 0 }

// Record records the outcome of a request. It returns whether the server became
// avoided or recovered by it.
func (h *Health) Record(now clock.Millis, o Outcome) Change {
	healthy := h.backoff == 0
	if o == OutcomeFailed {
		h.failuresInRow++
	}
	switch {
	case o.Answered():
		h.backoff, h.avoidedUntil, h.failuresInRow = 0, 0, 0
		if !healthy {
			return ChangeBack
		}
	case avoidAtOnce[o] || (o == OutcomeFailed && h.failuresInRow >= FailureThreshold):
		h.backoff = min(max(2*h.backoff, minAvoidTime), maxAvoidTime)
		h.avoidedUntil = now + h.backoff
		if healthy {
			return ChangeAvoided
		}
	}
	return ChangeNone
}
