package sched

import "siskinsaddle/internal/base/clock"

// Request is a request as the scheduler sees it.
type Request struct {
	ID string
	// Host is the entry host that waits for the decision.
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
	// Prefix names the prompt's beginning for prefix affinity, 0 for none.
	Prefix uint64
	// Spilled tells that the request comes from another failure domain.
	Spilled bool
	// Begun tells that part of the answer has reached the caller. The request
	// goes ahead of others of its tier and is never shed.
	Begun bool
	// NotRepeatable tells that the request may be sent once only, so that it
	// is not used to probe a slow server.
	NotRepeatable bool
	// Avoid names servers that have just failed this request.
	Avoid []string
}

// Class is what the scheduler needs of a class of the manifest.
type Class struct {
	Name string
	// Tier counts from 1, the most urgent.
	Tier int
	// FirstTokenTarget and BetweenTokensTarget are in milliseconds.
	FirstTokenTarget    clock.Millis
	BetweenTokensTarget clock.Millis
	// FloorPeriod is the longest time in milliseconds that the class may have
	// waiting work without being given a slot.
	FloorPeriod clock.Millis
	// MaxWaiting bounds the class's queue.
	MaxWaiting int
}

// Workspace is what the scheduler needs of a workspace of the manifest.
type Workspace struct {
	Name string
	// Weight is the share among workspaces, 1 by default.
	Weight int
}

// ServerState is what is known of a backend server.
type ServerState string

// The states of a backend server.
const (
	ServerUp      ServerState = "Up"
	ServerSuspect ServerState = "Suspect"
	ServerLeaving ServerState = "Leaving"
	ServerDown    ServerState = "Down"
)

// Server is a backend server as the scheduler sees it.
type Server struct {
	Name  string
	State ServerState
	// Slots is how many requests it runs side by side at the most.
	Slots int
	// Models names what it has loaded; empty for a plain service, which takes
	// every request.
	Models []string
}

// DecisionKind tells a grant from a refusal.
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
	ReasonShed     Reason = "Shed"
	ReasonExpired  Reason = "Expired"
	ReasonNoServer Reason = "NoServer"
	ReasonNoSpill  Reason = "NoSpill"
)

// Decision is the scheduler's answer to one request.
type Decision struct {
	ID     string
	Host   string
	Kind   DecisionKind
	Server string
	Reason Reason
	// RetryAfter is in milliseconds, 0 where nothing is known.
	RetryAfter clock.Millis
	// Floor tells that the grant was given for the class's floor.
	Floor bool
}

// Outcome is how a granted request ended.
type Outcome string

// The outcomes.
const (
	OutcomeDone   Outcome = "Done"
	OutcomeFailed Outcome = "Failed"
	// OutcomeUnreachable: the server took no connection or said that it is
	// leaving.
	OutcomeUnreachable Outcome = "Unreachable"
	OutcomeCancelled   Outcome = "Cancelled"
	OutcomeSilent      Outcome = "Silent"
)

// Lost tells that the server or the connection to it failed.
func (o Outcome) Lost() bool {
	return o == OutcomeFailed || o == OutcomeSilent || o == OutcomeUnreachable
}

// Progress is what the entry host has seen of a running request so far.
type Progress struct {
	ID     string
	Tokens int
	// FirstToken is the time to the first token in milliseconds, -1 while
	// there is none. BetweenTokens is the mean since the last report.
	FirstToken    clock.Millis
	BetweenTokens float64
}

// Done ends a granted request and frees its slot.
type Done struct {
	Progress
	Outcome Outcome
}
