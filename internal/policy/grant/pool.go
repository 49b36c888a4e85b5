package grant

import (
	"strconv"

	"siskinsaddle/internal/policy/fleet"
	"siskinsaddle/internal/policy/place"
)

// maxPoolServers is the maximum number of servers for one keeper. The cost of a round
// of decisions grows with the number of servers and of waiting requests, and a keeper
// has 0.8 of a core at the users' largest sites. With 90 servers and 800 requests a
// second it stalled (docs/MEASURES.md, "Grown sites").
const maxPoolServers = 64

// Split divides the servers of a service into pools, each with its own keeper. It
// is made for the load of a large site on the host that decides. Servers are assigned by
// rendezvous hashing, so that adding or removing one moves no other unless the number
// of pools changes. A prefix segment belongs to the pool of the server that ranks
// first for it by hash, so that a pool gets prompts in proportion to its servers. A
// Split is immutable.
type Split struct {
	service      string
	pools        int
	poolByServer map[string]int
	ids          []string
}

// NewSplit returns the Split of those servers in all that belong to the service.
func NewSplit(service string, all []fleet.Server) Split {
	s := Split{service: service, poolByServer: map[string]int{}}
	for _, f := range all {
		if f.Service == service {
			s.ids = append(s.ids, f.ID)
		}
	}
	// Doubling the number keeps it stable while single servers are added or removed.
	s.pools = 1
	for len(s.ids) > s.pools*maxPoolServers {
		s.pools *= 2
	}
	for _, id := range s.ids {
		s.poolByServer[id] = s.preferredPool(id)
	}
	return s
}

// preferredPool returns the pool that ranks first by hash for a server.
func (s Split) preferredPool(id string) int {
	best, bestHash := 0, uint64(0)
	for p := range s.pools {
		if h := place.Hash(strconv.Itoa(p), id); p == 0 || h > bestHash {
			best, bestHash = p, h
		}
	}
	return best
}

// Count returns the number of pools, at least 1.
func (s Split) Count() int { return s.pools }

// Has reports whether a server is in a pool.
func (s Split) Has(pool int, id string) bool {
	p, ok := s.poolByServer[id]
	return ok && p == pool
}

// Pool returns the pool whose keeper grants a prompt: that of its last prefix segment.
func (s Split) Pool(segments []place.Segment) int {
	if s.pools == 1 {
		return 0
	}
	name := ""
	if prefix := place.PrefixSegments(segments); len(prefix) > 0 {
		name = prefix[len(prefix)-1].Name
	}
	best, bestHash := 0, uint64(0)
	for _, id := range s.ids {
		if h := place.Hash(name, id); h >= bestHash {
			best, bestHash = s.poolByServer[id], h
		}
	}
	return best
}
