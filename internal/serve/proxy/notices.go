package proxy

import (
	"math/rand/v2"
	"strings"

	"github.com/valyala/fasthttp"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/base/meter"
	"siskinsaddle/internal/policy/fleet"
	"siskinsaddle/internal/policy/notice"
	"siskinsaddle/internal/policy/place"
	"siskinsaddle/internal/serve/wire"
)

// observeNotices records what a server says in its response about the requests that it
// wants from now on.
func (j *job) observeNotices(choice place.Choice, response wire.Response) {
	p := j.proxy
	if f := p.Fields.Leaving; f != "" {
		leaving, ok := notice.ParseLeaving(response.Header(f))
		if !ok {
			j.recordOddField("Leaving", choice, response.Header(f))
		}
		if leaving {
			j.noteLeaving(choice.Server)
		}
	}
	if p.Fields.HoldOff == "" || response.Status != fasthttp.StatusServiceUnavailable {
		return
	}
	var values []string
	for _, h := range response.Headers {
		if strings.EqualFold(h.Name, p.Fields.HoldOff) {
			values = append(values, h.Value)
		}
	}
	wait, ok := notice.ParseHoldOff(values)
	if !ok {
		j.recordOddField("HoldOff", choice, strings.Join(values, " | "))
	}
	if wait > 0 {
		j.noteHoldOff(choice.Server, wait)
	}
}

func (j *job) recordOddField(field string, choice place.Choice, text string) {
	j.proxy.Count.Add(meter.OddFields, 1, meter.Label("field", field))
	j.log("A server sent a field that cannot be read.", "field", field, "server", choice.Server.ID, "text", text)
}

// noteLeaving stops sending requests to a server that says it is leaving, and tells the
// other hosts unless its record says so too.
func (j *job) noteLeaving(s fleet.Server) {
	p := j.proxy
	fresh := p.AdoptLeaving([]notice.Entry{notice.EntryOf(s)})
	if len(fresh) == 0 {
		return
	}
	j.log("A server says that it is leaving.", "server", s.ID, "born", s.Born)
	if p.ShareLeaving != nil {
		p.ShareLeaving(fresh[0])
	}
}

// AdoptLeaving stops sending requests to servers that have told another host that they are
// leaving. It returns those that this host did not know of, neither from the servers nor
// from their records.
func (p *Proxy) AdoptLeaving(all []notice.Entry) []notice.Entry {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Clock.Boot()
	recorded := map[notice.Entry]bool{}
	for _, s := range p.servers {
		recorded[notice.EntryOf(s)] = s.Leaving
	}
	var fresh []notice.Entry
	changed := false
	for _, e := range all {
		if !p.notices.AddLeaving(now, e) {
			continue
		}
		changed = true
		if !recorded[e] {
			fresh = append(fresh, e)
		}
	}
	if changed {
		p.applyServers()
	}
	return fresh
}

// LeavingServers returns the servers that have said that they are leaving.
func (p *Proxy) LeavingServers() []notice.Entry {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.notices.Entries()
}

// noteHoldOff sends no requests to a server for a time, and tells its keeper.
func (j *job) noteHoldOff(s fleet.Server, wait clock.Millis) {
	p := j.proxy
	p.mu.Lock()
	p.notices.AddHoldOff(p.Clock.Boot(), s, wait, rand.Float64())
	p.mu.Unlock()
	j.log("A server wants no requests for a while.", "server", s.ID, "for", wait)
	if p.Broker != nil {
		p.Broker.NoteHoldOff(j.service, s, wait)
	}
}

// heldOff returns the IDs of the service's servers that want no requests from this host, and
// the time until the first of them does, in milliseconds. The caller holds Proxy.mu.
func (p *Proxy) heldOff(service string) ([]string, clock.Millis) {
	now := p.Clock.Boot()
	if p.notices.HoldOffs(now) == 0 {
		return nil, 0
	}
	var ids []string
	shortest := clock.Millis(0)
	for _, s := range p.Placer.Servers(service) {
		left := p.notices.HeldOff(now, s)
		if left == 0 {
			continue
		}
		ids = append(ids, s.ID)
		if shortest == 0 || left < shortest {
			shortest = left
		}
	}
	return ids, shortest
}

// applyServers passes the list of servers on. The caller holds the lock.
func (p *Proxy) applyServers() {
	all := p.notices.Mark(p.servers)
	p.Placer.SetServers(all)
	p.retainLimits(all)
	if p.Broker != nil {
		p.Broker.SetServers(all)
	}
}
