package keep

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"siskinsaddle/internal/share/hosts"
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
	r.members[lost].crash()
	// The membership takes a while to find out; hosts decide alone until then.
	r.await(r.members[rest[0]], "Alone")
	r.view(2, rest, named(1, "", rest...)...)
	most := r.finished(160)
	t.Logf("at most %d ran on a server of %d slots", most, serverSlots)
	r.Assert(most <= 2*serverSlots, qt.IsTrue, qt.Commentf("%d", most))

	// From then on the new keeper decides for all.
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
	r.members[keeper].crash()
	r.start(keeper, 2)
	// The new process knows the others at once; they still hold the old view.
	r.view(2, []string{keeper}, append(named(1, "", rest...), named(2, "", keeper)...)...)
	most := r.finished(120)
	t.Logf("at most %d ran on a server of %d slots", most, serverSlots)
	r.Assert(most <= 2*serverSlots, qt.IsTrue, qt.Commentf("%d", most))
	r.view(2, rest, append(named(1, "", rest...), named(2, "", keeper)...)...)
	r.burst("b", 30, all...)
	r.Assert(r.finished(120), qt.Equals, serverSlots)
}
