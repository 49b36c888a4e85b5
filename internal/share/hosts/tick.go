package hosts

import (
	"encoding/binary"
	"hash/fnv"
	"math/bits"
	"sort"

	"siskinsaddle/internal/base/clock"
)

// syncAfter is how long two views may differ before one is sent whole.
const (
	syncAfter = 2 * clock.Second
	syncEvery = 10 * clock.Second
)

// tick lets time pass: beats that are due, peers that went unheard, suspicions
// that ran out, and attempts to reach hosts that only the sources name.
func (c *core) tick(now clock.Millis) {
	c.ticked = now
	attempts := 0
	for _, name := range c.names() {
		m := c.members[name]
		if m.State == StateDead {
			attempts += c.tickDead(now, m, attempts)
			continue
		}
		c.tickKnown(now, m)
	}
	if c.listed > 0 && now-c.listed >= JoinWait {
		c.join()
	}
	c.refresh()
}

func (c *core) tickDead(now clock.Millis, m *member, attempts int) int {
	if !m.listed && now-m.since > c.timing.Forget {
		delete(c.members, m.Name)
		return 0
	}
	wait := c.timing.Retry
	if m.wantedTil > now {
		wait = c.timing.Want
	}
	if !m.listed || m.probing || now-m.lastTried < wait || attempts >= maxAttempts {
		return 0
	}
	c.probe(now, m)
	return 1
}

func (c *core) tickKnown(now clock.Millis, m *member) {
	if m.State == StateSuspect && now-m.since >= c.timing.Suspect {
		c.step(now, m, eventExpired)
		return
	}
	miss := c.timing.Miss
	if !m.near {
		miss = c.timing.Miss * c.timing.Far / c.timing.Beat
	}
	if m.target && !m.probing && now-m.lastHeard >= miss && now-m.lastTried >= miss {
		c.step(now, m, eventMissed)
	}
	if every := c.beatEvery(now, m); every > 0 && now-m.lastBeat >= every {
		c.beat(now, m)
	}
}

// beatEvery returns how often a peer is beaten to, 0 for never.
func (c *core) beatEvery(now clock.Millis, m *member) clock.Millis {
	switch {
	case m.target && m.near:
		return c.timing.Beat
	case m.target:
		return c.timing.Far
	case m.wantedTil > now:
		return c.timing.Want
	}
	return 0
}

// refresh makes a new view and new targets after a change.
func (c *core) refresh() {
	if !c.changed {
		return
	}
	c.changed = false
	c.number++
	var hosts []Host
	if c.self.State != StateDead {
		hosts = append(hosts, c.self)
	}
	for _, m := range c.members {
		if m.State != StateDead {
			hosts = append(hosts, m.Host)
		}
	}
	c.view = newView(c.number, hosts)
	c.view.Joined = c.joined
	c.hash = hashOf(c.view.hosts)
	c.retarget()
}

// hashOf sums up a view, so that two hosts notice that theirs differ.
func hashOf(hosts []Host) uint64 {
	sum := fnv.New64a()
	for _, h := range hosts {
		_, _ = sum.Write([]byte(h.Name))
		_, _ = sum.Write([]byte(h.State))
		var numbers [16]byte
		binary.BigEndian.PutUint64(numbers[:8], uint64(h.Incarnation))
		binary.BigEndian.PutUint64(numbers[8:], uint64(h.Refutation))
		_, _ = sum.Write(numbers[:])
	}
	return sum.Sum64()
}

// retarget chooses whom this host beats to.
func (c *core) retarget() {
	chosen := map[string]bool{}
	near := map[string]bool{}
	for i, name := range ringPeers(c.self.Name, c.view.In(c.self.FailureDomain)) {
		chosen[name] = true
		near[name] = i < nearPeers
	}
	for _, domain := range c.view.Domains() {
		if domain == c.self.FailureDomain {
			continue
		}
		for _, name := range nearest(c.self.Name, c.view.In(domain), farPeers) {
			chosen[name] = true
		}
	}
	for name, m := range c.members {
		if chosen[name] && !m.target {
			m.lastHeard = max(m.lastHeard, m.since)
		}
		m.target, m.near = chosen[name], near[name]
	}
}

