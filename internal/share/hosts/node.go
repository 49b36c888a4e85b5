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
	"siskinsaddle/internal/plat/roll"
	"siskinsaddle/internal/plat/table"
	"siskinsaddle/internal/share/link"
)

const (
	tickEvery  = 50 * clock.Millis(1)
	beatWait   = 500 * clock.Millis(1)
	probeWait  = 300 * clock.Millis(1)
	syncWait   = 2 * clock.Second
	listEvery  = 5 * clock.Second
	tableEvery = 30 * clock.Second
	tableWait  = 2 * clock.Second
	maxWorkers = 128
)

// Node takes part in membership.
type Node struct {
	// Self is this host's entry. Register sets its incarnation.
	Self     Host
	Link     *link.Node
	Table    table.Store
	List     roll.List
	Clock    clock.Clock
	Log      *log.Logger
	Counters *count.Set
	// Timing is DefaultTiming where it is zero.
	Timing Timing

	mu          sync.Mutex
	core        *core
	digests     []Digest
	listeners   []func(View)
	view        atomic.Pointer[View]
	notifying   sync.Mutex
	registering sync.Mutex
	registered  atomic.Bool
	token       string
	pool        *ants.Pool
	fromList    []Host
	fromTable   []Host
	ctx         context.Context
}

// AddDigest adds something that rides on beats. It is called before Run.
func (n *Node) AddDigest(d Digest) { n.digests = append(n.digests, d) }

// OnChange adds a function that is called with each new view, one call after
// another. It is called before Run.
func (n *Node) OnChange(f func(View)) { n.listeners = append(n.listeners, f) }

// View returns what is known now.
func (n *Node) View() View {
	if v := n.view.Load(); v != nil {
		return *v
	}
	return View{}
}

// Address returns where a host is reached, for link.Node.Address.
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

// Admit refuses a peer whose incarnation is over, for link.Node.Admit.
func (n *Node) Admit(p link.Peer) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.core == nil {
		return true
	}
	m, ok := n.core.members[p.Name]
	return !ok || p.Incarnation >= m.Incarnation
}

// Connected takes a completed handshake as a sign of life, for
// link.Node.Connected.
func (n *Node) Connected(p link.Peer) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.core != nil {
		n.core.heard(n.Clock.Now(), p.Name)
	}
}

// PathEvidence returns when the path to a host was last shown to work: the
// host was heard, or its machine refused a connection. Asking makes the node
// look after that path for the next two seconds.
func (n *Node) PathEvidence(name string) (clock.Millis, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.core == nil {
		return 0, false
	}
	return n.core.want(n.Clock.Now(), name)
}

// Prepare registers the handlers and opens the core. It is called after
// Register and before the link starts.
func (n *Node) Prepare() error {
	if n.Timing == (Timing{}) {
		n.Timing = DefaultTiming()
	}
	pool, err := ants.NewPool(maxWorkers, ants.WithNonblocking(true))
	if err != nil {
		return errors.Wrap(err, "membership pool")
	}
	n.pool = pool
	n.Link.Handle(kindBeat, n.onBeat)
	n.Link.Handle(kindView, n.onView)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.core = newCore(n.Self, n.Timing)
	view := n.core.view
	n.view.Store(&view)
	return nil
}

// Run takes part until the context ends. The link must be started.
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
		n.settle()
		select {
		case <-ctx.Done():
		case <-n.Clock.Pulse(tickEvery):
		}
	}
	<-sources
	n.pool.Release()
	return nil
}

// Leave tells the others that this host takes no new duty.
func (n *Node) Leave() { n.announce(StateLeaving) }

// Stop tells the others that this host is gone and removes its registration.
func (n *Node) Stop(ctx context.Context) error {
	n.announce(StateDead)
	n.registering.Lock()
	defer n.registering.Unlock()
	n.registered.Store(false)
	return n.Table.Delete(ctx, registrationKind(n.Self.FailureDomain), n.Self.Name, table.IfToken(n.token))
}

// settle ends a step of the core: it releases the lock, carries out the
// actions and tells the listeners of a new view.
func (n *Node) settle() {
	n.core.refresh()
	actions := n.core.take()
	view := n.core.view
	ctx := n.ctx
	n.mu.Unlock()
	n.notify(view)
	for _, a := range actions {
		n.perform(ctx, a)
	}
}

// notify passes a view on unless it is older than the last one.
func (n *Node) notify(view View) {
	n.notifying.Lock()
	defer n.notifying.Unlock()
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
		n.Log.Info("Host is dead.", "host", a.Peer)
		n.Link.Disconnect(a.Peer)
		return
	}
	if ctx == nil {
		return
	}
	n.Counters.Add("siskinsaddle_hosts_actions_total", 1, count.Label{Key: "kind", Value: string(a.Kind)})
	work := map[actionKind]func(context.Context, string){
		actionBeat: n.sendBeat, actionProbe: n.probe, actionSync: n.sync,
	}[a.Kind]
	if err := n.pool.Submit(func() { work(ctx, a.Peer) }); err != nil {
		n.dropped(a)
	}
}

// dropped lets the core try again what the pool had no room for.
func (n *Node) dropped(a action) {
	n.Counters.Add("siskinsaddle_hosts_dropped_total", 1, count.Label{Key: "kind", Value: string(a.Kind)})
	n.mu.Lock()
	defer n.mu.Unlock()
	if m, ok := n.core.members[a.Peer]; ok && a.Kind == actionProbe {
		m.probing = false
	}
}

func (n *Node) probe(ctx context.Context, peer string) {
	ctx, cancel := context.WithTimeout(ctx, probeWait.Duration())
	defer cancel()
	_, evidence := n.Link.Probe(ctx, peer)
	n.mu.Lock()
	n.core.probed(n.Clock.Now(), peer, evidence == link.EvidenceReached, evidence == link.EvidenceRefused)
	n.settle()
}

// announce beats to every target with this host's new state and waits for the
// replies.
func (n *Node) announce(state chart.State) {
	n.mu.Lock()
	n.core.leave(state)
	actions := n.core.take()
	view := n.core.view
	ctx := n.ctx
	n.mu.Unlock()
	n.notify(view)
	if ctx == nil {
		return
	}
	var done sync.WaitGroup
	for _, a := range actions {
		done.Go(func() { n.sendBeat(ctx, a.Peer) })
	}
	done.Wait()
}

// readSources reads the platform's list and the registrations now and then.
func (n *Node) readSources(ctx context.Context) {
	nextTable := n.Clock.Now()
	for ctx.Err() == nil {
		if listed, err := n.readList(ctx); err == nil {
			n.fromList = listed
		}
		if now := n.Clock.Now(); now >= nextTable || !n.Registered() {
			nextTable = now + tableEvery
			n.readTable(ctx)
		}
		n.mu.Lock()
		n.core.list(n.Clock.Now(), append(append([]Host(nil), n.fromList...), n.fromTable...))
		n.settle()
		select {
		case <-ctx.Done():
		case <-n.Clock.Pulse(listEvery):
		}
	}
}

func (n *Node) readTable(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, tableWait.Duration())
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
	n.clean(ctx, all)
}

// checkRegistration writes the registration again where it is gone.
func (n *Node) checkRegistration(ctx context.Context) {
	n.registering.Lock()
	defer n.registering.Unlock()
	if n.stopping() {
		return
	}
	if err := n.register(ctx); err != nil {
		n.Log.Warn("Registration could not be checked.", "error", err)
	}
}

func (n *Node) stopping() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.core.self.State == StateDead
}
