package keeper

import (
	"cmp"
	"slices"
	"strconv"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/policy/audit"
	"siskinsaddle/internal/policy/sched"
	"siskinsaddle/internal/policy/spill"
	"siskinsaddle/internal/share/hosts"
	"siskinsaddle/internal/share/link"
)

// Intervals, delays and age limits in milliseconds, unless stated otherwise.
const (
	// ReportInterval is the shortest time between two reports of a host to a
	// keeper.
	ReportInterval = 200 * clock.Millis(1)
	// reportSpacing is the time between two reports of different hosts to one
	// keeper; each host reports at least every maxReportInterval.
	reportSpacing         = 14 * clock.Millis(1)
	maxReportInterval     = clock.Second
	notKeeperRetryDelay   = 25 * clock.Millis(1)  // after a NotKeeper verdict
	serverRefreshInterval = 100 * clock.Millis(1) // between reads of the server list
	maxDigestAge          = 2 * clock.Second
	// groupSwitchDelay is how long a request waits in one group before it may
	// move to another one that had free slots within maxSwitchDigestAge.
	groupSwitchDelay   = 50 * clock.Millis(1)
	maxSwitchDigestAge = 250 * clock.Millis(1)
	// progressEveryReports is the maximum number of reports between two progress
	// messages about a running request.
	progressEveryReports = 4
	// resendInterval is the time between repetitions of a grant request that is
	// queued at its keeper, since the request or the grant may have been lost.
	resendInterval = clock.Second
	// hostTimeout is how long a host may be unresponsive before its slots are
	// freed, even if it was never in the membership.
	hostTimeout = 5 * clock.Second
)

// Timeouts holds the timeouts between hosts, in milliseconds.
type Timeouts struct {
	GrantRequest clock.Millis // for any answer to a grant request
	Report       clock.Millis // for any answer to reports
	Rebuild      clock.Millis // for the hosts' lists of running requests at a new keeper
}

// DefaultTimeouts returns timeouts for hosts with a latency of 1 to 2 ms.
func DefaultTimeouts() Timeouts {
	return Timeouts{GrantRequest: 150, Report: 500, Rebuild: 400}
}

// dependencies are the functions that core needs from the rest of the program.
type dependencies struct {
	services func() []string
	servers  func(service, domain string) []sched.Server
	settings func(service string) (sched.Settings, uint64)
	// random returns a non-negative number below its argument.
	random func(int) int
	// newAuditor, if set, returns an auditor for a keeper's new group.
	newAuditor func(sched.Settings) *audit.Auditor
}

// requestState is the progress of a request of this host.
type requestState string

const (
	stateAsking   requestState = "Asking"  // sent to the keeper, no answer yet
	stateQueued   requestState = "Queued"  // queued at the keeper
	stateFallback requestState = "Alone"   // queued in this host's fallback group
	stateRunning  requestState = "Running" // granted
)

// localRequest is a request that this host has placed, from its arrival to its end.
type localRequest struct {
	seq          uint64
	request      sched.Request
	group        string
	keeper       string
	state        requestState
	stateSince   clock.Millis // when state was entered
	placedAt     clock.Millis // when it was first placed in this view
	retryAt      clock.Millis
	server       string
	fallback     bool
	spillDomain  string // the other failure domain already tried
	sentAt       clock.Millis
	progress     sched.Progress
	lastReported reportedProgress
}

// reportedProgress is the progress that the keeper was last told of.
type reportedProgress struct {
	at     clock.Millis
	tokens int
	first  bool
}

func (lr *localRequest) groupID() groupID { return groupIDOf(lr.group) }

// result is the decision on a request: a grant, or a refusal if that is set.
type result struct {
	id      string
	grant   Grant
	refusal *Refusal
}

// peerState is the state of a keeper as its requesters see it.
type peerState struct {
	lastHeard       clock.Millis
	lastReport      clock.Millis // when the last report was sent
	unansweredSince clock.Millis // oldest unanswered report, 0 for none
	lost            bool
	reportInterval  clock.Millis
	// incarnation is that of the last message received.
	incarnation   int64
	wantsFullList map[groupID]bool // groups whose full list it asked for
	round         uint64           // the number of the last report
	// unconfirmed maps the groups in which the keeper may hold requests of this
	// host to the last round in which it did. They are reported until the keeper
	// confirms a later report, so that the slot is freed even if a Done was lost.
	unconfirmed map[groupID]uint64
}

