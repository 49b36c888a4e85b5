// Package grant decides for one service of model engines which request runs on
// which server, and when. One host, the service's keeper, decides for all; the
// others ask it.
//
// It answers the load of a day's first minutes and of each crest: prompts whose
// long shared parts are cached nowhere yet, so that reading, not generation,
// fills the engines. What it does about it:
//
//   - A shared part is read once. Requests that come while a server reads it
//     wait for that server instead of reading it elsewhere, unless another
//     server would be ready much sooner.
//   - A part that is cached nowhere goes where the least is still to be read,
//     by tokens, not by the number of requests.
//   - A server is handed the next long prompt when it has read the last one and
//     has had a pause. Without pauses the answers that run there get one token
//     for each piece of a prompt, and none of them ends in time. What waits does
//     so here, in the order of tiers.
//   - Short prompts have servers of their own, as many as their share of the
//     reading asks for: the pauses between their tokens are as long as the
//     pieces of long prompts that are read in between.
//
// The code is pure: it is told the time and what happened, and returns
// decisions.
//
// # Usage
//
//	c := grant.New(grant.Defaults())
//	c.SetServers(servers)
//	c.Ask(now, ask)
//	for _, d := range c.Next(now) { send(d) }
//	c.Started(now, id)  // the first event of the answer came
//	c.Ended(now, id, place.OutcomeServed)
package grant

import (
	"sort"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/policy/fleet"
	"siskinsaddle/internal/policy/place"
)

// Ask is one request that wants a server.
type Ask struct {
	// ID is unique among all hosts, Host the asking one.
	ID   string
	Host string
	// Class is the route; its requests are alike in length.
	Class string
	Parts []place.Part
	// Tokens is the length of the whole prompt.
	Tokens int
	// Tier is the rank, 0 the most urgent.
	Tier int
	// Target is the time for the first event in milliseconds, Left the time
	// until the caller gives up.
	Target clock.Millis
	Left   clock.Millis
	// Avoid are servers that were tried.
	Avoid []string
}

// Decision answers an Ask. Server is empty for a refusal.
type Decision struct {
	ID     string
	Host   string
	Server string
	Reason string
	// RetryAfter is when a refused caller had best come back, in milliseconds.
	RetryAfter clock.Millis
	// Unread is how much the server has still to read before, in milliseconds,
	// Waited how long the request was held back.
	Unread clock.Millis
	Waited clock.Millis
	// Cost is what the server was worth to the keeper, in milliseconds: the time
	// until the first event and what others lose. Next is the second best one
	// with its cost, Queued how many requests waited beside this one.
	Cost     clock.Millis
	Next     string
	NextCost clock.Millis
	Queued   int
	// Sign is how long ago the server last showed to the keeper that it works,
	// in milliseconds, -1 where it never did.
	Sign clock.Millis
}

// Settings are the weights of the decisions.
type Settings struct {
	// TokensPerMilli is the pace at which a prompt is taken to be read before
	// one was seen.
	TokensPerMilli float64
	// Ahead is how much reading a server may have before it when it is handed a
	// quick prompt, one that is read within QuickRead, in milliseconds.
	Ahead     float64
	QuickRead float64
	// Pause is the share of a prompt's reading time that a server then gets to
	// generate without reading.
	Pause float64
	// LongAhead is what Ahead is for prompts that are not quick.
	LongAhead float64
	// ReadWeight is how much later a request counts as due for each millisecond
	// of reading that it needs: when not all can be on time, more are if the
	// quick ones go first.
	ReadWeight float64
	// Again is the price of reading what another server holds, as a multiple
	// of the time that it takes.
	Again float64
	// ShortTokens is the mean prompt length below which a class counts as
	// short; ShortWeight how many times its work counts when servers are dealt
	// out.
	ShortTokens float64
	ShortWeight float64
	// OtherGroup is the price of a server of the other group, in milliseconds.
	OtherGroup float64
	// PerRunning is the price of each request that runs on the server, in
	// milliseconds.
	PerRunning float64
	// PerShort is the price for a long prompt of each answer to a short one that
	// runs on the server, in milliseconds.
	PerShort float64
	// LeastTail is the time below which an answer cannot be given any more, in
	// milliseconds.
	LeastTail clock.Millis
}

// Defaults are the settings with which the standard days were measured.
func Defaults() Settings {
	return Settings{
		TokensPerMilli: 45,
		Ahead:          200,
		QuickRead:      200,
		Pause:          0.08,
		LongAhead:      1,
		Again:          1,
		ShortTokens:    4_000,
		ShortWeight:    3,
		OtherGroup:     300,
		PerRunning:     4,
		LeastTail:      1_200,
		PerShort:       50,
		ReadWeight:     1,
	}
}

