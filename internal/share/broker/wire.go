package broker

import (
	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/policy/grant"
	"siskinsaddle/internal/policy/place"
)

// The kinds of messages between hosts.
const (
	kindAsk    = "GrantAsk"
	kindNote   = "GrantNote"
	kindReport = "GrantReport"
)

// askMessage asks a pool's keeper for a server. The keeper answers with a
// grant.Decision once one is ready.
type askMessage struct {
	Service string
	Pool    int
	Ask     grant.Request
}

// noteKind says what became of a request.
type noteKind string

const (
	noteStarted noteKind = "S"
	noteEnded   noteKind = "E"
)

// noteMessage tells the keeper what became of a request that it granted.
type noteMessage struct {
	Service string
	Pool    int
	ID      string
	Kind    noteKind
	Outcome place.Outcome
}

// reportMessage tells a keeper that is new to a host what it cannot know: which
// requests the host has at servers, and which parts of prompts it saw read.
type reportMessage struct {
	Service string
	Pool    int
	Running []runningRequest
	Held    []grant.CachedSegments
}

type runningRequest struct {
	Ask     grant.Request
	Server  string
	Started bool
	// Left is the time until the request ends at the latest, in milliseconds.
	Left clock.Millis
}
