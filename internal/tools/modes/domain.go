package modes

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/base/count"
	"siskinsaddle/internal/base/logs"
	"siskinsaddle/internal/policy/sched"
	"siskinsaddle/internal/share/hosts"
	"siskinsaddle/internal/share/keeper"
	"siskinsaddle/internal/share/link"
)

const (
	service    = "canvas-llm"
	domainName = "prairie-a"
	secret     = "the secret of a measurement"
	// floorPeriod is longer than a run, so that no grant is made for a floor.
	floorPeriod = clock.Hour
	maxWaiting  = 100_000
)

// domain is a failure domain whose hosts communicate over loopback sockets.
type domain struct {
	options   Options
	nodes     []*keeper.Node
	links     []*link.Node
	addresses map[string]string
	recorder  *recorder
	live      []hosts.Host

	mu       sync.Mutex
	crashed  string
	cancels  map[string]context.CancelFunc
	contexts map[string]context.Context
}

func newDomain(ctx context.Context, o Options) (*domain, error) {
	d := &domain{
		options: o, addresses: map[string]string{}, recorder: newRecorder(o),
		cancels: map[string]context.CancelFunc{}, contexts: map[string]context.Context{},
	}
	for i := range o.Hosts {
		name := fmt.Sprintf("host-%d", i)
		l, err := d.open(name)
		if err != nil {
			return nil, err
		}
		d.addresses[name] = l.Addr()
		d.contexts[name], d.cancels[name] = context.WithCancel(ctx)
		d.live = append(d.live, hosts.Host{
			Name: name, FailureDomain: domainName, Incarnation: 1, State: hosts.StateAlive,
		})
	}
	for i, l := range d.links {
		ctx := d.contexts[l.Name]
		if err := l.Start(ctx); err != nil {
			return nil, err
		}
		go func() { _ = l.Run(ctx) }()          // ends with the context
		go func() { _ = d.nodes[i].Run(ctx) }() // ends with the context
	}
	for _, n := range d.nodes {
		n.ViewChanged(hosts.NewView(1, d.live...))
	}
	return d, nil
}

// entryHost returns the host that a request enters at, and a context that is
// cancelled when that host crashes. Requests for a crashed host go to the next
// one, as a load balancer sends them.
func (d *domain) entryHost(ctx context.Context, at int) (*keeper.Node, context.Context) {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := d.nodes[at]
	if n.Name == d.crashed {
		n = d.nodes[(at+1)%len(d.nodes)]
	}
	if hostContext, ok := d.contexts[n.Name]; ok {
		ctx = hostContext
	}
	return n, ctx
}

// crashKeeper crashes the keeper of the first group at a given time. The other
// hosts remove it from their views failureDetectionDelay later.
func (d *domain) crashKeeper(at time.Time) {
	crashedHost, _ := hosts.RendezvousWinner(service+"/"+domainName+"/0", d.live)
	time.Sleep(time.Until(at))
	d.mu.Lock()
	d.crashed = crashedHost.Name
	d.mu.Unlock()
	d.cancels[crashedHost.Name]()
	time.Sleep(failureDetectionDelay)
	remaining := slices.DeleteFunc(slices.Clone(d.live), func(h hosts.Host) bool {
		return h.Name == crashedHost.Name
	})
	for _, n := range d.nodes {
		if n.Name != crashedHost.Name {
			n.ViewChanged(hosts.NewView(2, remaining...))
		}
	}
}

func (d *domain) open(name string) (*link.Node, error) {
	counters := count.NewSet()
	l := &link.Node{
		Name: name, Incarnation: 1, Listen: "127.0.0.1:0", Secret: []byte(secret),
		Clock: clock.System(), Log: logs.Discard(), Counters: counters,
		Address: func(peer string) (string, bool) {
			address, ok := d.addresses[peer]
			return address, ok
		},
	}
	n := &keeper.Node{
		Name: name, Incarnation: 1, FailureDomain: domainName, Link: l,
		Services: func() []string { return []string{service} }, Servers: d.servers, Settings: settings,
		Clock: clock.System(), Log: logs.Discard(), Counters: counters,
		FlushDelay: d.options.FlushDelay, Timeouts: d.options.Timeouts,
		GroupSize: groupSizes[d.options.Mode], NoKeepers: d.options.Mode == ModeAlone,
	}
	n.Prepare()
	d.links, d.nodes = append(d.links, l), append(d.nodes, n)
	return l, l.Bind()
}

func (d *domain) servers(string, string) []sched.Server {
	var all []sched.Server
	for i := range d.options.Servers {
		all = append(all, sched.Server{
			Name: fmt.Sprintf("llm-%02d", i), State: sched.ServerUp, Slots: d.options.Slots,
		})
	}
	return all
}

func className(tier int) string { return fmt.Sprintf("class-%d", tier+1) }

func settings(string) (sched.Settings, uint64) {
	var classes []sched.Class
	for tier := range tierCount {
		classes = append(classes, sched.Class{
			Name: className(tier), Tier: tier + 1, FloorPeriod: floorPeriod, MaxWaiting: maxWaiting,
		})
	}
	return sched.Settings{Classes: classes}, 1
}

// traffic returns the number of messages and bytes that all hosts have sent.
func (d *domain) traffic() (messages, bytes int64) {
	for _, l := range d.links {
		for _, kind := range []string{"Keep", "Ping", "Pong"} {
			labels := []count.Label{{Key: "direction", Value: "Out"}, {Key: "kind", Value: kind}}
			messages += l.Counters.Count("siskinsaddle_link_messages_total", labels...)
			bytes += l.Counters.Count("siskinsaddle_link_bytes_total", labels...)
		}
	}
	return messages, bytes
}
