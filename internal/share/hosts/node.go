package hosts

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"github.com/panjf2000/ants/v2"

	"siskinsaddle/internal/base/chart"
	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/base/count"
	"siskinsaddle/internal/plat/disco"
	"siskinsaddle/internal/plat/table"
	"siskinsaddle/internal/share/link"
)

const (
	tickInterval     = 50 * clock.Millis(1)
	heartbeatTimeout = 500 * clock.Millis(1)
	probeTimeout     = 300 * clock.Millis(1)
	syncTimeout      = 2 * clock.Second
	listInterval     = 5 * clock.Second
	tableInterval    = 30 * clock.Second
	tableTimeout     = 2 * clock.Second
	maxWorkers       = 128
)

// Node runs membership on one host.
type Node struct {
	// Self is this host's entry. Register sets its incarnation.
	Self     Host
	Link     *link.Node
	Table    table.Store
	List     disco.List
	Clock    clock.Clock
	Log      *log.Logger
	Counters *count.Set
	// Timing defaults to DefaultTiming.
	Timing Timing

	mu         sync.Mutex
	core       *core
	digests    []Digest
	listeners  []func(View)
	view       atomic.Pointer[View]
	notifyMu   sync.Mutex
	registerMu sync.Mutex
	registered atomic.Bool
	token      string
	pool       *ants.Pool
	fromList   []Host
	fromTable  []Host
	ctx        context.Context
}

// AddDigest adds a digest to the heartbeats. Call it before Run.
func (n *Node) AddDigest(d Digest) { n.digests = append(n.digests, d) }

// OnChange adds a function that is called with each new view; the calls do not
// overlap. Call it before Run.
func (n *Node) OnChange(f func(View)) { n.listeners = append(n.listeners, f) }

// View returns the current view.
func (n *Node) View() View {
	if v := n.view.Load(); v != nil {
		return *v
	}
	return View{}
}

// Address returns the "IP:port" of a host, for link.Node.Address.
func (n *Node) Address(name string) (string, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.core == nil {
		return "", false
	}
	m, ok := n.core.members[name]
	if !ok || m.Address == "" {
		return "", false
	}
	return m.Address, true
}

// Admit refuses a peer with an outdated incarnation, for link.Node.Admit.
func (n *Node) Admit(p link.Peer) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.core == nil {
		return true
	}
	m, ok := n.core.members[p.Name]
	return !ok || p.Incarnation >= m.Incarnation
}

// Connected records a completed handshake as contact with the peer, for
// link.Node.OnConnected.
func (n *Node) Connected(p link.Peer) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.core != nil {
		n.core.recordContact(n.Clock.Now(), p.Name)
	}
}

// WatchPath returns when the path to a host was last shown to work: the host
// sent a message, or its machine refused a connection. Each call makes the node
// check that path for the next two seconds.
func (n *Node) WatchPath(name string) (clock.Millis, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.core == nil {
		return 0, false
	}
	return n.core.watchPath(n.Clock.Now(), name)
}

// Prepare registers the message handlers and creates the core. Call it after
// Register and before the link starts.
func (n *Node) Prepare() error {
	if n.Timing == (Timing{}) {
		n.Timing = DefaultTiming()
	}
	pool, err := ants.NewPool(maxWorkers, ants.WithNonblocking(true))
	if err != nil {
		return errors.Wrap(err, "create membership worker pool")
	}
	n.pool = pool
	n.Link.Handle(kindHeartbeat, n.onHeartbeat)
	n.Link.Handle(kindView, n.onView)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.core = newCore(n.Self, n.Timing)
	view := n.core.view
	n.view.Store(&view)
	return nil
}

// Run runs membership until the context ends. The link must be started.
func (n *Node) Run(ctx context.Context) error {
	n.mu.Lock()
	n.ctx = ctx
	n.mu.Unlock()
	sources := make(chan struct{})
	go func() {
		defer close(sources)
		n.readSources(ctx)
	}()
	for ctx.Err() == nil {
		n.mu.Lock()
		n.core.tick(n.Clock.Now())
		n.unlockAndPerform()
		select {
		case <-ctx.Done():
		case <-n.Clock.AfterTick(tickInterval):
		}
	}
	<-sources
	n.pool.Release()
	return nil
}

// Leave announces that this host takes no new duties.
func (n *Node) Leave() { n.announce(StateLeaving) }

// Stop announces that this host has stopped, and removes its registration.
func (n *Node) Stop(ctx context.Context) error {
	n.announce(StateDead)
	n.registerMu.Lock()
	defer n.registerMu.Unlock()
	n.registered.Store(false)
	return n.Table.Delete(
		ctx, registrationKind(n.Self.FailureDomain), n.Self.Name, table.IfToken(n.token),
	)
}

