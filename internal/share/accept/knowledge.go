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

// Mode is whether, and under which generations, a host may serve.
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
	// ModeNotCurrent: the host cannot rule out that its domain has accepted a
	// later generation.
	ModeNotCurrent Mode = "NotCurrent"
)

// Observation is one reading of the record's content, from the platform or a peer.
type Observation struct {
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

// observation converts the platform's record, as read at readAt.
func (r Record) observation(readAt clock.Millis) Observation {
	return Observation{
		Accepted: r.InForce(), Staged: r.Staged(), Closed: r.closed(),
		VerifiedAt: readAt, PlatformAt: readAt,
	}
}

// Knowledge is the merge of all observations of a host. The fields of the
// Observation only increase, so the order in which observations arrive does not
// matter to them.
type Knowledge struct {
	State chart.State
	Observation
	// StartedAt is when the host started, on its own clock.
	StartedAt clock.Millis
}

// newKnowledge returns the knowledge of a host that has just started.
func newKnowledge(now clock.Millis) Knowledge {
	return Knowledge{
		State: holderChart.Initial, Observation: Observation{VerifiedAt: never, PlatformAt: never},
		StartedAt: now,
	}
}

// With returns the knowledge merged with one more observation.
func (k Knowledge) With(s Observation) Knowledge {
	k.Accepted = newer(k.Accepted, s.Accepted)
	k.Staged = newer(k.Staged, s.Staged)
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

func newer(a, b Generation) Generation {
	if b.Number > a.Number {
		return b
	}
	return a
}

func step(from chart.State, event chart.Event) chart.State {
	transition, err := holderChart.Step(from, event)
	if err != nil {
		panic(err) // the chart is embedded and names both events everywhere
	}
	return transition.To
}

// Undecided returns the staged generation whose outcome is not known.
func (k Knowledge) Undecided() (Generation, bool) {
	return k.Staged, k.State == stateStaged
}

// SyncedSinceStart reports whether the platform's record was seen as of a time
// after the host's start. Then nothing that the host knew or acknowledged before
// its restart can be missing.
func (k Knowledge) SyncedSinceStart() bool {
	return k.PlatformAt >= k.StartedAt
}

// Mode returns how the host may serve at a time.
//
// A verification from before the host's start does not count, since the host may
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
	case undecided && (now-k.PlatformAt > CurrencyWindow || !k.SyncedSinceStart()):
		return ModeBoth
	default:
		return ModeReady
	}
}