// cachedDigest is the last digest received of a group.
type cachedDigest struct {
	digest sched.Digest
	at     clock.Millis
}

// serviceDomain identifies a service in a failure domain.
type serviceDomain struct{ service, domain string }

// core is the state machine of one host, as requester and as keeper. It reads no
// clock and does no I/O.
type core struct {
	self   link.Peer
	domain string
	// groupSize is the maximum number of servers in a group; 0 disables keepers.
	groupSize int
	timeouts  Timeouts
	deps      dependencies
	view      hosts.View
	// keepers caches the keepers in this view by group name, and domainHosts the
	// number of hosts in the own domain: both are read on every tick.
	keepers     map[string]string
	domainHosts int
	// groupCache holds the groups of a service in a failure domain until the
	// server list is read again.
	groupCache    map[serviceDomain][]group
	requests      map[uint64]*localRequest
	byID          map[string]*localRequest
	lastSeq       uint64
	peers         map[string]*peerState
	fallbacks     map[string]*decider
	digests       map[groupID]cachedDigest
	spillPolicies map[string]*spill.Policy
	kept          map[groupID]*keptGroup
	// lastHeardFrom is the time of the last packet from each host.
	lastHeardFrom      map[string]clock.Millis
	outbox             map[string]*packet
	outboxOrder        []string
	results            []result
	serversRefreshedAt clock.Millis
	countEvent         func(event string)
}

func newCore(self link.Peer, domain string, groupSize int, deps dependencies) *core {
	return &core{
		self: self, domain: domain, groupSize: groupSize, timeouts: DefaultTimeouts(), deps: deps,
		requests: map[uint64]*localRequest{}, byID: map[string]*localRequest{},
		peers: map[string]*peerState{}, fallbacks: map[string]*decider{}, keepers: map[string]string{},
		groupCache: map[serviceDomain][]group{}, digests: map[groupID]cachedDigest{},
		spillPolicies: map[string]*spill.Policy{}, kept: map[groupID]*keptGroup{},
		lastHeardFrom: map[string]clock.Millis{}, outbox: map[string]*packet{},
		countEvent: func(string) {},
	}
}

// packetFor returns the pending packet for a peer, to which messages are added.
func (c *core) packetFor(peer string) *packet {
	p, ok := c.outbox[peer]
	if !ok {
		p = &packet{}
		c.outbox[peer] = p
		c.outboxOrder = append(c.outboxOrder, peer)
	}
	return p
}

// takePacket removes and returns the next packet to send.
func (c *core) takePacket() (string, *packet, bool) {
	if len(c.outboxOrder) == 0 {
		return "", nil, false
	}
	peer := c.outboxOrder[0]
	c.outboxOrder = c.outboxOrder[1:]
	p := c.outbox[peer]
	delete(c.outbox, peer)
	return peer, p, true
}

func (c *core) peer(name string) *peerState {
	p, ok := c.peers[name]
	if !ok {
		p = &peerState{wantsFullList: map[groupID]bool{}, unconfirmed: map[groupID]uint64{}}
		c.peers[name] = p
	}
	return p
}

// requestID identifies a request at its keeper, by host, incarnation and sequence
// number.
func requestID(from link.Peer, seq uint64) string {
	return from.Name + "/" + strconv.FormatInt(from.Incarnation, 36) + "/" + strconv.FormatUint(seq, 36)
}

func (c *core) keeperOf(name string) (string, bool) {
	if c.groupSize < 1 {
		return "", false
	}
	if keeper, ok := c.keepers[name]; ok {
		return keeper, true
	}
	_, domain := parseGroup(name)
	h, ok := hosts.RendezvousWinner(name, c.view.Eligible(domain))
	if ok {
		c.keepers[name] = h.Name
	}
	return h.Name, ok
}

func (c *core) groups(service, domain string) []group {
	key := serviceDomain{service: service, domain: domain}
	if cached, ok := c.groupCache[key]; ok {
		return cached
	}
	size := c.groupSize
	if size < 1 {
		size = GroupSize
	}
	c.groupCache[key] = split(service, domain, size, c.deps.servers(service, domain))
	return c.groupCache[key]
}

func (c *core) findGroup(name string) (group, bool) {
	service, domain := parseGroup(name)
	for _, g := range c.groups(service, domain) {
		if g.Name == name {
			return g, true
		}
	}
	return group{}, false
}

