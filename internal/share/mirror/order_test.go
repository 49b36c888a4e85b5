package mirror

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"siskinsaddle/internal/share/member"
)

// site has two strong hosts and six weak ones in each of three domains.
func site() []member.Member {
	var all []member.Member
	for _, d := range []string{"a", "b", "c"} {
		for i := range 8 {
			m := member.Member{Name: fmt.Sprint(d, i), FailureDomain: d, Cores: 0.2}
			if i < 2 {
				m.Cores = 0.8
			}
			all = append(all, m)
		}
	}
	return all
}

func TestHostsOfADomainAgreeOnTheirReaders(t *testing.T) {
	c := qt.New(t)
	first, _ := readers("a7", "a", site())
	c.Assert(first, qt.HasLen, mostNear)
	// The strong ones come first.
	c.Assert(first[0] == "a0" || first[0] == "a1", qt.IsTrue)
	c.Assert(first[1] == "a0" || first[1] == "a1", qt.IsTrue)
	for _, m := range site()[:8] {
		near, far := readers(m.Name, "a", site())
		c.Assert(near, qt.DeepEquals, first)
		c.Assert(far, qt.HasLen, mostFar)
		c.Assert(far[0][:1] != far[1][:1], qt.IsTrue, qt.Commentf("one of each other domain"))
	}
}

func TestHostsOfASmallDomainReadThemselves(t *testing.T) {
	c := qt.New(t)
	near, far := readers("a1", "a", append(site()[:smallDomain], site()[8:]...))
	c.Assert(near, qt.DeepEquals, []string{"a1"})
	c.Assert(far, qt.HasLen, mostFar)
}

func TestAHostThatKnowsNoOthersReadsItself(t *testing.T) {
	c := qt.New(t)
	near, far := readers("a1", "a", nil)
	c.Assert(near, qt.DeepEquals, []string{"a1"})
	c.Assert(far, qt.HasLen, 0)
}
