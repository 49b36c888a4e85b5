// Package speed detects slow backend servers from latencies measured by the
// entry hosts, since the servers' own load reports arrive late.
//
// It tracks two latencies per server: the time to the first token, as a function
// of the prompt tokens to prefill, and the time between tokens, as a function of
// the number of running requests. The expected values are linear fits over the
// samples of all servers that are not slow, so that a slow server does not shift
// them. The ratios of observed to expected latency are smoothed over a quarter of
// a second and compared with the median over all servers, so that a slowdown that
// affects every server marks none of them as slow.
//
// The time to the first token varies with the other prefills on the server, so it
// counts only beyond twice the expected time. A request that has waited longer
// than that counts even before its first token arrives, which detects a server
// that has stopped responding.
//
// The weight of a slow server falls in proportion to its slowness. A server
// without traffic yields no samples, so a slow one is periodically due for a
// probe: one short request that may be repeated.
//
// # Usage
//
//	t := speed.New()
//	t.Started(now, "llm-1", "r1", 300)             // granted, prompt of 300 tokens
//	t.FirstToken(now, "llm-1", "r1", 45)           // first token after 45 ms
//	t.InterTokenLatency(now, "llm-1", 6, 21.5)     // 21.5 ms between tokens, 6 running
//	t.Ended(now, "llm-1", "r1")
//	w := t.Weight(now, "llm-1")                    // 0.05 to 1
//	if t.ProbeDue(now, "llm-1") { t.RecordProbe(now, "llm-1") }
package speed

import (
	"math"
	"slices"

	"siskinsaddle/internal/base/clock"
)

const (
	// smoothingTime is the time constant of the smoothed ratios, in milliseconds.
	smoothingTime = 250.0
	// slowThreshold is the ratio to the median of all servers above which a
	// server is slow.
	slowThreshold = 1.5
	// minWeight is the lowest weight of a slow server.
	minWeight = 0.05
	// probeInterval is the shortest time between two probes of a slow server.
	probeInterval = 500 * clock.Millis(1)
	// heavyPrefill is the duration in milliseconds from which a prefill noticeably
	// delays the tokens of other requests; prefillSlowdown is the factor by which
	// it does.
	heavyPrefill    = 50.0
	prefillSlowdown = 1.5
	// minSamples is the number of samples that a fit needs before it is used.
	minSamples = 20
)

// Tracker holds the latency statistics of a set of backend servers.
// Create one with New; it is not safe for concurrent use.
type Tracker struct {
	// ReportLag is the longest delay, in milliseconds, of a first-token report.
	ReportLag clock.Millis

	servers map[string]*server
	names   []string
	// firstToken is the fit of the time to the first token, interToken that of the
	// time between tokens.
	firstToken linearFit
	interToken linearFit
}

type server struct {
	firstToken ratio
	interToken ratio
	pending    map[string]pendingRequest
	lastProbe  clock.Millis
	// prefillUntil is when the prefills of all prompts sent so far are expected
	// to complete. Reports that arrive before heavyPrefillUntil may cover a time
	// with a heavy prefill.
	prefillUntil      float64
	heavyPrefillUntil float64
}

// pendingRequest is a request without its first token.
type pendingRequest struct {
	at     clock.Millis
	prompt int
	// queuedPrefill is the expected time of the prefills ahead of this one, in
	// milliseconds.
	queuedPrefill float64
}

// New returns an empty Tracker.
func New() *Tracker { return &Tracker{servers: map[string]*server{}} }

func (t *Tracker) at(name string) *server {
	s := t.servers[name]
	if s == nil {
		s = &server{pending: map[string]pendingRequest{}}
		t.servers[name] = s
		t.names = append(t.names, name)
		slices.Sort(t.names)
	}
	return s
}

// Forget discards the statistics of a server that was removed.
func (t *Tracker) Forget(name string) {
	delete(t.servers, name)
	t.names = slices.DeleteFunc(t.names, func(n string) bool { return n == name })
}

// Started records that a request was sent to the server.
func (t *Tracker) Started(now clock.Millis, name, id string, promptTokens int) {
	s := t.at(name)
	s.pending[id] = pendingRequest{at: now, prompt: promptTokens, queuedPrefill: t.PendingPrefill(now, name)}
	prefill := t.firstToken.perUnit * float64(promptTokens) * t.Slowness(now, name)
	s.prefillUntil = max(s.prefillUntil, float64(now)) + prefill
	if prefill >= heavyPrefill {
		s.heavyPrefillUntil = s.prefillUntil + float64(t.ReportLag)
	}
}

// PendingPrefill returns the expected remaining time, in milliseconds, of the
// prefills that were sent to the server before. A prompt that is sent now waits for
// them.
func (t *Tracker) PendingPrefill(now clock.Millis, name string) float64 {
	s := t.servers[name]
	if s == nil {
		return 0
	}
	return max(0, s.prefillUntil-float64(now))
}

