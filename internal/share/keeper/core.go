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

// When what happens, in milliseconds.
const (
	ReportEvery = 200 * clock.Millis(1)
	// reportSpacing is between two reports of different hosts to one keeper, up
	// to reportMost between those of one host.
	reportSpacing = 14 * clock.Millis(1)
	reportMost    = clock.Second
	retryWait     = 25 * clock.Millis(1)  // after the answer that the peer is no keeper
	serversWait   = 100 * clock.Millis(1) // between looks at the list of servers
	digestLife    = 2 * clock.Second
	// switchWait is how long a request waits in one group before it may go to
	// another one that had free slots within freshLife.
	switchWait = 50 * clock.Millis(1)
	freshLife  = 250 * clock.Millis(1)
	// progressPaces is after how many reports at the latest one tells of a
	// running request again.
	progressPaces = 4
	// reassertWait is between repetitions of an ask that waits at its keeper,
	// since the grant or the ask may have been lost on the way.
	reassertWait = clock.Second
	// callerWait is how long a host may be silent before what it holds is
	// freed, even if the membership has never known it.
	callerWait = 5 * clock.Second
)

// Waits is how long a host waits for another, in milliseconds.
type Waits struct {
	Ask     clock.Millis // for any answer to an ask
	Lost    clock.Millis // for any answer to reports
	Rebuild clock.Millis // for what the hosts of a new keeper's domain run
}

// DefaultWaits suits hosts a millisecond or two apart.
func DefaultWaits() Waits {
	return Waits{Ask: 150, Lost: 500, Rebuild: 400}
}

// seams is what the core asks of the rest of the program.
type seams struct {
	services func() []string
	servers  func(service, domain string) []sched.Server
	settings func(service string) (sched.Settings, uint64)
	// random returns a number below its argument.
	random func(int) int
	// watch, where set, returns an auditor for a keeper's new group.
	watch func(sched.Settings) *audit.Auditor
}

// askState is how far a request of this host has come.
type askState string

const (
	stateAsking  askState = "Asking"  // no answer yet
	stateQueued  askState = "Queued"  // waits at the keeper
	stateAlone   askState = "Alone"   // waits in this host's own group
	stateRunning askState = "Running" // granted
)

// ask is a request of this host.
type ask struct {
	seq      uint64
	request  sched.Request
	group    string
	keeper   string
	state    askState
	since    clock.Millis // in this state
	began    clock.Millis // when it was first placed with this view
	retryAt  clock.Millis
	server   string
	fallback bool
	abroad   string // the other failure domain that has been tried
	asked    clock.Millis
	progress sched.Progress
	reported progressMark
}

type progressMark struct {
	at     clock.Millis
	tokens int
	first  bool
}

func (a *ask) number() groupNumber { return numberOf(a.group) }

// result ends the wait of an ask.
type result struct {
	id      string
	grant   Grant
	refusal *Refusal
}

// peerState is what an asker knows of a keeper.
type peerState struct {
	heard    clock.Millis
	reported clock.Millis // when the last report was sent
	unheard  clock.Millis // since when reports wait for an answer, 0 for none
	lost     bool
	pace     clock.Millis // between reports
	// incarnation is the one that was last heard.
	incarnation int64
	whole       map[groupNumber]bool // groups whose whole list it wants
	round       uint64               // the number of the last report
	// active holds the groups of which the keeper may hold something of this
	// host, with the round in which that was last so. They are reported until
	// the keeper has confirmed a later report: a lost Done frees its slot then.
	active map[groupNumber]uint64
}

// known is the last digest of a group.
type known struct {
	digest sched.Digest
	at     clock.Millis
}

// place is a service in a failure domain.
type place struct{ service, domain string }

// core decides for one host, as asker and as keeper. It reads no clock and
// touches no network.
type core struct {
	self   link.Peer
	domain string
	// groupSize is the most servers of a group; 0 has no keepers at all.
	groupSize int
	waits     Waits
	seams     seams
	view      hosts.View
	// keepers holds the winners of this view by group, and mates is how many
	// hosts of the own domain it has: both are asked for on every tick.
	keepers map[string]string
	mates   int
	// split holds the groups of a service in a failure domain until the next
	// look at the list of servers.
	split   map[place][]group
	asks    map[uint64]*ask
	byID    map[string]*ask
	lastSeq uint64
	peers   map[string]*peerState
	alone   map[string]*decider
	digests map[groupNumber]known
	spillBy map[string]*spill.Policy
	desks   map[groupNumber]*desk
	// callers is when each host was last heard as an asker.
	callers map[string]clock.Millis
	out     map[string]*packet
	order   []string
	ended   []result
	looked  clock.Millis
	tally   func(event string)
}

func newCore(self link.Peer, domain string, groupSize int, s seams) *core {
	return &core{
		self: self, domain: domain, groupSize: groupSize, waits: DefaultWaits(), seams: s,
		asks: map[uint64]*ask{}, byID: map[string]*ask{}, peers: map[string]*peerState{},
		alone: map[string]*decider{}, keepers: map[string]string{}, split: map[place][]group{}, digests: map[groupNumber]known{}, spillBy: map[string]*spill.Policy{},
		desks: map[groupNumber]*desk{}, callers: map[string]clock.Millis{}, out: map[string]*packet{},
		tally: func(string) {},
	}
}

