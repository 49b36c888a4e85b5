package broker_test

import (
	"context"
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/base/count"
	"siskinsaddle/internal/base/logs"
	"siskinsaddle/internal/fakes/memdb"
	"siskinsaddle/internal/plat/rows"
	"siskinsaddle/internal/policy/fleet"
	"siskinsaddle/internal/policy/grant"
	"siskinsaddle/internal/policy/place"
	"siskinsaddle/internal/share/guard"
	"siskinsaddle/internal/share/member"
)

var poisoned = []place.Segment{{Name: "shared", Tokens: 350}, {Name: "poison", Tokens: 140}, {Name: "own", Tokens: 900}}

// crashServer sends a prompt with the segment through a host. Its server crashes and is
// back as another incarnation. It reports whether a server got the prompt.
func (g *group) crashServer(host, id string, servers map[string]int64) bool {
	request := newRequest(id, "")
	request.Segments = poisoned
	d := g.requestGrant(host, request)
	if d.Server == "" {
		g.c.Assert(d.Reason, qt.Equals, "Quarantined")
		return false
	}
	g.hosts[host].broker.Ended(id, place.OutcomeBroken)
	servers[d.Server]++
	g.setServers(servers)
	return true
}

// setServers sets the servers of all hosts, by ID with the number of their incarnation.
func (g *group) setServers(incarnations map[string]int64) {
	var all []fleet.Server
	for id, n := range incarnations {
		all = append(all, fleet.Server{ID: id, Service: service, Address: id + ":1", Born: n, Slots: 64})
	}
	for _, h := range g.hosts {
		h.broker.SetServers(all)
	}
}

func newServers(n int) map[string]int64 {
	servers := map[string]int64{}
	for i := range n {
		servers[fmt.Sprint("s", i)] = 1
	}
	return servers
}

// quarantinedAt counts the hosts that refuse the segment.
func (g *group) quarantinedAt(names []string) int {
	n := 0
	for _, name := range names {
		if segment, _ := g.hosts[name].guard.Quarantined(service, poisoned); segment == "poison" {
			n++
		}
	}
	return n
}

const settled = 150 * clock.Millis(1)

func TestQuarantineReachesAllHostsThoughKeepersDie(t *testing.T) {
	for _, servers := range []int{12, 200} { // one pool and four pools
		t.Run(fmt.Sprint(servers), func(t *testing.T) {
			c := qt.New(t)
			g := newGroup(c, 6, 0)
			incarnations := newServers(servers)
			g.setServers(incarnations)
			alive := []string{"h0", "h1", "h2", "h3", "h4", "h5"}
			crashes := 0
			for n := 0; crashes <= 5; n++ {
				if !g.crashServer(alive[n%len(alive)], fmt.Sprint("p", n), incarnations) {
					break
				}
				crashes++
				<-clock.System().After(settled)
				if crashes == 1 || crashes == 2 {
					alive = g.kill(alive, g.hosts[alive[0]].broker.Analysts(service)[0])
				}
			}
			c.Assert(crashes <= 5, qt.IsTrue, qt.Commentf("%d crashes", crashes))
			waitFor(c, func() bool { return g.quarantinedAt(alive) == len(alive) })
			// A host that starts without the store learns of it from its first keeper.
			g.add("h6", 0)
			g.setServers(incarnations)
			alive = append(alive, "h6")
			for i, name := range alive {
				d := g.requestGrant(name, newRequest(fmt.Sprint("sound", i), "shared"))
				c.Assert(d.Server, qt.Not(qt.Equals), "")
				g.hosts[name].broker.Started(fmt.Sprint("sound", i))
				g.hosts[name].broker.Ended(fmt.Sprint("sound", i), place.OutcomeServed)
			}
			waitFor(c, func() bool { return g.quarantinedAt(alive) == len(alive) })
		})
	}
}

// kill stops a host without taking it off the list of hosts.
func (g *group) kill(alive []string, name string) []string {
	g.hosts[name].stop()
	var left []string
	for _, n := range alive {
		if n != name {
			left = append(left, n)
		}
	}
	return left
}

// All hosts are killed after the quarantine began, which was while the store was down.
func TestRestartedHostsKnowTheQuarantine(t *testing.T) {
	c := qt.New(t)
	store := memdb.New(clock.System())
	store.SetFaults(memdb.Faults{Down: true})
	g := &group{c: c, hosts: map[string]*host{}, settings: grant.Defaults(), commit: store.For("h0").Commit}
	g.add("h0", 0)
	incarnations := newServers(4)
	g.setServers(incarnations)
	for n := range 3 {
		c.Assert(g.crashServer("h0", fmt.Sprint("p", n), incarnations), qt.IsTrue)
		<-clock.System().After(settled)
	}
	c.Assert(g.crashServer("h0", "p3", incarnations), qt.IsFalse)
	store.SetFaults(memdb.Faults{})
	l := logs.Limit(logs.Discard(), clock.System(), nil)
	restarted := &guard.Guard{Self: "h1", Clock: clock.System(), Log: l, Count: count.NewSet()}
	restarted.Register()
	registry := &member.Registry{
		Store: store.For("h1"), Table: "hosts", Self: member.Member{Name: "h1", Address: "10.0.0.1:1"},
		Clock: clock.System(), Log: l, OnOther: restarted.ReadRow,
	}
	waitFor(c, func() bool {
		_, _, err := registry.Join(context.Background())
		c.Assert(err, qt.IsNil)
		segment, _ := restarted.Quarantined(service, poisoned)
		return segment == "poison"
	})
}

func TestQuarantineIsStoredAgainAfterRestore(t *testing.T) {
	c := qt.New(t)
	store := memdb.New(clock.System())
	old := store.Copy()
	g := &group{c: c, hosts: map[string]*host{}, settings: grant.Defaults(), commit: store.For("h0").Commit}
	g.add("h0", 0)
	incarnations := newServers(4)
	g.setServers(incarnations)
	for n := range 3 {
		c.Assert(g.crashServer("h0", fmt.Sprint("p", n), incarnations), qt.IsTrue)
		<-clock.System().After(settled)
	}
	stored := func() bool {
		reply, err := store.For("test").Read(context.Background(), rows.Range{Table: "hosts"})
		c.Assert(err, qt.IsNil)
		return len(reply.Rows) > 0
	}
	waitFor(c, stored)
	store.Restore(old)
	c.Assert(stored(), qt.IsFalse)
	g.hosts["h0"].guard.StoreRestored()
	waitFor(c, stored)
}
