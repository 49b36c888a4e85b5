package keeper

import (
	"context"
	"math/rand/v2"
	"sync"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/base/count"
	"siskinsaddle/internal/policy/audit"
	"siskinsaddle/internal/policy/sched"
	"siskinsaddle/internal/share/hosts"
	"siskinsaddle/internal/share/link"
)

const tickInterval = 25 * clock.Millis(1)

// ErrDuplicateID means that a request with the same ID is already waiting or running.
var ErrDuplicateID = errors.New("a request with this ID is already waiting or running")

// Node requests grants for this host, and keeps the groups that the host has won.
type Node struct {
	Name          string
	Incarnation   int64
	FailureDomain string
	Link          *link.Node
	// Services returns the names of the services in the manifest.
	Services func() []string
	// Servers lists the backend servers of a service in a failure domain.
	Servers func(service, domain string) []sched.Server
	// Settings returns the settings of a service, and a version that changes with
	// them.
	Settings func(service string) (sched.Settings, uint64)
	Clock    clock.Clock
	Log      *log.Logger
	Counters *count.Set
	// NewAuditor, if set, returns an auditor for each group that the host keeps,
	// or nil.
	NewAuditor func(sched.Settings) *audit.Auditor
	// FlushDelay delays packets, so that later messages to the same peer travel in
	// the same packet; 0 sends at the end of each step.
	FlushDelay clock.Millis
	// GroupSize is the maximum number of backend servers in a group, by default the
	// package's GroupSize. NoKeepers lets every host decide alone on its share. Both
	// exist for comparison measurements, and must be the same on all hosts.
	GroupSize int
	NoKeepers bool
	// Timeouts holds the timeouts, by default DefaultTimeouts.
	Timeouts Timeouts

	mu             sync.Mutex
	core           *core
	waiting        map[string]chan result
	flushScheduled bool // a delayed flush is pending
}

// Prepare registers the packet handler. It must be called before the link starts.
func (n *Node) Prepare() {
	size := n.GroupSize
	if size == 0 {
		size = GroupSize
	}
	if n.NoKeepers {
		size = 0
	}
	n.core = newCore(link.Peer{Name: n.Name, Incarnation: n.Incarnation}, n.FailureDomain, size, dependencies{
		services: n.Services, servers: n.Servers,
		settings: n.Settings, random: rand.IntN, newAuditor: n.NewAuditor,
	})
	if n.Timeouts != (Timeouts{}) {
		n.core.timeouts = n.Timeouts
	}
	n.core.countEvent = func(event string) {
		n.Counters.Add("siskinsaddle_keep_events_total", 1, count.Label{Key: "event", Value: event})
		n.Log.Debug("Event.", "kind", event)
	}
	n.waiting = map[string]chan result{}
	n.Link.Handle(kindPacket, n.onPacket)
}

// Run ticks until the context ends, and returns nil.
func (n *Node) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		n.step(func(now clock.Millis) { n.core.tick(now) })
		select {
		case <-ctx.Done():
		case <-n.Clock.AfterTick(tickInterval):
		}
	}
	return nil
}

// ViewChanged applies a membership change. It is the callback of hosts.Node.OnChange.
func (n *Node) ViewChanged(v hosts.View) {
	n.step(func(now clock.Millis) { n.core.setView(now, v) })
}

// RequestGrant waits until the request is granted or refused. When the context ends
// first, the request is withdrawn and the context's error returned. A granted
// request must be ended with Done. The error is ErrDuplicateID if a request with
// the same ID is already waiting or running.
func (n *Node) RequestGrant(ctx context.Context, r sched.Request) (Grant, *Refusal, error) {
	decided := make(chan result, 1)
	duplicate := false
	n.step(func(now clock.Millis) {
		if _, duplicate = n.core.byID[r.ID]; duplicate {
			return
		}
		n.waiting[r.ID] = decided
		n.core.requestGrant(now, r)
	})
	if duplicate {
		return Grant{}, nil, errors.Wrapf(ErrDuplicateID, "request %q", r.ID)
	}
	select {
	case d := <-decided:
		return d.grant, d.refusal, nil
	case <-ctx.Done():
		n.step(func(now clock.Millis) {
			delete(n.waiting, r.ID)
			n.core.cancel(now, r.ID)
		})
		return Grant{}, nil, ctx.Err()
	}
}

