package mirror

import (
	"sort"

	"siskinsaddle/internal/policy/place"
	"siskinsaddle/internal/share/member"
)

const (
	// mostNear bounds the hosts of the own failure domain that are asked before
	// a host reads the store itself, mostFar those of other domains afterwards.
	mostNear = 3
	mostFar  = 2
	// strongShare is the share of the strongest host's processor that makes a
	// reader: it answers all hosts of its failure domain.
	strongShare = 0.7
	// smallDomain is the largest number of hosts that read the store side by
	// side: one reader for them serves no more (docs/MEASURES.md), and a change
	// goes one way less.
	smallDomain = 3
)

// readers returns the hosts that one host asks for news, in this order: those of
// its own failure domain, itself perhaps among them, then one of each other
// domain. It answers the load that all hosts put on the platform's store.
// All hosts that know the same others agree on the near ones; the far ones
// differ, so that a failure domain that lost the store does not ask one host.
func readers(self, domain string, members []member.Member) (near, far []string) {
	most := 0.0
	for _, m := range members {
		most = max(most, m.Cores)
	}
	byDomain := map[string][]member.Member{}
	for _, m := range members {
		byDomain[m.FailureDomain] = append(byDomain[m.FailureDomain], m)
	}
	for d, all := range byDomain {
		salt := d
		if d != domain {
			salt = self
		}
		sort.Slice(all, func(i, j int) bool {
			if a, b := all[i].Cores >= strongShare*most, all[j].Cores >= strongShare*most; a != b {
				return a
			}
			return place.Hash(salt, all[i].Name) > place.Hash(salt, all[j].Name)
		})
		if d != domain {
			far = append(far, all[0].Name)
		}
	}
	sort.Slice(far, func(i, j int) bool { return place.Hash(self, far[i]) > place.Hash(self, far[j]) })
	far = far[:min(len(far), mostFar)]
	if len(byDomain[domain]) <= smallDomain {
		return []string{self}, far
	}
	for _, m := range byDomain[domain] {
		near = append(near, m.Name)
	}
	return near[:min(len(near), mostNear)], far
}
