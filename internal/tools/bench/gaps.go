package bench

import "siskinsaddle/internal/base/clock"

// gapTracker measures, for each class in each failure domain, the longest time
// during which requests of the class were waiting and none entered a batch.
type gapTracker struct {
	byKey map[gapKey]*serviceGap
}

type gapKey struct {
	domain int
	class  string
}

// serviceGap is the state of one class in one failure domain. since is when the
// current gap began; it is meaningful only while requests are waiting.
type serviceGap struct {
	waiting int
	since   clock.Millis
	longest clock.Millis
}

func newGapTracker() *gapTracker { return &gapTracker{byKey: map[gapKey]*serviceGap{}} }

func (g *gapTracker) entry(r *request) *serviceGap {
	key := gapKey{domain: r.domain, class: r.class.Name}
	p, ok := g.byKey[key]
	if !ok {
		p = &serviceGap{}
		g.byKey[key] = p
	}
	return p
}

func (g *gapTracker) arrive(now clock.Millis, r *request) {
	p := g.entry(r)
	if p.waiting == 0 {
		p.since = now
	}
	p.waiting++
}

// serve records that the request has entered a batch.
func (g *gapTracker) serve(now clock.Millis, r *request) {
	if r.served || r.ended != "" {
		return
	}
	r.served = true
	p := g.entry(r)
	p.longest = max(p.longest, now-p.since)
	p.since = now
	p.waiting--
}

// end records that the request has ended, possibly without service.
func (g *gapTracker) end(now clock.Millis, r *request) {
	if r.served {
		return
	}
	p := g.entry(r)
	p.longest = max(p.longest, now-p.since)
	p.waiting--
}

// longest returns the longest gap of a class in any failure domain.
func (g *gapTracker) longest(class string) clock.Millis {
	longest := clock.Millis(0)
	for key, p := range g.byKey {
		if key.class == class {
			longest = max(longest, p.longest)
		}
	}
	return longest
}
