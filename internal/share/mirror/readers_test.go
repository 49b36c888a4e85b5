package mirror

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"siskinsaddle/internal/share/member"
)

// threeDomains returns two large and six small hosts in each of three domains.
func threeDomains() []member.Member {
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

func TestHostsOfADomainAgreeOnReaders(t *testing.T) {
	c := qt.New(t)
	first, _ := readers("a7", "a", threeDomains())
	c.Assert(first, qt.HasLen, maxNear)
	// The large hosts come first.
	c.Assert(first[0] == "a0" || first[0] == "a1", qt.IsTrue)
	c.Assert(first[1] == "a0" || first[1] == "a1", qt.IsTrue)
	for _, m := range threeDomains()[:8] {
		near, far := readers(m.Name, "a", threeDomains())
		c.Assert(near, qt.DeepEquals, first)
		c.Assert(far, qt.HasLen, maxFar)
		c.Assert(far[0][:1] != far[1][:1], qt.IsTrue, qt.Commentf("one of each other domain"))
	}
}

func TestAllHostsOfASmallDomainReadTheStore(t *testing.T) {
	c := qt.New(t)
	near, far := readers("a1", "a", append(threeDomains()[:maxAllReadHosts], threeDomains()[8:]...))
	c.Assert(near, qt.DeepEquals, []string{"a1"})
	c.Assert(far, qt.HasLen, maxFar)
}

func TestHostWithoutKnownMembersReadsTheStore(t *testing.T) {
	c := qt.New(t)
	near, far := readers("a1", "a", nil)
	c.Assert(near, qt.DeepEquals, []string{"a1"})
	c.Assert(far, qt.HasLen, 0)
}
