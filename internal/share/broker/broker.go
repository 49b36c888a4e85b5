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
//	b := &broker.Broker{Self: "host-1", Members: registry.Members, Link: node, Clock: clk, Log: l, Count: set}
//	b.Register()            // before the link runs
//	b.SetServers(servers)   // on each change
//	d, err := b.RequestGrant(ctx, "canvas-llm", request)
//	b.Started(request.ID)
//	b.Ended(request.ID, place.OutcomeServed)
package broker

import (
	"context"
	"sort"
	"strconv"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/base/count"
	"siskinsaddle/internal/base/logs"
	"siskinsaddle/internal/policy/fleet"
	"siskinsaddle/internal/policy/grant"
	"siskinsaddle/internal/policy/place"
	"siskinsaddle/internal/share/guard"
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
	// maxSegmentQueries is the maximum number of concurrent queries for cached segments. An
	// answer can take some megabytes, and the smallest hosts have 184 MB.
	maxSegmentQueries = 8
)

// Broker sends the grant requests of this host, and decides those of the pools that it
// keeps. Its fields are set before Register.
type Broker struct {
	Self    string
	Members func() []member.Member
	Link    *link.Node
	Clock   clock.Clock
	Log     *logs.Limited
	Count   *count.Set
	// Settings are the settings of the decisions.
	Settings grant.Settings
	// Guard has the quarantined segments. It is nil if prompts are not checked for them.
	Guard *guard.Guard
	// CachedSegments queries the prompt segments that a server has cached. It is nil if
	// servers do not support the query.
	CachedSegments func(ctx context.Context, s fleet.Server) ([]place.Segment, error)
	// OnReport, if set, is called with each host that reports to this one as its keeper,
	// once for each connection.
	OnReport func(host string)

	mu       sync.Mutex
	pools    map[pool]*poolKeeper
	servers  []fleet.Server
	splits   map[string]grant.Split
	backoffs map[string]backoff
	// reported has "KEEPER/POOL" as keys: the keepers that got a report.
	reported map[string]bool
	running  map[string]*running
	segments segmentCache
	// segmentQueries holds a value for each query for cached segments in progress.
	segmentQueries chan struct{}
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
func (b *Broker) Register() {
	b.pools = map[pool]*poolKeeper{}
	b.splits = map[string]grant.Split{}
	b.backoffs = map[string]backoff{}
	b.reported = map[string]bool{}
	b.running = map[string]*running{}
	b.segments = newSegmentCache()
	b.segmentQueries = make(chan struct{}, maxSegmentQueries)
	if b.Link == nil {
		return
	}
	b.Link.OnConnected = b.connected
	b.Link.Handle(kindRequest, b.handleRequest)
	b.Link.Handle(kindEvent, b.handleEvent)
	b.Link.Handle(kindReport, b.handleReport)
	b.Link.Handle(kindLimit, b.handleLimit)
	b.Link.Handle(kindActive, b.handleActive)
	b.Link.Handle(kindHoldOff, b.handleHoldOff)
}

// SetServers replaces the list of servers.
func (b *Broker) SetServers(all []fleet.Server) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.servers = all
	b.splits = map[string]grant.Split{}
	for _, k := range b.pools {
		k.setServers(all, b.split(k.pool.service))
	}
}

// split returns the assignment of a service's servers to pools. The caller holds the
// lock.
func (b *Broker) split(service string) grant.Split {
	s, ok := b.splits[service]
	if !ok {
		s = grant.NewSplit(service, b.servers)
		b.splits[service] = s
	}
	return s
}

// connected handles a new connection to or from a host, which may have restarted: this
// host has to report to it again.
func (b *Broker) connected(p link.Peer) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.backoffs, p.Name)
	for key := range b.reported {
		if strings.HasPrefix(key, p.Name+"/") {
			delete(b.reported, key)
		}
	}
}

// rankedKeepers returns the hosts that may decide for a pool, best first. The order of each
// of a service's pools starts at a different host.
func (b *Broker) rankedKeepers(p pool) []string {
	members := b.Members()
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
	return names
}

// keepers returns the hosts that may decide for a pool, best first, without those in
// backoff.
func (b *Broker) keepers(p pool) []string {
	names := b.rankedKeepers(p)
	now := b.Clock.Now()
	up := names[:0]
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, n := range names {
		r, ok := b.backoffs[n]
		if !ok {
			up = append(up, n)
			continue
		}
		if now >= r.until {
			// The delay never exceeds maxBackoff, so this is maxBackoff until the probe
			// has ended.
			b.backoffs[n] = backoff{until: now + max(r.delay, maxBackoff), delay: r.delay}
			go b.probe(n, r)
		}
	}
	return up[:min(len(up), maxKeepers)]
}

// Analysts returns the hosts that collect observations about a service: the keeper of its
// first pool and the host that would replace it.
func (b *Broker) Analysts(service string) []string { return b.keepers(pool{service: service}) }

