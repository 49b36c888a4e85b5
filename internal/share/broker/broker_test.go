package broker_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/base/count"
	"siskinsaddle/internal/base/logs"
	"siskinsaddle/internal/base/meter"
	"siskinsaddle/internal/plat/rows"
	"siskinsaddle/internal/policy/fleet"
	"siskinsaddle/internal/policy/grant"
	"siskinsaddle/internal/policy/place"
	"siskinsaddle/internal/share/broker"
	"siskinsaddle/internal/share/guard"
	"siskinsaddle/internal/share/link"
	"siskinsaddle/internal/share/member"
)

const service = "llm"

// group is a number of linked hosts with one list of members.
type group struct {
	c       *qt.C
	mu      sync.Mutex
	members []member.Member
	hosts   map[string]*host
	// settings are those of hosts that are added, and commit is their store.
	settings grant.Settings
	// unknown has, by host, a host that it does not know of.
	unknown map[string]string
	commit  func(ctx context.Context, c rows.Change) (rows.Reply, error)
}

type host struct {
	broker *broker.Broker
	guard  *guard.Guard
	count  *count.Set
	stop   func()
}

// view returns the members that a host knows of.
func (g *group) view(name string) []member.Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(g.members), func(m member.Member) bool { return m.Name == g.unknown[name] })
}

func (g *group) list() []member.Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.members
}

func newGroup(c *qt.C, n int, servers int) *group {
	return newGroupWith(c, n, servers, grant.Defaults())
}

func newGroupWith(c *qt.C, n int, servers int, s grant.Settings) *group {
	g := &group{c: c, hosts: map[string]*host{}, settings: s}
	for i := range n {
		g.add(fmt.Sprint("h", i), servers)
	}
	return g
}

func (g *group) add(name string, servers int) {
	l := logs.Discard()
	node := &link.Node{
		Name: name, Incarnation: 1, Listen: "127.0.0.1:0", Secret: []byte("a secret of the group's hosts"),
		Clock: clock.System(), Log: l, Counters: count.NewSet(), DialTimeout: 300, SilenceTimeout: 300,
		Address: func(peer string) (string, bool) {
			for _, m := range g.view(name) {
				if m.Name == peer {
					return m.Address, true
				}
			}
			return "", false
		},
	}
	counters := count.NewSet()
	b := &broker.Broker{
		Self: name, Members: func() []member.Member { return g.view(name) }, Link: node, Clock: clock.System(),
		Log: logs.Limit(l, clock.System(), nil), Settings: g.settings,
		Count: counters,
	}
	b.Guard = &guard.Guard{
		Self: name, Members: g.list, Analysts: b.Analysts, Link: node, Commit: g.commit, Table: "hosts",
		Clock: clock.System(), Log: b.Log, Count: counters,
	}
	b.Guard.Register()
	b.Register()
	ctx, cancel := context.WithCancel(context.Background())
	g.c.Assert(node.Start(ctx), qt.IsNil)
	done := make(chan struct{})
	go b.Guard.Run(ctx)
	go func() {
		defer close(done)
		_ = node.Run(ctx)
	}()
	stop := sync.OnceFunc(func() {
		cancel()
		<-done
	})
	g.c.Cleanup(stop)
	var all []fleet.Server
	for i := range servers {
		all = append(all, fleet.Server{ID: fmt.Sprint("s", i), Service: service, Address: fmt.Sprint("10.0.0.", i, ":1"), Slots: 64})
	}
	b.SetServers(all)
	g.mu.Lock()
	g.members = append(g.members, member.Member{Name: name, Address: node.Addr(), Cores: 1})
	g.mu.Unlock()
	g.hosts[name] = &host{broker: b, guard: b.Guard, count: counters, stop: stop}
}

// setOnlyKeeper makes all hosts but one too weak for a keeper.
func (g *group) setOnlyKeeper(name string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for i := range g.members {
		if g.members[i].Name != name {
			g.members[i].Cores = 0.1
		}
	}
}

