// Package broker brings requests for model engines to the host that decides for
// their service, the keeper, and keeps that decision going when hosts fail.
//
// The servers of a large service are split into pools, each with a keeper. The
// keeper of a pool is found by a hash among the hosts that can be reached; hosts
// that see the same hosts and servers agree on it without a word. A keeper that cannot be reached, or is silent, is passed over at once
// and tried again in the background. Two keepers at a time do no harm but to
// the quality of their decisions, since a server itself refuses what it cannot
// take. A host that reaches no keeper is told so and decides alone.
//
// A host reports to a keeper that is new to it what it has at servers and where
// it saw parts of prompts read.
//
// # Usage
//
//	c := &broker.Clerk{Self: "host-1", Members: crew.Members, Link: node, Clock: clk, Log: l}
//	c.Register()            // before the link runs
//	c.SetServers(servers)   // on each change
//	d, err := c.Ask(ctx, "canvas-llm", ask)
//	c.Started("canvas-llm", ask.ID)
//	c.Ended("canvas-llm", ask.ID, place.OutcomeServed)
package broker

import (
	"context"
	"sort"
	"strconv"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/base/logs"
	"siskinsaddle/internal/policy/fleet"
	"siskinsaddle/internal/policy/grant"
	"siskinsaddle/internal/policy/place"
	"siskinsaddle/internal/share/link"
	"siskinsaddle/internal/share/member"
)

// ErrNoKeeper tells that no keeper could be reached.
var ErrNoKeeper = errors.New("no host that decides for the service can be reached")

const (
	// maxKeepers bounds the hosts that one request asks in turn.
	maxKeepers = 2
	// firstRest and lastRest are how long a silent keeper is passed over before
	// it is tried again in the background, in milliseconds.
	firstRest = 500 * clock.Millis(1)
	lastRest  = 4_000 * clock.Millis(1)
	// coresShare is the share of the strongest host's processor that a keeper
	// must have.
	coresShare = 0.7
)

// Clerk is this host's end. Its fields are set before Register.
type Clerk struct {
	Self    string
	Members func() []member.Member
	Link    *link.Node
	Clock   clock.Clock
	Log     *logs.Limited
	// Settings are those of the decisions.
	Settings grant.Settings
	// Holdings asks a server which parts of prompts it has cached; nil where
	// servers cannot be asked.
	Holdings func(ctx context.Context, s fleet.Server) ([]place.Segment, error)

	mu       sync.Mutex
	desks    map[pool]*desk
	servers  []fleet.Server
	splits   map[string]grant.Split
	resting  map[string]rest
	reported map[string]bool
	running  map[string]*running
	seen     seen
}

// rest is a keeper that is passed over.
type rest struct {
	until clock.Millis
	pause clock.Millis
}

// pool is a part of a service's servers.
type pool struct {
	service string
	index   int
}

// String is the pool's name in messages.
func (p pool) String() string { return p.service + "#" + strconv.Itoa(p.index) }

// running is a request of this host at a server.
type running struct {
	pool    pool
	keeper  string
	ask     grant.Request
	server  string
	started bool
	until   clock.Millis
}

// Register takes the messages of other hosts. It is called before the link
// runs.
func (c *Clerk) Register() {
	c.desks = map[pool]*desk{}
	c.splits = map[string]grant.Split{}
	c.resting = map[string]rest{}
	c.reported = map[string]bool{}
	c.running = map[string]*running{}
	c.seen = newSeen()
	if c.Link == nil {
		return
	}
	c.Link.Connected = c.connected
	c.Link.Handle(kindAsk, c.handleAsk)
	c.Link.Handle(kindNote, c.handleNote)
	c.Link.Handle(kindReport, c.handleReport)
}

// SetServers takes in a new list of servers.
func (c *Clerk) SetServers(all []fleet.Server) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.servers = all
	c.splits = map[string]grant.Split{}
	for _, d := range c.desks {
		d.setServers(all, c.split(d.pool.service))
	}
}

