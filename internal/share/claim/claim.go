// Package claim ensures that a request that must not be repeated runs at most once.
//
// The caller identifies such a request by an Idempotency-Key. Before anything is
// sent, the entry host claims the key with a conditional write to the table. It
// records the outcome afterwards, and any host replays the recorded outcome to a
// caller that repeats the request. Only the owner of a claim sends the request,
// because a paused owner may resume at any time. The exception is a service that
// checks fencing numbers and has a look-up path: there a host may take over the
// claim of a dead owner.
//
// In a refusal, Ran describes this call: No means that this call sent nothing
// and that no earlier call is known to have sent anything. An earlier call with
// the same key that ended without an answer keeps its own, unknown outcome.
//
// An outcome that cannot be written to the table is kept in memory and written
// later by Run. Each claim reserves an entry in memory before it is written, so
// there is always room for its outcome.
//
// # Usage
//
//	m := &claim.Manager{
//		Table: records, Objects: bodies, Clock: clock.System(),
//		Host: "prairie-a-1", Incarnation: 17, OwnerDead: isDead, LookUp: lookUp,
//	}
//	go m.Run(ctx)
//
//	v := m.Claim(ctx, request)
//	switch v.Kind {
//	case claim.VerdictSend: // send once with v.Ticket.Fence, then one of
//		m.Finish(v.Ticket, response) // the whole response arrived
//		m.NotSent(v.Ticket)          // provably no byte was sent or will be sent
//		m.Unknown(v.Ticket)          // anything else
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

// Kind is the record kind of claims in the table.
const Kind = "Claim"

// Request describes a request that must not be repeated.
type Request struct {
	Workspace string
	Service   string
	// Key is the caller's Idempotency-Key.
	Key string
	// Hash distinguishes a repeat of the request from another request that
	// reuses its key.
	Hash Hash
	// ChecksFencing reports whether the service refuses fencing numbers below
	// the highest that it has seen for the key. HasLookUp reports whether
	// the service can be asked if it ran a request.
	ChecksFencing bool
	HasLookUp     bool
}

// Hash is the SHA-256 of a request.
type Hash [sha256.Size]byte

// HashOf returns the hash of a request's method, path and body.
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

// Response is a complete response of the service.
type Response struct {
	Status  int
	Headers []Header
	Body    []byte
}

// VerdictKind is what the caller of Claim must do next.
type VerdictKind string

// The kinds of verdict.
const (
	VerdictSend   VerdictKind = "Send"
	VerdictReplay VerdictKind = "Replay"
	VerdictRefuse VerdictKind = "Refuse"
)

// Reason is the reason why a claim was refused.
type Reason string

// The reasons.
const (
	// ReasonStoreDown means that the table is unreachable or throttles.
	ReasonStoreDown Reason = "ClaimStoreDown"
	// ReasonStoreUnsure means that the write of the claim got no answer.
	ReasonStoreUnsure Reason = "ClaimStoreUnsure"
	// ReasonKeyReused means that the key was used for a different request.
	ReasonKeyReused Reason = "KeyReused"
	// ReasonInProgress means that the outcome of the request is not recorded yet.
	ReasonInProgress Reason = "InProgress"
	// ReasonUnknownOutcome means that the request may have run.
	ReasonUnknownOutcome Reason = "UnknownOutcome"
	// ReasonAnswerNotKept means that the request ran, but its response cannot be read.
	ReasonAnswerNotKept Reason = "AnswerNotKept"
	// ReasonTooManyClaims means that the host already holds MaxPending claims.
	ReasonTooManyClaims Reason = "TooManyClaims"
)

// Ran reports whether the request ran.
type Ran string

// The values of Ran.
const (
	RanNo      Ran = "No"
	RanUnknown Ran = "Unknown"
	RanYes     Ran = "Yes"
)

// Ticket permits its holder to send a request once.
type Ticket struct {
	// Fence is the fencing number, sent along to a service that checks it.
	Fence   uint64
	name    string
	token   string
	request Request
}

// Verdict is the result of Claim.
type Verdict struct {
	Kind     VerdictKind
	Ticket   Ticket
	Response Response
	Reason   Reason
	Ran      Ran
	// RetryAfter is in milliseconds.
	RetryAfter clock.Millis
}

// LookUpKind is what a service answers about a request.
type LookUpKind string

// The kinds of look-up result. LookUpNotRun is only conclusive for a service
// that has recorded the fencing number of the look-up and refuses lower ones
// from then on.
const (
	LookUpRan      LookUpKind = "Ran"
	LookUpNotRun   LookUpKind = "NotRun"
	LookUpNoAnswer LookUpKind = "NoAnswer"
)

// LookUp is the result of looking up a request at its service.
type LookUp struct {
	Kind     LookUpKind
	Response Response
}

// Defaults for the fields of a Manager that are 0.
const (
	defaultRetention     = 24 * clock.Hour
	defaultInlineBytes   = 8 << 10
	defaultMaxPending    = 10_000
	defaultMaxHeldBytes  = 16 << 20
	defaultStoreTimeout  = clock.Second
	defaultRetryEvery    = 250
	defaultSettleWorkers = 32
)

// Manager makes and settles the claims of one entry host. Its fields must be set
// before the first call of Claim or Run.
type Manager struct {
	Table   table.Store
	Objects object.Store
	Clock   clock.Clock
	Count   *count.Set
	// Host and Incarnation identify this process. No other process has the
	// same pair, not even an earlier one of the same host.
	Host        string
	Incarnation uint64
	// OwnerDead reports whether that process of a host is believed to be dead. A
	// wrong belief is harmless.
	OwnerDead func(host string, incarnation uint64) bool
	// LookUp asks the service whether the request ran. It is called only for
	// requests with HasLookUp.
	LookUp func(ctx context.Context, r Request, fence uint64) LookUp
	// Retention returns how long a claim is kept, in milliseconds. It may
	// change while the manager runs.
	Retention func() clock.Millis
	// InlineBytes is the maximum size of a response body stored in the record
	// itself. Larger ones go to Objects.
	InlineBytes int
	// MaxPending is the maximum number of open or unsettled claims of this
	// host, MaxHeldBytes that of the bytes of their response bodies.
	MaxPending   int
	MaxHeldBytes int
	// StoreTimeout bounds each call to the stores. RetryEvery is the delay
	// between two attempts to settle a claim and the backoff after repeated
	// failures of the table. Both are in milliseconds.
	StoreTimeout clock.Millis
	RetryEvery   clock.Millis

	mu            sync.Mutex
	entries       map[string]*entry
	heldBytes     int
	storeFailures int
	backoffUntil  clock.Millis
	settleQueue   chan *entry
	queueOnce     sync.Once
	sweepCursor   string
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

// The states of the chart that the code refers to.
const (
	stateAbsent  chart.State = "Absent"
	stateClaimed chart.State = "Claimed"
	stateDone    chart.State = "Done"
	stateNotRun  chart.State = "NotRun"
	stateUnknown chart.State = "Unknown"
)

func orDefault[T int | clock.Millis](value, fallback T) T {
	if value > 0 {
		return value
	}
	return fallback
}

func (m *Manager) countReason(name string, reason string) {
	if m.Count != nil {
		m.Count.Add(name, 1, count.Label{Key: "reason", Value: reason})
	}
}