// Progress records the progress of a running request, for the next report.
func (n *Node) Progress(p sched.Progress) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.core.recordProgress(p)
}

// Done ends a granted request.
func (n *Node) Done(d sched.Done) {
	n.step(func(now clock.Millis) { n.core.done(now, d) })
}

// Running returns the number of granted requests of this host, for a planned stop.
func (n *Node) Running() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	count := 0
	for _, lr := range n.core.requests {
		if lr.state == stateRunning {
			count++
		}
	}
	return count
}

// GroupsReady reports whether this host knows the keeper of every group of its
// domain and has opened those that it has won. Before that it decides alone.
func (n *Node) GroupsReady() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.core.groupsReady()
}

// KeptServers returns the names of the backend servers in the groups that this
// host keeps.
func (n *Node) KeptServers() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	var names []string
	for _, gid := range sortedKeys(n.core.kept) {
		names = append(names, n.core.kept[gid].group.serverNames()...)
	}
	return names
}

// Digest returns the encoded digests of this host's failure domain, which heartbeats
// carry to other domains.
func (n *Node) Digest() []byte {
	n.mu.Lock()
	all := n.core.domainDigests(n.Clock.Now())
	n.mu.Unlock()
	body, err := link.Encode(all)
	if err != nil {
		return nil
	}
	return body
}

// DigestSeen records another host's Digest. Those that do not decode are ignored.
func (n *Node) DigestSeen(from string, body []byte) {
	var all []DomainDigest
	if err := link.Decode(body, &all); err != nil {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	h, ok := n.core.view.Find(from)
	if ok && h.FailureDomain != n.FailureDomain {
		n.core.recordDomainDigests(n.Clock.Now(), h.FailureDomain, all)
	}
}

func (n *Node) onPacket(_ context.Context, from link.Peer, body []byte) (any, error) {
	var p packet
	if err := link.Decode(body, &p); err != nil {
		return nil, err
	}
	n.step(func(now clock.Millis) { n.core.receive(now, from, &p) })
	return nil, nil
}

// step runs one event on the core and sends the resulting packets and decisions.
// Packets are queued under the lock, so that those to one peer keep their order.
func (n *Node) step(do func(now clock.Millis)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	do(n.Clock.Now())
	n.deliverLocal()
	if n.FlushDelay > 0 {
		n.scheduleFlush()
	} else {
		n.flush()
	}
	n.deliverResults()
}

// deliverLocal delivers the packets that this host has for itself.
func (n *Node) deliverLocal() {
	for {
		p, ok := n.core.takePacketFor(n.Name)
		if !ok {
			return
		}
		n.core.receive(n.Clock.Now(), n.core.self, p)
	}
}

func (n *Node) flush() {
	for {
		peer, p, ok := n.core.takePacket()
		if !ok {
			return
		}
		n.Counters.Add("siskinsaddle_keep_items_total", int64(p.items()))
		if err := n.Link.Send(peer, kindPacket, p); err != nil {
			n.core.onSendFailed(n.Clock.Now(), peer)
		}
		n.deliverLocal()
	}
}

// scheduleFlush sends the pending packets after FlushDelay.
func (n *Node) scheduleFlush() {
	if n.flushScheduled || len(n.core.outboxOrder) == 0 {
		return
	}
	n.flushScheduled = true
	due := n.Clock.After(n.FlushDelay)
	go func() {
		<-due
		n.mu.Lock()
		defer n.mu.Unlock()
		n.flushScheduled = false
		n.flush()
		n.deliverResults()
	}()
}

// deliverResults wakes the callers whose requests have been decided.
func (n *Node) deliverResults() {
	for _, r := range n.core.results {
		if waiter, ok := n.waiting[r.id]; ok {
			delete(n.waiting, r.id)
			waiter <- r
		}
	}
	n.core.results = n.core.results[:0]
}
