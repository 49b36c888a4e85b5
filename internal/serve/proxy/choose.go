package proxy

import (
	"context"
	"slices"
	"strconv"

	"github.com/cockroachdb/errors"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/policy/grant"
	"siskinsaddle/internal/policy/place"
	"siskinsaddle/internal/serve/refuse"
	"siskinsaddle/internal/share/broker"
)

// choose selects a server for the next attempt. For prompts the service's keeper
// decides; if no keeper is reachable, and for plain calls, this host decides alone. It
// refuses prompts with a quarantined segment, also if the quarantine began while they
// waited, and all requests that arrive too late to be finished before this host stops.
func (j *job) choose(ctx context.Context) (place.Choice, *refuse.Refusal) {
	if j.proxy.draining.Err() != nil && len(j.place.Avoid) == 0 {
		return place.Choice{}, refuse.New(refuse.ReasonStopping).WithRetryAfter(minRetryAfter)
	}
	if refusal := j.quarantined(); refusal != nil {
		return place.Choice{}, refusal
	}
	choice, refusal := j.chooseServer(ctx)
	if refusal != nil {
		return choice, refusal
	}
	if refusal := j.quarantined(); refusal != nil {
		if j.grant != "" {
			j.proxy.Broker.Ended(j.grant, place.OutcomeCancelled)
			j.grant = ""
		}
		return choice, refusal
	}
	return choice, nil
}

// quarantined returns the refusal of a prompt with a quarantined segment, or nil.
func (j *job) quarantined() *refuse.Refusal {
	if j.proxy.Guard == nil || len(j.place.Segments) == 0 {
		return nil
	}
	segment, left := j.proxy.Guard.Quarantined(j.service, j.place.Segments)
	if segment == "" {
		return nil
	}
	j.quarantinedSegment = segment
	return refuse.New(refuse.ReasonQuarantined).WithRetryAfter(left)
}

func (j *job) chooseServer(ctx context.Context) (place.Choice, *refuse.Refusal) {
	if j.asksKeeper() {
		choice, refusal, err := j.requestGrant(ctx)
		if err == nil {
			return choice, refusal
		}
		if j.proxy.draining.Err() != nil {
			return choice, refuse.New(refuse.ReasonStopping).WithRetryAfter(minRetryAfter)
		}
		if !errors.Is(err, broker.ErrNoKeeper) {
			return choice, refuse.New(refuse.ReasonOutOfTime)
		}
		j.place.Prefer = j.prefixServer()
	}
	j.proxy.mu.Lock()
	defer j.proxy.mu.Unlock()
	return j.chooseAlone(j.proxy.Clock.Now())
}