// probe checks whether a keeper in backoff is reachable again.
func (b *Broker) probe(name string, r backoff) {
	ctx, cancel := context.WithTimeout(context.Background(), clock.Second.Duration())
	defer cancel()
	_, result := b.Link.Probe(ctx, name)
	b.mu.Lock()
	defer b.mu.Unlock()
	if result == link.ProbeReached {
		delete(b.backoffs, name)
		return
	}
	delay := min(2*r.delay, maxBackoff)
	b.backoffs[name] = backoff{until: b.Clock.Now() + delay, delay: delay}
}

// RequestGrant sends a grant request to the keeper of its pool and returns the
// decision. It waits while the keeper queues the request. It returns ErrNoKeeper if no
// keeper can be reached.
func (b *Broker) RequestGrant(ctx context.Context, service string, req grant.Request) (grant.Decision, error) {
	req.Host = b.Self
	b.mu.Lock()
	p := pool{service, b.split(service).Pool(req.Segments)}
	b.mu.Unlock()
	began := b.Clock.Now()
	for _, keeper := range b.keepers(p) {
		req.TimeLeft -= b.Clock.Now() - began
		began = b.Clock.Now()
		d, err := b.requestFrom(ctx, keeper, p, req)
		if err == nil {
			b.addRunning(p, keeper, req, d)
			return d, nil
		}
		if ctx.Err() != nil {
			b.sendEvent(p, keeper, req.ID, eventEnded, place.OutcomeCancelled)
			return grant.Decision{}, ctx.Err()
		}
		b.Log.Warn("A grant request to a keeper failed.",
			"keeper", keeper, "service", p, "id", req.ID, "err", err)
		b.mu.Lock()
		b.backoffs[keeper] = backoff{until: b.Clock.Now() + minBackoff, delay: minBackoff}
		b.mu.Unlock()
	}
	return grant.Decision{}, ErrNoKeeper
}

// requestFrom sends a grant request to one keeper, possibly this host itself.
func (b *Broker) requestFrom(
	ctx context.Context, keeper string, p pool, req grant.Request,
) (grant.Decision, error) {
	if keeper == b.Self {
		return b.poolKeeper(p).request(ctx, req)
	}
	b.report(keeper, p)
	var d grant.Decision
	err := b.Link.Call(ctx, keeper, kindRequest,
		requestMessage{Service: p.service, Pool: p.index, Request: req}, &d)
	return d, err
}

// addRunning records the server that a request was granted, if any.
func (b *Broker) addRunning(p pool, keeper string, req grant.Request, d grant.Decision) {
	if d.Server == "" {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.running[req.ID] = &running{
		pool: p, keeper: keeper, request: req, server: d.Server, until: b.Clock.Now() + req.TimeLeft,
	}
}

// Started tells the keeper that a request's response has started.
func (b *Broker) Started(id string) {
	b.mu.Lock()
	r := b.running[id]
	if r == nil || r.started {
		b.mu.Unlock()
		return
	}
	r.started = true
	b.segments.add(r.pool.service, r.server, r.request.Segments)
	b.mu.Unlock()
	b.sendEvent(r.pool, r.keeper, id, eventStarted, "")
}

// Ended tells the keeper how a request ended.
func (b *Broker) Ended(id string, o place.Outcome) {
	b.mu.Lock()
	r := b.running[id]
	delete(b.running, id)
	b.mu.Unlock()
	if r != nil {
		b.sendEvent(r.pool, r.keeper, id, eventEnded, o)
	}
}

// SegmentServer returns the server that last prefilled a prompt segment for this host,
// "" if there is none.
func (b *Broker) SegmentServer(service, segment string) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.segments.server(service, segment)
}

// Waiting returns the number of requests of a service that wait in the queues of this
// host as a keeper.
func (b *Broker) Waiting(service string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	waiting := 0
	for p, k := range b.pools {
		if p.service == service {
			k.mu.Lock()
			waiting += k.core.Waiting()
			k.mu.Unlock()
		}
	}
	return waiting
}

func (b *Broker) sendEvent(p pool, keeper, id string, kind eventKind, o place.Outcome) {
	e := eventMessage{Service: p.service, Pool: p.index, ID: id, Kind: kind, Outcome: o}
	if keeper == b.Self {
		b.poolKeeper(p).handleEvent(e)
		return
	}
	if err := b.Link.Send(keeper, kindEvent, e); err != nil {
		b.Log.Debug("Sending a request's event to its keeper failed.",
			"keeper", keeper, "id", id, "err", err)
	}
}

// report sends a keeper the state that only this host has, once for each connection.
func (b *Broker) report(keeper string, p pool) {
	b.mu.Lock()
	key := keeper + "/" + p.String()
	if b.reported[key] {
		b.mu.Unlock()
		return
	}
	b.reported[key] = true
	now := b.Clock.Now()
	m := reportMessage{Service: p.service, Pool: p.index, Cached: b.segments.all(p.service)}
	if b.Guard != nil {
		m.Quarantine = b.Guard.Entries(p.service)
	}
	for _, r := range b.running {
		if r.pool == p {
			m.Running = append(m.Running, runningRequest{
				Request: r.request, Server: r.server, Started: r.started, TimeLeft: r.until - now,
			})
			r.keeper = keeper
		}
	}
	b.mu.Unlock()
	if err := b.Link.Send(keeper, kindReport, m); err != nil {
		b.Log.Debug("Sending a report to a keeper failed.", "keeper", keeper, "err", err)
	}
	if b.Guard != nil {
		go b.Guard.Ask(context.Background(), keeper)
	}
}