// split returns how a service's servers are dealt out. The lock is held.
func (c *Clerk) split(service string) grant.Split {
	s, ok := c.splits[service]
	if !ok {
		s = grant.NewSplit(service, c.servers)
		c.splits[service] = s
	}
	return s
}

// connected hears of a new connection: what its end knows of this host is gone.
func (c *Clerk) connected(p link.Peer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.resting, p.Name)
	for key := range c.reported {
		if strings.HasPrefix(key, p.Name+"/") {
			delete(c.reported, key)
		}
	}
}

// keepers returns the hosts that may decide for a pool, best first. Pools of a
// service begin at different hosts.
func (c *Clerk) keepers(p pool) []string {
	members := c.Members()
	most := 0.0
	for _, m := range members {
		most = max(most, m.Cores)
	}
	var names []string
	for _, m := range members {
		if m.Cores >= coresShare*most {
			names = append(names, m.Name)
		}
	}
	sort.Slice(names, func(i, j int) bool {
		return place.Hash(p.service, names[i]) > place.Hash(p.service, names[j])
	})
	if len(names) > 0 {
		first := p.index % len(names)
		names = append(names[first:], names[:first]...)
	}
	now := c.Clock.Now()
	up := names[:0]
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, n := range names {
		r, ok := c.resting[n]
		if !ok {
			up = append(up, n)
			continue
		}
		if now >= r.until {
			c.resting[n] = rest{until: now + max(r.pause, lastRest), pause: r.pause}
			go c.probe(n, r)
		}
	}
	return up[:min(len(up), maxKeepers)]
}

// probe looks whether a silent keeper is back.
func (c *Clerk) probe(name string, r rest) {
	ctx, cancel := context.WithTimeout(context.Background(), clock.Second.Duration())
	defer cancel()
	_, evidence := c.Link.Probe(ctx, name)
	c.mu.Lock()
	defer c.mu.Unlock()
	if evidence == link.EvidenceReached {
		delete(c.resting, name)
		return
	}
	pause := min(2*r.pause, lastRest)
	c.resting[name] = rest{until: c.Clock.Now() + pause, pause: pause}
}

// Ask returns the decision of a pool's keeper. It waits as long as the keeper
// holds the request back.
func (c *Clerk) Ask(ctx context.Context, service string, a grant.Request) (grant.Decision, error) {
	a.Host = c.Self
	c.mu.Lock()
	p := pool{service, c.split(service).Pool(a.Parts)}
	c.mu.Unlock()
	began := c.Clock.Now()
	for _, keeper := range c.keepers(p) {
		a.TimeLeft -= c.Clock.Now() - began
		began = c.Clock.Now()
		d, err := c.askOne(ctx, keeper, p, a)
		if err == nil {
			c.granted(p, keeper, a, d)
			return d, nil
		}
		if ctx.Err() != nil {
			c.note(p, keeper, a.ID, noteEnded, place.OutcomeCancelled)
			return grant.Decision{}, ctx.Err()
		}
		c.Log.Warn("The keeper of a service cannot be asked.", "keeper", keeper, "service", p, "id", a.ID, "err", err)
		c.mu.Lock()
		c.resting[keeper] = rest{until: c.Clock.Now() + firstRest, pause: firstRest}
		c.mu.Unlock()
	}
	return grant.Decision{}, ErrNoKeeper
}

func (c *Clerk) askOne(ctx context.Context, keeper string, p pool, a grant.Request) (grant.Decision, error) {
	if keeper == c.Self {
		return c.desk(p).ask(ctx, a)
	}
	c.report(keeper, p)
	var d grant.Decision
	err := c.Link.Call(ctx, keeper, kindAsk, askMessage{Service: p.service, Pool: p.index, Ask: a}, &d)
	return d, err
}

