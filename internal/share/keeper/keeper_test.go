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
	h, _ := hosts.Winner(groupName, named(1, "", names...))
	return h.Name
}

func without(names []string, gone string) []string {
	var rest []string
	for _, name := range names {
		if name != gone {
			rest = append(rest, name)
		}
	}
	return rest
}

func TestOneDecisionOverAllHosts(t *testing.T) {
	r := newRig(t, 5)
	all := numbered(5)
	r.view(1, all, named(1, "", all...)...)
	r.burst("a", 30, all...)
	r.Assert(r.finished(150), qt.Equals, serverSlots)
	r.Assert(r.auditors, qt.HasLen, 1)
}

func TestKeeperLostMidBurst(t *testing.T) {
	r := newRig(t, 5)
	all := numbered(5)
	lost := keeperAmong(all)
	rest := without(all, lost)
	r.view(1, all, named(1, "", all...)...)
	r.burst("a", 40, rest...)
	r.awaitAnswers(20)
	r.patience(true)
	r.members[lost].crash()
	// The membership takes a while to find out; hosts decide alone until then.
	r.await(r.members[rest[0]], "Alone")
	r.view(2, rest, named(1, "", rest...)...)
	most := r.finished(160)
	t.Logf("at most %d ran on a server of %d slots", most, serverSlots)
	r.Assert(most <= 2*serverSlots, qt.IsTrue, qt.Commentf("%d", most))

	// From then on the new keeper decides for all.
	r.patience(false)
	r.burst("b", 30, rest...)
	r.Assert(r.finished(120), qt.Equals, serverSlots)
}

func TestSilentLinkToTheKeeper(t *testing.T) {
	r := newRig(t, 3)
	all := numbered(3)
	keeper := keeperAmong(all)
	other := without(all, keeper)[0]
	r.view(1, all, named(1, "", all...)...)
	r.burst("a", 10, all...)
	r.Assert(r.finished(30), qt.Equals, serverSlots)

	r.patience(true)
	r.members[keeper].relay.SilenceOpen()
	r.burst("b", 1, other)
	r.asking.Wait()
	r.Assert(r.answers["b-"+other+"-0"].grant.Fallback, qt.IsTrue)
	r.finished(1)
	// The link opens a fresh connection by itself, and the keeper decides again.
	for grant := (Grant{Fallback: true}); grant.Fallback; {
		r.burst("c", 1, other)
		r.asking.Wait()
		grant = r.answers["c-"+other+"-0"].grant
	}
	r.finished(1)
	r.patience(false)
	r.burst("d", 30, all...)
	r.Assert(r.finished(90), qt.Equals, serverSlots)
}

func TestPlannedStopHandsOver(t *testing.T) {
	r := newRig(t, 5)
	all := numbered(5)
	leaves := keeperAmong(all)
	rest := without(all, leaves)
	r.view(1, all, named(1, "", all...)...)
	r.burst("a", 40, all...)
	r.awaitAnswers(20)
	r.view(2, all, append(named(1, "", rest...), named(1, "Leaving", leaves)...)...)
	most := r.finished(200)
	t.Logf("at most %d ran on a server of %d slots", most, serverSlots)
	r.Assert(most <= 2*serverSlots, qt.IsTrue, qt.Commentf("%d", most))
	r.Assert(r.members[leaves].Running(), qt.Equals, 0)
	r.members[leaves].crash()
	r.view(3, rest, named(1, "", rest...)...)
	r.burst("b", 30, rest...)
	r.Assert(r.finished(120), qt.Equals, serverSlots)
}

func TestHostsOfDifferentViews(t *testing.T) {
	r := newRig(t, 4)
	all := numbered(4)
	first := keeperAmong(all)
	rest := without(all, first)
	second := keeperAmong(rest)
	others := without(rest, second)
	r.view(1, all, named(1, "", all...)...)
	// Two of the others believe that the keeper is gone, and one of these takes
	// its place; the first goes on for itself and the third.
	r.view(2, []string{second, others[0]}, named(1, "", rest...)...)
	r.view(2, []string{first, others[1]}, named(1, "", all...)...)
	r.burst("a", 40, all...)
	most := r.finished(160)
	t.Logf("at most %d ran on a server of %d slots", most, serverSlots)
	r.Assert(most <= 2*serverSlots, qt.IsTrue, qt.Commentf("%d", most))

	// The views agree again while requests wait.
	r.burst("b", 40, all...)
	r.awaitAnswers(20)
	r.view(3, all, named(1, "", all...)...)
	r.finished(160)
	r.burst("c", 30, all...)
	r.Assert(r.finished(120), qt.Equals, serverSlots)
}

