package grant

import (
	"strconv"

	"siskinsaddle/internal/policy/fleet"
	"siskinsaddle/internal/policy/place"
)

// poolServers is the most servers that one keeper decides for. The work of a
// round of decisions grows with the servers and with the requests that wait, and
// a keeper has 0.8 of a core at the users' largest sites: with 90 servers and 800
// requests a second it stood still (docs/MEASURES.md, "Grown sites").
const poolServers = 64

// Split deals the servers of a service out to pools, each with a keeper of its
// own. It answers the load of a large site on the host that decides. A server
// that comes or goes moves no other, unless the number of pools changes; a part
// of prompts goes to the pool of the server that a hash prefers for it, so that
// a pool gets as many as it has servers. A Split is immutable.
type Split struct {
	service string
	pools   int
	of      map[string]int
	ids     []string
}

// NewSplit deals out the servers of one service among all.
func NewSplit(service string, all []fleet.Server) Split {
	s := Split{service: service, of: map[string]int{}}
	for _, f := range all {
		if f.Service == service {
			s.ids = append(s.ids, f.ID)
		}
	}
	// Doubled, so that a site whose servers come and go seldom has another number.
	s.pools = 1
	for len(s.ids) > s.pools*poolServers {
		s.pools *= 2
	}
	for _, id := range s.ids {
		s.of[id] = s.poolOf(id)
	}
	return s
}

// poolOf is the pool that a hash prefers for a server.
func (s Split) poolOf(id string) int {
	best, most := 0, uint64(0)
	for p := range s.pools {
		if h := place.Hash(strconv.Itoa(p), id); p == 0 || h > most {
			best, most = p, h
		}
	}
	return best
}

// Count is the number of pools, at least 1.
func (s Split) Count() int { return s.pools }

// Has tells whether a server is in a pool.
func (s Split) Has(pool int, id string) bool {
	p, ok := s.of[id]
	return ok && p == pool
}

// Pool is the one that a prompt is asked for at: that of its last shared part.
func (s Split) Pool(parts []place.Part) int {
	if s.pools == 1 {
		return 0
	}
	name := ""
	if shared := place.Shared(parts); len(shared) > 0 {
		name = shared[len(shared)-1].Name
	}
	best, most := 0, uint64(0)
	for _, id := range s.ids {
		if h := place.Hash(name, id); h >= most {
			best, most = s.of[id], h
		}
	}
	return best
}
