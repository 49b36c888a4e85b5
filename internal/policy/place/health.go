package place

import "siskinsaddle/internal/base/clock"

// How long a server is avoided after failures, in milliseconds: at first about
// as long as a restart's connection takes, then up to the time after which a
// record of a dead server is gone.
const (
	firstAvoid = 500 * clock.Millis(1)
	lastAvoid  = 4_000 * clock.Millis(1)
)

// Health keeps a server that fails from getting everything: a dead or grey
// server answers faster than a busy one. After each avoided time one request
// may find out whether the server is back.
type Health struct {
	until clock.Millis
	pause clock.Millis
	// failed is the number of answers in a row that told of a failure.
	failed int
}

// FailedInRow is how many failures in a row speak against a server. Some calls
// fail by themselves (14 % of the users' look-ups), so that one alone says
// nothing; three in a row are then one in 400.
const FailedInRow = 3

// Avoided tells whether the server gets nothing new for now.
func (h *Health) Avoided(now clock.Millis) bool { return now < h.until }

// failing tells which outcomes speak against a server, and how much.
var failing = map[Outcome]bool{
	OutcomeUnreachable: true,
	OutcomeBroken:      true,
	OutcomeSilent:      true,
	OutcomeMoved:       true,
}

// Change says what an outcome made of a server's health.
type Change string

// The changes.
const (
	ChangeNone    Change = ""
	ChangeAvoided Change = "Avoided"
	ChangeBack    Change = "Back"
)

// Began takes in that an answer began, which a server that only fails does not.
func (h *Health) Began() { h.failed = 0 }

// Note takes in how a request ended and returns whether the server is now
// avoided that was not, or is no longer.
func (h *Health) Note(now clock.Millis, o Outcome) Change {
	sound := h.pause == 0
	if o == OutcomeFailed {
		h.failed++
	}
	switch {
	case o == OutcomeServed:
		h.pause, h.until, h.failed = 0, 0, 0
		if !sound {
			return ChangeBack
		}
	case failing[o] || (o == OutcomeFailed && h.failed >= FailedInRow):
		h.pause = min(max(2*h.pause, firstAvoid), lastAvoid)
		h.until = now + h.pause
		if sound {
			return ChangeAvoided
		}
	}
	return ChangeNone
}