// asksKeeper reports whether a keeper decides: on prompts, and on all requests of a service
// with a server that has named a rate limit, which holds for all hosts together.
func (j *job) asksKeeper() bool {
	p := j.proxy
	if p.Broker == nil {
		return false
	}
	if j.prompt() {
		return true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.limits.Limited(j.service)
}

// prompt reports whether the request has a prompt whose segments are known.
func (j *job) prompt() bool { return j.route.Prompts && len(j.place.Segments) > 0 }

// prefixServer returns the server at which this host last saw the prompt's prefix
// segments prefilled, or "" if there is none.
func (j *job) prefixServer() string {
	prefix := place.PrefixSegments(j.place.Segments)
	if len(prefix) == 0 {
		return ""
	}
	return j.proxy.Broker.SegmentServer(j.service, prefix[len(prefix)-1].Name)
}

// maxGrants bounds the grants that are requested for one attempt if the keeper grants
// servers that this host knows better not to use.
const maxGrants = 3

// requestGrant requests grants from the keeper until it grants a server that this host may
// use. It returns broker.ErrNoKeeper if this host must decide alone.
func (j *job) requestGrant(ctx context.Context) (place.Choice, *refuse.Refusal, error) {
	var unusable []string
	for range maxGrants {
		choice, refusal, err := j.requestGrantOnce(ctx, unusable)
		if !errors.Is(err, errUnusable) {
			return choice, refusal, err
		}
		unusable = append(unusable, j.decision.Server)
	}
	return place.Choice{}, nil, broker.ErrNoKeeper
}

// errUnusable reports the grant of a server that this host may not use.
var errUnusable = errors.New("the keeper granted a server that is leaving, unknown here or holds this host off")

// requestGrantOnce sends a grant request to the keeper. It excludes the servers that
// this host avoids or has already tried, those that hold it off, and unusable ones.
func (j *job) requestGrantOnce(ctx context.Context, unusable []string) (place.Choice, *refuse.Refusal, error) {
	p := j.proxy
	now := p.Clock.Now()
	p.mu.Lock()
	heldOff, _ := p.heldOff(j.service)
	avoid := slices.Concat(p.Placer.AvoidedServers(now, j.service), j.place.Avoid, heldOff, unusable)
	p.mu.Unlock()
	j.grantRequests++
	request := grant.Request{
		ID:       p.Broker.Self + "/" + j.id + "/" + strconv.Itoa(j.grantRequests),
		Class:    j.route.Name,
		Segments: j.place.Segments,
		Tokens:   j.place.Tokens,
		Tier:     j.tier,
		Target:   j.route.Target,
		TimeLeft: j.deadline - now,
		Avoid:    avoid,
		Plain:    !j.prompt(),
		Limits:   j.knownLimits(now),
	}
	waitCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(p.draining, cancel)()
	d, err := p.Broker.RequestGrant(waitCtx, j.service, request)
	j.grantTime += p.Clock.Now() - now
	if err != nil {
		return place.Choice{}, nil, err
	}
	j.decision = d
	j.liftLimits(now, request)
	j.placedBy, j.waited, j.startDelay = d.Reason, j.waited+d.Waited, d.StartDelay
	p.mu.Lock()
	defer p.mu.Unlock()
	if d.Server == "" {
		if heldOff, wait := p.heldOff(j.service); d.Reason == keeperHasNoServer && len(heldOff) > 0 {
			return place.Choice{}, refuse.New(refuse.ReasonFull).WithRetryAfter(max(wait, minRetryAfter)), nil
		}
		return place.Choice{}, keeperRefusal(d), nil
	}
	s, ok := p.Placer.Server(j.service, d.Server)
	if !ok || p.notices.HeldOff(p.Clock.Boot(), s) > 0 {
		p.Broker.Ended(request.ID, place.OutcomeCancelled)
		return place.Choice{}, nil, errUnusable
	}
	j.grant = request.ID
	return place.Choice{Server: s, Reason: d.Reason, Open: p.Placer.Open(s)}, nil, nil
}

// minRetryAfter is the minimum retry delay of refused callers, in milliseconds:
// an earlier retry would find nothing changed.
const minRetryAfter = 200 * clock.Millis(1)

// keeperHasNoServer is the reason of a keeper without a server that the request may use.
const keeperHasNoServer = "NoServer"

// keeperReasons maps the reasons of a keeper's refusal to those for callers. A keeper
// that cannot serve the request in time counts as full to the caller.
var keeperReasons = map[string]refuse.Reason{
	keeperHasNoServer: refuse.ReasonNoServer,

	"OutOfTime": refuse.ReasonFull,
	"QueueFull": refuse.ReasonFull,

	broker.ReasonQuarantined: refuse.ReasonQuarantined,
}

// keeperRefusal returns the caller's refusal for a keeper's decision without a server.
func keeperRefusal(d grant.Decision) *refuse.Refusal {
	reason, ok := keeperReasons[d.Reason]
	if !ok {
		reason = refuse.ReasonFull
	}
	return refuse.New(reason).WithRetryAfter(max(d.RetryAfter, minRetryAfter))
}