// ringPeers returns the peers at the distances 1, 2, 4, ... on the ring of
// names, and fills up with the nearest others: news then crosses a domain of n
// hosts in about log2(n) beats. With nine hosts or fewer it returns all.
func ringPeers(self string, domain []Host) []string {
	at := sort.Search(len(domain), func(i int) bool { return domain[i].Name >= self })
	var peers []string
	seen := map[int]bool{0: true}
	add := func(distance int) {
		if distance >= len(domain) || seen[distance] || len(peers) == FanOut {
			return
		}
		seen[distance] = true
		peers = append(peers, domain[(at+distance)%len(domain)].Name)
	}
	for distance := 1; distance < len(domain); distance *= 2 {
		add(distance)
	}
	for distance := 1; distance < len(domain); distance++ {
		add(distance)
	}
	return peers
}

// nearest returns the few hosts of another domain that win the rendezvous hash
// on this host's name, so that the beats into a domain spread over its hosts.
func nearest(self string, domain []Host, count int) []string {
	var names []string
	for len(names) < count {
		h, ok := Winner(self, domain)
		if !ok {
			return names
		}
		names = append(names, h.Name)
		var rest []Host
		for _, other := range domain {
			if other.Name != h.Name {
				rest = append(rest, other)
			}
		}
		domain = rest
	}
	return names
}

// rumor is news with the number of times it is still passed on.
type rumor struct {
	host Host
	left int // in this host's domain
	// until is how long it is passed on to other domains: their beats are
	// rare, and those of the own domain would use it up before.
	until clock.Millis
}

// spread begins to pass news on and drops older news of the same host.
func (c *core) spread(h Host) {
	kept := c.rumors[:0]
	for _, r := range c.rumors {
		if r.host.Name != h.Name {
			kept = append(kept, r)
		}
	}
	times := rumorFactor * (1 + bits.Len(uint(len(c.members))))
	c.rumors = append(kept, rumor{host: h, left: times, until: c.ticked + farRumors*c.timing.Far})
}

// news returns what a beat or reply to a peer carries: the rumors passed on
// least often so far, and always what is held against the peer itself.
func (c *core) news(to string) []Host {
	var news []Host
	if m, ok := c.members[to]; ok && m.contacted && (m.State == StateSuspect || m.State == StateDead) {
		news = append(news, m.Host)
	}
	sort.SliceStable(c.rumors, func(i, j int) bool { return c.rumors[i].left > c.rumors[j].left })
	far := c.isFar(to)
	kept := c.rumors[:0]
	for _, r := range c.rumors {
		if len(news) < maxRumors && r.host.Name != to && (far || r.left > 0) {
			news = append(news, r.host)
			if !far {
				r.left--
			}
		}
		if r.left > 0 || c.ticked < r.until {
			kept = append(kept, r)
		}
	}
	c.rumors = kept
	return news
}

func (c *core) isFar(name string) bool {
	m, ok := c.members[name]
	return ok && m.FailureDomain != c.self.FailureDomain
}

// everything returns all that this host holds, the dead as well: their deaths
// may be what the other has not heard of.
func (c *core) everything() []Host {
	all := []Host{c.self}
	for _, name := range c.names() {
		if m := c.members[name]; m.contacted {
			all = append(all, m.Host)
		}
	}
	return all
}

// compare takes the hash of a peer's view and asks for the whole view: at once
// from the first peer after the start, later when the two have differed for a
// while, since news can be lost.
func (c *core) compare(now clock.Millis, name string, hash uint64) {
	m, ok := c.members[name]
	if !ok {
		return
	}
	if hash == c.hash {
		m.differs = 0
		return
	}
	if m.differs == 0 {
		m.differs = now
	}
	overdue := now-m.differs >= syncAfter && now-c.synced >= syncEvery
	if overdue || !c.asked {
		c.asked = true
		c.synced = now
		m.differs = 0
		c.do(actionSync, name)
	}
}
