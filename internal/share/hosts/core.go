package hosts

import (
	_ "embed" // the chart
	"sort"

	"siskinsaddle/internal/base/chart"
	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/share/link"
)

//go:embed peer.chart.hujson
var peerFile []byte

var peerChart = chart.MustParse("peer.chart.hujson", peerFile)

// The events and actions of the chart.
const (
	eventMissed    chart.Event  = "Missed"
	eventUnreached chart.Event  = "Unreached"
	eventExpired   chart.Event  = "Expired"
	doProbe        chart.Action = "Probe"
	doSpread       chart.Action = "Spread"
	doDisconnect   chart.Action = "Disconnect"
)

// told names the event of news about a state.
var told = map[chart.State]chart.Event{
	StateAlive:   "ToldAlive",
	StateLeaving: "ToldLeaving",
	StateSuspect: "ToldSuspect",
	StateDead:    "ToldDead",
}

// Timing is when membership does what, in milliseconds.
type Timing struct {
	Beat clock.Millis // between beats to the nearest peers on the ring
	Far  clock.Millis // between beats to all other targets
	// Miss is how long one of the nearest may be unheard before a fresh
	// connection is tried; the others as many beats.
	Miss clock.Millis
	// Suspect is how long a suspected peer has to refute.
	Suspect clock.Millis
	Retry   clock.Millis // between attempts to reach a host that is listed but not known alive
	Forget  clock.Millis // a dead host that no source lists is forgotten
	Want    clock.Millis // between beats to a peer whose path somebody asks about
}

// DefaultTiming finds a dead host within about two seconds.
func DefaultTiming() Timing {
	return Timing{
		Beat: 200, Far: clock.Second, Miss: 600, Suspect: 600,
		Retry: 2 * clock.Second, Forget: clock.Minute, Want: 500,
	}
}

const (
	// FanOut is the most peers of its own domain that a host beats to.
	FanOut = 8
	// nearPeers of them are beaten to at the fast pace and so find a crash.
	nearPeers = 4
	// farPeers is the number of peers in each other domain.
	farPeers = 2
	// maxAttempts bounds the dials of one tick to hosts not known alive.
	maxAttempts = 4
	// JoinWait is how long a host that starts waits for an answer of the listed
	// hosts before it takes itself for the only one.
	JoinWait = clock.Second
	// maxRumors is the most news on one beat or reply.
	maxRumors = 10
	// farRumors is for how many far beats news is passed on to other domains.
	farRumors = 3
	// rumorFactor times the binary logarithm of the hosts is how often news is
	// passed on.
	rumorFactor = 3
)

// member is what the core holds of a peer.
type member struct {
	Host
	// contacted tells that the peer has been heard since it was listed.
	contacted bool
	listed    bool
	target    bool
	near      bool         // a target that is beaten to at the fast pace
	lastHeard clock.Millis // any contact
	lastPath  clock.Millis // contact, or a refusal by its machine
	lastBeat  clock.Millis
	lastTried clock.Millis
	wantedTil clock.Millis
	since     clock.Millis // in this state
	probing   bool
	// introduced tells that the peer has been sent this host's whole entry.
	introduced bool
	differs    clock.Millis // since when its view's hash differs, 0 for equal
}

// action is what the edge has to do.
type action struct {
	Kind actionKind
	Peer string
}

type actionKind string

const (
	actionBeat       actionKind = "Beat"
	actionProbe      actionKind = "Probe"
	actionDisconnect actionKind = "Disconnect"
	actionSync       actionKind = "Sync"
)

// core decides. It reads no clock and touches no network.
type core struct {
	self    Host
	timing  Timing
	members map[string]*member
	rumors  []rumor
	number  uint64
	changed bool
	view    View
	hash    uint64
	synced  clock.Millis // when a whole view was last asked for
	asked   bool         // it was asked for since the start
	joined  bool         // as in View
	ticked  clock.Millis // when time last passed
	listed  clock.Millis // when the sources were first read, 0 for not yet
	actions []action
}

func newCore(self Host, timing Timing) *core {
	self.State = StateAlive
	c := &core{self: self, timing: timing, members: map[string]*member{}, changed: true}
	c.refresh()
	return c
}

// take returns the actions since the last call.
func (c *core) take() []action {
	taken := c.actions
	c.actions = nil
	return taken
}

func (c *core) do(kind actionKind, peer string) {
	c.actions = append(c.actions, action{Kind: kind, Peer: peer})
}

// member returns what is held of a host and begins to hold it.
func (c *core) member(now clock.Millis, h Host) *member {
	m, ok := c.members[h.Name]
	if !ok {
		m = &member{Host: h, since: now, lastTried: now - c.timing.Retry}
		m.State = StateDead
		c.members[h.Name] = m
	}
	return m
}

