// Package grant decides for the backend servers of one service which request runs
// on which server, and when. One host, the service's keeper, decides for all hosts;
// the others send it grant requests.
//
// It is made for the load in the first minutes of a day and at each peak, when prompts
// have long prefix segments that are still uncached, so that prefill rather than
// decoding occupies the servers:
//
//   - A prefix segment is prefilled once. Requests that arrive during its prefill
//     wait for that server instead of repeating the prefill on another one, unless
//     another server would be ready much sooner.
//   - A request with an uncached segment goes to the server where it costs least. The
//     cost rests on the pending prefill, measured in tokens, not in requests.
//   - A server gets the next long prompt after it has prefilled the last one and had
//     a pause for decoding. Without these pauses the answers running on the server
//     get one token for each chunk of a prompt, and none of them completes in time.
//     Requests wait in the keeper's queue instead, in the order of their tiers.
//   - A server that has named a rate gets no more than that, the most urgent requests
//     first. While there is one, the keeper also decides on the service's calls
//     without prompts.
//   - Short prompts have their own servers, in proportion to their share of the
//     prefill work. On a server with long prompts, the time between tokens of an
//     answer grows to the time for prefilling one chunk.
//
// The code is pure: the caller passes in the time and the events, and gets
// decisions back.
//
// # Usage
//
//	c := grant.New(grant.Defaults())
//	c.SetServers(servers)
//	c.Enqueue(now, request)
//	for _, d := range c.Next(now) { send(d) }
//	c.FirstEvent(now, id)
//	c.Ended(now, id, place.OutcomeServed)
package grant

import (
	"slices"
	"sort"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/policy/fleet"
	"siskinsaddle/internal/policy/place"
)

// Request is a grant request: one request that needs a server.
type Request struct {
	// ID is unique among all hosts. Host is the host that sends the grant request.
	ID   string
	Host string
	// Class is the name of the route, whose requests have similar lengths. This package
	// calls the requests of a route a class.
	Class    string
	Segments []place.Segment
	// Tokens is the length of the whole prompt.
	Tokens int
	// Tier is the priority of the route, which counts from 0, the most urgent. The
	// tiers of package sched, which count from 1, are not converted to these.
	Tier int
	// Target is the latency objective for the first event, TimeLeft the time until
	// the caller's deadline, in milliseconds.
	Target   clock.Millis
	TimeLeft clock.Millis
	// Avoid are the IDs of servers that were tried already or that the host avoids.
	Avoid []string
	// Plain is set for a call without a prompt. The keeper decides on calls while one of
	// the service's servers has a rate limit.
	Plain bool
	// Limits are the rates that the host knows of.
	Limits []Limit
}

// Limit is the rate that a server has named, in requests a second, 0 for none. Age is the
// time since then, in milliseconds.
type Limit struct {
	Server string
	Born   int64
	Rate   float64
	Age    clock.Millis
}

// HoldOff is a server's refusal of requests from one host. Left is the rest of the time, in
// milliseconds.
type HoldOff struct {
	Server string
	Born   int64
	Host   string
	Left   clock.Millis
}

// Decision is the reply to a Request. Server is empty if the request is refused.
type Decision struct {
	ID     string
	Host   string
	Server string
	Reason string
	// RetryAfter is the time after which a refused caller should retry, in
	// milliseconds.
	RetryAfter clock.Millis
	// StartDelay is the time until the server can start on the request, in
	// milliseconds: the pending prefill and the pause after it. Waited is the time
	// that the request spent in the queue.
	StartDelay clock.Millis
	Waited     clock.Millis
	// Cost is the server's cost to the keeper, in milliseconds: the time until the
	// first event and the delay for other requests. Next is the second best server,
	// with its cost in NextCost. OthersWaiting is the number of other requests
	// in the queue.
	Cost          clock.Millis
	Next          string
	NextCost      clock.Millis
	OthersWaiting int
	// Rate is the rate that the server has named, 0 for none. Limited is set if any server
	// of the pool has named one.
	Rate    float64
	Limited bool
	// SinceLastEvent is the time since the last event that showed the keeper that the
	// server works, in milliseconds, -1 if there was none.
	SinceLastEvent clock.Millis
}