func TestKeeperStartsAnew(t *testing.T) {
	r := newRig(t, 4)
	all := numbered(4)
	keeper := keeperAmong(all)
	rest := without(all, keeper)
	r.view(1, all, named(1, "", all...)...)
	r.burst("a", 40, rest...)
	r.awaitAnswers(20)
	r.patience(true)
	r.members[keeper].crash()
	r.start(keeper, 2)
	// The new process knows the others at once; they still hold the old view.
	r.view(2, []string{keeper}, append(named(1, "", rest...), named(2, "", keeper)...)...)
	most := r.finished(120)
	t.Logf("at most %d ran on a server of %d slots", most, serverSlots)
	r.Assert(most <= 2*serverSlots, qt.IsTrue, qt.Commentf("%d", most))
	r.patience(false)
	r.view(2, rest, append(named(1, "", rest...), named(2, "", keeper)...)...)
	r.burst("b", 30, all...)
	r.Assert(r.finished(120), qt.Equals, serverSlots)
}

func (r *rig) awaitViews(size int, names ...string) {
	for _, name := range names {
		m := r.members[name]
		for have := 0; have != size; <-m.Clock.After(5) {
			m.mu.Lock()
			have = len(m.core.view.Hosts())
			m.mu.Unlock()
		}
	}
}

// TestMembershipMovesTheKeeper kills the keeper of a running load; nobody tells
// the others but their heartbeats.
func TestMembershipMovesTheKeeper(t *testing.T) {
	r := newRig(t, 0)
	store := table.NewMemory()
	all := numbered(4)
	for _, name := range all {
		r.startWhole(name, store)
	}
	r.awaitViews(4, all...)
	lost := keeperAmong(all)
	rest := without(all, lost)
	r.burst("a", 60, rest...)
	r.awaitAnswers(20)
	r.patience(true)
	r.members[lost].crash()
	delete(r.members, lost)
	most := r.finished(180)
	t.Logf("at most %d ran on a server of %d slots", most, serverSlots)
	r.Assert(most <= 2*serverSlots, qt.IsTrue, qt.Commentf("%d", most))
	r.awaitViews(3, rest...)
	r.patience(false)
	r.burst("b", 30, rest...)
	r.Assert(r.finished(90), qt.Equals, serverSlots, qt.Commentf("%v", rest))
}

// BenchmarkKeeper measures what one request costs its keeper: the ask, the
// grant and the end, with decoding and encoding, beside a number of running
// requests of 70 hosts.
func BenchmarkKeeper(b *testing.B) {
	for _, running := range []int{0, 100, 300, 700, 1_400} {
		b.Run(fmt.Sprintf("running=%d", running), func(b *testing.B) { keepRequests(b, running) })
	}
}

func keepRequests(b *testing.B, running int) {
	r := &rig{C: qt.New(b)}
	n := &Node{
		Name: "host-0", FailureDomain: "prairie-a", Services: func() []string { return []string{"canvas-llm"} },
		Servers: manySlots, Settings: testSettings, Link: &link.Node{}, Counters: count.NewSet(), Log: logs.Discard(), Clock: clock.System(),
	}
	n.Prepare()
	n.ViewChanged(hosts.NewView(1, named(1, "", "host-0")...))
	asker := link.Peer{Name: "host-1", Incarnation: 1}
	ask := askMessage{Group: numberOf(groupName), Class: "class-1", Workspace: "stall", Due: 300, Left: 10_000, PredictedTokens: 10}
	send := func(now clock.Millis, p packet) {
		body, err := link.Encode(&p)
		r.Assert(err, qt.IsNil)
		var got packet
		r.Assert(link.Decode(body, &got), qt.IsNil)
		n.core.receive(now, asker, &got)
		for _, answer, ok := n.core.take(); ok; _, answer, ok = n.core.take() {
			_, err := link.Encode(answer)
			r.Assert(err, qt.IsNil)
		}
	}
	n.core.tick(1000)
	for i := range running {
		beside := ask
		beside.Seq, beside.Left = uint64(i+1), clock.Hour
		peer := link.Peer{Name: fmt.Sprint("host-", 2+i%69), Incarnation: 1}
		n.core.receive(1000, peer, &packet{Asks: []askMessage{beside}})
		answers := progressMessage{Seq: beside.Seq, Tokens: 1, FirstToken: 5}
		n.core.receive(1000, peer, &packet{Reports: []reportMessage{{Group: ask.Group, Progress: []progressMessage{answers}}}})
	}
	b.ResetTimer()
	for i := range b.N {
		now := 1000 + clock.Millis(i)
		ask.Seq = uint64(i + 1)
		send(now, packet{Asks: []askMessage{ask}})
		send(now, packet{Dones: []doneMessage{{
			Group: ask.Group, Outcome: string(sched.OutcomeDone), Progress: progressMessage{Seq: ask.Seq, Tokens: 10, FirstToken: 5},
		}}})
	}
	r.Assert(n.core.desks[ask.Group].held, qt.HasLen, running)
}

// manySlots are the servers of a group with room for every request.
func manySlots(service, domain string) []sched.Server {
	all := testServers(service, domain)
	for i := range all {
		all[i].Slots = 1_000
	}
	return all
}
