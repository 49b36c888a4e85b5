package broker

import (
	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/policy/grant"
	"siskinsaddle/internal/policy/place"
	"siskinsaddle/internal/share/guard"
)

// The kinds of messages between hosts.
const (
	kindRequest = "GrantAsk"
	kindEvent   = "GrantNote"
	kindReport  = "GrantReport"
	kindLimit   = "RateLimit"
	kindActive  = "KeeperActive"
	kindHoldOff = "HoldOff"
)

// requestMessage is a grant request to a pool's keeper. The keeper replies with a
// grant.Decision once it has decided.
type requestMessage struct {
	Service string
	Pool    int
	Request grant.Request
}

// eventKind is a kind of event of a granted request.
type eventKind string

const (
	eventStarted eventKind = "S"
	eventEnded   eventKind = "E"
)

// eventMessage tells the keeper about an event of a request that was sent to it.
type eventMessage struct {
	Service string
	Pool    int
	ID      string
	Kind    eventKind
	Outcome place.Outcome
}

// reportMessage tells a keeper the state of a host that sends it requests for the first
// time: the host's running requests, and the servers that prefilled prompt segments.
type reportMessage struct {
	Service string
	Pool    int
	Running []runningRequest
	Cached  []grant.CachedSegments
	// Quarantine holds the quarantined segments that the host knows of.
	Quarantine []guard.Entry
}

// activeMessage tells a host that the sender decides for a pool with rate limits. The reply
// is whether the host does so too.
type activeMessage struct {
	Service string
	Pool    int
}

// limitMessage tells a keeper the rate that a server has named.
type limitMessage struct {
	Service string
	Pool    int
	Limit   grant.Limit
}

// holdOffMessage tells a keeper that a server wants no requests from the sender for a time in
// milliseconds.
type holdOffMessage struct {
	Service string
	Pool    int
	Server  string
	Born    int64
	Left    clock.Millis
}

type runningRequest struct {
	Request grant.Request
	Server  string
	Started bool
	// TimeLeft is the time until the caller's deadline, in milliseconds. It replaces
	// Request.TimeLeft, which dates from the grant request.
	TimeLeft clock.Millis
}