// Settings are the parameters of the decisions.
type Settings struct {
	// InitialPrefillRate is the prefill rate assumed before any was measured, in
	// tokens per millisecond.
	InitialPrefillRate float64
	// A server gets a quick prompt only if it can start on it within QuickMaxDelay
	// milliseconds. A prompt is quick if its prefill takes at most QuickPrefill
	// milliseconds.
	QuickMaxDelay float64
	QuickPrefill  float64
	// DecodePauseShare is the length of the pause for decoding after a prompt's
	// prefill, as a share of the prefill time.
	DecodePauseShare float64
	// LongMaxDelay is the limit for prompts that are not quick, whatever their class.
	// The time until the server can start, in milliseconds, must be below it. With 1,
	// only a server without pending prefill or pause gets such a prompt.
	LongMaxDelay float64
	// PrefillWeight is the time by which a request is put back in the queue for each
	// millisecond of its prefill. If not all requests can meet their targets, more
	// do if quick ones go first.
	PrefillWeight float64
	// RecomputeWeight is the cost of prefilling a segment that another server has
	// cached, as a multiple of its prefill time.
	RecomputeWeight float64
	// ShortTokens is the mean prompt length in tokens below which a class counts as
	// short. ShortWeight multiplies the work of short classes when servers are
	// divided between short and long ones.
	ShortTokens float64
	ShortWeight float64
	// OtherGroupCost is the cost of a server reserved for the other kind of class
	// (short or long), in milliseconds.
	OtherGroupCost float64
	// RunningCost is the cost of each request running on the server, in
	// milliseconds.
	RunningCost float64
	// RunningShortCost is the cost, for a long prompt, of each request of a short
	// class running on the server, in milliseconds.
	RunningShortCost float64
	// MinAnswerTime is the least time needed after the prefill to complete an answer,
	// in milliseconds.
	MinAnswerTime clock.Millis
	// MinCallTime is the least time needed to complete a call without a prompt, in
	// milliseconds.
	MinCallTime clock.Millis
	// MaxWaiting is the maximum number of requests in the queue. Above it the least
	// urgent ones are refused.
	MaxWaiting int
}

// Defaults returns the default settings.
func Defaults() Settings {
	return Settings{
		InitialPrefillRate: 45,
		QuickMaxDelay:      200,
		QuickPrefill:       200,
		DecodePauseShare:   0.08,
		LongMaxDelay:       1,
		RecomputeWeight:    1,
		ShortTokens:        4_000,
		ShortWeight:        3,
		OtherGroupCost:     300,
		RunningCost:        4,
		MinAnswerTime:      1_200,
		MinCallTime:        100,
		RunningShortCost:   50,
		PrefillWeight:      1,
		MaxWaiting:         defaultMaxWaiting,
	}
}

// defaultMaxWaiting is some 16 requests for each server of a pool. At 64 servers, long
// prompts behind a full queue would wait for more than 5 s.
const defaultMaxWaiting = 1_000

// queuedRequest is a request that waits for a server.
type queuedRequest struct {
	Request
	queuedAt clock.Millis
	deadline clock.Millis
	// prefix are the prefix segments of the prompt.
	prefix []*segment
	// sortKey orders requests of the same tier.
	sortKey float64
}

// grantedRequest is a request that was assigned to a server.
type grantedRequest struct {
	Request
	prefix    []*segment
	server    *server
	grantedAt clock.Millis
	deadline  clock.Millis
	// prefill is the expected prefill time in milliseconds, uncached the number of
	// tokens that were not cached.
	prefill  float64
	uncached int
	// gotFirstEvent is set once the first event of the answer has arrived.
	gotFirstEvent bool
	// onlyPrefill is set if the server prefilled no other prompt meanwhile, so that
	// the time to the first event shows the prefill rate.
	onlyPrefill bool
	// short is set if the class counted as short when the request was granted.
	short bool
}

// Core decides for one service. Create it with New; it is not safe for concurrent
// use.
type Core struct {
	settings      Settings
	servers       map[string]*server
	rankedServers []*server
	queue         []*queuedRequest
	granted       map[string]*grantedRequest
	classes       map[string]*class
	prefillRate   float64
	// calls is the number of granted calls without prompts.
	calls int
	// keepers is the number of hosts that decide for the same servers, 0 for one.
	keepers int
	// segments are those that servers have cached or that requests contain.
	segments map[string]*segment
	// indexes has true for each server.index that is in use.
	indexes []bool
	// healthChanges are the changes since the last call of TakeChanges.
	healthChanges []HealthChange
}