// FirstToken records the time to the first token of a started request, in
// milliseconds.
func (t *Tracker) FirstToken(now clock.Millis, name, id string, took clock.Millis) {
	s := t.at(name)
	o, ok := s.pending[id]
	if !ok {
		return
	}
	delete(s.pending, id)
	t.observe(now, &t.firstToken, &s.firstToken, name,
		sample{x: float64(o.prompt), queuedPrefill: o.queuedPrefill, took: float64(took)})
}

// InterTokenLatency records a mean time between tokens, in milliseconds, observed
// while the server ran this many requests. A heavy prefill delays tokens on any
// server, so values observed during one are scaled down.
func (t *Tracker) InterTokenLatency(now clock.Millis, name string, running int, took float64) {
	if took <= 0 {
		return
	}
	s := t.at(name)
	if float64(now) < s.heavyPrefillUntil {
		took /= prefillSlowdown
	}
	t.observe(now, &t.interToken, &s.interToken, name, sample{x: float64(running), took: took})
}

// Ended records that a request has ended, with or without a first token.
func (t *Tracker) Ended(_ clock.Millis, name, id string) {
	delete(t.at(name).pending, id)
}

// sample is an observed latency in milliseconds. x is the number of prompt tokens
// or of running requests.
type sample struct {
	x             float64
	queuedPrefill float64
	took          float64
}

func (t *Tracker) observe(now clock.Millis, l *linearFit, r *ratio, name string, v sample) {
	if l.count >= minSamples {
		r.add(now, v.took/max(1, l.at(v.x)+v.queuedPrefill))
	}
	if v.queuedPrefill == 0 && t.Slowness(now, name) <= slowThreshold {
		l.add(v.x, v.took)
	}
}

// ExpectedFirstToken returns the expected time to the first token, in milliseconds,
// of a prompt on a server that is not slow, or 0 while there are too few samples.
func (t *Tracker) ExpectedFirstToken(promptTokens int) clock.Millis {
	if t.firstToken.count < minSamples {
		return 0
	}
	return clock.Millis(t.firstToken.at(float64(promptTokens)))
}

// ExpectedInterTokenLatency returns the expected time between tokens, in
// milliseconds, on a server that is not slow and runs this many requests, or 0 while
// there are too few samples.
func (t *Tracker) ExpectedInterTokenLatency(running int) float64 {
	if t.interToken.count < minSamples {
		return 0
	}
	return t.interToken.at(float64(running))
}

// Slowness returns the factor by which the server is slower than the median of
// all servers, at least 1.
func (t *Tracker) Slowness(now clock.Millis, name string) float64 {
	worstRatio := t.worstRatio(now, name)
	if worstRatio <= 1 || len(t.names) < 2 {
		return max(1, worstRatio)
	}
	all := make([]float64, 0, len(t.names))
	for _, n := range t.names {
		all = append(all, t.worstRatio(now, n))
	}
	slices.Sort(all)
	return max(1, worstRatio/max(1, all[(len(all)-1)/2]))
}

// firstTokenTolerance is the multiple of the expected time to the first token
// above which the server counts as slow.
const firstTokenTolerance = 2.0

// worstRatio returns the largest of the server's latency ratios, including those
// of pending requests whose first token is overdue.
func (t *Tracker) worstRatio(now clock.Millis, name string) float64 {
	s := t.servers[name]
	if s == nil {
		return 1
	}
	worst := max(1, s.firstToken.value/firstTokenTolerance, s.interToken.value)
	if t.firstToken.count < minSamples {
		return worst
	}
	for _, o := range s.pending {
		expected := max(1, t.firstToken.at(float64(o.prompt))+o.queuedPrefill)
		worst = max(worst, float64(now-o.at-t.ReportLag)/expected/firstTokenTolerance)
	}
	return worst
}

// Weight returns the share of its usual load that the server should receive, from
// 0.05 to 1.
func (t *Tracker) Weight(now clock.Millis, name string) float64 {
	s := t.Slowness(now, name)
	if s <= slowThreshold {
		return 1
	}
	return max(minWeight, 1/s)
}

// ProbeDue reports whether a slow server should receive one short request that
// may be repeated, to check whether it has recovered.
func (t *Tracker) ProbeDue(now clock.Millis, name string) bool {
	s := t.servers[name]
	return s != nil && len(s.pending) == 0 && now-s.lastProbe >= probeInterval &&
		t.Slowness(now, name) > slowThreshold
}

// RecordProbe records that a probe was sent to the server.
func (t *Tracker) RecordProbe(now clock.Millis, name string) { t.at(name).lastProbe = now }

// ratio is an exponentially smoothed ratio of observed to expected latency.
type ratio struct {
	value float64
	last  clock.Millis
}

// add weights the new value by the time since the last one, so that many samples
// of the same instant count little more than one.
func (r *ratio) add(now clock.Millis, value float64) {
	if r.value == 0 {
		r.value, r.last = value, now
		return
	}
	passed := max(smoothingTime/20, float64(now-r.last))
	r.value += (1 - math.Exp(-passed/smoothingTime)) * (value - r.value)
	r.last = now
}
