// Package speed judges backend servers by the entry hosts' own timings, since
// the servers' load reports come late.
//
// Two figures are watched: the time to the first token, by the prompts that the
// server has to read until then, and the time between tokens, by how many
// requests it runs. Both are compared with what is expected for that prompt or
// that load. The expectation is a straight line fitted to the timings of all
// servers that are not slow, so that a slow one does not shift it. The ratios
// of observed to expected time are smoothed over a quarter of a second, and
// compared with the median of the siblings: what slows all servers alike makes
// none of them slow.
//
// First tokens vary with what else the server reads, so that they count only
// beyond twice the expected time. A request that has waited for its first token
// for longer than that counts before the token comes, so that a server that has
// stopped answering is noticed too.
//
// A slow server loses weight in proportion. One that gets no work gives no
// timings, so it is due for a probe now and then: one request that may be
// repeated and is short.
//
// # Usage
//
//	t := speed.New()
//	t.Started(now, "llm-1", "r1", 300)             // granted, prompt of 300 tokens
//	t.FirstToken(now, "llm-1", "r1", 45)           // first token after 45 ms
//	t.Between(now, "llm-1", 6, 21.5)               // 21.5 ms between tokens, 6 running
//	t.Ended(now, "llm-1", "r1")
//	w := t.Weight(now, "llm-1")                    // 0.05 to 1
//	if t.ProbeDue(now, "llm-1") { t.Probed(now, "llm-1") }
package speed

import (
	"math"
	"slices"

	"siskinsaddle/internal/base/clock"
)

const (
	// smoothing is the time in milliseconds in which a ratio forgets.
	smoothing = 250.0
	// tolerated is the ratio to the siblings' median up to which a server is
	// not slow.
	tolerated = 1.5
	// lowestWeight is what a slow server keeps at the least.
	lowestWeight = 0.05
	// probeEvery is the time between two probes of a slow server.
	probeEvery = 500 * clock.Millis(1)
	// heavyReading is the time in milliseconds from which a prompt's reading
	// slows the tokens of others noticeably, and heavySlowing by how much.
	heavyReading = 50.0
	heavySlowing = 1.5
	// leastTimings is how many timings the line needs before it is used.
	leastTimings = 20
)

// Tracker holds the timings of some backend servers. Take New; it is not safe
// for concurrent use.
type Tracker struct {
	// ReportLag is how late in milliseconds the news of a first token may be.
	ReportLag clock.Millis

	servers map[string]*server
	names   []string
	first   line
	between line
}

type server struct {
	first   ratio
	between ratio
	open    map[string]opened
	probed  clock.Millis
	// readUntil is when the prompts sent so far are expected to be read, and
	// heavyUntil until when reports may be of a time with long prompts.
	readUntil  float64
	heavyUntil float64
}

// opened is a request without its first token.
type opened struct {
	at     clock.Millis
	prompt int
	// ahead is how long in milliseconds the server reads other prompts first.
	ahead float64
}

// New returns an empty Tracker.
func New() *Tracker { return &Tracker{servers: map[string]*server{}} }

func (t *Tracker) at(name string) *server {
	s := t.servers[name]
	if s == nil {
		s = &server{open: map[string]opened{}}
		t.servers[name] = s
		t.names = append(t.names, name)
		slices.Sort(t.names)
	}
	return s
}

// Forget drops a server that has left.
func (t *Tracker) Forget(name string) {
	delete(t.servers, name)
	t.names = slices.DeleteFunc(t.names, func(n string) bool { return n == name })
}

// Started notes that a request was sent to the server.
func (t *Tracker) Started(now clock.Millis, name, id string, promptTokens int) {
	s := t.at(name)
	s.open[id] = opened{at: now, prompt: promptTokens, ahead: t.Reading(now, name)}
	reading := t.first.perUnit * float64(promptTokens) * t.Slowness(now, name)
	s.readUntil = max(s.readUntil, float64(now)) + reading
	if reading >= heavyReading {
		s.heavyUntil = s.readUntil + float64(t.ReportLag)
	}
}

// Reading is how long in milliseconds the server is expected to read prompts
// that were sent to it before. A prompt that is sent now waits for these.
func (t *Tracker) Reading(now clock.Millis, name string) float64 {
	s := t.servers[name]
	if s == nil {
		return 0
	}
	return max(0, s.readUntil-float64(now))
}