// HealthChange is the change of a server to avoided or back.
type HealthChange struct {
	Server  string
	Change  place.Change
	Outcome place.Outcome
	// ID is the ID of the request whose outcome caused the change.
	ID string
}

// New returns a Core without servers.
func New(s Settings) *Core {
	return &Core{
		settings:    s,
		servers:     map[string]*server{},
		granted:     map[string]*grantedRequest{},
		classes:     map[string]*class{},
		segments:    map[string]*segment{},
		prefillRate: s.InitialPrefillRate,
	}
}

// SetServers replaces the list of the service's servers. A restarted server has an
// empty cache.
func (c *Core) SetServers(all []fleet.Server) {
	present := map[string]bool{}
	c.rankedServers = c.rankedServers[:0]
	for _, f := range all {
		present[f.ID] = true
		s := c.servers[f.ID]
		if s == nil || s.Born != f.Born || s.Address != f.Address {
			c.removeServer(s)
			s = newServer(c.takeIndex())
			c.servers[f.ID] = s
		}
		s.Server = f
		c.rankedServers = append(c.rankedServers, s)
	}
	for id, s := range c.servers {
		if !present[id] {
			c.removeServer(s)
			delete(c.servers, id)
		}
	}
	// The order by hash keeps the other servers in place when one is added or
	// removed.
	sort.Slice(c.rankedServers, func(i, j int) bool {
		return place.Hash("", c.rankedServers[i].ID) > place.Hash("", c.rankedServers[j].ID)
	})
}

// takeIndex returns the lowest index that no server has.
func (c *Core) takeIndex() int {
	i := slices.Index(c.indexes, false)
	if i < 0 {
		i = len(c.indexes)
		c.indexes = append(c.indexes, false)
	}
	c.indexes[i] = true
	return i
}

// removeServer subtracts a server's cached and pending segments from the counts over
// all servers and frees its index.
func (c *Core) removeServer(s *server) {
	if s == nil {
		return
	}
	for name := range s.cached {
		c.dropCached(s, name)
	}
	for _, g := range s.prefillQueue {
		for _, p := range g.prefix {
			p.addPending(s, -1)
		}
	}
	s.removed = true
	c.indexes[s.index] = false
}

// SetLimit sets the rate of a server, unless a later statement is known.
func (c *Core) SetLimit(now clock.Millis, l Limit) {
	s := c.servers[l.Server]
	at := now - l.Age
	if s == nil || s.Born != l.Born || at <= s.rateAt && s.rateAt != 0 {
		return
	}
	if l.Rate == 0 && s.bucket == nil {
		return
	}
	s.setRate(now, l.Rate, c.rateShare())
	s.rateAt = at
}

// SetHoldOff records that a server wants no requests from a host for a time. Meanwhile
// the other hosts' requests go to it only if there is no other server, since it would
// probably refuse them too. Afterwards it gets one request at a time until it answers one.
func (c *Core) SetHoldOff(now clock.Millis, h HoldOff) {
	s := c.servers[h.Server]
	if s == nil || s.Born != h.Born {
		return
	}
	if s.holdOffs == nil {
		s.holdOffs = map[string]clock.Millis{}
	}
	s.holdOffs[h.Host] = max(s.holdOffs[h.Host], now+h.Left)
	s.heldOffUntil = max(s.heldOffUntil, now+h.Left)
	s.onTrial = true
}

// SetKeepers sets the number of hosts that decide for the same servers. There are several
// for a while when hosts come, go or are cut off.
func (c *Core) SetKeepers(now clock.Millis, n int) {
	if n == c.keepers {
		return
	}
	c.keepers = n
	for _, s := range c.rankedServers {
		if s.bucket != nil {
			s.setRate(now, s.namedRate, c.rateShare())
		}
	}
}

// sharedRate is the part of a server's rate that several keepers grant together. They do
// not know how many hosts ask each of them.
const sharedRate = 1.5

// rateShare returns the share of servers' rates that this keeper may grant.
func (c *Core) rateShare() float64 { return min(1, sharedRate/float64(max(c.keepers, 1))) }

// Limits returns the rates of all servers that have named one.
func (c *Core) Limits(now clock.Millis) []Limit {
	var all []Limit
	for _, s := range c.rankedServers {
		if s.bucket != nil {
			all = append(all, Limit{Server: s.ID, Born: s.Born, Rate: s.namedRate, Age: now - s.rateAt})
		}
	}
	return all
}