// unlockAndPerform ends a step of the core: it rebuilds the view, releases n.mu,
// which the caller holds, notifies the listeners and performs the actions.
func (n *Node) unlockAndPerform() {
	n.core.rebuildView()
	actions := n.core.takeActions()
	view := n.core.view
	ctx := n.ctx
	n.mu.Unlock()
	n.notify(view)
	for _, a := range actions {
		n.perform(ctx, a)
	}
}

// notify publishes a view and calls the listeners, unless the view is not newer than
// the last one.
func (n *Node) notify(view View) {
	n.notifyMu.Lock()
	defer n.notifyMu.Unlock()
	if last := n.view.Load(); last != nil && last.Number >= view.Number {
		return
	}
	n.view.Store(&view)
	n.Counters.Set("siskinsaddle_hosts_known", int64(len(view.hosts)))
	for _, f := range n.listeners {
		f(view)
	}
}

func (n *Node) perform(ctx context.Context, a action) {
	if a.Kind == actionDisconnect {
		n.Log.Info("Host is dead, disconnecting.", "host", a.Peer)
		n.Link.Disconnect(a.Peer)
		return
	}
	if ctx == nil {
		return
	}
	n.Counters.Add(
		"siskinsaddle_hosts_actions_total", 1, count.Label{Key: "kind", Value: string(a.Kind)},
	)
	work := map[actionKind]func(context.Context, string){
		actionHeartbeat: n.sendHeartbeat, actionProbe: n.probe, actionSync: n.sync,
	}[a.Kind]
	if err := n.pool.Submit(func() { work(ctx, a.Peer) }); err != nil {
		n.recordDropped(a)
	}
}

// recordDropped counts an action that the full worker pool rejected, and lets the
// core retry a probe.
func (n *Node) recordDropped(a action) {
	n.Counters.Add(
		"siskinsaddle_hosts_dropped_total", 1, count.Label{Key: "kind", Value: string(a.Kind)},
	)
	n.mu.Lock()
	defer n.mu.Unlock()
	if m, ok := n.core.members[a.Peer]; ok && a.Kind == actionProbe {
		m.probing = false
	}
}

func (n *Node) probe(ctx context.Context, peer string) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout.Duration())
	defer cancel()
	_, result := n.Link.Probe(ctx, peer)
	n.mu.Lock()
	n.core.recordProbe(
		n.Clock.Now(), peer, result == link.ProbeReached, result == link.ProbeRefused,
	)
	n.unlockAndPerform()
}

// announce sends this host's new state to every target and waits for the replies.
func (n *Node) announce(state chart.State) {
	n.mu.Lock()
	n.core.leave(state)
	actions := n.core.takeActions()
	view := n.core.view
	ctx := n.ctx
	n.mu.Unlock()
	n.notify(view)
	if ctx == nil {
		return
	}
	var done sync.WaitGroup
	for _, a := range actions {
		done.Go(func() { n.sendHeartbeat(ctx, a.Peer) })
	}
	done.Wait()
}

// readSources periodically reads the platform's list and the registrations.
func (n *Node) readSources(ctx context.Context) {
	nextTable := n.Clock.Now()
	for ctx.Err() == nil {
		if listed, err := n.readList(ctx); err == nil {
			n.fromList = listed
		}
		if now := n.Clock.Now(); now >= nextTable || !n.Registered() {
			nextTable = now + tableInterval
			n.readTable(ctx)
		}
		n.mu.Lock()
		n.core.updateListed(n.Clock.Now(), append(append([]Host(nil), n.fromList...), n.fromTable...))
		n.unlockAndPerform()
		select {
		case <-ctx.Done():
		case <-n.Clock.AfterTick(listInterval):
		}
	}
}

func (n *Node) readTable(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout.Duration())
	defer cancel()
	n.checkRegistration(ctx)
	all, err := n.registrations(ctx, n.Self.FailureDomain)
	if err != nil {
		return
	}
	n.fromTable = n.fromTable[:0]
	for _, r := range all {
		n.fromTable = append(n.fromTable, r.host)
	}
	n.removeStale(ctx, all)
}

// checkRegistration rewrites the registration if it is missing.
func (n *Node) checkRegistration(ctx context.Context) {
	n.registerMu.Lock()
	defer n.registerMu.Unlock()
	if n.stopping() {
		return
	}
	if err := n.register(ctx); err != nil {
		n.Log.Warn("Checking the registration failed.", "error", err)
	}
}

func (n *Node) stopping() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.core.self.State == StateDead
}
