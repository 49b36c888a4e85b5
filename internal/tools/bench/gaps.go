package bench

import "siskinsaddle/internal/base/clock"

// gaps measures, for each class in each failure domain, the longest time
// during which work of the class was waiting and none of it entered a batch.
type gaps struct {
	places map[gapKey]*gapPlace
}

type gapKey struct {
	domain int
	class  string
}

type gapPlace struct {
	waiting int
	since   clock.Millis
	longest clock.Millis
}

func newGaps() *gaps { return &gaps{places: map[gapKey]*gapPlace{}} }

func (g *gaps) place(r *request) *gapPlace {
	key := gapKey{domain: r.domain, class: r.class.Name}
	p, ok := g.places[key]
	if !ok {
		p = &gapPlace{}
		g.places[key] = p
	}
	return p
}

func (g *gaps) arrive(now clock.Millis, r *request) {
	p := g.place(r)
	if p.waiting == 0 {
		p.since = now
	}
	p.waiting++
}

// serve notes that the request has entered a batch.
func (g *gaps) serve(now clock.Millis, r *request) {
	if r.served || r.ended != "" {
		return
	}
	r.served = true
	p := g.place(r)
	p.longest = max(p.longest, now-p.since)
	p.since = now
	p.waiting--
}

// end notes a request that ended, perhaps without service.
func (g *gaps) end(now clock.Millis, r *request) {
	if r.served {
		return
	}
	p := g.place(r)
	p.longest = max(p.longest, now-p.since)
	p.waiting--
}

// longest returns the longest gap of a class in any failure domain.
func (g *gaps) longest(class string) clock.Millis {
	longest := clock.Millis(0)
	for key, p := range g.places {
		if key.class == class {
			longest = max(longest, p.longest)
		}
	}
	return longest
}
