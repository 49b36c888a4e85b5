package broker

import (
	"siskinsaddle/internal/policy/grant"
	"siskinsaddle/internal/policy/place"
)

// mostSeen bounds the parts of prompts whose server a host remembers.
const mostSeen = 1_000

// seen remembers at which server a host last saw a part of a prompt read. The
// oldest are forgotten first.
type seen struct {
	at    map[partKey]seenPart
	order []partKey
}

type partKey struct {
	service string
	part    string
}

type seenPart struct {
	server string
	tokens int
}

func newSeen() seen { return seen{at: map[partKey]seenPart{}} }

// add notes all parts but the last, which is the request's own.
func (s *seen) add(service, server string, parts []place.Segment) {
	for _, p := range place.PrefixSegments(parts) {
		k := partKey{service, p.Name}
		if _, ok := s.at[k]; !ok {
			s.order = append(s.order, k)
		}
		s.at[k] = seenPart{server, p.Tokens}
	}
	for len(s.order) > mostSeen {
		delete(s.at, s.order[0])
		s.order = s.order[1:]
	}
}

func (s *seen) holder(service, part string) string {
	return s.at[partKey{service, part}].server
}

// all returns what is known of a service, by server.
func (s *seen) all(service string) []grant.CachedSegments {
	var held []grant.CachedSegments
	index := map[string]int{}
	for _, k := range s.order {
		if k.service != service {
			continue
		}
		p := s.at[k]
		i, ok := index[p.server]
		if !ok {
			i = len(held)
			index[p.server] = i
			held = append(held, grant.CachedSegments{Server: p.server})
		}
		held[i].Parts = append(held[i].Parts, place.Segment{Name: k.part, Tokens: p.tokens})
	}
	return held
}