// Enqueue adds a request to the queue, from which Next grants or refuses it.
func (c *Core) Enqueue(now clock.Millis, r Request) {
	for _, l := range r.Limits {
		c.SetLimit(now, l)
	}
	c.class(r.Class).observe(r)
	c.queue = append(c.queue, &queuedRequest{
		Request: r, prefix: c.useSegments(r.Segments), queuedAt: now, deadline: now + r.TimeLeft,
	})
}

// Cancel removes a request from the queue, or ends its grant.
func (c *Core) Cancel(now clock.Millis, id string) {
	for i, q := range c.queue {
		if q.ID == id {
			c.queue = append(c.queue[:i], c.queue[i+1:]...)
			c.releaseSegments(q.prefix)
			return
		}
	}
	c.Ended(now, id, place.OutcomeCancelled)
}

// FirstEvent records the first event of an answer, which shows that the prefill is
// complete.
func (c *Core) FirstEvent(now clock.Millis, id string) {
	g := c.granted[id]
	if g == nil || g.gotFirstEvent {
		return
	}
	g.gotFirstEvent = true
	g.server.onTrial = g.server.onTrial && now < g.server.heldOffUntil
	g.server.lastEventHost, g.server.lastEventAt = g.Host, now
	g.server.health.AnswerStarted()
	if g.onlyPrefill && g.uncached >= minRateSampleTokens {
		c.updatePrefillRate(g, now)
	}
	g.server.finishPrefill(now, g)
	g.server.addDecodePause(now, c.settings.DecodePauseShare*g.prefill)
	for _, p := range place.PrefixSegments(g.Segments) {
		c.addCachedSegment(g.server, p, now)
	}
}

// The parameters of the moving average of the prefill rate. Prefills of fewer than
// minRateSampleTokens tokens are not measured; rateSmoothing is the weight of one
// measurement. A measured rate is clamped to the range from minPrefillRate to
// maxPrefillRate, in tokens per millisecond.
const (
	minRateSampleTokens = 2_000
	rateSmoothing       = 0.1
	minPrefillRate      = 5.0
	maxPrefillRate      = 1_000.0
)

func (c *Core) updatePrefillRate(g *grantedRequest, now clock.Millis) {
	elapsed := float64(now - g.grantedAt)
	if elapsed <= 0 {
		return
	}
	observed := min(max(float64(g.uncached)/elapsed, minPrefillRate), maxPrefillRate)
	c.prefillRate += rateSmoothing * (observed - c.prefillRate)
}

// Ended records the outcome of a request at its server.
func (c *Core) Ended(now clock.Millis, id string, o place.Outcome) {
	g := c.granted[id]
	if g == nil {
		return
	}
	delete(c.granted, id)
	s := g.server
	if !g.gotFirstEvent {
		s.finishPrefill(now, g)
	}
	s.removeRequest(g)
	c.releaseSegments(g.prefix)
	c.updateHealth(now, g, o)
	if o.Answered() || (g.gotFirstEvent && o == place.OutcomeCancelled) {
		for _, p := range place.PrefixSegments(g.Segments) {
			c.addCachedSegment(s, p, now)
		}
	}
}

// updateHealth records the outcome of a request in the server's health. It ignores any
// outcome without an answer if the last event from the server came to another host
// since the grant: the server works, so the fault is probably in the network between
// it and the request's host, which avoids the server by itself.
func (c *Core) updateHealth(now clock.Millis, g *grantedRequest, o place.Outcome) {
	s := g.server
	if o.Answered() {
		s.lastEventHost, s.lastEventAt = g.Host, now
		s.onTrial = s.onTrial && now < s.heldOffUntil
	}
	if s.lastEventAt > g.grantedAt && s.lastEventHost != g.Host {
		return
	}
	if change := s.health.Record(now, o); change != place.ChangeNone {
		c.healthChanges = append(c.healthChanges, HealthChange{
			Server: s.ID, Change: change, Outcome: o, ID: g.ID,
		})
	}
}

// TakeChanges returns the changes of servers' health since the last call.
func (c *Core) TakeChanges() []HealthChange {
	healthChanges := c.healthChanges
	c.healthChanges = nil
	return healthChanges
}

