package sched

import "siskinsaddle/internal/base/clock"

// Settings is what governs a Group. It is not changed after it was given.
type Settings struct {
	Classes    []Class
	Workspaces []Workspace
	// LongTokens is the output length from which work counts as long, in
	// tokens; 0 makes no work long.
	LongTokens int
	// LongShare bounds the share of a server's slots that long work may hold.
	// At least one slot is left to it.
	LongShare float64
	// SpillShare bounds the share of the group's slots that work of other
	// failure domains may hold.
	SpillShare float64
	// Headroom keeps the last slots of each server for urgent tiers.
	Headroom Headroom
	// FirstToken is the expected time from grant to first token in
	// milliseconds, nil for none.
	FirstToken func(Request) clock.Millis
	// Choose returns the index of the candidate that the request goes to; nil
	// takes the one with the most free slots for its size.
	Choose func(now clock.Millis, r Request, among []Candidate) int
}

// Headroom says that the last Slots slots of each server go to tiers up to
// Tier only. A class's floor may use them too.
type Headroom struct {
	Slots int
	Tier  int
}

// Candidate is a server that could take a request now.
type Candidate struct {
	Server  string
	Running int
	// Limit is the number of slots in use at the most, adapted to the time
	// between tokens.
	Limit int
	// Long counts the running requests that count as long.
	Long int
}

// Digest is a Group in a few numbers, for the choice among groups.
type Digest struct {
	// FreeSlots are those that requests of every tier may use.
	FreeSlots int
	Waiting   int
	Running   int
	// WaitEstimate is the expected wait in milliseconds of a request of the
	// lowest tier that arrives now.
	WaitEstimate clock.Millis
}