// granted remembers where a request went.
func (c *Clerk) granted(p pool, keeper string, a grant.Request, d grant.Decision) {
	if d.Server == "" {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running[a.ID] = &running{pool: p, keeper: keeper, ask: a, server: d.Server, until: c.Clock.Now() + a.TimeLeft}
}

// Started tells the keeper that the answer began.
func (c *Clerk) Started(id string) {
	c.mu.Lock()
	r := c.running[id]
	if r == nil || r.started {
		c.mu.Unlock()
		return
	}
	r.started = true
	c.seen.add(r.pool.service, r.server, r.ask.Parts)
	c.mu.Unlock()
	c.note(r.pool, r.keeper, id, noteStarted, "")
}

// Ended tells the keeper how a request ended.
func (c *Clerk) Ended(id string, o place.Outcome) {
	c.mu.Lock()
	r := c.running[id]
	delete(c.running, id)
	c.mu.Unlock()
	if r != nil {
		c.note(r.pool, r.keeper, id, noteEnded, o)
	}
}

// Holder returns the server at which this host last saw a part of a prompt
// read, "" where it saw none.
func (c *Clerk) Holder(service, part string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.seen.holder(service, part)
}

// Waiting is the number of requests that wait here while this host is a keeper
// of the service.
func (c *Clerk) Waiting(service string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	waiting := 0
	for p, d := range c.desks {
		if p.service == service {
			d.mu.Lock()
			waiting += d.core.Waiting()
			d.mu.Unlock()
		}
	}
	return waiting
}

func (c *Clerk) note(p pool, keeper, id string, kind noteKind, o place.Outcome) {
	n := noteMessage{Service: p.service, Pool: p.index, ID: id, Kind: kind, Outcome: o}
	if keeper == c.Self {
		c.desk(p).note(n)
		return
	}
	if err := c.Link.Send(keeper, kindNote, n); err != nil {
		c.Log.Debug("A keeper did not hear of a request.", "keeper", keeper, "id", id, "err", err)
	}
}

// report tells a keeper what it cannot know, once for each connection.
func (c *Clerk) report(keeper string, p pool) {
	c.mu.Lock()
	key := keeper + "/" + p.String()
	if c.reported[key] {
		c.mu.Unlock()
		return
	}
	c.reported[key] = true
	now := c.Clock.Now()
	m := reportMessage{Service: p.service, Pool: p.index, Held: c.seen.all(p.service)}
	for _, r := range c.running {
		if r.pool == p {
			m.Running = append(m.Running, runningRequest{Ask: r.ask, Server: r.server, Started: r.started, Left: r.until - now})
			r.keeper = keeper
		}
	}
	c.mu.Unlock()
	if err := c.Link.Send(keeper, kindReport, m); err != nil {
		c.Log.Debug("A keeper could not be told what this host has.", "keeper", keeper, "err", err)
	}
}

func (c *Clerk) desk(p pool) *desk {
	c.mu.Lock()
	defer c.mu.Unlock()
	d := c.desks[p]
	if d == nil {
		d = newDesk(p, c)
		d.setServers(c.servers, c.split(p.service))
		c.desks[p] = d
	}
	return d
}

func (c *Clerk) handleAsk(ctx context.Context, from link.Peer, body []byte) (any, error) {
	var m askMessage
	if err := link.Decode(body, &m); err != nil {
		return nil, err
	}
	m.Ask.Host = from.Name
	return c.desk(pool{m.Service, m.Pool}).ask(ctx, m.Ask)
}

func (c *Clerk) handleNote(_ context.Context, _ link.Peer, body []byte) (any, error) {
	var m noteMessage
	if err := link.Decode(body, &m); err != nil {
		return nil, err
	}
	c.desk(pool{m.Service, m.Pool}).note(m)
	return nil, nil
}

func (c *Clerk) handleReport(_ context.Context, from link.Peer, body []byte) (any, error) {
	var m reportMessage
	if err := link.Decode(body, &m); err != nil {
		return nil, err
	}
	for i := range m.Running {
		m.Running[i].Ask.Host = from.Name
	}
	c.desk(pool{m.Service, m.Pool}).report(m)
	return nil, nil
}