func newRequest(id, segment string) grant.Request {
	return grant.Request{
		ID: id, Class: "review", Tokens: 17_000, Target: 2_500, TimeLeft: 8_000,
		Segments: []place.Segment{{Name: segment, Tokens: 13_300}, {Name: "own-" + id, Tokens: 3_700}},
	}
}

func (g *group) requestGrant(host string, req grant.Request) grant.Decision {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	d, err := g.hosts[host].broker.RequestGrant(ctx, service, req)
	g.c.Assert(err, qt.IsNil)
	return d
}

// All hosts must send their requests to the same keeper. Otherwise its decisions would
// not account for the requests of the other hosts, and a server would get several.
func TestHostsAgreeOnOneKeeper(t *testing.T) {
	c := qt.New(t)
	// One of the four servers is reserved for short prompts.
	g := newGroup(c, 3, 4)
	used := map[string]bool{}
	for i := range 3 {
		used[g.requestGrant(fmt.Sprint("h", i), newRequest(fmt.Sprint("r", i), fmt.Sprint("thing", i))).Server] = true
	}
	c.Assert(used, qt.HasLen, 3)
	for i := range 3 {
		g.hosts[fmt.Sprint("h", i)].broker.Started(fmt.Sprint("r", i))
	}
	// Each host gets the server that prefilled the segment of another host.
	for i := range 3 {
		d := g.requestGrant(fmt.Sprint("h", (i+1)%3), newRequest(fmt.Sprint("again", i), fmt.Sprint("thing", i)))
		c.Assert(d.Reason, qt.Equals, "Cached")
	}
}

// Hosts stop one after another, keepers among them. The remaining hosts must still get
// decisions, and the next keeper must know which server has which segment cached.
func TestDeadKeeperIsReplaced(t *testing.T) {
	c := qt.New(t)
	g := newGroup(c, 4, 3)
	first := g.requestGrant("h0", newRequest("r", "thing"))
	g.hosts["h0"].broker.Started("r")
	g.hosts["h0"].broker.Ended("r", place.OutcomeServed)
	for i := 3; i > 0; i-- {
		g.hosts[fmt.Sprint("h", i)].stop()
		d := g.requestGrant("h0", newRequest(fmt.Sprint("after", i), "thing"))
		c.Assert(d.Server, qt.Equals, first.Server)
		c.Assert(d.Reason, qt.Equals, "Cached")
		g.hosts["h0"].broker.Started(fmt.Sprint("after", i))
		g.hosts["h0"].broker.Ended(fmt.Sprint("after", i), place.OutcomeServed)
	}
	c.Assert(g.hosts["h0"].broker.SegmentServer(service, "thing"), qt.Equals, first.Server)
}

// The metrics of a keeper tell a keeper that does not keep up from a full queue.
func TestKeeperMeasuresRoundsAndQueue(t *testing.T) {
	c := qt.New(t)
	g := newGroup(c, 1, 1)
	h := g.hosts["h0"]
	pool := meter.Label("pool", service+"#0")
	g.requestGrant("h0", newRequest("r", "thing"))
	c.Assert(h.count.Observations(meter.RoundTime, pool), qt.Equals, int64(1))
	ctx, cancel := context.WithCancel(context.Background())
	waited := make(chan error, 1)
	go func() {
		_, err := h.broker.RequestGrant(ctx, service, newRequest("second", "thing"))
		waited <- err
	}()
	for h.count.Gauge(meter.WaitingRequests, pool) != 1 {
		time.Sleep(time.Millisecond) // loops forever if the queue is not counted
	}
	cancel()
	c.Assert(<-waited, qt.ErrorIs, context.Canceled)
	c.Assert(h.count.Gauge(meter.WaitingRequests, pool), qt.Equals, int64(0))
	c.Assert(h.count.Observations(meter.RoundTime, pool) > 1, qt.IsTrue)
}

func TestRequestGrantFailsWithoutReachableKeeper(t *testing.T) {
	c := qt.New(t)
	g := newGroup(c, 1, 3)
	g.mu.Lock()
	g.members = []member.Member{{Name: "nobody", Address: "127.0.0.1:1", Cores: 1}}
	g.mu.Unlock()
	_, err := g.hosts["h0"].broker.RequestGrant(context.Background(), service, newRequest("r", "thing"))
	c.Assert(err, qt.ErrorIs, broker.ErrNoKeeper)
}