// asked is an ask that waits.
type asked struct {
	Ask
	at    clock.Millis
	until clock.Millis
	// rank orders requests of a tier.
	rank float64
}

// granted is a request at a server.
type granted struct {
	Ask
	server *server
	at     clock.Millis
	until  clock.Millis
	// read is the expected time of reading, in milliseconds, fresh the tokens
	// that were not cached.
	read    float64
	fresh   int
	started bool
	// alone tells that nothing else was being read, so that its first event
	// shows the pace.
	alone bool
	// short tells that it was given out as one of a short class.
	short bool
}

// Core decides for one service. Take New; it is not safe for concurrent use.
type Core struct {
	settings Settings
	servers  map[string]*server
	order    []*server
	queue    []*asked
	granted  map[string]*granted
	classes  map[string]*class
	pace     float64
	// holders counts the servers that hold a part.
	holders map[string]int
	// coming counts the unread requests with a part, on all servers.
	coming map[string]int
	// changes are those of servers' health that nobody took yet.
	changes []HealthChange
}

// HealthChange is a server that is now avoided, or is no longer.
type HealthChange struct {
	Server  string
	Change  place.Change
	Outcome place.Outcome
	// ID is the request that showed it.
	ID string
}

// New returns a Core without servers.
func New(s Settings) *Core {
	return &Core{
		settings: s,
		servers:  map[string]*server{},
		granted:  map[string]*granted{},
		classes:  map[string]*class{},
		holders:  map[string]int{},
		coming:   map[string]int{},
		pace:     s.TokensPerMilli,
	}
}

// SetServers takes in the servers of the service. A server that starts again
// holds nothing of before.
func (c *Core) SetServers(all []fleet.Server) {
	present := map[string]bool{}
	c.order = c.order[:0]
	for _, f := range all {
		present[f.ID] = true
		s := c.servers[f.ID]
		if s == nil || s.Born != f.Born || s.Address != f.Address {
			c.forget(s)
			s = newServer()
			c.servers[f.ID] = s
		}
		s.Server = f
		c.order = append(c.order, s)
	}
	for id, s := range c.servers {
		if !present[id] {
			c.forget(s)
			delete(c.servers, id)
		}
	}
	// A server's coming or going does not disturb the order of the others.
	sort.Slice(c.order, func(i, j int) bool {
		return place.Hash("", c.order[i].ID) > place.Hash("", c.order[j].ID)
	})
}

// forget takes a server's parts out of the count of holders.
func (c *Core) forget(s *server) {
	if s == nil {
		return
	}
	for name := range s.parts {
		c.drop(s, name)
	}
	for _, g := range s.unread {
		for _, p := range place.Shared(g.Parts) {
			less(c.coming, p.Name)
		}
	}
	s.gone = true
}

// Ask queues a request. Next decides on it.
func (c *Core) Ask(now clock.Millis, a Ask) {
	c.class(a.Class).asked(a)
	c.queue = append(c.queue, &asked{Ask: a, at: now, until: now + a.Left})
}

// Cancel takes back an ask, or ends a grant that was not used.
func (c *Core) Cancel(now clock.Millis, id string) {
	for i, q := range c.queue {
		if q.ID == id {
			c.queue = append(c.queue[:i], c.queue[i+1:]...)
			return
		}
	}
	c.Ended(now, id, place.OutcomeCancelled)
}

// Started notes the first event of an answer: the prompt is read.
func (c *Core) Started(now clock.Millis, id string) {
	g := c.granted[id]
	if g == nil || g.started {
		return
	}
	g.started = true
	g.server.signFrom, g.server.signAt = g.Host, now
	g.server.health.AnswerStarted()
	if g.alone && g.fresh >= paceTokens {
		c.learnPace(g, now)
	}
	c.read(now, g.server, g)
	g.server.owe(now, c.settings.Pause*g.read)
	for _, p := range place.Shared(g.Parts) {
		c.hold(g.server, p, now)
	}
}

// paceTokens is the least reading by which the pace is judged, and paceShare
// how much one reading counts.
const (
	paceTokens = 2_000
	paceShare  = 0.1
	paceLeast  = 5.0
	paceMost   = 1_000.0
)

func (c *Core) learnPace(g *granted, now clock.Millis) {
	took := float64(now - g.at)
	if took <= 0 {
		return
	}
	seen := min(max(float64(g.fresh)/took, paceLeast), paceMost)
	c.pace += paceShare * (seen - c.pace)
}