// FirstToken notes that a started request's first token came after this many
// milliseconds.
func (t *Tracker) FirstToken(now clock.Millis, name, id string, took clock.Millis) {
	s := t.at(name)
	o, ok := s.open[id]
	if !ok {
		return
	}
	delete(s.open, id)
	t.observe(now, &t.first, &s.first, name, timing{x: float64(o.prompt), ahead: o.ahead, took: float64(took)})
}

// Between takes a mean time between tokens in milliseconds, seen while the
// server ran this many requests. Tokens come more slowly while a long prompt is
// read, which says nothing of the server.
func (t *Tracker) Between(now clock.Millis, name string, running int, took float64) {
	if took <= 0 {
		return
	}
	s := t.at(name)
	if float64(now) < s.heavyUntil {
		took /= heavySlowing
	}
	t.observe(now, &t.between, &s.between, name, timing{x: float64(running), took: took})
}

// Ended notes that a request is over, with or without a first token.
func (t *Tracker) Ended(_ clock.Millis, name, id string) {
	delete(t.at(name).open, id)
}

// timing is an observed time in milliseconds, for a length of prompt or a number
// of running requests.
type timing struct {
	x     float64
	ahead float64
	took  float64
}

func (t *Tracker) observe(now clock.Millis, l *line, r *ratio, name string, v timing) {
	if l.count >= leastTimings {
		r.add(now, v.took/max(1, l.at(v.x)+v.ahead))
	}
	if v.ahead == 0 && t.Slowness(now, name) <= tolerated {
		l.add(v.x, v.took)
	}
}

// ExpectedFirst is the time to the first token in milliseconds that a server
// which is not slow needs for a prompt, 0 while nothing is known.
func (t *Tracker) ExpectedFirst(promptTokens int) clock.Millis {
	if t.first.count < leastTimings {
		return 0
	}
	return clock.Millis(t.first.at(float64(promptTokens)))
}

// ExpectedBetween is the time between tokens in milliseconds on a server which
// is not slow and runs this many requests, 0 while nothing is known.
func (t *Tracker) ExpectedBetween(running int) float64 {
	if t.between.count < leastTimings {
		return 0
	}
	return t.between.at(float64(running))
}

// Slowness is how many times slower than its siblings the server is, 1 if it
// is not slower.
func (t *Tracker) Slowness(now clock.Millis, name string) float64 {
	own := t.own(now, name)
	if own <= 1 || len(t.names) < 2 {
		return max(1, own)
	}
	all := make([]float64, 0, len(t.names))
	for _, n := range t.names {
		all = append(all, t.own(now, n))
	}
	slices.Sort(all)
	return max(1, own/max(1, all[(len(all)-1)/2]))
}

// firstTolerated is how many times the expected time a first token may take
// before it counts as slowness.
const firstTolerated = 2.0

// own is the larger of a server's two ratios, counting requests whose first
// token is overdue.
func (t *Tracker) own(now clock.Millis, name string) float64 {
	s := t.servers[name]
	if s == nil {
		return 1
	}
	worst := max(1, s.first.value/firstTolerated, s.between.value)
	if t.first.count < leastTimings {
		return worst
	}
	for _, o := range s.open {
		expected := max(1, t.first.at(float64(o.prompt))+o.ahead)
		worst = max(worst, float64(now-o.at-t.ReportLag)/expected/firstTolerated)
	}
	return worst
}

// Weight is the share of its usual work that the server should get, from 0.05
// to 1.
func (t *Tracker) Weight(now clock.Millis, name string) float64 {
	s := t.Slowness(now, name)
	if s <= tolerated {
		return 1
	}
	return max(lowestWeight, 1/s)
}

// ProbeDue tells whether a slow server should be given one short request that
// may be repeated, to see whether it has recovered.
func (t *Tracker) ProbeDue(now clock.Millis, name string) bool {
	s := t.servers[name]
	return s != nil && len(s.open) == 0 && now-s.probed >= probeEvery && t.Slowness(now, name) > tolerated
}

// Probed notes that the server was given its probe.
func (t *Tracker) Probed(now clock.Millis, name string) { t.at(name).probed = now }

// ratio is a smoothed ratio of observed to expected time.
type ratio struct {
	value float64
	last  clock.Millis
}

// add weighs the new value by the time since the last one, so that many timings
// of the same instant count little more than one.
func (r *ratio) add(now clock.Millis, value float64) {
	if r.value == 0 {
		r.value, r.last = value, now
		return
	}
	passed := max(smoothing/20, float64(now-r.last))
	r.value += (1 - math.Exp(-passed/smoothing)) * (value - r.value)
	r.last = now
}
