package hosts

import (
	_ "embed" // peer.chart.hujson
	"sort"

	"siskinsaddle/internal/base/chart"
	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/share/link"
)

//go:embed peer.chart.hujson
var peerFile []byte

var peerChart = chart.MustParse("peer.chart.hujson", peerFile)

// Events and actions of peer.chart.hujson.
const (
	eventMissed    chart.Event  = "Missed"
	eventUnreached chart.Event  = "Unreached"
	eventExpired   chart.Event  = "Expired"
	doProbe        chart.Action = "Probe"
	doSpread       chart.Action = "Spread"
	doDisconnect   chart.Action = "Disconnect"
)

// newsEvents maps the state in a news item to the event that it triggers.
var newsEvents = map[chart.State]chart.Event{
	StateAlive:   "ToldAlive",
	StateLeaving: "ToldLeaving",
	StateSuspect: "ToldSuspect",
	StateDead:    "ToldDead",
}

// Timing holds the intervals and timeouts of membership, in milliseconds.
type Timing struct {
	NearInterval clock.Millis // between heartbeats to the nearest peers on the ring
	FarInterval  clock.Millis // between heartbeats to all other targets
	// MissTimeout is how long one of the nearest peers may be silent before it is
	// probed; other targets are allowed the same number of heartbeat intervals.
	MissTimeout clock.Millis
	// SuspectTimeout is how long a suspected peer has to refute the suspicion.
	SuspectTimeout clock.Millis
	RetryInterval  clock.Millis // between probes of a listed host that is not known alive
	ForgetAfter    clock.Millis // until a dead host that no source lists is removed
	WatchInterval  clock.Millis // between heartbeats to a peer whose path is watched
}

// DefaultTiming detects a dead host within about two seconds.
func DefaultTiming() Timing {
	return Timing{
		NearInterval: 200, FarInterval: clock.Second, MissTimeout: 600, SuspectTimeout: 600,
		RetryInterval: 2 * clock.Second, ForgetAfter: clock.Minute, WatchInterval: 500,
	}
}

const (
	// FanOut is the maximum number of heartbeat targets in a host's own domain.
	FanOut = 8
	// nearPeers of them get heartbeats every NearInterval, which detects a crash.
	nearPeers = 4
	// farPeers is the number of heartbeat targets in each other domain.
	farPeers = 2
	// maxProbesPerTick limits the probes of hosts not known alive in one tick.
	maxProbesPerTick = 4
	// JoinTimeout is how long a starting host waits for an answer from the listed
	// hosts before it assumes that it is the only one.
	JoinTimeout = clock.Second
	// maxRumors is the maximum number of news items in one heartbeat or reply.
	maxRumors = 10
	// farRumorIntervals is for how many far intervals news is sent to other domains.
	farRumorIntervals = 3
	// rumorFactor times the binary logarithm of the number of hosts is how often a
	// rumor is sent within the domain.
	rumorFactor = 3
)

// member is what the core knows about a peer.
type member struct {
	Host
	// contacted reports whether news of the peer, or from it, was accepted.
	contacted     bool
	listed        bool
	target        bool
	near          bool         // a target with a heartbeat every NearInterval
	lastContact   clock.Millis // contact, or accepted news of the peer
	pathWorkedAt  clock.Millis // contact, or a connection refused by its machine
	lastHeartbeat clock.Millis
	lastProbe     clock.Millis
	watchedUntil  clock.Millis
	stateSince    clock.Millis // when the current state was entered
	probing       bool
	// entrySent reports whether the peer has this host's full entry.
	entrySent        bool
	hashDiffersSince clock.Millis // since when its view hash differs, 0 if equal
}

// action is an I/O operation that Node carries out for the core.
type action struct {
	Kind actionKind
	Peer string
}

type actionKind string

const (
	actionHeartbeat  actionKind = "Beat"
	actionProbe      actionKind = "Probe"
	actionDisconnect actionKind = "Disconnect"
	actionSync       actionKind = "Sync"
)

// core makes the membership decisions. It reads no clock and does no I/O.
type core struct {
	self          Host
	timing        Timing
	members       map[string]*member
	rumors        []rumor
	viewNumber    uint64
	changed       bool
	view          View
	hash          uint64
	lastSync      clock.Millis // when a full view was last requested
	syncRequested bool         // a full view was requested since the start
	joined        bool         // see View.Joined
	lastTick      clock.Millis // time of the last tick
	listed        clock.Millis // when the sources were first read, 0 if not yet
	actions       []action
}

func newCore(self Host, timing Timing) *core {
	self.State = StateAlive
	c := &core{self: self, timing: timing, members: map[string]*member{}, changed: true}
	c.rebuildView()
	return c
}

// takeActions returns and clears the pending actions.
func (c *core) takeActions() []action {
	taken := c.actions
	c.actions = nil
	return taken
}

