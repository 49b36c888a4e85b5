// Package pick chooses the backend server for a request that has been given a
// slot.
//
// For each candidate it works out when the answer would be complete there: the
// prompts that the server has to read before, the prompt's share that is not in
// the server's prefix cache, and the predicted output at the time between
// tokens for the load, multiplied by how slow the server is now. Prefix affinity is a hint: it counts only while the
// server runs no more than a quarter and one request above the candidates'
// mean, and rests on which prompts were sent there, not on the engine's cache
// events.
//
// # Usage
//
//	c := pick.New(tracker, pick.Settings{})
//	settings.Choose = c.Choose // sched.Settings
package pick

import (
	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/policy/sched"
	"siskinsaddle/internal/policy/speed"
)

// Settings of a Chooser. Zero fields take the defaults named beside them.
type Settings struct {
	// PrefixesPerServer is how many prompt prefixes a server is taken to
	// hold, 512 by default.
	PrefixesPerServer int
	// CachedShare is the share of a prompt's time that a held prefix saves,
	// 0.7 by default.
	CachedShare float64
	// LoadBound is how many times the mean load a server may have for its
	// held prefix to count, 1.25 by default.
	LoadBound float64
}

const (
	defaultPrefixes    = 512
	defaultCachedShare = 0.7
	defaultLoadBound   = 1.25
	// probeTokens is the longest output in tokens of a probe.
	probeTokens = 200
	// The figures that hold while nothing has been measured, in milliseconds.
	unknownFirst     = 50.0
	unknownBetween   = 20.0
	unknownPerRun    = 1.0
	unknownPredicted = 100
)

// Chooser chooses servers. Take New; it is not safe for concurrent use.
type Chooser struct {
	settings Settings
	tracker  *speed.Tracker
	held     prefixes
}

// New returns a Chooser that judges speed by the tracker.
func New(t *speed.Tracker, s Settings) *Chooser {
	if s.PrefixesPerServer <= 0 {
		s.PrefixesPerServer = defaultPrefixes
	}
	if s.CachedShare <= 0 {
		s.CachedShare = defaultCachedShare
	}
	if s.LoadBound <= 0 {
		s.LoadBound = defaultLoadBound
	}
	return &Chooser{settings: s, tracker: t, held: newPrefixes(s.PrefixesPerServer)}
}

// Choose returns the index of the candidate where the answer is expected to be
// complete first. A slow server that is due for a probe gets a short request.
func (c *Chooser) Choose(now clock.Millis, r sched.Request, among []sched.Candidate) int {
	best := c.probe(now, r, among)
	if best < 0 {
		best = c.fastest(now, r, among)
	}
	c.held.add(among[best].Server, r.Prefix)
	return best
}

// probe returns a candidate that is due for a probe, -1 for none.
func (c *Chooser) probe(now clock.Millis, r sched.Request, among []sched.Candidate) int {
	if r.NotRepeatable || r.PredictedTokens > probeTokens || len(among) < 2 {
		return -1
	}
	for i, k := range among {
		if k.Running == 0 && c.tracker.ProbeDue(now, k.Server) {
			c.tracker.Probed(now, k.Server)
			return i
		}
	}
	return -1
}

func (c *Chooser) fastest(now clock.Millis, r sched.Request, among []sched.Candidate) int {
	running := 0
	for _, k := range among {
		running += k.Running
	}
	most := c.settings.LoadBound*float64(running)/float64(len(among)) + 1
	best, least := 0, 0.0
	for i, k := range among {
		cached := float64(k.Running) <= most && c.held.has(k.Server, r.Prefix)
		if took := c.expected(now, r, k, cached); i == 0 || took < least {
			best, least = i, took
		}
	}
	return best
}

// expected is the time in milliseconds until the answer would be complete.
func (c *Chooser) expected(now clock.Millis, r sched.Request, k sched.Candidate, cached bool) float64 {
	first := float64(c.tracker.ExpectedFirst(r.PromptTokens))
	if first == 0 {
		first = unknownFirst
	}
	if cached {
		first *= 1 - c.settings.CachedShare
	}
	between := c.tracker.ExpectedBetween(k.Running + 1)
	if between == 0 {
		between = unknownBetween + unknownPerRun*float64(k.Running)
	}
	tokens := r.PredictedTokens
	if tokens <= 0 {
		tokens = unknownPredicted
	}
	return c.tracker.Reading(now, k.Server) + (first+float64(tokens)*between)*c.tracker.Slowness(now, k.Server)
}
