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
}

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

// Note takes in how a request ended and returns whether the server is now
// avoided that was not, or is no longer.
func (h *Health) Note(now clock.Millis, o Outcome) Change {
	sound := h.pause == 0
	switch {
	case o == OutcomeServed:
		h.pause, h.until = 0, 0
		if !sound {
			return ChangeBack
		}
	case failing[o]:
		h.pause = min(max(2*h.pause, firstAvoid), lastAvoid)
		h.until = now + h.pause
		if sound {
			return ChangeAvoided
		}
	}
	return ChangeNone
}
