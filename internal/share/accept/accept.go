// Package accept brings a manifest into force in every failure domain, or in
// none, through one record of the table service.
//
// A Pusher stages a generation in the record. In each failure domain a
// Collector asks every registered host to hold the body and to obey it, and
// then confirms the domain in the record. The confirmation that completes the
// needed domains accepts the generation; the pusher's abort races with it on
// the same record, so exactly one of them takes effect.
//
// A Holder is a host's view. It serves a request only while it is current:
// within CurrencyWindow its knowledge was verified at the platform, or against
// the hosts of its own failure domain, or by a peer that was itself current. A
// Collector leaves out a silent host only after ExclusionWait, which is longer,
// so a host that was left out no longer serves by then. Generations only rise.
//
// The decisions are in knowledge.go, roster.go, collection.go and record.go,
// which are given the time. Watch, Collector and Pusher carry them out.
//
// # Usage
//
//	h := accept.NewHolder("host-1", "prairie-a", clock.System())
//	w := &accept.Watch{Holder: h, Platform: p, Peers: peers, Log: log, Counters: counters}
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
	// CurrencyWindow is how long verified knowledge may be served under.
	CurrencyWindow = 2 * clock.Second
	// ExclusionWait is how long a host has to be silent on every connection
	// before its domain confirms without it. It is longer than CurrencyWindow.
	ExclusionWait = 3 * clock.Second
	// PauseLimit is the gap in a host's own steps after which it takes itself
	// to have been paused.
	PauseLimit = clock.Second
	// BlockedWait is how long after ExclusionWait a domain that may not
	// confirm waits before it aborts the push.
	BlockedWait = 2 * clock.Second
	// PushWait is how long a pusher waits for the outcome before it aborts.
	PushWait = 8 * clock.Second
	// StageLimit is how long a staged generation may stay open before any
	// host aborts it for a pusher that is gone.
	StageLimit = 20 * clock.Second
)

// never is a time before every other.
const never clock.Millis = -1 << 60

// Ref names the body of a manifest.
type Ref struct {
	// Hash is of the canonical form, Object of the packed body in the object
	// store.
	Hash   string
	Object string
}

// Generation is a numbered manifest. Number 0 is none.
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

// CheckRequest asks a peer for what it knows. The numbers are what the asker
// holds, so that the reply leaves out what it has.
type CheckRequest struct {
	From     string
	Accepted int64
	Staged   int64
}

// CheckReply is what a peer knows. Ages are in milliseconds, -1 for never.
type CheckReply struct {
	Accepted Generation
	Staged   Generation
	Closed   int64
	// VerifiedAge is the time since the knowledge was verified, PlatformAge
	// the time since that reached the platform.
	VerifiedAge clock.Millis
	PlatformAge clock.Millis
	// Solid tells that the peer has seen the platform's record since it was
	// registered, so it has neither forgotten an acknowledgement nor was it
	// left unasked for one.
	Solid bool
}

// TellRequest spreads the record's content within a failure domain and asks
// for acknowledgement.
type TellRequest struct {
	From     string
	Accepted Generation
	Staged   Generation
	Closed   int64
	// Silent names hosts that do not answer the sender.
	Silent []string
}

// TellReply answers a TellRequest.
type TellReply struct {
	// InForce is the generation that the host serves under, Acked the staged
	// one that it holds and will obey.
	InForce int64
	Acked   int64
	// Refusal is why the host can not hold the staged generation, if so.
	Refusal string
	// Met are those of the silent hosts that this host has exchanged a hello
	// with, so that they know of it.
	Met []string
}

// HelloRequest tells a peer that a host is there, or that it leaves.
type HelloRequest struct {
	From    string
	Leaving bool
}

// HelloReply answers a HelloRequest.
type HelloReply struct {
	// Known tells that the peer now counts the host among its domain.
	Known bool
}

// BodyRequest asks a peer for a packed body.
type BodyRequest struct {
	Object string
}

// BodyReply answers a BodyRequest, with no bytes where the peer has none.
type BodyReply struct {
	Packed []byte
}

// Peers is how a host reaches the other hosts.
type Peers struct {
	// Call sends a request on a connection that is replaced when silent, and
	// decodes the reply.
	Call func(ctx context.Context, host, kind string, request, reply any) error
	// PathSeen returns when the path to a host was last seen to work, such as by
	// a fresh connection that its machine refused. The time is on this host's
	// clock.
	PathSeen func(host string) (clock.Millis, bool)
	// Near names the hosts of this failure domain that are known by other means
	// than the registrations. It may be nil.
	Near func() []string
	// Far names a few hosts of each other failure domain, by which a domain that
	// is cut off from the platform alone stays current.
	Far func() []string
	// Registered tells whether this host's registration stands in the table.
	Registered func() bool
	// Registrations lists the names of the registered hosts of a domain.
	Registrations func(ctx context.Context, domain string) ([]string, error)
	// Each runs f(0) to f(n-1), side by side where it can, and waits for all.
	Each func(n int, f func(i int))
}
