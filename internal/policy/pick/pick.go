// Package pick chooses the backend server for a request that has been given a
// slot.
//
// For each candidate it estimates when the answer would be complete: the prefill
// that the server still has queued, the prefill of the part of the prompt that is
// not in the server's prefix cache, and the predicted output at the time between
// tokens for the load, the last two multiplied by the server's present slowness.
// Prefix affinity is a hint: it counts only while the server runs at most 1.25 times
// the candidates' mean number of requests plus one. It relies on which prompts were
// sent to a server, not on the engine's cache events.
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

// Settings of a Chooser. Zero fields mean the defaults given at each field.
type Settings struct {
	// PrefixesPerServer is the number of prompt prefixes that a server is
	// assumed to have cached, 512 by default.
	PrefixesPerServer int
	// CachedShare is the share of the prefill time that a cached prefix saves,
	// 0.7 by default.
	CachedShare float64
	// LoadBound is the multiple of the mean load up to which a server's cached
	// prefix counts, 1.25 by default.
	LoadBound float64
}

const (
	defaultPrefixes    = 512
	defaultCachedShare = 0.7
	defaultLoadBound   = 1.25
	// maxProbeTokens is the longest predicted output of a request that may serve
	// as a probe, in tokens.
	maxProbeTokens = 200
	// The times assumed before any were measured, in milliseconds, and the output
	// assumed without a prediction, in tokens.
	defaultFirstToken      = 50.0
	defaultBetweenTokens   = 20.0
	defaultPerRunning      = 1.0
	defaultPredictedTokens = 100
)

// Chooser chooses the server with the earliest expected completion. It answers an
// uneven load of servers that differ in speed and in cached prefixes. Create it with
// New; it is not safe for concurrent use.
type Chooser struct {
	settings Settings
	tracker  *speed.Tracker
	prefixes prefixCache
}

// New returns a Chooser that estimates times from the tracker.
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
	return &Chooser{settings: s, tracker: t, prefixes: newPrefixCache(s.PrefixesPerServer)}
}

// Choose returns the index of the candidate with the earliest expected completion,
// or of a slow server that is due for a probe if the request may serve as one.
func (c *Chooser) Choose(now clock.Millis, r sched.Request, candidates []sched.Candidate) int {
	best := c.probe(now, r, candidates)
	if best < 0 {
		best = c.fastest(now, r, candidates)
	}
	c.prefixes.add(candidates[best].Server, r.Prefix)
	return best
}

// probe returns the index of an idle candidate that is due for a probe, -1 for none.
func (c *Chooser) probe(now clock.Millis, r sched.Request, candidates []sched.Candidate) int {
	if r.NotRepeatable || r.PredictedTokens > maxProbeTokens || len(candidates) < 2 {
		return -1
	}
	for i, k := range candidates {
		if k.Running == 0 && c.tracker.ProbeDue(now, k.Server) {
			c.tracker.RecordProbe(now, k.Server)
			return i
		}
	}
	return -1
}

func (c *Chooser) fastest(now clock.Millis, r sched.Request, candidates []sched.Candidate) int {
	running := 0
	for _, k := range candidates {
		running += k.Running
	}
	maxRunning := c.settings.LoadBound*float64(running)/float64(len(candidates)) + 1
	best, bestTime := 0, 0.0
	for i, k := range candidates {
		cached := float64(k.Running) <= maxRunning && c.prefixes.has(k.Server, r.Prefix)
		if took := c.expectedCompletion(now, r, k, cached); i == 0 || took < bestTime {
			best, bestTime = i, took
		}
	}
	return best
}

// expectedCompletion returns the time until the answer would be complete, in
// milliseconds.
func (c *Chooser) expectedCompletion(
	now clock.Millis, r sched.Request, k sched.Candidate, cached bool,
) float64 {
	firstToken := float64(c.tracker.ExpectedFirstToken(r.PromptTokens))
	if firstToken == 0 {
		firstToken = defaultFirstToken
	}
	if cached {
		firstToken *= 1 - c.settings.CachedShare
	}
	interToken := c.tracker.ExpectedInterTokenLatency(k.Running + 1)
	if interToken == 0 {
		interToken = defaultBetweenTokens + defaultPerRunning*float64(k.Running)
	}
	tokens := r.PredictedTokens
	if tokens <= 0 {
		tokens = defaultPredictedTokens
	}
	return c.tracker.PendingPrefill(now, k.Server) + (firstToken+float64(tokens)*interToken)*c.tracker.Slowness(now, k.Server)
}
