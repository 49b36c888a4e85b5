package keeper

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/policy/audit"
	"siskinsaddle/internal/policy/sched"
	"siskinsaddle/internal/share/hosts"
	"siskinsaddle/internal/share/link"
)

const (
	chaosHosts        = 4
	chaosTickInterval = 25
	chaosRunDuration  = 150
)

// chaos simulates cores in virtual time over links that delay and lose packets, with
// hosts that crash and restart, and membership views that lag behind.
type chaos struct {
	*rapid.T
	now          clock.Millis
	cores        map[string]*core
	viewNumber   uint64
	requestCount int
	inFlight     []inFlightPacket
	blockedLinks map[string]clock.Millis // by "from>to", the end of a total packet loss
	running      map[string]runningRequest
	openRequests map[string]string // host by request ID
	auditors     []*audit.Auditor
	maxRunning   int
}

type inFlightPacket struct {
	at       clock.Millis
	from, to link.Peer
	packet   *packet
}

type runningRequest struct {
	host, server string
	ends         clock.Millis
}

func newChaos(t *rapid.T) *chaos {
	c := &chaos{
		T: t, now: 1000, cores: map[string]*core{}, blockedLinks: map[string]clock.Millis{},
		running: map[string]runningRequest{}, openRequests: map[string]string{},
	}
	for _, name := range hostNames(chaosHosts) {
		c.start(name, 1)
	}
	c.updateAllViews()
	return c
}

func (c *chaos) start(name string, incarnation int64) {
	c.cores[name] = newCore(link.Peer{Name: name, Incarnation: incarnation}, "prairie-a", GroupSize, dependencies{
		services: func() []string { return []string{"canvas-llm"} },
		servers:  testServers, settings: testSettings,
		random: func(int) int { return 0 },
		newAuditor: func(s sched.Settings) *audit.Auditor {
			a := audit.New(s)
			c.auditors = append(c.auditors, a)
			return a
		},
	})
}

// view returns the actual membership at this moment.
func (c *chaos) view() hosts.View {
	c.viewNumber++
	var live []hosts.Host
	for _, name := range sortedKeys(c.cores) {
		live = append(live, hostsNamed(c.cores[name].self.Incarnation, "", name)...)
	}
	return hosts.NewView(c.viewNumber, live...)
}

func (c *chaos) updateAllViews() {
	v := c.view()
	for _, name := range sortedKeys(c.cores) {
		c.cores[name].setView(c.now, v)
		c.send(c.cores[name])
	}
}

// send puts a core's packets on their links and records its results.
func (c *chaos) send(of *core) {
	for to, p, ok := of.takePacket(); ok; to, p, ok = of.takePacket() {
		peer, up := c.cores[to]
		if c.now < c.blockedLinks[of.self.Name+">"+to] {
			continue
		}
		if !up {
			of.onSendFailed(c.now, to)
			continue
		}
		delay := clock.Millis(0)
		if to != of.self.Name {
			delay = 1
		}
		c.inFlight = append(c.inFlight, inFlightPacket{c.now + delay, of.self, peer.self, p})
	}
	for _, r := range of.results {
		delete(c.openRequests, r.id)
		if r.refusal == nil {
			c.running[r.id] = runningRequest{of.self.Name, r.grant.Server, c.now + chaosRunDuration}
		}
	}
	of.results = nil
}

func (c *chaos) deliver() {
	for len(c.inFlight) > 0 {
		i := slices.IndexFunc(c.inFlight, func(f inFlightPacket) bool { return f.at <= c.now })
		if i < 0 {
			return
		}
		f := c.inFlight[i]
		c.inFlight = slices.Delete(c.inFlight, i, i+1)
		if to, ok := c.cores[f.to.Name]; ok && to.self == f.to {
			to.receive(c.now, f.from, f.packet)
			c.send(to)
		}
	}
}

func (c *chaos) advance(duration clock.Millis) {
	for end := c.now + duration; c.now < end; c.now = c.nextEvent() {
		c.deliver()
		for _, id := range sortedKeys(c.running) {
			if r := c.running[id]; r.ends <= c.now {
				delete(c.running, id)
				c.cores[r.host].done(c.now, sched.Done{
					Progress: sched.Progress{ID: id, Tokens: 10, FirstToken: 5}, Outcome: sched.OutcomeDone,
				})
				c.send(c.cores[r.host])
			}
		}
		if c.now%chaosTickInterval == 0 {
			for _, name := range sortedKeys(c.cores) {
				c.cores[name].tick(c.now)
				c.send(c.cores[name])
			}
		}
		c.check()
	}
}

