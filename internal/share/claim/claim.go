// Package claim makes a request that may not be repeated run at most once.
//
// The caller names such a request by an Idempotency-Key. Before anything is
// sent, the entry host claims the key by a conditional write to the table; the
// outcome is recorded after, and replayed to a caller that asks again, through
// any host. Nobody but the owner of a claim sends, since a paused owner may wake
// at any time. The exception is a service that checks fencing numbers and has a
// look-up path: there a host may take over the claim of an owner that is gone.
//
// A refusal says by Ran what this call did: No means that this call sent
// nothing and that no earlier one is known to have. An earlier call with the
// same key that ended without an answer keeps its own, unknown outcome.
//
// An outcome that the table does not take is kept in the process and written
// later by Run. Each claim reserves its place there before it is made, so that
// an outcome always has one.
//
// # Usage
//
//	d := &claim.Desk{
//		Table: records, Objects: bodies, Clock: clock.System(),
//		Host: "prairie-a-1", Incarnation: 17, Gone: hosts.Gone, LookUp: lookUp,
//	}
//	go d.Run(ctx)
//
//	v := d.Claim(ctx, order)
//	switch v.Kind {
//	case claim.VerdictSend: // send once with v.Ticket.Fence, then one of
//		d.Finish(v.Ticket, response) // the whole answer came
//		d.NotSent(v.Ticket)          // provably no byte was sent, nor will be
//		d.Unknown(v.Ticket)          // anything else
//	case claim.VerdictReplay: // v.Response
//	case claim.VerdictRefuse: // v.Reason, v.Ran, v.RetryAfter
//	}
package claim

import (
	"context"
	"crypto/sha256"
	_ "embed"
	"io"
	"sync"

	"siskinsaddle/internal/base/chart"
	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/base/count"
	"siskinsaddle/internal/plat/object"
	"siskinsaddle/internal/plat/table"
)

// Kind is the kind of the table's records that hold claims.
const Kind = "Claim"

// Order is a request that may not be repeated.
type Order struct {
	Workspace string
	Service   string
	// Key is the caller's Idempotency-Key.
	Key string
	// Hash tells the same request from another one with the same key.
	Hash Hash
	// ChecksFencing tells that the service refuses a number below the highest
	// that it has seen for the key. HasLookUp tells that it says what it ran.
	ChecksFencing bool
	HasLookUp     bool
}

// Hash is a SHA-256.
type Hash [sha256.Size]byte

// HashOf hashes a request with its method and path.
func HashOf(method, path string, body []byte) Hash {
	h := sha256.New()
	_, _ = io.WriteString(h, method+" "+path+"\n")
	_, _ = h.Write(body)
	return Hash(h.Sum(nil))
}

// Header is one header field of a response.
type Header struct {
	Name  string
	Value string
}

// Response is the whole answer of the service.
type Response struct {
	Status  int
	Headers []Header
	Body    []byte
}

// VerdictKind says what the caller of Claim does next.
type VerdictKind string

// The kinds of verdict.
const (
	VerdictSend   VerdictKind = "Send"
	VerdictReplay VerdictKind = "Replay"
	VerdictRefuse VerdictKind = "Refuse"
)

// Reason is why a claim was refused.
type Reason string

// The reasons.
const (
	// ReasonStoreDown is a table that is not reachable or throttles.
	ReasonStoreDown Reason = "ClaimStoreDown"
	// ReasonStoreUnsure is a claim whose write got no answer.
	ReasonStoreUnsure Reason = "ClaimStoreUnsure"
	// ReasonKeyReused is a key that was used for another request.
	ReasonKeyReused Reason = "KeyReused"
	// ReasonInProgress is a request whose outcome is not recorded yet.
	ReasonInProgress Reason = "InProgress"
	// ReasonUnknownOutcome is a request that may have run.
	ReasonUnknownOutcome Reason = "UnknownOutcome"
	// ReasonAnswerNotKept is a request that ran, whose answer cannot be read.
	ReasonAnswerNotKept Reason = "AnswerNotKept"
	// ReasonTooManyClaims is a host with no place for one more outcome.
	ReasonTooManyClaims Reason = "TooManyClaims"
)