// Ended notes how a request ended at its server.
func (c *Core) Ended(now clock.Millis, id string, o place.Outcome) {
	g := c.granted[id]
	if g == nil {
		return
	}
	delete(c.granted, id)
	s := g.server
	if !g.started {
		c.read(now, s, g)
	}
	s.end(g)
	c.judge(now, g, o)
	if o == place.OutcomeServed || (g.started && o == place.OutcomeCancelled) {
		for _, p := range place.Shared(g.Parts) {
			c.hold(s, p, now)
		}
	}
}

// judge notes what an outcome says of the server. A failure that one host met
// while the server served others meanwhile speaks of the way between the two;
// that host knows it by itself.
func (c *Core) judge(now clock.Millis, g *granted, o place.Outcome) {
	s := g.server
	if o == place.OutcomeServed {
		s.signFrom, s.signAt = g.Host, now
	}
	if s.signAt > g.at && s.signFrom != g.Host {
		return
	}
	if change := s.health.Record(now, o); change != place.ChangeNone {
		c.changes = append(c.changes, HealthChange{Server: s.ID, Change: change, Outcome: o, ID: g.ID})
	}
}

// TakeChanges returns what changed in servers' health since the last call.
func (c *Core) TakeChanges() []HealthChange {
	changes := c.changes
	c.changes = nil
	return changes
}

// hold notes that a server has a part.
func (c *Core) hold(s *server, p place.Part, now clock.Millis) {
	if s.gone || p.Tokens <= 0 {
		return
	}
	old, ok := s.parts[p.Name]
	if !ok {
		c.holders[p.Name]++
		s.held += p.Tokens
	}
	s.parts[p.Name] = heldPart{tokens: max(p.Tokens, old.tokens), used: now}
	if s.held > mostHeld {
		c.evict(s)
	}
}

// mostHeld bounds the tokens that a server is believed to hold, evictTo what is
// left after the least recently used parts were dropped. The engines of the
// users hold 550,000 and more, part of it for what runs.
const (
	mostHeld = 520_000
	evictTo  = 480_000
)

func (c *Core) evict(s *server) {
	names := make([]string, 0, len(s.parts))
	for name := range s.parts {
		names = append(names, name)
	}
	sort.Slice(names, func(i, j int) bool {
		a, b := s.parts[names[i]], s.parts[names[j]]
		if a.used != b.used {
			return a.used < b.used
		}
		return names[i] < names[j]
	})
	for _, name := range names {
		if s.held <= evictTo {
			return
		}
		c.drop(s, name)
	}
}

func (c *Core) drop(s *server, name string) {
	s.held -= s.parts[name].tokens
	delete(s.parts, name)
	less(c.holders, name)
}

// Held is what this host knows of a server, for a keeper that took over.
type Held struct {
	Server string
	Parts  []place.Part
}

// Held returns which parts the servers are believed to hold.
func (c *Core) Held() []Held {
	var all []Held
	for _, s := range c.order {
		h := Held{Server: s.ID}
		for name, p := range s.parts {
			h.Parts = append(h.Parts, place.Part{Name: name, Tokens: p.tokens})
		}
		sort.Slice(h.Parts, func(i, j int) bool { return h.Parts[i].Name < h.Parts[j].Name })
		all = append(all, h)
	}
	return all
}

// Learn takes in what a host reports of parts that servers hold.
func (c *Core) Learn(now clock.Millis, all []Held) {
	for _, h := range all {
		s := c.servers[h.Server]
		if s == nil {
			continue
		}
		for _, p := range h.Parts {
			c.hold(s, p, now)
		}
	}
}

// Running takes in a request that an earlier keeper, or a host by itself, gave
// to a server.
func (c *Core) Running(now clock.Millis, a Ask, server string, started bool) {
	s := c.servers[server]
	if s == nil || c.granted[a.ID] != nil {
		return
	}
	g := c.give(now, a, now+a.Left, s)
	if started {
		g.started = true
		c.read(now, s, g)
	}
}

// give books a request on a server.
func (c *Core) give(now clock.Millis, a Ask, until clock.Millis, s *server) *granted {
	fresh := s.fresh(a.Parts, a.Tokens)
	g := &granted{Ask: a, server: s, at: now, until: until, fresh: fresh, read: c.readTime(fresh)}
	g.short = c.short(c.class(a.Class))
	g.alone = len(s.unread) == 0
	for _, other := range s.unread {
		other.alone = false
	}
	c.add(now, s, g)
	c.granted[a.ID] = g
	return g
}

// readTime is how long a prompt takes to be read, in milliseconds: what is not
// cached by the pace, and a little for each prompt.
func (c *Core) readTime(fresh int) float64 {
	return promptTime + float64(fresh)/c.pace
}

// promptTime is what each prompt costs beside its tokens, in milliseconds.
const promptTime = 10