// addCachedSegment records that a server has a segment cached.
func (c *Core) addCachedSegment(s *server, p place.Segment, now clock.Millis) {
	if s.removed || p.Tokens <= 0 {
		return
	}
	old, ok := s.cached[p.Name]
	if !ok {
		c.segment(p.Name).setCached(s, true)
		s.cachedTokens += p.Tokens
	}
	s.cached[p.Name] = cachedSegment{tokens: max(p.Tokens, old.tokens), lastUsed: now}
	if s.cachedTokens > maxCachedTokens {
		c.evict(s)
	}
}

// maxCachedTokens is the number of tokens that a server is assumed to have cached at
// most. Above it, the least recently used segments are dropped until evictionTarget
// tokens are left. The users' servers hold 550,000 tokens and more, part of them for
// running requests.
const (
	maxCachedTokens = 520_000
	evictionTarget  = 480_000
)

func (c *Core) evict(s *server) {
	names := make([]string, 0, len(s.cached))
	for name := range s.cached {
		names = append(names, name)
	}
	sort.Slice(names, func(i, j int) bool {
		a, b := s.cached[names[i]], s.cached[names[j]]
		if a.lastUsed != b.lastUsed {
			return a.lastUsed < b.lastUsed
		}
		return names[i] < names[j]
	})
	for _, name := range names {
		if s.cachedTokens <= evictionTarget {
			return
		}
		c.dropCached(s, name)
	}
}

func (c *Core) dropCached(s *server, name string) {
	s.cachedTokens -= s.cached[name].tokens
	delete(s.cached, name)
	p := c.segment(name)
	p.setCached(s, false)
	c.forgetUnused(p)
}

// CachedSegments lists the segments that a server has cached as far as this host
// knows. Hosts send it to a keeper that has taken over.
type CachedSegments struct {
	Server   string
	Segments []place.Segment
}

// CachedSegments returns the segments that the servers are assumed to have cached.
func (c *Core) CachedSegments() []CachedSegments {
	var all []CachedSegments
	for _, s := range c.rankedServers {
		cs := CachedSegments{Server: s.ID}
		for name, p := range s.cached {
			cs.Segments = append(cs.Segments, place.Segment{Name: name, Tokens: p.tokens})
		}
		sort.Slice(cs.Segments, func(i, j int) bool { return cs.Segments[i].Name < cs.Segments[j].Name })
		all = append(all, cs)
	}
	return all
}

// AddCached adds the cached segments that a host reports.
func (c *Core) AddCached(now clock.Millis, all []CachedSegments) {
	for _, cs := range all {
		s := c.servers[cs.Server]
		if s == nil {
			continue
		}
		for _, p := range cs.Segments {
			c.addCachedSegment(s, p, now)
		}
	}
}

// AddRunning adds a request that an earlier keeper, or a host without a keeper, has
// assigned to a server. If gotFirstEvent is set, its prefill is complete.
func (c *Core) AddRunning(now clock.Millis, r Request, server string, gotFirstEvent bool) {
	s := c.servers[server]
	if s == nil || c.granted[r.ID] != nil {
		return
	}
	g := c.assign(now, r, now+r.TimeLeft, s)
	if gotFirstEvent {
		g.gotFirstEvent = true
		s.finishPrefill(now, g)
	}
}

// assign adds a request to a server and estimates its prefill time.
func (c *Core) assign(now clock.Millis, r Request, deadline clock.Millis, s *server) *grantedRequest {
	uncached := s.uncachedTokens(r.Segments, r.Tokens)
	g := &grantedRequest{
		Request:   r,
		prefix:    c.useSegments(r.Segments),
		server:    s,
		grantedAt: now,
		deadline:  deadline,
		uncached:  uncached,
		prefill:   c.prefillTime(uncached),
	}
	g.short = c.short(c.class(r.Class))
	g.onlyPrefill = len(s.prefillQueue) == 0
	for _, other := range s.prefillQueue {
		other.onlyPrefill = false
	}
	s.addRequest(now, g)
	c.granted[r.ID] = g
	return g
}

// prefillTime returns the prefill time of a prompt in milliseconds: its uncached
// tokens at the prefill rate, plus a constant for each prompt.
func (c *Core) prefillTime(uncached int) float64 {
	return promptOverhead + float64(uncached)/c.prefillRate
}

// promptOverhead is the prefill time of each prompt that does not depend on its
// length, in milliseconds.
const promptOverhead = 10
