package proxy

import (
	"slices"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/policy/fleet"
	"siskinsaddle/internal/policy/grant"
	"siskinsaddle/internal/policy/limit"
	"siskinsaddle/internal/policy/place"
	"siskinsaddle/internal/serve/refuse"
	"siskinsaddle/internal/serve/wire"
	"siskinsaddle/internal/share/broker"
)

// observeLimit records the rate that a server names in its response to a request that was
// sent at sentAt. It reports whether the response has the field.
func (j *job) observeLimit(choice place.Choice, response wire.Response, sentAt clock.Millis) bool {
	text := ""
	if j.proxy.Fields.RateLimit != "" {
		text = response.Header(j.proxy.Fields.RateLimit)
	}
	if text == "" {
		return false
	}
	rate, ok := limit.Parse(text)
	if !ok {
		j.log("A server named a rate limit that cannot be read.", "server", choice.Server.ID, "text", text)
		return true
	}
	j.setLimit(choice, rate, sentAt)
	return true
}

// observeNoLimit records a complete response without a rate to a request that was sent at
// sentAt.
func (j *job) observeNoLimit(choice place.Choice, sentAt clock.Millis) {
	if j.proxy.Fields.RateLimit != "" {
		j.setLimit(choice, 0, sentAt)
	}
}

func (j *job) setLimit(choice place.Choice, rate float64, sentAt clock.Millis) {
	p := j.proxy
	s := limit.Statement{Service: j.service, Server: choice.Server.ID, Born: choice.Server.Born, Rate: rate}
	p.mu.Lock()
	changed := p.limits.Observe(p.Clock.Now(), s, sentAt)
	p.mu.Unlock()
	if changed {
		j.log("A server's rate limit changed.", "server", s.Server, "rate", s.Rate)
	}
	if p.Broker == nil || (!changed && (j.grant == "" || j.decision.Rate == rate)) {
		return
	}
	l := grant.Limit{Server: s.Server, Born: s.Born, Rate: rate}
	if rate == 0 {
		// The server had lifted its limit at some time after the request was sent.
		l.Age = p.Clock.Now() - sentAt
	}
	p.Broker.NoteLimit(j.service, l)
}

// knownLimits returns the rates of the service's servers for its keeper.
func (j *job) knownLimits(now clock.Millis) []grant.Limit {
	var all []grant.Limit
	j.proxy.mu.Lock()
	defer j.proxy.mu.Unlock()
	j.proxy.limits.All(now, j.service, func(s limit.Statement, age clock.Millis) {
		all = append(all, grant.Limit{Server: s.Server, Born: s.Born, Rate: s.Rate, Age: age})
	})
	return all
}

// liftLimits forgets the rates that the keeper does not know of any more.
func (j *job) liftLimits(askedAt clock.Millis, request grant.Request) {
	p := j.proxy
	p.mu.Lock()
	defer p.mu.Unlock()
	if j.decision.Limited || j.decision.Reason == broker.ReasonQuarantined || !p.limits.Limited(j.service) {
		return
	}
	p.limits.Lift(j.service, askedAt, func(server string) bool { return p.Broker.InPool(j.service, request, server) })
}

// chooseAlone selects a server without a keeper. A server with a rate limit gets this
// host's share of it, as if all hosts decided alone, and one that holds this host off gets
// nothing. The caller holds Proxy.mu.
func (j *job) chooseAlone(now clock.Millis) (place.Choice, *refuse.Refusal) {
	p := j.proxy
	request := j.place
	heldOff, wait := p.heldOff(j.service)
	request.Avoid = slices.Concat(j.place.Avoid, heldOff)
	shortest := clock.Millis(-1)
	if len(heldOff) > 0 {
		shortest = wait
	}
	for {
		choice, ok := p.Placer.Choose(now, request)
		if !ok && shortest >= 0 {
			return choice, refuse.New(refuse.ReasonFull).WithRetryAfter(max(shortest, minRetryAfter))
		}
		if !ok {
			return choice, refuse.New(refuse.ReasonNoServer).WithRetryAfter(noServerWait)
		}
		wait := p.takeShare(now, j.service, choice.Server.ID)
		if wait == 0 {
			j.placedBy = choice.Reason
			return choice, nil
		}
		if shortest < 0 || wait < shortest {
			shortest = wait
		}
		request.Avoid = append(request.Avoid, choice.Server.ID)
	}
}

// takeShare takes one request from this host's share of a server's rate, or returns the
// time until it has one, in milliseconds. The caller holds the lock.
func (p *Proxy) takeShare(now clock.Millis, service, server string) clock.Millis {
	rate := p.limits.Rate(service, server) / float64(max(p.Hosts(), 1))
	b := p.buckets[server]
	switch {
	case rate == 0:
		delete(p.buckets, server)
		return 0
	case b == nil:
		b = limit.NewBucket(now, rate)
		p.buckets[server] = b
	case b.Rate() != rate:
		b.SetRate(now, rate)
	}
	wait := b.Wait(now, 0)
	if wait == 0 {
		b.Take(now)
	}
	return wait
}

// retainLimits forgets the rates of servers that are gone. The caller holds the lock.
func (p *Proxy) retainLimits(all []fleet.Server) {
	born := make(map[string]int64, len(all))
	for _, s := range all {
		born[s.ID] = s.Born
	}
	p.limits.Retain(func(server string, at int64) bool {
		now, ok := born[server]
		return ok && now == at
	})
	for server := range p.buckets {
		if _, ok := born[server]; !ok {
			delete(p.buckets, server)
		}
	}
}
