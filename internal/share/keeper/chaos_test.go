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
	chaosHosts = 4
	chaosStep  = 25
	chaosHold  = 150
)

// chaos runs cores in virtual time over links that delay and lose packets,
// with hosts that crash and start anew and views that lag.
type chaos struct {
	*rapid.T
	now      clock.Millis
	cores    map[string]*core
	number   uint64
	count    int
	flying   []flight
	muted    map[string]clock.Millis // links that lose everything, until when
	running  map[string]running
	asked    map[string]string // open requests, by id their host
	auditors []*audit.Auditor
	most     int
}

type flight struct {
	at       clock.Millis
	from, to link.Peer
	packet   *packet
}

type running struct {
	host, server string
	ends         clock.Millis
}

func newChaos(t *rapid.T) *chaos {
	c := &chaos{
		T: t, now: 1000, cores: map[string]*core{}, muted: map[string]clock.Millis{},
		running: map[string]running{}, asked: map[string]string{},
	}
	for _, name := range numbered(chaosHosts) {
		c.start(name, 1)
	}
	c.tellAll()
	return c
}

func (c *chaos) start(name string, incarnation int64) {
	c.cores[name] = newCore(link.Peer{Name: name, Incarnation: incarnation}, "prairie-a", GroupSize, seams{
		services: func() []string { return []string{"canvas-llm"} }, servers: testServers, settings: testSettings,
		random: func(int) int { return 0 },
		watch: func(s sched.Settings) *audit.Auditor {
			a := audit.New(s)
			c.auditors = append(c.auditors, a)
			return a
		},
	})
}

// view is the true membership at this moment.
func (c *chaos) view() hosts.View {
	c.number++
	var live []hosts.Host
	for _, name := range sortedKeys(c.cores) {
		live = append(live, named(c.cores[name].self.Incarnation, "", name)...)
	}
	return hosts.NewView(c.number, live...)
}

func (c *chaos) tellAll() {
	v := c.view()
	for _, name := range sortedKeys(c.cores) {
		c.cores[name].setView(c.now, v)
		c.send(c.cores[name])
	}
}

// send puts a core's packets on their links and takes its results.
func (c *chaos) send(of *core) {
	for to, p, ok := of.take(); ok; to, p, ok = of.take() {
		peer, up := c.cores[to]
		if c.now < c.muted[of.self.Name+">"+to] {
			continue
		}
		if !up {
			of.unreachable(c.now, to)
			continue
		}
		delay := clock.Millis(0)
		if to != of.self.Name {
			delay = 1
		}
		c.flying = append(c.flying, flight{c.now + delay, of.self, peer.self, p})
	}
	for _, r := range of.ended {
		delete(c.asked, r.id)
		if r.refusal == nil {
			c.running[r.id] = running{of.self.Name, r.grant.Server, c.now + chaosHold}
		}
	}
	of.ended = nil
}

func (c *chaos) arrive() {
	for len(c.flying) > 0 {
		i := slices.IndexFunc(c.flying, func(f flight) bool { return f.at <= c.now })
		if i < 0 {
			return
		}
		f := c.flying[i]
		c.flying = slices.Delete(c.flying, i, i+1)
		if to, ok := c.cores[f.to.Name]; ok && to.self == f.to {
			to.receive(c.now, f.from, f.packet)
			c.send(to)
		}
	}
}

func (c *chaos) pass(duration clock.Millis) {
	for end := c.now + duration; c.now < end; c.now = c.next() {
		c.arrive()
		for _, id := range sortedKeys(c.running) {
			if r := c.running[id]; r.ends <= c.now {
				delete(c.running, id)
				c.cores[r.host].done(c.now, sched.Done{
					Progress: sched.Progress{ID: id, Tokens: 10, FirstToken: 5}, Outcome: sched.OutcomeDone,
				})
				c.send(c.cores[r.host])
			}
		}
		if c.now%chaosStep == 0 {
			for _, name := range sortedKeys(c.cores) {
				c.cores[name].tick(c.now)
				c.send(c.cores[name])
			}
		}
		c.check()
	}
}

// next is the next moment at which something is due.
func (c *chaos) next() clock.Millis {
	if len(c.flying) > 0 {
		return c.now + 1
	}
	next := (c.now/chaosStep + 1) * chaosStep
	for _, r := range c.running {
		next = min(next, max(r.ends, c.now+1))
	}
	return next
}

func (c *chaos) check() {
	at := map[string]int{}
	for _, r := range c.running {
		at[r.server]++
		c.most = max(c.most, at[r.server])
	}
	for _, a := range c.auditors {
		if found := a.Findings(); len(found) > 0 {
			c.Fatalf("at %d: %v", c.now, found)
		}
	}
}

func (c *chaos) ask(host string, count int) {
	for i := range count {
		c.count++
		id := fmt.Sprintf("%s-%d", host, c.count)
		c.asked[id] = host
		c.cores[host].ask(c.now, sched.Request{
			ID: id, Service: "canvas-llm", Class: fmt.Sprintf("class-%d", i%3+1), Workspace: "stall", PredictedTokens: 10,
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
	for id, host := range c.asked {
		if host == name {
			delete(c.asked, id)
		}
	}
}

func (c *chaos) held() int {
	held := 0
	for _, of := range c.cores {
		for _, d := range of.desks {
			held += len(d.held)
		}
	}
	return held
}

// TestChaos lets anything happen and then nothing more: every request is
// answered, no slot stays held, the audits are clean, and the next requests
// share the slots exactly.
func TestChaos(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newChaos(t)
		incarnation := int64(1)
		for range rapid.IntRange(3, 12).Draw(t, "steps") {
			names := sortedKeys(c.cores)
			one := rapid.SampledFrom(names).Draw(t, "host")
			switch rapid.SampledFrom([]string{"ask", "ask", "mute", "crash", "restart", "view"}).Draw(t, "what") {
			case "ask":
				c.ask(one, rapid.IntRange(1, 20).Draw(t, "requests"))
			case "mute":
				other := rapid.SampledFrom(names).Draw(t, "to")
				if other != one {
					c.muted[one+">"+other] = c.now + clock.Millis(rapid.IntRange(10, 1500).Draw(t, "mute"))
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
			case "view": // only one host learns of it now
				c.cores[one].setView(c.now, c.view())
				c.send(c.cores[one])
			}
			c.pass(clock.Millis(rapid.IntRange(1, 700).Draw(t, "pass")))
		}
		if c.most > chaosHosts*serverSlots {
			t.Fatalf("%d ran on a server of %d slots", c.most, serverSlots)
		}
		c.muted = map[string]clock.Millis{}
		c.tellAll()
		c.pass(30 * clock.Second)
		if len(c.asked) > 0 || len(c.running) > 0 || c.held() > 0 {
			t.Fatalf("open %v, running %v, %d held", c.asked, c.running, c.held())
		}
		c.most = 0
		for _, name := range sortedKeys(c.cores) {
			c.ask(name, 10)
		}
		c.pass(3 * clock.Second)
		if c.most != serverSlots || len(c.asked) > 0 {
			t.Fatalf("%d ran on a server of %d slots, open %v", c.most, serverSlots, c.asked)
		}
	})
}
