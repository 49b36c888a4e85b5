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

const tickEvery = 25 * clock.Millis(1)

// ErrKnownID means that a request of the same id waits or runs already.
var ErrKnownID = errors.New("a request of this id waits or runs already")

// Node asks for grants, and keeps the groups that this host has won.
type Node struct {
	Name          string
	Incarnation   int64
	FailureDomain string
	Link          *link.Node
	// Services names the services of the manifest.
	Services func() []string
	// Servers lists the backend servers of a service in a failure domain.
	Servers func(service, domain string) []sched.Server
	// Settings returns what governs a service, and a number that changes with
	// it.
	Settings func(service string) (sched.Settings, uint64)
	Clock    clock.Clock
	Log      *log.Logger
	Counters *count.Set
	// Watch, where set, returns an auditor for each group kept; nil for none.
	Watch func(sched.Settings) *audit.Auditor
	// BundleWait holds packets back, so that what follows to the same peer
	// travels with them; 0 sends at the end of each step.
	BundleWait clock.Millis
	// GroupSize is the most backend servers of a group, the package's GroupSize
	// where it is 0. NoKeepers lets every host decide alone on its share. Both
	// are there to be measured against; all hosts have the same.
	GroupSize int
	NoKeepers bool
	// Waits is DefaultWaits where it is zero.
	Waits Waits

	mu      sync.Mutex
	core    *core
	waiting map[string]chan result
	bundle  bool // a held back packet waits for its time
}

// Prepare registers the handler. It is called before the link starts.
func (n *Node) Prepare() {
	size := n.GroupSize
	if size == 0 {
		size = GroupSize
	}
	if n.NoKeepers {
		size = 0
	}
	n.core = newCore(link.Peer{Name: n.Name, Incarnation: n.Incarnation}, n.FailureDomain, size, seams{
		services: n.Services, servers: n.Servers, settings: n.Settings, random: rand.IntN, watch: n.Watch,
	})
	if n.Waits != (Waits{}) {
		n.core.waits = n.Waits
	}
	n.core.tally = func(event string) {
		n.Counters.Add("siskinsaddle_keep_events_total", 1, count.Label{Key: "event", Value: event})
		n.Log.Debug("Event.", "kind", event)
	}
	n.waiting = map[string]chan result{}
	n.Link.Handle(kindPacket, n.onPacket)
}

// Run lets time pass until the context ends.
func (n *Node) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		n.step(func(now clock.Millis) { n.core.tick(now) })
		select {
		case <-ctx.Done():
		case <-n.Clock.Pulse(tickEvery):
		}
	}
	return nil
}

// ViewChanged follows the membership. It is given to hosts.Node.OnChange.
func (n *Node) ViewChanged(v hosts.View) {
	n.step(func(now clock.Millis) { n.core.setView(now, v) })
}

// Ask waits until the request is granted or refused. When the context ends
// first, the request is withdrawn and the context's error returned. A granted
// request must be ended with Done.
func (n *Node) Ask(ctx context.Context, r sched.Request) (Grant, *Refusal, error) {
	decided := make(chan result, 1)
	known := false
	n.step(func(now clock.Millis) {
		if _, known = n.core.byID[r.ID]; known {
			return
		}
		n.waiting[r.ID] = decided
		n.core.ask(now, r)
	})
	if known {
		return Grant{}, nil, errors.Wrapf(ErrKnownID, "request %q", r.ID)
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

// Progress notes what has been seen of a running request. It travels with the
// next report.
func (n *Node) Progress(p sched.Progress) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.core.note(p)
}

// Done ends a granted request.
func (n *Node) Done(d sched.Done) {
	n.step(func(now clock.Millis) { n.core.done(now, d) })
}

// Running counts the granted requests of this host, for a planned stop.
func (n *Node) Running() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	count := 0
	for _, a := range n.core.asks {
		if a.state == stateRunning {
			count++
		}
	}
	return count
}

// Settled tells whether this host knows the keeper of every group of its domain
// and has taken up those that it has won. Before that it decides alone.
func (n *Node) Settled() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.core.settled()
}

// Kept names the backend servers of the groups that this host keeps.
func (n *Node) Kept() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	var names []string
	for _, name := range sortedKeys(n.core.desks) {
		names = append(names, n.core.desks[name].group.names()...)
	}
	return names
}

// Digest sums up this host's failure domain, to ride on the beats to others.
func (n *Node) Digest() []byte {
	n.mu.Lock()
	all := n.core.sum(n.Clock.Now())
	n.mu.Unlock()
	body, err := link.Encode(all)
	if err != nil {
		return nil
	}
	return body
}

// DigestSeen takes another host's Digest.
func (n *Node) DigestSeen(from string, body []byte) {
	var all []DomainDigest
	if err := link.Decode(body, &all); err != nil {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	h, ok := n.core.view.Find(from)
	if ok && h.FailureDomain != n.FailureDomain {
		n.core.learn(n.Clock.Now(), h.FailureDomain, all)
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

// step gives the core something and carries out what follows. Packets are
// queued under the lock, so that those to one peer keep their order.
func (n *Node) step(do func(now clock.Millis)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	do(n.Clock.Now())
	n.deliver()
	if n.BundleWait > 0 {
		n.holdBack()
	} else {
		n.flush()
	}
	n.finish()
}

// deliver hands this host's packets to itself over.
func (n *Node) deliver() {
	for {
		p, ok := n.core.takeFor(n.Name)
		if !ok {
			return
		}
		n.core.receive(n.Clock.Now(), n.core.self, p)
	}
}

func (n *Node) flush() {
	for {
		peer, p, ok := n.core.take()
		if !ok {
			return
		}
		n.Counters.Add("siskinsaddle_keep_items_total", int64(p.items()))
		if err := n.Link.Send(peer, kindPacket, p); err != nil {
			n.core.unreachable(n.Clock.Now(), peer)
		}
		n.deliver()
	}
}

func (n *Node) holdBack() {
	if n.bundle || len(n.core.order) == 0 {
		return
	}
	n.bundle = true
	held := n.Clock.After(n.BundleWait)
	go func() {
		<-held
		n.mu.Lock()
		defer n.mu.Unlock()
		n.bundle = false
		n.flush()
		n.finish()
	}()
}

// finish wakes those whose requests have been decided.
func (n *Node) finish() {
	for _, r := range n.core.ended {
		if waiter, ok := n.waiting[r.id]; ok {
			delete(n.waiting, r.id)
			waiter <- r
		}
	}
	n.core.ended = n.core.ended[:0]
}
