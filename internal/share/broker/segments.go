package broker

import (
	"siskinsaddle/internal/policy/grant"
	"siskinsaddle/internal/policy/place"
)

// maxSegments is the number of prompt segments whose server a host remembers.
const maxSegments = 1_000

// segmentCache holds the server that last prefilled each prompt segment. It evicts the
// segments in the order in which they were added.
type segmentCache struct {
	byKey map[segmentKey]cachedSegment
	order []segmentKey
}

type segmentKey struct {
	service string
	segment string
}

type cachedSegment struct {
	server string
	tokens int
}

func newSegmentCache() segmentCache { return segmentCache{byKey: map[segmentKey]cachedSegment{}} }

// add records the server for the prefix segments, which are all but the last one. The
// last one belongs to the request alone.
func (s *segmentCache) add(service, server string, segments []place.Segment) {
	for _, p := range place.PrefixSegments(segments) {
		k := segmentKey{service, p.Name}
		if _, ok := s.byKey[k]; !ok {
			s.order = append(s.order, k)
		}
		s.byKey[k] = cachedSegment{server, p.Tokens}
	}
	for len(s.order) > maxSegments {
		delete(s.byKey, s.order[0])
		s.order = s.order[1:]
	}
}

func (s *segmentCache) server(service, segment string) string {
	return s.byKey[segmentKey{service, segment}].server
}

// all returns the segments of a service, grouped by server.
func (s *segmentCache) all(service string) []grant.CachedSegments {
	var cached []grant.CachedSegments
	index := map[string]int{}
	for _, k := range s.order {
		if k.service != service {
			continue
		}
		p := s.byKey[k]
		i, ok := index[p.server]
		if !ok {
			i = len(cached)
			index[p.server] = i
			cached = append(cached, grant.CachedSegments{Server: p.server})
		}
		cached[i].Segments = append(cached[i].Segments, place.Segment{Name: k.segment, Tokens: p.tokens})
	}
	return cached
}
