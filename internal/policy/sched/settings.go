package sched

import "siskinsaddle/internal/base/clock"

// Settings configures a Group. It must not be modified after it was passed in.
type Settings struct {
	Classes    []Class
	Workspaces []Workspace
	// LongTokens is the output length, in tokens, from which a request counts as
	// long; 0 for none.
	LongTokens int
	// LongShare bounds the share of a server's slots that long requests may hold.
	// They may always hold at least one.
	LongShare float64
	// SpillShare bounds the share of the group's slots that requests from other
	// failure domains may hold.
	SpillShare float64
	// Headroom reserves the last slots of each server for urgent tiers.
	Headroom Headroom
	// FirstToken is the expected time from grant to first token in
	// milliseconds, nil for none.
	FirstToken func(Request) clock.Millis
	// Choose returns the index of the candidate to send the request to. If it is
	// nil, the candidate with the largest share of free slots is used.
	Choose func(now clock.Millis, r Request, among []Candidate) int
}

// Headroom reserves the last Slots slots of each server for tiers up to Tier and
// for floor grants.
type Headroom struct {
	Slots int
	Tier  int
}

// Candidate is a server that could take a request now.
type Candidate struct {
	Server  string
	Running int
	// Limit is the current limit of concurrent requests, adapted to the time
	// between tokens.
	Limit int
	// Long is the number of running long requests.
	Long int
}

// Digest is a summary of a Group, used to choose among groups.
type Digest struct {
	// FreeSlots is the number of free slots that every tier may use.
	FreeSlots int
	Waiting   int
	Running   int
	// WaitEstimate is the expected wait in milliseconds of a request of the
	// least urgent tier that arrives now.
	WaitEstimate clock.Millis
}