// Ran says whether the request ran.
type Ran string

// The values of Ran.
const (
	RanNo      Ran = "No"
	RanUnknown Ran = "Unknown"
	RanYes     Ran = "Yes"
)

// Ticket is the right to send a request once.
type Ticket struct {
	// Fence goes with the request to a service that checks it.
	Fence uint64
	name  string
	token string
	order Order
}

// Verdict is the answer to Claim.
type Verdict struct {
	Kind     VerdictKind
	Ticket   Ticket
	Response Response
	Reason   Reason
	Ran      Ran
	// RetryAfter is in milliseconds.
	RetryAfter clock.Millis
}

// LookUpKind is what a service says of a request.
type LookUpKind string

// The kinds of look-up result. LookUpNotRun counts only for a service that has
// taken the fencing number of the look-up and refuses older ones from then on.
const (
	LookUpRan      LookUpKind = "Ran"
	LookUpNotRun   LookUpKind = "NotRun"
	LookUpNoAnswer LookUpKind = "NoAnswer"
)

// LookUp is the result of asking a service.
type LookUp struct {
	Kind     LookUpKind
	Response Response
}

// The settings of a Desk where they are 0.
const (
	defaultRetention    = 24 * clock.Hour
	defaultInlineBytes  = 8 << 10
	defaultMaxPending   = 10_000
	defaultMaxHeldBytes = 16 << 20
	defaultStoreTimeout = clock.Second
	defaultRetryEvery   = 250
	defaultWriters      = 32
)

// Desk makes and settles the claims of one entry host. Its fields are set
// before the first Claim and before Run.
type Desk struct {
	Table   table.Store
	Objects object.Store
	Clock   clock.Clock
	Count   *count.Set
	// Host and Incarnation name this process and no other, also not an
	// earlier one of the same host.
	Host        string
	Incarnation uint64
	// Gone tells whether that process of a host is believed to be dead. A
	// mistake is harmless.
	Gone func(host string, incarnation uint64) bool
	// LookUp asks the service. It is called only for orders with HasLookUp.
	LookUp func(ctx context.Context, o Order, fence uint64) LookUp
	// Retention returns how long a claim is kept, in milliseconds. It may
	// change while the desk runs.
	Retention func() clock.Millis
	// InlineBytes bounds the response bodies that stand in the record itself.
	InlineBytes int
	// MaxPending bounds the claims that this host has open or unsettled, and
	// MaxHeldBytes the bytes of their responses.
	MaxPending   int
	MaxHeldBytes int
	// StoreTimeout bounds each call to the stores, RetryEvery is the pause
	// between two attempts to settle, both in milliseconds.
	StoreTimeout clock.Millis
	RetryEvery   clock.Millis

	mu      sync.Mutex
	entries map[string]*entry
	held    int
	faults  int
	retryAt clock.Millis
	ready   chan *entry
	started sync.Once
	cursor  string
}

//go:embed claim.chart.hujson
var chartFile []byte

var claimChart = chart.MustParse("claim.chart.hujson", chartFile)

// The events of the chart.
const (
	eventClaim    chart.Event = "Claim"
	eventAnswered chart.Event = "Answered"
	eventNotSent  chart.Event = "NotSent"
	eventLost     chart.Event = "Lost"
	eventTakeOver chart.Event = "TakeOver"
	eventFoundRan chart.Event = "FoundRan"
)

// The states of the chart that the code compares with.
const (
	stateAbsent  chart.State = "Absent"
	stateClaimed chart.State = "Claimed"
	stateDone    chart.State = "Done"
	stateNotRun  chart.State = "NotRun"
	stateUnknown chart.State = "Unknown"
)

func orElse[T int | clock.Millis](value, fallback T) T {
	if value > 0 {
		return value
	}
	return fallback
}

func (d *Desk) add(name string, reason string) {
	if d.Count != nil {
		d.Count.Add(name, 1, count.Label{Key: "reason", Value: reason})
	}
}