func (c *core) do(kind actionKind, peer string) {
	c.actions = append(c.actions, action{Kind: kind, Peer: peer})
}

// member returns the entry of a host, which it adds as dead if it is missing.
func (c *core) member(now clock.Millis, h Host) *member {
	m, ok := c.members[h.Name]
	if !ok {
		m = &member{Host: h, stateSince: now, lastProbe: now - c.timing.RetryInterval}
		m.State = StateDead
		c.members[h.Name] = m
	}
	return m
}

// updateListed replaces the set of hosts listed by the sources. Those not known
// alive are probed in later ticks.
func (c *core) updateListed(now clock.Millis, listed []Host) {
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

// applyNews applies news about a host if it supersedes what is known.
func (c *core) applyNews(now clock.Millis, h Host) {
	if h.Name == c.self.Name {
		c.refute(h)
		return
	}
	m := c.member(now, h)
	if h.Incarnation < m.Incarnation || m.contacted && !h.supersedes(m.Host) {
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
		m.entrySent = false
	}
	m.contacted = true
	m.lastContact = now // a refutation restarts the peer's MissTimeout
	c.applyEvent(now, m, newsEvents[h.State])
}

// applySelfReport applies what a peer reports about itself in a heartbeat or reply.
func (c *core) applySelfReport(now clock.Millis, from link.Peer, b *heartbeat) {
	if b.Self != nil && b.Self.Name == from.Name {
		c.applyNews(now, *b.Self)
		return
	}
	m, ok := c.members[from.Name]
	if !ok {
		return
	}
	h := m.Host
	h.Incarnation, h.Refutation, h.State = from.Incarnation, b.Refutation, chart.State(b.State)
	c.applyNews(now, h)
}

// mergeHosts applies all entries of a peer's full view.
func (c *core) mergeHosts(now clock.Millis, hosts []Host) {
	for _, h := range hosts {
		c.applyNews(now, h)
	}
	c.markJoined()
}

func (c *core) markJoined() {
	c.changed = c.changed || !c.joined
	c.joined = true
}

// refute contradicts news that this host is suspected or dead, by raising its
// refutation number.
func (c *core) refute(h Host) {
	ours := h.Incarnation == c.self.Incarnation && h.Refutation >= c.self.Refutation
	if !ours || stateRank[h.State] <= stateRank[c.self.State] {
		return
	}
	c.self.Refutation = h.Refutation + 1
	c.spread(c.self)
	c.changed = true
}

// leave sets this host's state to leaving (no new duties) or dead (stopped), and
// schedules heartbeats that announce it.
func (c *core) leave(state chart.State) {
	c.self.State = state
	c.self.Refutation++
	c.spread(c.self)
	c.changed = true
	for _, name := range c.names() {
		if m := c.members[name]; m.target {
			c.do(actionHeartbeat, name)
		}
	}
	c.rebuildView()
}

// recordContact records that a message or a handshake from a peer was received.
func (c *core) recordContact(now clock.Millis, name string) {
	m, ok := c.members[name]
	if !ok {
		return
	}
	m.lastContact, m.pathWorkedAt = now, now
	m.probing = false
}

// recordProbe handles the result of a probe.
func (c *core) recordProbe(now clock.Millis, name string, reached, refused bool) {
	m, ok := c.members[name]
	if !ok {
		return
	}
	m.probing = false
	if reached {
		c.recordContact(now, name)
		c.scheduleHeartbeat(now, m)
		return
	}
	if refused {
		m.pathWorkedAt = now
	}
	if m.contacted {
		c.applyEvent(now, m, eventUnreached)
	}
}

// watchPath returns when the path to a peer was last shown to work, and keeps
// checking the path for the next four WatchIntervals.
func (c *core) watchPath(now clock.Millis, name string) (clock.Millis, bool) {
	m, ok := c.members[name]
	if !ok {
		return 0, false
	}
	m.watchedUntil = now + 4*c.timing.WatchInterval
	return m.pathWorkedAt, m.pathWorkedAt > 0
}

// applyEvent applies an event to a peer's state machine and performs its actions.
func (c *core) applyEvent(now clock.Millis, m *member, event chart.Event) {
	transition, err := peerChart.Step(m.State, event)
	if err != nil {
		return
	}
	if transition.To != m.State {
		m.State = transition.To
		m.stateSince = now
	}
	for _, do := range transition.Do {
		c.performAction(now, m, do)
	}
	c.changed = true
}

func (c *core) performAction(now clock.Millis, m *member, do chart.Action) {
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
	if m.probing || now-m.lastProbe < c.timing.NearInterval {
		return
	}
	m.probing = true
	m.lastProbe = now
	c.do(actionProbe, m.Name)
}

func (c *core) scheduleHeartbeat(now clock.Millis, m *member) {
	m.lastHeartbeat = now
	c.do(actionHeartbeat, m.Name)
}

func (c *core) names() []string {
	names := make([]string, 0, len(c.members))
	for name := range c.members {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
