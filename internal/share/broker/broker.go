// Package broker sends grant requests for model engines to the keeper, the host that
// decides for their service, and fails over to another keeper when hosts fail.
//
// The servers of a large service are split into pools, each with a keeper. The keeper
// of a pool is chosen by a hash among the reachable hosts, so hosts with the same list
// of hosts and servers agree on it without messages. A keeper that is unreachable or
// unresponsive is skipped at once and probed in the background. Two keepers at a time
// only make worse decisions, since a server itself refuses requests beyond its limits.
// A host that reaches no keeper gets ErrNoKeeper and decides alone.
//
// At the first request to a keeper, a host reports to it which requests it has running
// at servers, and which servers prefilled which prompt segments.
//
// # Usage
//
//	c := &broker.Clerk{Self: "host-1", Members: crew.Members, Link: node, Clock: clk, Log: l}
//	c.Register()            // before the link runs
//	c.SetServers(servers)   // on each change
//	d, err := c.Ask(ctx, "canvas-llm", request)
//	c.Started(request.ID)
//	c.Ended(request.ID, place.OutcomeServed)
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

// ErrNoKeeper reports that no keeper could be reached.
var ErrNoKeeper = errors.New("no keeper of the service can be reached")

const (
	// maxKeepers is the number of keepers that a request is sent to in turn.
	maxKeepers = 2
	// minBackoff and maxBackoff bound how long an unresponsive keeper is skipped
	// before it is probed in the background, in milliseconds.
	minBackoff = 500 * clock.Millis(1)
	maxBackoff = 4_000 * clock.Millis(1)
	// minCoresShare is the share of the largest host's cores that a keeper must have.
	minCoresShare = 0.7
)

// Clerk sends the grant requests of this host, and decides those of the pools that it
// keeps. Its fields are set before Register.
type Clerk struct {
	Self    string
	Members func() []member.Member
	Link    *link.Node
	Clock   clock.Clock
	Log     *logs.Limited
	// Settings are the settings of the decisions.
	Settings grant.Settings
	// Holdings queries the prompt segments that a server has cached. It is nil if
	// servers do not support the query.
	Holdings func(ctx context.Context, s fleet.Server) ([]place.Segment, error)

	mu       sync.Mutex
	pools    map[pool]*poolKeeper
	servers  []fleet.Server
	splits   map[string]grant.Split
	backoffs map[string]backoff
	// reported has "KEEPER/POOL" as keys: the keepers that got a report.
	reported map[string]bool
	running  map[string]*running
	segments segmentCache
}

// backoff is the state of a keeper that is skipped after a failed request.
type backoff struct {
	until clock.Millis
	delay clock.Millis
}

// pool is a subset of a service's servers.
type pool struct {
	service string
	index   int
}

// String returns the pool's name in log lines.
func (p pool) String() string { return p.service + "#" + strconv.Itoa(p.index) }

// running is a request of this host that was granted a server.
type running struct {
	pool    pool
	keeper  string
	request grant.Request
	server  string
	started bool
	// until is the caller's deadline.
	until clock.Millis
}

// Register installs the handlers for messages of other hosts. It is called before the
// link runs.
func (c *Clerk) Register() {
	c.pools = map[pool]*poolKeeper{}
	c.splits = map[string]grant.Split{}
	c.backoffs = map[string]backoff{}
	c.reported = map[string]bool{}
	c.running = map[string]*running{}
	c.segments = newSegmentCache()
	if c.Link == nil {
		return
	}
	c.Link.OnConnected = c.connected
	c.Link.Handle(kindRequest, c.handleRequest)
	c.Link.Handle(kindEvent, c.handleEvent)
	c.Link.Handle(kindReport, c.handleReport)
}

// SetServers replaces the list of servers.
func (c *Clerk) SetServers(all []fleet.Server) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.servers = all
	c.splits = map[string]grant.Split{}
	for _, k := range c.pools {
		k.setServers(all, c.split(k.pool.service))
	}
}

