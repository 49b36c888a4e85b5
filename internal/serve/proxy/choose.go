package proxy

import (
	"context"
	"strconv"

	"github.com/cockroachdb/errors"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/policy/grant"
	"siskinsaddle/internal/policy/place"
	"siskinsaddle/internal/serve/refuse"
	"siskinsaddle/internal/share/broker"
)

// choose finds a server for the next attempt. For prompts the keeper of the
// service is asked; where there is none, and for plain calls, this host decides
// alone.
func (j *job) choose(ctx context.Context) (place.Choice, *refuse.Refusal) {
	if j.route.Prompts && len(j.place.Segments) > 0 && j.pass.Clerk != nil {
		choice, refusal, err := j.ask(ctx)
		if err == nil {
			return choice, refusal
		}
		if j.pass.handOff.Err() != nil {
			return choice, refuse.New(refuse.ReasonStopping).WithRetryAfter(leastRetryAfter)
		}
		if !errors.Is(err, broker.ErrNoKeeper) {
			return choice, refuse.New(refuse.ReasonOutOfTime)
		}
		j.place.Prefer = j.holder()
	}
	j.pass.mu.Lock()
	defer j.pass.mu.Unlock()
	choice, ok := j.pass.Placer.Choose(j.pass.Clock.Now(), j.place)
	if !ok {
		return choice, refuse.New(refuse.ReasonNoServer).WithRetryAfter(noServerWait)
	}
	j.reason = choice.Reason
	return choice, nil
}

func (j *job) holder() string {
	shared := place.PrefixSegments(j.place.Segments)
	if len(shared) == 0 {
		return ""
	}
	return j.pass.Clerk.Holder(j.service, shared[len(shared)-1].Name)
}

// ask asks the keeper. A server that this host does not know, or cannot use
// now, is not asked for.
func (j *job) ask(ctx context.Context) (place.Choice, *refuse.Refusal, error) {
	p := j.pass
	now := p.Clock.Now()
	p.mu.Lock()
	avoid := append(p.Placer.AvoidedServers(now, j.service), j.place.Avoid...)
	p.mu.Unlock()
	j.asks++
	a := grant.Request{
		ID:       p.Clerk.Self + "/" + j.id + "/" + strconv.Itoa(j.asks),
		Class:    j.route.Name,
		Parts:    j.place.Segments,
		Tokens:   j.place.Tokens,
		Tier:     j.tier,
		Target:   j.route.Target,
		TimeLeft: j.until - now,
		Avoid:    avoid,
	}
	waiting, done := context.WithCancel(ctx)
	defer done()
	defer context.AfterFunc(p.handOff, done)()
	d, err := p.Clerk.Ask(waiting, j.service, a)
	if err != nil {
		return place.Choice{}, nil, err
	}
	j.granted = d
	j.reason, j.waited, j.unread = d.Reason, j.waited+d.Waited, d.StartDelay
	if d.Server == "" {
		return place.Choice{}, refuseAs(d), nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	s, ok := p.Placer.Server(j.service, d.Server)
	if !ok {
		// The keeper knows a server that this host does not, or no longer.
		p.Clerk.Ended(a.ID, place.OutcomeCancelled)
		return place.Choice{}, nil, broker.ErrNoKeeper
	}
	j.grant = a.ID
	return place.Choice{Server: s, Reason: d.Reason, Open: p.Placer.Open(s)}, nil, nil
}

// leastRetryAfter keeps refused callers from coming back before anything can
// have changed, in milliseconds.
const leastRetryAfter = 200 * clock.Millis(1)

// refusalReasons translates a keeper's reasons.
var refusalReasons = map[string]refuse.Reason{
	"NoServer":  refuse.ReasonNoServer,
	"OutOfTime": refuse.ReasonFull,
}

func refuseAs(d grant.Decision) *refuse.Refusal {
	reason, ok := refusalReasons[d.Reason]
	if !ok {
		reason = refuse.ReasonFull
	}
	return refuse.New(reason).WithRetryAfter(max(d.RetryAfter, leastRetryAfter))
}
