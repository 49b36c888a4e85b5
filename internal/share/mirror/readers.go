package mirror

import (
	"sort"

	"siskinsaddle/internal/policy/place"
	"siskinsaddle/internal/share/member"
)

const (
	// maxNear is the number of hosts of the same failure domain that may be
	// queried before a host reads the store itself, maxFar the number of hosts
	// of other domains afterwards.
	maxNear = 3
	maxFar  = 2
	// minCoresShare is the share of the largest host's cores that a reader should
	// have, since it replies to all hosts of its failure domain.
	minCoresShare = 0.7
	// maxAllReadHosts is the largest number of hosts of a failure domain that all
	// read the store. For so few hosts a single reader saves too few calls
	// (docs/MEASURES.md) to be worth the extra hop that a change takes with it.
	maxAllReadHosts = 3
)

// readers returns the hosts that a host queries, in this order: hosts of its own
// failure domain, possibly including itself, then one host of each other domain. The
// order makes the load on the platform's store grow with the number of failure domains,
// not with that of hosts. Hosts with the same
// member list agree on the near hosts. The far hosts differ, so that a failure domain
// without a connection to the store does not send all its queries to one host.
func readers(self, domain string, members []member.Member) (near, far []string) {
	maxCores := 0.0
	for _, m := range members {
		maxCores = max(maxCores, m.Cores)
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
			if a, b := all[i].Cores >= minCoresShare*maxCores, all[j].Cores >= minCoresShare*maxCores; a != b {
				return a
			}
			return place.Hash(salt, all[i].Name) > place.Hash(salt, all[j].Name)
		})
		if d != domain {
			far = append(far, all[0].Name)
		}
	}
	sort.Slice(far, func(i, j int) bool { return place.Hash(self, far[i]) > place.Hash(self, far[j]) })
	far = far[:min(len(far), maxFar)]
	if len(byDomain[domain]) <= maxAllReadHosts {
		return []string{self}, far
	}
	for _, m := range byDomain[domain] {
		near = append(near, m.Name)
	}
	return near[:min(len(near), maxNear)], far
}