// receive handles a packet from a peer, or from this host itself. Packets from an
// earlier incarnation of the peer are dropped.
func (c *core) receive(now clock.Millis, from link.Peer, p *packet) {
	if live, ok := c.view.Find(from.Name); ok && live.Incarnation > from.Incarnation {
		return
	}
	c.onHeard(now, from)
	c.lastHeardFrom[from.Name] = now
	for _, m := range p.GrantRequests {
		c.onGrantRequest(now, from, m)
	}
	for _, m := range p.Dones {
		c.onDone(now, from, m)
	}
	for _, m := range p.Reports {
		c.onReport(now, from, m)
	}
	for _, m := range p.RebuildReplies {
		c.onRebuildReply(now, from, m)
	}
	for _, m := range p.Verdicts {
		c.onVerdict(now, from.Name, m)
	}
	for _, m := range p.ReportReplies {
		c.onReportReply(now, from.Name, m)
	}
	for _, m := range p.Rebuilds {
		c.onRebuild(now, from.Name, m)
	}
	c.collectDecisions(now)
}

// onHeard records that a peer is alive. A restarted peer has lost its queue, so
// requests that wait there are placed again.
func (c *core) onHeard(now clock.Millis, from link.Peer) {
	p, ok := c.peers[from.Name]
	if !ok {
		return
	}
	restarted := p.incarnation != 0 && from.Incarnation > p.incarnation
	p.incarnation = from.Incarnation
	p.lastHeard, p.unansweredSince, p.lost = now, 0, false
	if !restarted {
		return
	}
	for _, lr := range c.sortedRequests() {
		waiting := lr.state == stateAsking || lr.state == stateQueued
		if waiting && lr.keeper == from.Name {
			c.reassign(now, lr)
		}
	}
}

// setView applies a membership change: it recomputes the keepers and frees the
// slots of dead hosts.
func (c *core) setView(now clock.Millis, v hosts.View) {
	if !v.Joined || v.Number <= c.view.Number {
		return
	}
	before := c.view
	c.view = v
	c.keepers, c.domainHosts = map[string]string{}, len(v.In(c.domain))
	c.dropDead(now, before)
	c.updateKeptGroups(now)
	for _, lr := range c.sortedRequests() {
		keeper, ok := c.keeperOf(lr.group)
		if ok && keeper == lr.keeper {
			continue
		}
		if lr.state != stateRunning {
			c.reassign(now, lr)
			continue
		}
		lr.keeper = keeper
		c.scheduleFullReport(keeper, lr.groupID())
	}
	for name := range c.peers {
		if _, ok := v.Find(name); !ok {
			delete(c.peers, name)
		}
	}
	c.collectDecisions(now)
}

// reassign withdraws a waiting request from its queue and places it again.
func (c *core) reassign(now clock.Millis, lr *localRequest) {
	c.withdraw(now, lr)
	lr.placedAt = now
	c.place(now, lr)
}

func (c *core) sortedRequests() []*localRequest {
	all := make([]*localRequest, 0, len(c.requests))
	for _, lr := range c.requests {
		all = append(all, lr)
	}
	slices.SortFunc(all, func(x, y *localRequest) int { return int(x.seq) - int(y.seq) })
	return all
}

// tick handles all timeouts and reports that are due.
func (c *core) tick(now clock.Millis) {
	c.tickKeptGroups(now)
	for _, lr := range c.sortedRequests() {
		c.tickRequest(now, lr)
	}
	c.tickPeers(now)
	for _, d := range c.fallbacks {
		d.tick(now)
	}
	c.collectDecisions(now)
}

// collectDecisions turns the decisions of all deciders into verdicts and
// results.
func (c *core) collectDecisions(now clock.Millis) {
	for _, gid := range sortedKeys(c.kept) {
		c.collectGroup(now, c.kept[gid])
	}
	for _, name := range sortedKeys(c.fallbacks) {
		for _, d := range c.fallbacks[name].takeDecisions() {
			c.onFallbackDecision(now, d)
		}
	}
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// takePacketFor removes and returns the packet for one peer, if there is one.
func (c *core) takePacketFor(peer string) (*packet, bool) {
	p, ok := c.outbox[peer]
	if !ok {
		return nil, false
	}
	delete(c.outbox, peer)
	c.outboxOrder = slices.DeleteFunc(c.outboxOrder, func(name string) bool { return name == peer })
	return p, true
}
