package keeper

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/base/count"
	"siskinsaddle/internal/base/logs"
	"siskinsaddle/internal/plat/table"
	"siskinsaddle/internal/policy/sched"
	"siskinsaddle/internal/share/hosts"
	"siskinsaddle/internal/share/link"
)

const groupName = "canvas-llm/prairie-a/0"

func keeperAmong(names []string) string {
	h, _ := hosts.RendezvousWinner(groupName, hostsNamed(1, "", names...))
	return h.Name
}

func exclude(names []string, excluded string) []string {
	var remaining []string
	for _, name := range names {
		if name != excluded {
			remaining = append(remaining, name)
		}
	}
	return remaining
}

func TestKeeperDecidesForAllHosts(t *testing.T) {
	h := newHarness(t, 5)
	all := hostNames(5)
	h.setView(1, all, hostsNamed(1, "", all...)...)
	h.burst("a", 30, all...)
	h.Assert(h.awaitFinished(150), qt.Equals, serverSlots)
	h.Assert(h.auditors, qt.HasLen, 1)
}

func TestKeeperLostMidBurst(t *testing.T) {
	h := newHarness(t, 5)
	all := hostNames(5)
	lost := keeperAmong(all)
	rest := exclude(all, lost)
	h.setView(1, all, hostsNamed(1, "", all...)...)
	h.burst("a", 40, rest...)
	h.awaitAnswers(20)
	h.useDefaultTimeouts(true)
	h.members[lost].crash()
	// Until the membership detects the crash, hosts decide alone.
	h.awaitEvent(h.members[rest[0]], "Alone")
	h.setView(2, rest, hostsNamed(1, "", rest...)...)
	maxRunning := h.awaitFinished(160)
	t.Logf("at most %d ran on a server of %d slots", maxRunning, serverSlots)
	h.Assert(maxRunning <= 2*serverSlots, qt.IsTrue, qt.Commentf("%d", maxRunning))

	// With the new view, the new keeper decides for all hosts.
	h.useDefaultTimeouts(false)
	h.burst("b", 30, rest...)
	h.Assert(h.awaitFinished(120), qt.Equals, serverSlots)
}

func TestUnresponsiveLinkToKeeperFallsBack(t *testing.T) {
	h := newHarness(t, 3)
	all := hostNames(3)
	keeper := keeperAmong(all)
	other := exclude(all, keeper)[0]
	h.setView(1, all, hostsNamed(1, "", all...)...)
	h.burst("a", 10, all...)
	h.Assert(h.awaitFinished(30), qt.Equals, serverSlots)

	h.useDefaultTimeouts(true)
	h.members[keeper].proxy.SilenceOpen()
	h.burst("b", 1, other)
	h.pending.Wait()
	h.Assert(h.answers["b-"+other+"-0"].grant.Fallback, qt.IsTrue)
	h.awaitFinished(1)
	// The link reconnects by itself, and the keeper decides again.
	for grant := (Grant{Fallback: true}); grant.Fallback; {
		h.burst("c", 1, other)
		h.pending.Wait()
		grant = h.answers["c-"+other+"-0"].grant
	}
	h.awaitFinished(1)
	h.useDefaultTimeouts(false)
	h.burst("d", 30, all...)
	h.Assert(h.awaitFinished(90), qt.Equals, serverSlots)
}

func TestPlannedStopHandsGroupsOver(t *testing.T) {
	h := newHarness(t, 5)
	all := hostNames(5)
	leaves := keeperAmong(all)
	rest := exclude(all, leaves)
	h.setView(1, all, hostsNamed(1, "", all...)...)
	h.burst("a", 40, all...)
	h.awaitAnswers(20)
	h.setView(2, all, append(hostsNamed(1, "", rest...), hostsNamed(1, "Leaving", leaves)...)...)
	maxRunning := h.awaitFinished(200)
	t.Logf("at most %d ran on a server of %d slots", maxRunning, serverSlots)
	h.Assert(maxRunning <= 2*serverSlots, qt.IsTrue, qt.Commentf("%d", maxRunning))
	h.Assert(h.members[leaves].Running(), qt.Equals, 0)
	h.members[leaves].crash()
	h.setView(3, rest, hostsNamed(1, "", rest...)...)
	h.burst("b", 30, rest...)
	h.Assert(h.awaitFinished(120), qt.Equals, serverSlots)
}

func TestHostsOfDifferentViews(t *testing.T) {
	h := newHarness(t, 4)
	all := hostNames(4)
	first := keeperAmong(all)
	rest := exclude(all, first)
	second := keeperAmong(rest)
	others := exclude(rest, second)
	h.setView(1, all, hostsNamed(1, "", all...)...)
	// Two hosts have a view without the keeper, and one of them becomes keeper; the
	// first keeper continues for itself and the remaining host.
	h.setView(2, []string{second, others[0]}, hostsNamed(1, "", rest...)...)
	h.setView(2, []string{first, others[1]}, hostsNamed(1, "", all...)...)
	h.burst("a", 40, all...)
	maxRunning := h.awaitFinished(160)
	t.Logf("at most %d ran on a server of %d slots", maxRunning, serverSlots)
	h.Assert(maxRunning <= 2*serverSlots, qt.IsTrue, qt.Commentf("%d", maxRunning))

	// The views converge again while requests wait.
	h.burst("b", 40, all...)
	h.awaitAnswers(20)
	h.setView(3, all, hostsNamed(1, "", all...)...)
	h.awaitFinished(160)
	h.burst("c", 30, all...)
	h.Assert(h.awaitFinished(120), qt.Equals, serverSlots)
}

