package sched

import "siskinsaddle/internal/base/clock"

// Request is a request as the scheduler sees it.
type Request struct {
	ID string
	// Host is the entry host, which received the request from its caller and waits
	// for the decision.
	Host      string
	Service   string
	Class     string
	Workspace string
	Model     string
	// Arrived, Deadline and GiveUp are points in time on the scheduler's
	// clock. Deadline is when the first token is due by the class's target.
	// After GiveUp the caller no longer waits, and the request is refused.
	Arrived  clock.Millis
	Deadline clock.Millis
	GiveUp   clock.Millis
	// PromptTokens and PredictedTokens are lengths in tokens.
	PromptTokens    int
	PredictedTokens int
	// MaxTokens is the longest answer that the caller allows, 0 for any.
	MaxTokens int
	// Prefix is a hash of the beginning of the prompt, 0 for none. Requests with the
	// same hash should use the same server.
	Prefix uint64
	// Spilled is true if the request comes from another failure domain.
	Spilled bool
	// Begun is true if part of the answer has reached the caller. Such a request
	// goes ahead of others of its tier and is never shed.
	Begun bool
	// NotRepeatable is true if the request may be sent only once. Such a request
	// is not used to probe a slow server.
	NotRepeatable bool
	// Avoid lists servers on which this request has just failed.
	Avoid []string
}

// Class holds the scheduling settings of a class of the manifest.
type Class struct {
	Name string
	// Tier is the tier number in the manifest, which counts from 1, the most urgent.
	// The tiers of package grant, which count from 0, are not converted to these.
	Tier int
	// FirstTokenTarget and BetweenTokensTarget are in milliseconds.
	FirstTokenTarget    clock.Millis
	BetweenTokensTarget clock.Millis
	// FloorPeriod is the longest time, in milliseconds, that the class may have
	// waiting requests without receiving a slot.
	FloorPeriod clock.Millis
	// MaxWaiting bounds the number of the class's waiting requests, 0 for no bound.
	MaxWaiting int
}

// Workspace holds the scheduling settings of a workspace of the manifest.
type Workspace struct {
	Name string
	// Weight is the workspace's weight in fair sharing, 1 by default.
	Weight int
}

// ServerState is the state of a backend server.
type ServerState string

// The states of a backend server.
const (
	ServerUp ServerState = "Up"
	// ServerSuspect: the server gets no requests, but requests that need it may wait,
	// since it may soon be up again.
	ServerSuspect ServerState = "Suspect"
	// ServerLeaving and ServerDown: the server gets no requests, and requests that no
	// other server serves are refused.
	ServerLeaving ServerState = "Leaving"
	ServerDown    ServerState = "Down"
)

// Server is a backend server as the scheduler sees it.
type Server struct {
	Name  string
	State ServerState
	// Slots is the highest number of concurrent requests.
	Slots int
	// Models lists the loaded models; empty for a plain service, which accepts
	// every request.
	Models []string
}

// DecisionKind distinguishes grants from refusals.
type DecisionKind string

// The kinds of decision.
const (
	DecisionGrant  DecisionKind = "Grant"
	DecisionRefuse DecisionKind = "Refuse"
)

// Reason is why a request was refused.
type Reason string

// The reasons of a scheduler's refusals.
const (
	// ReasonShed: too many requests wait, or it could not be served in time.
	ReasonShed Reason = "Shed"
	// ReasonExpired: GiveUp has passed.
	ReasonExpired Reason = "Expired"
	// ReasonNoServer: no server of the group that is up or suspect serves the model.
	ReasonNoServer Reason = "NoServer"
	// ReasonNoSpill: a spilled request could not be granted at once.
	ReasonNoSpill Reason = "NoSpill"
)

// Decision is the scheduler's decision on one request.
type Decision struct {
	ID     string
	Host   string
	Kind   DecisionKind
	Server string
	Reason Reason
	// RetryAfter is in milliseconds, 0 if there is no estimate.
	RetryAfter clock.Millis
	// Floor is true if the grant was made for the class's floor.
	Floor bool
}

// Outcome is how a granted request ended.
type Outcome string

// The outcomes.
const (
	OutcomeDone   Outcome = "Done"
	OutcomeFailed Outcome = "Failed"
	// OutcomeUnreachable means that the server accepted no connection or announced
	// that it is leaving.
	OutcomeUnreachable Outcome = "Unreachable"
	OutcomeCancelled   Outcome = "Cancelled"
	OutcomeSilent      Outcome = "Silent"
)

// Lost reports whether the server or the connection to it failed.
func (o Outcome) Lost() bool {
	return o == OutcomeFailed || o == OutcomeSilent || o == OutcomeUnreachable
}

// Progress is an entry host's report on a running request.
type Progress struct {
	ID     string
	Tokens int
	// FirstToken is the time to the first token in milliseconds, -1 before the
	// first token. BetweenTokens is the mean time between tokens in milliseconds
	// since the last report.
	FirstToken    clock.Millis
	BetweenTokens float64
}

// Done ends a granted request and frees its slot.
type Done struct {
	Progress
	Outcome Outcome
}