// poolOf returns the pool of a server.
func (b *Broker) poolOf(service, server string) (pool, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	split := b.split(service)
	for i := range split.Count() {
		if split.Has(i, server) {
			return pool{service, i}, true
		}
	}
	return pool{}, false
}

// Keepers returns the hosts that decide for a server, now and next. It returns none for a
// server that is not in the list.
func (b *Broker) Keepers(service, server string) []string {
	p, ok := b.poolOf(service, server)
	if !ok {
		return nil
	}
	return b.keepers(p)
}

// NoteLimit tells the keepers of a server, now and next, the rate that it has named.
func (b *Broker) NoteLimit(service string, l grant.Limit) {
	if p, ok := b.poolOf(service, l.Server); ok {
		b.sendLimit(p, l)
	}
}

// NoteHoldOff tells the keepers of a server, now and next, that it wants no requests from
// this host for a time in milliseconds.
func (b *Broker) NoteHoldOff(service string, s fleet.Server, left clock.Millis) {
	p, ok := b.poolOf(service, s.ID)
	if !ok {
		return
	}
	m := holdOffMessage{Service: p.service, Pool: p.index, Server: s.ID, Born: s.Born, Left: left}
	for _, keeper := range b.keepers(p) {
		if keeper == b.Self {
			b.poolKeeper(p).holdOff(b.Self, m)
			continue
		}
		if err := b.Link.Send(keeper, kindHoldOff, m); err != nil {
			b.Log.Debug("Sending a server's hold-off to its keeper failed.", "keeper", keeper, "server", s.ID, "err", err)
		}
	}
}

func (b *Broker) handleHoldOff(_ context.Context, from link.Peer, body []byte) (any, error) {
	var m holdOffMessage
	if err := link.Decode(body, &m); err != nil {
		return nil, err
	}
	b.poolKeeper(pool{m.Service, m.Pool}).holdOff(from.Name, m)
	return nil, nil
}

func (b *Broker) sendLimit(p pool, l grant.Limit) {
	for _, keeper := range b.keepers(p) {
		if keeper == b.Self {
			b.poolKeeper(p).setLimit(l)
			continue
		}
		if err := b.Link.Send(keeper, kindLimit, limitMessage{Service: p.service, Pool: p.index, Limit: l}); err != nil {
			b.Log.Debug("Sending a server's rate limit to its keeper failed.", "keeper", keeper, "server", l.Server, "err", err)
		}
	}
}

func (b *Broker) handleLimit(_ context.Context, _ link.Peer, body []byte) (any, error) {
	var m limitMessage
	if err := link.Decode(body, &m); err != nil {
		return nil, err
	}
	b.poolKeeper(pool{m.Service, m.Pool}).setLimit(m.Limit)
	return nil, nil
}

// InPool reports whether a server belongs to the pool whose keeper decides on a request.
func (b *Broker) InPool(service string, req grant.Request, server string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	split := b.split(service)
	return split.Has(split.Pool(req.Segments), server)
}

func (b *Broker) poolKeeper(p pool) *poolKeeper {
	b.mu.Lock()
	defer b.mu.Unlock()
	k := b.pools[p]
	if k == nil {
		k = newPoolKeeper(p, b)
		k.setServers(b.servers, b.split(p.service))
		b.pools[p] = k
	}
	return k
}

func (b *Broker) handleRequest(ctx context.Context, from link.Peer, body []byte) (any, error) {
	var m requestMessage
	if err := link.Decode(body, &m); err != nil {
		return nil, err
	}
	m.Request.Host = from.Name
	k := b.poolKeeper(pool{m.Service, m.Pool})
	d, err := k.request(ctx, m.Request)
	if err == nil && ctx.Err() != nil {
		// The host does not get the decision, so it sends nothing to the server.
		k.handleEvent(eventMessage{ID: m.Request.ID, Kind: eventEnded, Outcome: place.OutcomeCancelled})
	}
	return d, err
}

func (b *Broker) handleEvent(_ context.Context, _ link.Peer, body []byte) (any, error) {
	var m eventMessage
	if err := link.Decode(body, &m); err != nil {
		return nil, err
	}
	b.poolKeeper(pool{m.Service, m.Pool}).handleEvent(m)
	return nil, nil
}

func (b *Broker) handleReport(_ context.Context, from link.Peer, body []byte) (any, error) {
	var m reportMessage
	if err := link.Decode(body, &m); err != nil {
		return nil, err
	}
	for i := range m.Running {
		m.Running[i].Request.Host = from.Name
	}
	if b.Guard != nil {
		b.Guard.Adopt(m.Quarantine)
	}
	if b.OnReport != nil {
		b.OnReport(from.Name)
	}
	b.poolKeeper(pool{m.Service, m.Pool}).handleReport(m)
	return nil, nil
}