// A request whose caller disconnects while it waits must leave the queue. Otherwise it
// would block the request after it.
func TestCancelledRequestLeavesTheQueue(t *testing.T) {
	c := qt.New(t)
	g := newGroup(c, 2, 1)
	g.requestGrant("h0", newRequest("r", "thing"))
	ctx, cancel := context.WithCancel(context.Background())
	waited := make(chan error, 1)
	go func() {
		_, err := g.hosts["h1"].broker.RequestGrant(ctx, service, newRequest("gone", "thing"))
		waited <- err
	}()
	time.Sleep(20 * time.Millisecond)
	cancel()
	c.Assert(<-waited, qt.ErrorIs, context.Canceled)
	g.hosts["h0"].broker.Started("r")
	c.Assert(g.requestGrant("h0", newRequest("next", "thing")).Reason, qt.Equals, "Cached")
}

// A host that dies or loses its connection asks elsewhere. Its requests must not stay in
// the queue: once granted, they would hold servers for requests that are never sent.
func TestRequestsOfLostHostLeaveTheQueue(t *testing.T) {
	c := qt.New(t)
	g := newGroup(c, 2, 1)
	g.setOnlyKeeper("h0")
	keeper := g.hosts["h0"].broker
	g.requestGrant("h0", newRequest("r", "thing"))
	waited := make(chan error, 1)
	go func() {
		lost := newRequest("lost", "thing")
		lost.TimeLeft = clock.Minute
		_, err := g.hosts["h1"].broker.RequestGrant(context.Background(), service, lost)
		waited <- err
	}()
	waitFor(c, func() bool { return keeper.Waiting(service) == 1 })
	g.hosts["h1"].stop()
	c.Assert(<-waited, qt.IsNotNil)
	waitFor(c, func() bool { return keeper.Waiting(service) == 0 })
}

// waitFor polls a condition for at most 5 s.
func waitFor(c *qt.C, condition func() bool) {
	for began := time.Now(); !condition(); time.Sleep(time.Millisecond) {
		c.Assert(time.Since(began) < 5*time.Second, qt.IsTrue)
	}
}

// A new keeper must query the servers' cached segments, so that requests go where their
// segment is cached.
func TestKeeperQueriesCachedSegmentsOfServers(t *testing.T) {
	c := qt.New(t)
	g := newGroup(c, 1, 3)
	g.hosts["h0"].broker.CachedSegments = func(_ context.Context, s fleet.Server) ([]place.Segment, error) {
		if s.ID == "s2" {
			return []place.Segment{{Name: "thing", Tokens: 13_300}}, nil
		}
		return nil, nil
	}
	g.requestGrant("h0", newRequest("first", "other"))
	// The replies arrive concurrently with the first request. Without them the loop does
	// not end.
	for i := 0; g.requestGrant("h0", newRequest(fmt.Sprint("r", i), "thing")).Server != "s2"; i++ {
		g.hosts["h0"].broker.Ended(fmt.Sprint("r", i), place.OutcomeCancelled)
		time.Sleep(time.Millisecond)
	}
}

// Engines in trouble send the longest lists that are read, all at a time.
func TestCachedSegmentsAreQueriedFromFewServersAtATime(t *testing.T) {
	const (
		servers    = 60
		maxQueries = 8
	)
	c := qt.New(t)
	g := newGroup(c, 1, servers)
	var running, most, done atomic.Int64
	g.hosts["h0"].broker.CachedSegments = func(context.Context, fleet.Server) ([]place.Segment, error) {
		most.Store(max(most.Load(), running.Add(1)))
		time.Sleep(5 * time.Millisecond)
		running.Add(-1)
		done.Add(1)
		return nil, nil
	}
	g.requestGrant("h0", newRequest("first", "other"))
	waitFor(c, func() bool { return done.Load() == servers })
	c.Assert(most.Load() <= maxQueries, qt.IsTrue, qt.Commentf("%d queries at a time", most.Load()))
}
