package accept

import (
	_ "embed" // the chart

	"siskinsaddle/internal/base/chart"
	"siskinsaddle/internal/base/clock"
)

//go:embed holder.chart.hujson
var holderFile []byte

var holderChart = chart.MustParse("holder.chart.hujson", holderFile)

const (
	stateStaged chart.State = "Staged"

	eventSeeStaging chart.Event = "SeeStaging"
	eventSeeOutcome chart.Event = "SeeOutcome"
)

// Mode is how a host may serve.
type Mode string

// The modes.
const (
	// ModeReady: the accepted generation is known and in force.
	ModeReady Mode = "Ready"
	// ModeBoth: a staged generation may or may not have been accepted; only
	// what both generations allow is served.
	ModeBoth Mode = "Both"
	// ModeNotReady: no accepted generation is held.
	ModeNotReady Mode = "NotReady"
	// ModeNotCurrent: the host can not tell whether its domain has moved on.
	ModeNotCurrent Mode = "NotCurrent"
)

// Sighting is what was learned at once, from the platform or a peer.
type Sighting struct {
	Accepted Generation
	Staged   Generation
	// Closed is the highest number known to be accepted or aborted.
	Closed int64
	// VerifiedAt is the time as of which nothing newer was in force in this
	// failure domain, PlatformAt the time as of which the platform's record
	// said so. Both are on the host's own clock.
	VerifiedAt clock.Millis
	PlatformAt clock.Millis
}

// sighting is what the platform's record says, when read at a time.
func (r Record) sighting(readAt clock.Millis) Sighting {
	return Sighting{
		Accepted: r.InForce(), Staged: r.Staged(), Closed: r.closed(),
		VerifiedAt: readAt, PlatformAt: readAt,
	}
}

// Knowledge is all that a host has learned. Every part only rises, so the
// order in which sightings arrive makes no difference.
type Knowledge struct {
	State chart.State
	Sighting
	// StartedAt is when the host started, on its own clock.
	StartedAt clock.Millis
}

// newKnowledge is that of a host that has just started.
func newKnowledge(now clock.Millis) Knowledge {
	return Knowledge{
		State: holderChart.Initial, Sighting: Sighting{VerifiedAt: never, PlatformAt: never}, StartedAt: now,
	}
}

// With returns the knowledge with one more sighting.
func (k Knowledge) With(s Sighting) Knowledge {
	k.Accepted = later(k.Accepted, s.Accepted)
	k.Staged = later(k.Staged, s.Staged)
	k.Closed = max(k.Closed, s.Closed, k.Accepted.Number)
	k.VerifiedAt = max(k.VerifiedAt, s.VerifiedAt)
	k.PlatformAt = max(k.PlatformAt, s.PlatformAt)
	switch {
	case k.Staged.Number > k.Closed:
		k.State = step(k.State, eventSeeStaging)
	case k.Accepted.Number > 0:
		k.State = step(k.State, eventSeeOutcome)
	}
	return k
}

func later(a, b Generation) Generation {
	if b.Number > a.Number {
		return b
	}
	return a
}

func step(from chart.State, event chart.Event) chart.State {
	move, err := holderChart.Step(from, event)
	if err != nil {
		panic(err) // the chart is embedded and names both events everywhere
	}
	return move.To
}

// Undecided returns the staged generation whose outcome is not known.
func (k Knowledge) Undecided() (Generation, bool) {
	return k.Staged, k.State == stateStaged
}

// Solid tells whether the platform's record was seen as of a time since the
// host's start, so that nothing which the host knew or acknowledged before can
// be missing.
func (k Knowledge) Solid() bool {
	return k.PlatformAt >= k.StartedAt
}

// Mode returns how the host may serve at a time.
//
// What was verified before the host's start does not count, since the host may
// have served under a later generation before it stopped. A host with an
// undecided generation stays Ready while the platform's record is known to
// have been open within CurrencyWindow, and is Both after that.
func (k Knowledge) Mode(now clock.Millis) Mode {
	_, undecided := k.Undecided()
	switch {
	case k.Accepted.Number == 0 || k.VerifiedAt < k.StartedAt:
		return ModeNotReady
	case now-k.VerifiedAt > CurrencyWindow:
		return ModeNotCurrent
	case undecided && (now-k.PlatformAt > CurrencyWindow || !k.Solid()):
		return ModeBoth
	default:
		return ModeReady
	}
}
