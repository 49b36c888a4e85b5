package proxy

import (
	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/policy/fleet"
	"siskinsaddle/internal/policy/limit"
	"siskinsaddle/internal/policy/place"
	"siskinsaddle/internal/serve/wire"
)

// observeLimit records the rate that a server names in its response to a request that was
// sent at sentAt.
func (j *job) observeLimit(choice place.Choice, response wire.Response, sentAt clock.Millis) {
	p := j.proxy
	if p.Fields.RateLimit == "" {
		return
	}
	text := response.Header(p.Fields.RateLimit)
	rate, ok := limit.Parse(text)
	if !ok {
		j.log("A server named a rate limit that cannot be read.", "server", choice.Server.ID, "text", text)
		return
	}
	s := limit.Statement{Service: j.service, Server: choice.Server.ID, Born: choice.Server.Born, Rate: rate}
	p.mu.Lock()
	changed := p.limits.Observe(p.Clock.Now(), s, sentAt)
	p.mu.Unlock()
	if changed {
		j.log("A server's rate limit changed.", "server", s.Server, "rate", s.Rate)
	}
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
}
