package hosts

import (
	"encoding/binary"
	"hash/fnv"
	"math/bits"
	"sort"

	"siskinsaddle/internal/base/clock"
)

const (
	// syncDelay is how long two views may differ before a full view is requested.
	syncDelay = 2 * clock.Second
	// syncMinInterval is the minimum time between two such requests.
	syncMinInterval = 10 * clock.Second
)

// tick advances time: it schedules due heartbeats, probes silent peers, expires
// suspicions, and probes hosts that only the sources list.
func (c *core) tick(now clock.Millis) {
	c.lastTick = now
	probes := 0
	for _, name := range c.names() {
		m := c.members[name]
		if m.State == StateDead {
			probes += c.tickDead(now, m, probes)
			continue
		}
		c.tickLive(now, m)
	}
	if c.listed > 0 && now-c.listed >= JoinTimeout {
		c.markJoined()
	}
	c.rebuildView()
}

func (c *core) tickDead(now clock.Millis, m *member, probes int) int {
	if !m.listed && now-m.stateSince > c.timing.ForgetAfter {
		delete(c.members, m.Name)
		return 0
	}
	wait := c.timing.RetryInterval
	if m.watchedUntil > now {
		wait = c.timing.WatchInterval
	}
	if !m.listed || m.probing || now-m.lastProbe < wait || probes >= maxProbesPerTick {
		return 0
	}
	c.probe(now, m)
	return 1
}

func (c *core) tickLive(now clock.Millis, m *member) {
	if m.State == StateSuspect && now-m.stateSince >= c.timing.SuspectTimeout {
		c.applyEvent(now, m, eventExpired)
		return
	}
	miss := c.timing.MissTimeout
	if !m.near {
		miss = c.timing.MissTimeout * c.timing.FarInterval / c.timing.NearInterval
	}
	if m.target && !m.probing && now-m.lastContact >= miss && now-m.lastProbe >= miss {
		c.applyEvent(now, m, eventMissed)
	}
	if interval := c.heartbeatInterval(now, m); interval > 0 && now-m.lastHeartbeat >= interval {
		c.scheduleHeartbeat(now, m)
	}
}

// heartbeatInterval returns the time between heartbeats to a peer, 0 for none.
func (c *core) heartbeatInterval(now clock.Millis, m *member) clock.Millis {
	switch {
	case m.target && m.near:
		return c.timing.NearInterval
	case m.target:
		return c.timing.FarInterval
	case m.watchedUntil > now:
		return c.timing.WatchInterval
	}
	return 0
}

// rebuildView builds a new view and chooses new targets after a change.
func (c *core) rebuildView() {
	if !c.changed {
		return
	}
	c.changed = false
	c.viewNumber++
	var hosts []Host
	if c.self.State != StateDead {
		hosts = append(hosts, c.self)
	}
	for _, m := range c.members {
		if m.State != StateDead {
			hosts = append(hosts, m.Host)
		}
	}
	c.view = newView(c.viewNumber, hosts)
	c.view.Joined = c.joined
	c.hash = viewHash(c.view.hosts)
	c.chooseTargets()
}

// viewHash hashes a view, so that two hosts detect that their views differ.
func viewHash(hosts []Host) uint64 {
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

// chooseTargets chooses the peers that this host sends heartbeats to.
func (c *core) chooseTargets() {
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
		for _, name := range rendezvousPeers(c.self.Name, c.view.In(domain), farPeers) {
			chosen[name] = true
		}
	}
	for name, m := range c.members {
		if chosen[name] && !m.target {
			m.lastContact = max(m.lastContact, m.stateSince)
		}
		m.target, m.near = chosen[name], near[name]
	}
}

// ringPeers returns up to FanOut peers: those at the distances 1, 2, 4, ... on the
// ring of names, and then the nearest others. News then crosses a domain of n hosts
// in about log2(n) heartbeats. In a domain of nine hosts or fewer it returns all.
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

// rendezvousPeers returns the count hosts of another domain that rank highest in
// the rendezvous hash of this host's name, so that the heartbeats into a domain are
// spread over its hosts.
func rendezvousPeers(self string, domain []Host, count int) []string {
	var names []string
	for len(names) < count {
		h, ok := RendezvousWinner(self, domain)
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

// rumor is a news item and how much longer it is sent.
type rumor struct {
	host      Host
	sendsLeft int // remaining sends within this host's domain
	// crossDomainUntil is until when the item is sent to other domains. They have
	// a separate limit because heartbeats to them are rare, and those within the
	// domain would use up a shared count first.
	crossDomainUntil clock.Millis
}

// spread queues a rumor about a host and drops the earlier one about it.
func (c *core) spread(h Host) {
	kept := c.rumors[:0]
	for _, r := range c.rumors {
		if r.host.Name != h.Name {
			kept = append(kept, r)
		}
	}
	times := rumorFactor * (1 + bits.Len(uint(len(c.members))))
	c.rumors = append(kept, rumor{
		host: h, sendsLeft: times,
		crossDomainUntil: c.lastTick + farRumorIntervals*c.timing.FarInterval,
	})
}

// news returns the news items for a heartbeat or reply to a peer: the rumors with
// the most sends left, preceded by any suspicion or death of the peer itself, so
// that it can refute it.
func (c *core) news(to string) []Host {
	var news []Host
	if m, ok := c.members[to]; ok && m.contacted && (m.State == StateSuspect || m.State == StateDead) {
		news = append(news, m.Host)
	}
	sort.SliceStable(c.rumors, func(i, j int) bool {
		return c.rumors[i].sendsLeft > c.rumors[j].sendsLeft
	})
	far := c.inOtherDomain(to)
	kept := c.rumors[:0]
	for _, r := range c.rumors {
		if len(news) < maxRumors && r.host.Name != to && (far || r.sendsLeft > 0) {
			news = append(news, r.host)
			if !far {
				r.sendsLeft--
			}
		}
		if r.sendsLeft > 0 || c.lastTick < r.crossDomainUntil {
			kept = append(kept, r)
		}
	}
	c.rumors = kept
	return news
}

func (c *core) inOtherDomain(name string) bool {
	m, ok := c.members[name]
	return ok && m.FailureDomain != c.self.FailureDomain
}

// knownHosts returns this host and all peers that it has news of, including dead
// ones, since the other host may have missed their deaths.
func (c *core) knownHosts() []Host {
	all := []Host{c.self}
	for _, name := range c.names() {
		if m := c.members[name]; m.contacted {
			all = append(all, m.Host)
		}
	}
	return all
}

// compareHash compares the hash of a peer's view with this host's. It requests the
// peer's full view on the first difference after the start, and later when the two
// views have differed for syncDelay, since news can be lost.
func (c *core) compareHash(now clock.Millis, name string, hash uint64) {
	m, ok := c.members[name]
	if !ok {
		return
	}
	if hash == c.hash {
		m.hashDiffersSince = 0
		return
	}
	if m.hashDiffersSince == 0 {
		m.hashDiffersSince = now
	}
	overdue := now-m.hashDiffersSince >= syncDelay && now-c.lastSync >= syncMinInterval
	if overdue || !c.syncRequested {
		c.syncRequested = true
		c.lastSync = now
		m.hashDiffersSince = 0
		c.do(actionSync, name)
	}
}
