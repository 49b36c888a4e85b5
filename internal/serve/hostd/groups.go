package hostd

import (
	"context"
	"net"

	"github.com/cockroachdb/errors"

	"siskinsaddle/internal/plat/disco"
	"siskinsaddle/internal/policy/sched"
	"siskinsaddle/internal/serve/probe"
	"siskinsaddle/internal/serve/refuse"
	"siskinsaddle/internal/serve/relay"
	"siskinsaddle/internal/share/hosts"
	"siskinsaddle/internal/share/keeper"
	"siskinsaddle/internal/share/mfest"
)

// keepDigest is the name under which a failure domain's load rides on
// heartbeats.
const keepDigest = "k"

// startGroups makes the keeper's part and the probes.
func (h *Host) startGroups() {
	h.keeper = &keeper.Node{
		Name:          h.Settings.HostName,
		Incarnation:   h.link.Incarnation,
		FailureDomain: h.Settings.FailureDomain,
		Link:          h.link,
		Services:      h.governed.services,
		Servers:       h.servers,
		Settings:      h.governed.schedule,
		Clock:         h.Clock,
		Log:           h.Log.WithPrefix("keeper"),
		Counters:      h.Count,
	}
	h.keeper.Prepare()
	h.members.OnChange(h.keeper.ViewChanged)
	h.members.AddDigest(hosts.Digest{Name: keepDigest, FarOnly: true, Read: h.keeper.Digest, Seen: h.keeper.DigestSeen})
	h.prober = &probe.Prober{
		Send:    h.client.Do,
		Dial:    h.dial,
		Targets: h.targets,
		Each:    h.each,
		Clock:   h.Clock,
		Count:   h.Count,
	}
}

// servers lists the backend servers of a service in a failure domain, as the
// platform's list and the probes know them.
func (h *Host) servers(service, domain string) []sched.Server {
	declared, ok := h.governed.index().Service(service)
	if !ok {
		return nil
	}
	var all []sched.Server
	for _, e := range h.machines.servers(service, domain) {
		all = append(all, server(declared, e, h.prober.State(e.Name)))
	}
	return all
}

// server puts together what is known of a backend server; the worst word
// counts.
func server(declared mfest.Service, e disco.Entry, p probe.State) sched.Server {
	s := sched.Server{Name: e.Name, State: sched.ServerUp, Slots: declared.SlotsPerServer}
	switch {
	case p.Lost:
		s.State = sched.ServerDown
	case p.Leaving || e.State == disco.StateLeaving:
		s.State = sched.ServerLeaving
	}
	if declared.Kind == mfest.KindPlain {
		return s
	}
	if p.Loaded {
		s.Models = p.Models
		return s
	}
	s.Models = declared.Offered()
	return s
}

// targets are the servers of the groups that this host keeps.
func (h *Host) targets() []probe.Target {
	var all []probe.Target
	for _, name := range h.keeper.Kept() {
		service, ok := h.governed.index().Service(h.machines.service(name))
		if ok {
			all = append(all, probe.Target{
				Name:    name,
				Address: h.machines.address(name),
				Engine:  service.Kind == mfest.KindModel,
			})
		}
	}
	return all
}

func (h *Host) dial(ctx context.Context, address string) error {
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return err
	}
	return c.Close()
}

// grantReasons gives the reasons of keepers their refusals. Any other, which a
// host of another version may send, is a NoServer.
var grantReasons = map[sched.Reason]refuse.Reason{
	sched.ReasonShed:     refuse.ReasonShed,
	sched.ReasonExpired:  refuse.ReasonExpired,
	sched.ReasonNoServer: refuse.ReasonNoServer,
}

func grantRefusal(r sched.Reason) *refuse.Refusal {
	reason, ok := grantReasons[r]
	if !ok {
		return refuse.New(refuse.ReasonNoServer).WithText("no grant: %s", r)
	}
	return refuse.New(reason)
}

// ask waits for a grant.
func (h *Host) ask(ctx context.Context, r sched.Request) (relay.Grant, *refuse.Refusal) {
	r.Host = h.Settings.HostName
	grant, refusal, err := h.keeper.Ask(ctx, r)
	switch {
	case refusal != nil:
		return relay.Grant{}, grantRefusal(refusal.Reason).WithRetryAfter(refusal.RetryAfter)
	case err != nil && errors.Is(err, ctx.Err()):
		return relay.Grant{}, refuse.New(refuse.ReasonCallerGone).WithRan(refuse.RanNo)
	case err != nil:
		return relay.Grant{}, refuse.New(refuse.ReasonNoServer).WithText("no grant: %v", err)
	}
	return relay.Grant{ID: r.ID, Server: grant.Server, Address: h.machines.address(grant.Server)}, nil
}

func (h *Host) progress(_ string, p sched.Progress) {
	h.keeper.Progress(p)
}

func (h *Host) done(_ string, d sched.Done) {
	h.keeper.Done(d)
}
