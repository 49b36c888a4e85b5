package grant

import (
	"slices"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/policy/fleet"
	"siskinsaddle/internal/policy/limit"
	"siskinsaddle/internal/policy/place"
)

// server is the keeper's estimate of the state of one server.
type server struct {
	fleet.Server
	// index tells the servers of a Core apart in its segments. It is used again after
	// the server was removed.
	index int
	// prefillQueue holds the requests whose prefill is not complete, running is the
	// number of all requests on the server.
	prefillQueue []*grantedRequest
	running      int
	// runningShort is the number of running requests of short classes.
	runningShort int
	// prefillSince is when prefill last started on an empty queue or completed a
	// prompt.
	prefillSince clock.Millis
	// pauseUntil is the end of the pause for decoding the running answers.
	pauseUntil clock.Millis
	// startDelay is the time until the server can start on another request, in
	// milliseconds. It is valid during one round of decisions.
	startDelay float64
	// plannedPrefill is the prefill time of the queued requests for which this server
	// is the best, in milliseconds. It is valid during one round of decisions.
	plannedPrefill float64
	cached         map[string]cachedSegment
	cachedTokens   int
	health         place.Health
	// bucket limits the requests of a server that has named a rate, namedRate in requests a
	// second, and is nil for others. rateAt is when the rate, or that there is none, was last stated.
	bucket    *limit.Bucket
	namedRate float64
	rateAt    clock.Millis
	// holdOffs are the times until which the server wants no requests from hosts, by host,
	// and heldOffUntil is the last of them. onTrial is set from the first hold-off until
	// the server has answered a request after all of them.
	holdOffs     map[string]clock.Millis
	heldOffUntil clock.Millis
	onTrial      bool
	// limitWait is the time until the bucket has a token, in milliseconds, and
	// plannedRequests the number of queued requests for which this server is the best.
	// Both are valid during one round of decisions.
	limitWait       clock.Millis
	plannedRequests int
	// lastCall is the number of the call without a prompt that the server got last.
	lastCall int
	removed  bool
	// lastEventHost is the host that last received an event from the server, at
	// lastEventAt.
	lastEventHost string
	lastEventAt   clock.Millis
}

// cachedSegment is a segment of prompts in a server's cache.
type cachedSegment struct {
	tokens   int
	lastUsed clock.Millis
}

func newServer(index int) *server {
	return &server{index: index, cached: map[string]cachedSegment{}}
}

// uncachedTokens returns the number of tokens of a prompt that the server has to
// prefill. A cached segment is usable only if all segments before it are cached too.
func (s *server) uncachedTokens(segments []place.Segment, tokens int) int {
	for _, p := range segments {
		if _, ok := s.cached[p.Name]; !ok {
			break
		}
		tokens -= p.Tokens
	}
	return max(tokens, 1)
}

// minPendingTokens is the least length of a pending segment for which a request waits.
const minPendingTokens = 1_000

// uncachedAfterPending returns the number of tokens of a prompt that the server has to
// prefill once its pending segments are cached, and whether the request should wait
// for such a segment.
func (s *server) uncachedAfterPending(q *queuedRequest) (int, bool) {
	tokens, pending := q.Tokens, false
	for i, p := range q.prefix {
		length := q.Segments[i].Tokens
		if !p.isCached(s) {
			if !p.isPending(s) {
				break
			}
			pending = pending || length >= minPendingTokens
		}
		tokens -= length
	}
	return max(tokens, 1), pending
}

// updateStartDelay computes startDelay.
func (s *server) updateStartDelay(now clock.Millis) {
	s.startDelay = s.backlog(now) + s.remainingPause(now)
	s.limitWait = 0
	if s.bucket != nil {
		s.limitWait = s.bucket.Wait(now, s.plannedRequests)
	}
}

// plan records that a queued request waits for the server.
func (s *server) plan(now clock.Millis, prefill float64) {
	s.plannedPrefill += prefill
	if s.bucket != nil {
		s.plannedRequests++
		s.limitWait = s.bucket.Wait(now, s.plannedRequests)
	}
}

// excludedFor reports whether a request may not go to the server, because its host has tried
// or avoids the server, or is held off by it.
func (s *server) excludedFor(now clock.Millis, q *queuedRequest) bool {
	if until, ok := s.holdOffs[q.Host]; ok && now >= until {
		delete(s.holdOffs, q.Host)
	}
	return now < s.holdOffs[q.Host] || slices.Contains(q.Avoid, s.ID)
}

// setRate sets the rate that the server has named, 0 for none, and the share of it that
// this keeper may grant.
func (s *server) setRate(now clock.Millis, rate, share float64) {
	s.namedRate = rate
	switch {
	case rate == 0:
		s.bucket = nil
	case s.bucket == nil:
		s.bucket = limit.NewBucket(now, rate*share)
	default:
		s.bucket.SetRate(now, rate*share)
	}
}

// addRequest adds a request to the server's prefill queue and counts.
func (s *server) addRequest(now clock.Millis, g *grantedRequest) {
	if len(s.prefillQueue) == 0 {
		s.prefillSince = now
	}
	s.prefillQueue = append(s.prefillQueue, g)
	s.running++
	if g.short {
		s.runningShort++
	}
	for _, p := range g.prefix {
		p.addPending(s, 1)
	}
}

// finishPrefill removes a request from the server's prefill queue.
func (s *server) finishPrefill(now clock.Millis, g *grantedRequest) {
	i := slices.Index(s.prefillQueue, g)
	if i < 0 {
		return
	}
	s.prefillQueue = slices.Delete(s.prefillQueue, i, i+1)
	s.prefillSince = now
	if s.removed {
		return
	}
	for _, p := range g.prefix {
		p.addPending(s, -1)
	}
}

func (s *server) removeRequest(g *grantedRequest) {
	s.running--
	if g.short {
		s.runningShort--
	}
}

// addDecodePause delays the next long prompt by a pause in milliseconds, in which the
// server only decodes its running answers.
func (s *server) addDecodePause(now clock.Millis, pause float64) {
	if s.running > 0 {
		s.pauseUntil = max(s.pauseUntil, now) + clock.Millis(pause)
	}
}

// remainingPause returns the rest of the decode pause, in milliseconds.
func (s *server) remainingPause(now clock.Millis) float64 {
	return float64(max(s.pauseUntil-now, 0))
}

// A server's prefill is overdue after overdueFactor times the expected time plus
// overdueSlack milliseconds.
const (
	overdueFactor = 2.0
	overdueSlack  = 250.0
	// minBacklogShare is the share of the expected prefill time that is assumed to
	// remain until the next event shows progress.
	minBacklogShare = 0.3
)

// backlog returns the time until the server's pending prefill is complete, in
// milliseconds. It grows while the server is overdue, so that other servers are
// preferred to a dead one before its failure is reported.
func (s *server) backlog(now clock.Millis) float64 {
	if len(s.prefillQueue) == 0 {
		return 0
	}
	total := 0.0
	for _, g := range s.prefillQueue {
		total += g.prefill
	}
	elapsed := float64(now - s.prefillSince)
	overdue := max(elapsed-overdueFactor*total-overdueSlack, 0)
	return max(total-elapsed, minBacklogShare*total) + overdue
}