// split returns the assignment of a service's servers to pools. The caller holds the
// lock.
func (c *Clerk) split(service string) grant.Split {
	s, ok := c.splits[service]
	if !ok {
		s = grant.NewSplit(service, c.servers)
		c.splits[service] = s
	}
	return s
}

// connected handles a new connection to a host, which may have restarted: this host has
// to report to it again.
func (c *Clerk) connected(p link.Peer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.backoffs, p.Name)
	for key := range c.reported {
		if strings.HasPrefix(key, p.Name+"/") {
			delete(c.reported, key)
		}
	}
}

// keepers returns the hosts that may decide for a pool, best first, without those in
// backoff. The order of each of a service's pools starts at a different host.
func (c *Clerk) keepers(p pool) []string {
	members := c.Members()
	maxCores := 0.0
	for _, m := range members {
		maxCores = max(maxCores, m.Cores)
	}
	var names []string
	for _, m := range members {
		if m.Cores >= minCoresShare*maxCores {
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
		r, ok := c.backoffs[n]
		if !ok {
			up = append(up, n)
			continue
		}
		if now >= r.until {
			c.backoffs[n] = backoff{until: now + max(r.delay, maxBackoff), delay: r.delay}
			go c.probe(n, r)
		}
	}
	return up[:min(len(up), maxKeepers)]
}

// probe checks whether a keeper in backoff is reachable again.
func (c *Clerk) probe(name string, r backoff) {
	ctx, cancel := context.WithTimeout(context.Background(), clock.Second.Duration())
	defer cancel()
	_, result := c.Link.Probe(ctx, name)
	c.mu.Lock()
	defer c.mu.Unlock()
	if result == link.ProbeReached {
		delete(c.backoffs, name)
		return
	}
	delay := min(2*r.delay, maxBackoff)
	c.backoffs[name] = backoff{until: c.Clock.Now() + delay, delay: delay}
}

// Ask sends a grant request to the keeper of its pool and returns the decision. It waits
// while the keeper queues the request. It returns ErrNoKeeper if no keeper can be
// reached.
func (c *Clerk) Ask(ctx context.Context, service string, req grant.Request) (grant.Decision, error) {
	req.Host = c.Self
	c.mu.Lock()
	p := pool{service, c.split(service).Pool(req.Parts)}
	c.mu.Unlock()
	began := c.Clock.Now()
	for _, keeper := range c.keepers(p) {
		req.TimeLeft -= c.Clock.Now() - began
		began = c.Clock.Now()
		d, err := c.requestFrom(ctx, keeper, p, req)
		if err == nil {
			c.addRunning(p, keeper, req, d)
			return d, nil
		}
		if ctx.Err() != nil {
			c.sendEvent(p, keeper, req.ID, eventEnded, place.OutcomeCancelled)
			return grant.Decision{}, ctx.Err()
		}
		c.Log.Warn("The keeper of a service cannot be asked.",
			"keeper", keeper, "service", p, "id", req.ID, "err", err)
		c.mu.Lock()
		c.backoffs[keeper] = backoff{until: c.Clock.Now() + minBackoff, delay: minBackoff}
		c.mu.Unlock()
	}
	return grant.Decision{}, ErrNoKeeper
}

// requestFrom sends a grant request to one keeper, possibly this host itself.
func (c *Clerk) requestFrom(
	ctx context.Context, keeper string, p pool, req grant.Request,
) (grant.Decision, error) {
	if keeper == c.Self {
		return c.poolKeeper(p).request(ctx, req)
	}
	c.report(keeper, p)
	var d grant.Decision
	err := c.Link.Call(ctx, keeper, kindRequest,
		requestMessage{Service: p.service, Pool: p.index, Request: req}, &d)
	return d, err
}

// addRunning records the server that a request was granted, if any.
func (c *Clerk) addRunning(p pool, keeper string, req grant.Request, d grant.Decision) {
	if d.Server == "" {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running[req.ID] = &running{
		pool: p, keeper: keeper, request: req, server: d.Server, until: c.Clock.Now() + req.TimeLeft,
	}
}

// Started tells the keeper that a request's response has started.
func (c *Clerk) Started(id string) {
	c.mu.Lock()
	r := c.running[id]
	if r == nil || r.started {
		c.mu.Unlock()
		return
	}
	r.started = true
	c.segments.add(r.pool.service, r.server, r.request.Parts)
	c.mu.Unlock()
	c.sendEvent(r.pool, r.keeper, id, eventStarted, "")
}

// Ended tells the keeper how a request ended.
func (c *Clerk) Ended(id string, o place.Outcome) {
	c.mu.Lock()
	r := c.running[id]
	delete(c.running, id)
	c.mu.Unlock()
	if r != nil {
		c.sendEvent(r.pool, r.keeper, id, eventEnded, o)
	}
}

// Holder returns the server that last prefilled a prompt segment for this host, "" if
// there is none.
func (c *Clerk) Holder(service, segment string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.segments.server(service, segment)
}

// Waiting returns the number of requests of a service that wait in the queues of this
// host as a keeper.
func (c *Clerk) Waiting(service string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	waiting := 0
	for p, k := range c.pools {
		if p.service == service {
			k.mu.Lock()
			waiting += k.core.Waiting()
			k.mu.Unlock()
		}
	}
	return waiting
}

func (c *Clerk) sendEvent(p pool, keeper, id string, kind eventKind, o place.Outcome) {
	e := eventMessage{Service: p.service, Pool: p.index, ID: id, Kind: kind, Outcome: o}
	if keeper == c.Self {
		c.poolKeeper(p).handleEvent(e)
		return
	}
	if err := c.Link.Send(keeper, kindEvent, e); err != nil {
		c.Log.Debug("Sending a request's event to its keeper failed.",
			"keeper", keeper, "id", id, "err", err)
	}
}

// report sends a keeper the state that only this host has, once for each connection.
func (c *Clerk) report(keeper string, p pool) {
	c.mu.Lock()
	key := keeper + "/" + p.String()
	if c.reported[key] {
		c.mu.Unlock()
		return
	}
	c.reported[key] = true
	now := c.Clock.Now()
	m := reportMessage{Service: p.service, Pool: p.index, Cached: c.segments.all(p.service)}
	for _, r := range c.running {
		if r.pool == p {
			m.Running = append(m.Running, runningRequest{
				Request: r.request, Server: r.server, Started: r.started, TimeLeft: r.until - now,
			})
			r.keeper = keeper
		}
	}
	c.mu.Unlock()
	if err := c.Link.Send(keeper, kindReport, m); err != nil {
		c.Log.Debug("Sending a report to a keeper failed.", "keeper", keeper, "err", err)
	}
}

func (c *Clerk) poolKeeper(p pool) *poolKeeper {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := c.pools[p]
	if k == nil {
		k = newPoolKeeper(p, c)
		k.setServers(c.servers, c.split(p.service))
		c.pools[p] = k
	}
	return k
}

func (c *Clerk) handleRequest(ctx context.Context, from link.Peer, body []byte) (any, error) {
	var m requestMessage
	if err := link.Decode(body, &m); err != nil {
		return nil, err
	}
	m.Request.Host = from.Name
	return c.poolKeeper(pool{m.Service, m.Pool}).request(ctx, m.Request)
}

func (c *Clerk) handleEvent(_ context.Context, _ link.Peer, body []byte) (any, error) {
	var m eventMessage
	if err := link.Decode(body, &m); err != nil {
		return nil, err
	}
	c.poolKeeper(pool{m.Service, m.Pool}).handleEvent(m)
	return nil, nil
}

func (c *Clerk) handleReport(_ context.Context, from link.Peer, body []byte) (any, error) {
	var m reportMessage
	if err := link.Decode(body, &m); err != nil {
		return nil, err
	}
	for i := range m.Running {
		m.Running[i].Request.Host = from.Name
	}
	c.poolKeeper(pool{m.Service, m.Pool}).handleReport(m)
	return nil, nil
}
