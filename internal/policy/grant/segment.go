package grant

import "siskinsaddle/internal/policy/place"

// segment tells which servers have a prefix segment cached or are prefilling it. A round
// of decisions asks that for each waiting request and each server, so requests look up
// their segments by name only once, and servers are told apart by an index.
type segment struct {
	name string
	// cached and pending are indexed by server.index. pending counts the requests with
	// pending prefill that contain the segment.
	cached  []bool
	pending []int32
	// holders is the number of servers that have the segment cached, prefilling the
	// sum of pending.
	holders    int
	prefilling int
	// users is the number of queued and granted requests that contain the segment.
	users int
}

// isCached reports whether a server has the segment cached.
func (p *segment) isCached(s *server) bool { return s.index < len(p.cached) && p.cached[s.index] }

// isPending reports whether a server is prefilling the segment.
func (p *segment) isPending(s *server) bool {
	return s.index < len(p.pending) && p.pending[s.index] > 0
}

func (p *segment) setCached(s *server, cached bool) {
	for len(p.cached) <= s.index {
		p.cached = append(p.cached, false)
	}
	if p.cached[s.index] == cached {
		return
	}
	p.cached[s.index] = cached
	if cached {
		p.holders++
	} else {
		p.holders--
	}
}

func (p *segment) addPending(s *server, by int) {
	for len(p.pending) <= s.index {
		p.pending = append(p.pending, 0)
	}
	p.pending[s.index] += int32(by)
	p.prefilling += by
}

// segment returns the segment of a name.
func (c *Core) segment(name string) *segment {
	p := c.segments[name]
	if p == nil {
		p = &segment{name: name}
		c.segments[name] = p
	}
	return p
}

// useSegments returns the prefix segments of a request. They stay known until
// releaseSegments.
func (c *Core) useSegments(all []place.Segment) []*segment {
	prefix := place.PrefixSegments(all)
	used := make([]*segment, 0, len(prefix))
	for _, named := range prefix {
		p := c.segment(named.Name)
		p.users++
		used = append(used, p)
	}
	return used
}

func (c *Core) releaseSegments(used []*segment) {
	for _, p := range used {
		p.users--
		c.forgetUnused(p)
	}
}

// forgetUnused removes a segment that no request contains and no server has.
func (c *Core) forgetUnused(p *segment) {
	if p.users == 0 && p.holders == 0 {
		delete(c.segments, p.name)
	}
}