// to returns the packet that grows for a peer.
func (c *core) to(peer string) *packet {
	p, ok := c.out[peer]
	if !ok {
		p = &packet{}
		c.out[peer] = p
		c.order = append(c.order, peer)
	}
	return p
}

// take returns the next packet to send.
func (c *core) take() (string, *packet, bool) {
	if len(c.order) == 0 {
		return "", nil, false
	}
	peer := c.order[0]
	c.order = c.order[1:]
	p := c.out[peer]
	delete(c.out, peer)
	return peer, p, true
}

func (c *core) peer(name string) *peerState {
	p, ok := c.peers[name]
	if !ok {
		p = &peerState{whole: map[groupNumber]bool{}, active: map[groupNumber]uint64{}}
		c.peers[name] = p
	}
	return p
}

// idOf is the name of a request at its keeper.
func idOf(from link.Peer, seq uint64) string {
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
	h, ok := hosts.Winner(name, c.view.Duty(domain))
	if ok {
		c.keepers[name] = h.Name
	}
	return h.Name, ok
}

func (c *core) groups(service, domain string) []group {
	at := place{service: service, domain: domain}
	if known, ok := c.split[at]; ok {
		return known
	}
	size := c.groupSize
	if size < 1 {
		size = GroupSize
	}
	c.split[at] = split(service, domain, size, c.seams.servers(service, domain))
	return c.split[at]
}

func (c *core) groupNamed(name string) (group, bool) {
	service, domain := parseGroup(name)
	for _, g := range c.groups(service, domain) {
		if g.Name == name {
			return g, true
		}
	}
	return group{}, false
}

// receive takes a packet from a peer, or from this host itself. What an earlier
// start of the peer has sent is void.
func (c *core) receive(now clock.Millis, from link.Peer, p *packet) {
	if live, ok := c.view.Find(from.Name); ok && live.Incarnation > from.Incarnation {
		return
	}
	c.heard(now, from)
	c.callers[from.Name] = now
	for _, m := range p.Asks {
		c.onAsk(now, from, m)
	}
	for _, m := range p.Dones {
		c.onDone(now, from, m)
	}
	for _, m := range p.Reports {
		c.onReport(now, from, m)
	}
	for _, m := range p.Rebuilt {
		c.onRebuilt(now, from, m)
	}
	for _, m := range p.Verdicts {
		c.onVerdict(now, from.Name, m)
	}
	for _, m := range p.Backs {
		c.onBack(now, from.Name, m)
	}
	for _, m := range p.Rebuilds {
		c.onRebuild(now, from.Name, m)
	}
	c.collect(now)
}

// heard takes a sign of life of a peer. One that has started anew has forgotten
// what it was asked.
func (c *core) heard(now clock.Millis, from link.Peer) {
	p, ok := c.peers[from.Name]
	if !ok {
		return
	}
	restarted := p.incarnation != 0 && from.Incarnation > p.incarnation
	p.incarnation = from.Incarnation
	p.heard, p.unheard, p.lost = now, 0, false
	if !restarted {
		return
	}
	for _, a := range c.sorted() {
		waits := a.state == stateAsking || a.state == stateQueued
		if waits && a.keeper == from.Name {
			c.move(now, a)
		}
	}
}

// setView follows the membership: keepers change, and the dead hold nothing.
func (c *core) setView(now clock.Millis, v hosts.View) {
	if !v.Joined || v.Number <= c.view.Number {
		return
	}
	before := c.view
	c.view = v
	c.keepers, c.mates = map[string]string{}, len(v.In(c.domain))
	c.dropDead(now, before)
	c.reviewDesks(now)
	for _, a := range c.sorted() {
		keeper, ok := c.keeperOf(a.group)
		if ok && keeper == a.keeper {
			continue
		}
		if a.state != stateRunning {
			c.move(now, a)
			continue
		}
		a.keeper = keeper
		c.reportWhole(keeper, a.number())
	}
	for name := range c.peers {
		if _, ok := v.Find(name); !ok {
			delete(c.peers, name)
		}
	}
	c.collect(now)
}

// move withdraws a waiting request from where it waits and places it anew.
func (c *core) move(now clock.Millis, a *ask) {
	c.withdraw(now, a)
	a.began = now
	c.place(now, a)
}

func (c *core) sorted() []*ask {
	all := make([]*ask, 0, len(c.asks))
	for _, a := range c.asks {
		all = append(all, a)
	}
	slices.SortFunc(all, func(x, y *ask) int { return int(x.seq) - int(y.seq) })
	return all
}

// tick lets time pass.
func (c *core) tick(now clock.Millis) {
	c.tickDesks(now)
	for _, a := range c.sorted() {
		c.tickAsk(now, a)
	}
	c.tickPeers(now)
	for _, g := range c.alone {
		g.tick(now)
	}
	c.collect(now)
}

// collect turns the decisions of all sched.Groups into verdicts and results.
func (c *core) collect(now clock.Millis) {
	for _, number := range sortedKeys(c.desks) {
		c.collectDesk(now, c.desks[number])
	}
	for _, name := range sortedKeys(c.alone) {
		for _, d := range c.alone[name].take() {
			c.onAlone(now, d)
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

// takeFor returns the packet for one peer, if there is one.
func (c *core) takeFor(peer string) (*packet, bool) {
	p, ok := c.out[peer]
	if !ok {
		return nil, false
	}
	delete(c.out, peer)
	c.order = slices.DeleteFunc(c.order, func(name string) bool { return name == peer })
	return p, true
}