// list takes the hosts that the sources name. Hosts that are not known alive
// are tried in the ticks that follow.
func (c *core) list(now clock.Millis, listed []Host) {
	if c.listed == 0 {
		c.listed = now
	}
	for _, m := range c.members {
		m.listed = false
	}
	for _, h := range listed {
		if h.Name == c.self.Name {
			continue
		}
		m := c.member(now, h)
		m.listed = true
		if m.State == StateDead && h.Incarnation >= m.Incarnation {
			m.Address = h.Address
		}
	}
}

// tell takes news about a host.
func (c *core) tell(now clock.Millis, h Host) {
	if h.Name == c.self.Name {
		c.refute(h)
		return
	}
	m := c.member(now, h)
	if h.Incarnation < m.Incarnation || m.contacted && !h.newer(m.Host) {
		return
	}
	if !m.contacted && h.State == StateDead {
		return
	}
	if h.Address == "" {
		h.Address, h.FailureDomain, h.Region = m.Address, m.FailureDomain, m.Region
	}
	restarted := h.Incarnation != m.Incarnation
	state := m.State
	m.Host = h
	m.State = state
	if restarted || !m.contacted {
		m.introduced = false
	}
	m.contacted = true
	m.lastHeard = now // a refutation gives the peer MissWait again
	c.step(now, m, told[h.State])
}

// tellSelf takes what a peer says of itself on a beat or reply.
func (c *core) tellSelf(now clock.Millis, from link.Peer, b *beat) {
	if b.Self != nil && b.Self.Name == from.Name {
		c.tell(now, *b.Self)
		return
	}
	m, ok := c.members[from.Name]
	if !ok {
		return
	}
	h := m.Host
	h.Incarnation, h.Refutation, h.State = from.Incarnation, b.Refutation, chart.State(b.State)
	c.tell(now, h)
}

// whole takes all that a peer holds.
func (c *core) whole(now clock.Millis, hosts []Host) {
	for _, h := range hosts {
		c.tell(now, h)
	}
	c.join()
}

func (c *core) join() {
	c.changed = c.changed || !c.joined
	c.joined = true
}

// refute contradicts news that this host is suspected or dead.
func (c *core) refute(h Host) {
	ours := h.Incarnation == c.self.Incarnation && h.Refutation >= c.self.Refutation
	if !ours || stateRank[h.State] <= stateRank[c.self.State] {
		return
	}
	c.self.Refutation = h.Refutation + 1
	c.spread(c.self)
	c.changed = true
}

// leave announces that this host takes no new duty, or that it is gone.
func (c *core) leave(state chart.State) {
	c.self.State = state
	c.self.Refutation++
	c.spread(c.self)
	c.changed = true
	for _, name := range c.names() {
		if m := c.members[name]; m.target {
			c.do(actionBeat, name)
		}
	}
	c.refresh()
}

// heard takes a sign of life from a peer itself.
func (c *core) heard(now clock.Millis, name string) {
	m, ok := c.members[name]
	if !ok {
		return
	}
	m.lastHeard, m.lastPath = now, now
	m.probing = false
}

// probed takes the outcome of a fresh connection.
func (c *core) probed(now clock.Millis, name string, reached, refused bool) {
	m, ok := c.members[name]
	if !ok {
		return
	}
	m.probing = false
	if reached {
		c.heard(now, name)
		c.beat(now, m)
		return
	}
	if refused {
		m.lastPath = now
	}
	if m.contacted {
		c.step(now, m, eventUnreached)
	}
}

// want asks for evidence of the path to a peer for a while.
func (c *core) want(now clock.Millis, name string) (clock.Millis, bool) {
	m, ok := c.members[name]
	if !ok {
		return 0, false
	}
	m.wantedTil = now + 4*c.timing.Want
	return m.lastPath, m.lastPath > 0
}

// step moves a peer along the chart.
func (c *core) step(now clock.Millis, m *member, event chart.Event) {
	move, err := peerChart.Step(m.State, event)
	if err != nil {
		return
	}
	if move.To != m.State {
		m.State = move.To
		m.since = now
	}
	for _, do := range move.Do {
		c.carry(now, m, do)
	}
	c.changed = true
}

func (c *core) carry(now clock.Millis, m *member, do chart.Action) {
	switch do {
	case doSpread:
		c.spread(m.Host)
	case doProbe:
		c.probe(now, m)
	case doDisconnect:
		c.do(actionDisconnect, m.Name)
	}
}

func (c *core) probe(now clock.Millis, m *member) {
	if m.probing || now-m.lastTried < c.timing.Beat {
		return
	}
	m.probing = true
	m.lastTried = now
	c.do(actionProbe, m.Name)
}

func (c *core) beat(now clock.Millis, m *member) {
	m.lastBeat = now
	c.do(actionBeat, m.Name)
}

func (c *core) names() []string {
	names := make([]string, 0, len(c.members))
	for name := range c.members {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