// nextEvent returns the next time at which a packet, a tick or the end of a request is due.
func (c *chaos) nextEvent() clock.Millis {
	if len(c.inFlight) > 0 {
		return c.now + 1
	}
	next := (c.now/chaosTickInterval + 1) * chaosTickInterval
	for _, r := range c.running {
		next = min(next, max(r.ends, c.now+1))
	}
	return next
}

func (c *chaos) check() {
	at := map[string]int{}
	for _, r := range c.running {
		at[r.server]++
		c.maxRunning = max(c.maxRunning, at[r.server])
	}
	for _, a := range c.auditors {
		if found := a.Findings(); len(found) > 0 {
			c.Fatalf("at %d: %v", c.now, found)
		}
	}
}

func (c *chaos) requestGrants(host string, count int) {
	for i := range count {
		c.requestCount++
		id := fmt.Sprintf("%s-%d", host, c.requestCount)
		c.openRequests[id] = host
		c.cores[host].requestGrant(c.now, sched.Request{
			ID: id, Service: "canvas-llm", Class: fmt.Sprintf("class-%d", i%3+1),
			Workspace: "stall", PredictedTokens: 10,
			Arrived: c.now, Deadline: c.now + 20*clock.Second, GiveUp: c.now + 120*clock.Second,
		})
		c.send(c.cores[host])
	}
}

func (c *chaos) crash(name string) {
	delete(c.cores, name)
	for id, r := range c.running {
		if r.host == name {
			delete(c.running, id)
		}
	}
	for id, host := range c.openRequests {
		if host == name {
			delete(c.openRequests, id)
		}
	}
}

func (c *chaos) held() int {
	held := 0
	for _, of := range c.cores {
		for _, kg := range of.kept {
			held += len(kg.held)
		}
	}
	return held
}

// TestChaos injects random faults and then stops: every request must be answered, every
// slot freed, the audits must have no findings, and the next requests must use exactly
// the available slots.
func TestChaos(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newChaos(t)
		incarnation := int64(1)
		for range rapid.IntRange(3, 12).Draw(t, "steps") {
			names := sortedKeys(c.cores)
			one := rapid.SampledFrom(names).Draw(t, "host")
			switch rapid.SampledFrom([]string{"ask", "ask", "mute", "crash", "restart", "view"}).Draw(t, "what") {
			case "ask":
				c.requestGrants(one, rapid.IntRange(1, 20).Draw(t, "requests"))
			case "mute":
				other := rapid.SampledFrom(names).Draw(t, "to")
				if other != one {
					c.blockedLinks[one+">"+other] = c.now + clock.Millis(rapid.IntRange(10, 1500).Draw(t, "mute"))
				}
			case "crash":
				if len(names) > 2 {
					c.crash(one)
				}
			case "restart":
				incarnation++
				c.crash(one)
				c.start(one, incarnation)
				c.cores[one].setView(c.now, c.view())
				c.send(c.cores[one])
			case "view": // only one host gets the new view
				c.cores[one].setView(c.now, c.view())
				c.send(c.cores[one])
			}
			c.advance(clock.Millis(rapid.IntRange(1, 700).Draw(t, "pass")))
		}
		if c.maxRunning > chaosHosts*serverSlots {
			t.Fatalf("%d ran on a server of %d slots", c.maxRunning, serverSlots)
		}
		c.blockedLinks = map[string]clock.Millis{}
		c.updateAllViews()
		c.advance(30 * clock.Second)
		if len(c.openRequests) > 0 || len(c.running) > 0 || c.held() > 0 {
			t.Fatalf("open %v, running %v, %d held", c.openRequests, c.running, c.held())
		}
		c.maxRunning = 0
		for _, name := range sortedKeys(c.cores) {
			c.requestGrants(name, 10)
		}
		c.advance(3 * clock.Second)
		if c.maxRunning != serverSlots || len(c.openRequests) > 0 {
			t.Fatalf("%d ran on a server of %d slots, open %v", c.maxRunning, serverSlots, c.openRequests)
		}
	})
}