func TestKeeperRestartsMidBurst(t *testing.T) {
	h := newHarness(t, 4)
	all := hostNames(4)
	keeper := keeperAmong(all)
	rest := exclude(all, keeper)
	h.setView(1, all, hostsNamed(1, "", all...)...)
	h.burst("a", 40, rest...)
	h.awaitAnswers(20)
	h.useDefaultTimeouts(true)
	h.members[keeper].crash()
	h.start(keeper, 2)
	// The restarted host has the new view at once; the others still have the old one.
	h.setView(2, []string{keeper}, append(hostsNamed(1, "", rest...), hostsNamed(2, "", keeper)...)...)
	maxRunning := h.awaitFinished(120)
	t.Logf("at most %d ran on a server of %d slots", maxRunning, serverSlots)
	h.Assert(maxRunning <= 2*serverSlots, qt.IsTrue, qt.Commentf("%d", maxRunning))
	h.useDefaultTimeouts(false)
	h.setView(2, rest, append(hostsNamed(1, "", rest...), hostsNamed(2, "", keeper)...)...)
	h.burst("b", 30, all...)
	h.Assert(h.awaitFinished(120), qt.Equals, serverSlots)
}

// awaitViews waits until the views of the named hosts have the given number of hosts.
func (h *harness) awaitViews(size int, names ...string) {
	for _, name := range names {
		m := h.members[name]
		for have := 0; have != size; <-m.Clock.After(5) {
			m.mu.Lock()
			have = len(m.core.view.Hosts())
			m.mu.Unlock()
		}
	}
}

// TestHeartbeatsMoveKeeperAfterCrash crashes the keeper under load. The other hosts
// detect that only by missing heartbeats.
func TestHeartbeatsMoveKeeperAfterCrash(t *testing.T) {
	h := newHarness(t, 0)
	store := table.NewMemory()
	all := hostNames(4)
	for _, name := range all {
		h.startWithMembership(name, store)
	}
	h.awaitViews(4, all...)
	lost := keeperAmong(all)
	rest := exclude(all, lost)
	h.burst("a", 60, rest...)
	h.awaitAnswers(20)
	h.useDefaultTimeouts(true)
	h.members[lost].crash()
	delete(h.members, lost)
	maxRunning := h.awaitFinished(180)
	t.Logf("at most %d ran on a server of %d slots", maxRunning, serverSlots)
	h.Assert(maxRunning <= 2*serverSlots, qt.IsTrue, qt.Commentf("%d", maxRunning))
	h.awaitViews(3, rest...)
	h.useDefaultTimeouts(false)
	h.burst("b", 30, rest...)
	h.Assert(h.awaitFinished(90), qt.Equals, serverSlots, qt.Commentf("%v", rest))
}

// BenchmarkKeeper measures the cost of one request at its keeper: grant request, grant
// and end, including decoding and encoding, with a number of other running requests of
// 70 hosts.
func BenchmarkKeeper(b *testing.B) {
	for _, running := range []int{0, 100, 300, 700, 1_400} {
		b.Run(fmt.Sprintf("running=%d", running), func(b *testing.B) { benchmarkKeeper(b, running) })
	}
}

func benchmarkKeeper(b *testing.B, running int) {
	h := &harness{C: qt.New(b)}
	n := &Node{
		Name: "host-0", FailureDomain: "prairie-a",
		Services: func() []string { return []string{"canvas-llm"} },
		Servers:  largeServers, Settings: testSettings, Link: &link.Node{},
		Counters: count.NewSet(), Log: logs.Discard(), Clock: clock.System(),
	}
	n.Prepare()
	n.ViewChanged(hosts.NewView(1, hostsNamed(1, "", "host-0")...))
	requester := link.Peer{Name: "host-1", Incarnation: 1}
	request := grantRequestMessage{
		Group: groupIDOf(groupName), Class: "class-1", Workspace: "stall",
		UntilDeadline: 300, UntilGiveUp: 10_000, PredictedTokens: 10,
	}
	send := func(now clock.Millis, p packet) {
		body, err := link.Encode(&p)
		h.Assert(err, qt.IsNil)
		var got packet
		h.Assert(link.Decode(body, &got), qt.IsNil)
		n.core.receive(now, requester, &got)
		for _, answer, ok := n.core.takePacket(); ok; _, answer, ok = n.core.takePacket() {
			_, err := link.Encode(answer)
			h.Assert(err, qt.IsNil)
		}
	}
	n.core.tick(1000)
	for i := range running {
		other := request
		other.Seq, other.UntilGiveUp = uint64(i+1), clock.Hour
		peer := link.Peer{Name: fmt.Sprint("host-", 2+i%69), Incarnation: 1}
		n.core.receive(1000, peer, &packet{GrantRequests: []grantRequestMessage{other}})
		answers := progressMessage{Seq: other.Seq, Tokens: 1, FirstToken: 5}
		n.core.receive(1000, peer, &packet{Reports: []reportMessage{{
			Group: request.Group, Progress: []progressMessage{answers},
		}}})
	}
	b.ResetTimer()
	for i := range b.N {
		now := 1000 + clock.Millis(i)
		request.Seq = uint64(i + 1)
		send(now, packet{GrantRequests: []grantRequestMessage{request}})
		send(now, packet{Dones: []doneMessage{{
			Group: request.Group, Outcome: string(sched.OutcomeDone), Progress: progressMessage{
				Seq: request.Seq, Tokens: 10, FirstToken: 5,
			},
		}}})
	}
	h.Assert(n.core.kept[request.Group].held, qt.HasLen, running)
}

// largeServers returns the servers of a group with slots for every request.
func largeServers(service, domain string) []sched.Server {
	all := testServers(service, domain)
	for i := range all {
		all[i].Slots = 1_000
	}
	return all
}
