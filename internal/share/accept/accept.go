// Package accept commits a manifest in every failure domain, or in none, through
// conditional writes to one record in the table store of the platform. The platform
// is the table store and the object store that all hosts and pushers share.
//
// A Pusher stages a generation in the record. In each failure domain a
// Collector asks every registered host to fetch the body and to acknowledge it,
// and then confirms the domain in the record. The generation is accepted when the
// last needed failure domain confirms. The pusher's abort is a conditional write to
// the same record, so exactly one of the two takes effect.
//
// A Holder keeps what its host knows of the record, and the bodies of the
// manifests. The host serves a request only while it is current: within
// CurrencyWindow its knowledge was verified at the platform, or against the hosts
// of its own failure domain, or by a peer that was itself current. A Collector
// excludes a silent host only after ExclusionWait, which is longer, so an excluded
// host has stopped serving by then. Generation numbers only increase.
//
// The decisions are in knowledge.go, roster.go, collection.go and record.go.
// They read no clock; the time is a parameter. Watcher, Collector and Pusher do
// the I/O.
//
// # Usage
//
//	h := accept.NewHolder("host-1", "prairie-a", clock.System())
//	w := &accept.Watcher{Holder: h, Platform: p, Peers: peers, Log: log, Counters: counters}
//	go w.Run(ctx)
//
//	view := h.View()
//	if !view.Serves() {
//		refuse(view.Mode) // nothing was sent
//	}
//	service, ok := view.Index.ServiceByModel("canvas-small")
//	...
//	if !h.StillServes(view) { // checked just before sending
//		refuse(accept.ModeNotCurrent)
//	}
package accept

import (
	"context"

	"siskinsaddle/internal/base/clock"
)

const (
	// CurrencyWindow is how long a host may serve after its last verification.
	CurrencyWindow = 2 * clock.Second
	// ExclusionWait is how long a host has to be silent on every connection
	// before its domain confirms without it. It is longer than CurrencyWindow,
	// so that the host no longer serves by then.
	ExclusionWait = 3 * clock.Second
	// PauseThreshold is the gap between two steps of a host above which the host
	// counts as having been paused.
	PauseThreshold = clock.Second
	// BlockedTimeout is how long after ExclusionWait a domain aborts the push if
	// it may not exclude a silent host.
	BlockedTimeout = 2 * clock.Second
	// PushTimeout is how long a pusher waits for the outcome before it aborts.
	PushTimeout = 8 * clock.Second
	// StagingTimeout is how long a staged generation may stay open before any
	// host aborts it, in case its pusher has died.
	StagingTimeout = 20 * clock.Second
)

// never is a sentinel that sorts before every other time.
const never clock.Millis = -1 << 60

// Ref identifies the body of a manifest.
type Ref struct {
	// Hash is the hash of the canonical form, Object the name of the packed body
	// in the object store.
	Hash   string
	Object string
}

// Generation is a numbered manifest. Number 0 means no manifest.
type Generation struct {
	Number int64
	Body   Ref
}

// The kinds of message between hosts.
const (
	KindCheck = "ManifestCheck"
	KindTell  = "ManifestTell"
	KindHello = "ManifestHello"
	KindBody  = "ManifestBody"
)

// CheckRequest asks a peer for its knowledge of the record. The numbers are
// those the sender already holds; the reply omits them.
type CheckRequest struct {
	From     string
	Accepted int64
	Staged   int64
}

// CheckReply is a peer's knowledge of the record. Ages are in milliseconds, -1 for never.
type CheckReply struct {
	Accepted Generation
	Staged   Generation
	// Closed is the highest number known to be accepted or aborted.
	Closed int64
	// VerifiedAge is the time since the knowledge was verified, PlatformAge the
	// age of the platform reading on which it rests.
	VerifiedAge clock.Millis
	PlatformAge clock.Millis
	// CountsForMajority is true if the peer has seen the platform's record since
	// it was registered. Such a peer has not lost an acknowledgement in a restart
	// and was not missed when acknowledgements were collected.
	CountsForMajority bool
}

// TellRequest propagates the record's content within a failure domain and asks
// for an acknowledgement.
type TellRequest struct {
	From     string
	Accepted Generation
	Staged   Generation
	// Closed is the highest number known to be accepted or aborted.
	Closed int64
	// Silent lists hosts that do not answer the sender.
	Silent []string
}

// TellReply answers a TellRequest.
type TellReply struct {
	// InForce is the generation that the host serves under, Acked the staged
	// generation whose body it holds and is ready to serve under.
	InForce int64
	Acked   int64
	// Refusal is why the host refuses the staged generation, "" if it does not.
	Refusal string
	// KnownBy lists the silent hosts that have exchanged a hello with this host
	// and therefore have it in their roster.
	KnownBy []string
}

// HelloRequest announces to a peer that a host has joined or is leaving.
type HelloRequest struct {
	From    string
	Leaving bool
}

// HelloReply answers a HelloRequest.
type HelloReply struct {
	// Known is true if the peer now has the host in its roster.
	Known bool
}

// BodyRequest asks a peer for a packed body.
type BodyRequest struct {
	Object string
}

// BodyReply answers a BodyRequest, with no bytes if the peer does not hold it.
type BodyReply struct {
	Packed []byte
}

// Peers is the set of functions by which a host finds and calls other hosts.
type Peers struct {
	// Call sends a request and decodes the reply. The connection is replaced if
	// it goes silent.
	Call func(ctx context.Context, host, kind string, request, reply any) error
	// PathSeen returns when the network path to a host was last seen to work, for
	// example because its machine refused a new connection. The time is on this
	// host's clock.
	PathSeen func(host string) (clock.Millis, bool)
	// SameDomain returns hosts of this failure domain that are known from a
	// source other than the registrations, for use until these have been read. It
	// may be nil.
	SameDomain func() []string
	// OtherDomains returns a few hosts of each other failure domain. Through them
	// a domain that has lost only the platform stays current.
	OtherDomains func() []string
	// Registered reports whether this host is registered in the table.
	Registered func() bool
	// Registrations lists the names of the registered hosts of a domain.
	Registrations func(ctx context.Context, domain string) ([]string, error)
	// ForEachConcurrently runs f(0) to f(n-1), concurrently where possible, and
	// waits for all.
	ForEachConcurrently func(n int, f func(i int))
}
