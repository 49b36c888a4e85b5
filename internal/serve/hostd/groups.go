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

// loadDigest names the digest in heartbeats that carries a failure domain's load.
const loadDigest = "k"

// startGroups creates the keeper and the prober.
func (h *Host) startGroups() {
	h.keeper = &keeper.Node{
		Name:          h.Settings.HostName,
		Incarnation:   h.link.Incarnation,
		FailureDomain: h.Settings.FailureDomain,
		Link:          h.link,
		Services:      h.manifest.services,
		Servers:       h.servers,
		Settings:      h.manifest.schedSettings,
		Clock:         h.Clock,
		Log:           h.Log.WithPrefix("keeper"),
		Counters:      h.Count,
	}
	h.keeper.Prepare()
	h.members.OnChange(h.keeper.ViewChanged)
	h.members.AddDigest(hosts.Digest{Name: loadDigest, OtherDomainsOnly: true, Read: h.keeper.Digest, OnReceive: h.keeper.DigestSeen})
	h.prober = &probe.Prober{
		Send:        h.client.Do,
		Dial:        h.dial,
		Targets:     h.targets,
		RunParallel: h.forEach,
		Clock:       h.Clock,
		Count:       h.Count,
	}
}

// servers returns the backend servers of a service in a failure domain, with their
// state by the platform's list and the probes.
func (h *Host) servers(service, domain string) []sched.Server {
	declared, ok := h.manifest.index().Service(service)
	if !ok {
		return nil
	}
	var all []sched.Server
	for _, e := range h.discovery.servers(service, domain) {
		all = append(all, mergeState(declared, e, h.prober.State(e.Name)))
	}
	return all
}

// mergeState combines the declaration, the list entry and the probe state of a
// backend server. The worst state wins.
func mergeState(declared mfest.Service, e disco.Entry, p probe.State) sched.Server {
	s := sched.Server{Name: e.Name, State: sched.ServerUp, Slots: declared.SlotsPerServer}
	switch {
	case p.Unresponsive:
		s.State = sched.ServerDown
	case p.Leaving || e.State == disco.StateLeaving:
		s.State = sched.ServerLeaving
	}
	if declared.Kind == mfest.KindPlain {
		return s
	}
	if p.ModelsKnown {
		s.Models = p.Models
		return s
	}
	s.Models = declared.ModelNames()
	return s
}

// targets returns the probe targets: the servers of the groups whose keeper this
// host is.
func (h *Host) targets() []probe.Target {
	var all []probe.Target
	for _, name := range h.keeper.KeptServers() {
		service, ok := h.manifest.index().Service(h.discovery.service(name))
		if ok {
			all = append(all, probe.Target{
				Name:    name,
				Address: h.discovery.address(name),
				Engine:  service.Kind == mfest.KindModel,
			})
		}
	}
	return all
}

// dial checks that a TCP connection to an address can be opened.
func (h *Host) dial(ctx context.Context, address string) error {
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return err
	}
	return c.Close()
}

// grantRefusals maps the reasons of keepers to refusals. An unknown reason, which a
// host of another version may send, maps to NoServer.
var grantRefusals = map[sched.Reason]refuse.Reason{
	sched.ReasonShed:     refuse.ReasonShed,
	sched.ReasonExpired:  refuse.ReasonExpired,
	sched.ReasonNoServer: refuse.ReasonNoServer,
}

func grantRefusal(r sched.Reason) *refuse.Refusal {
	reason, ok := grantRefusals[r]
	if !ok {
		return refuse.New(refuse.ReasonNoServer).WithText("no grant: %s", r)
	}
	return refuse.New(reason)
}

// requestGrant requests a grant from the keeper and waits for it.
func (h *Host) requestGrant(ctx context.Context, r sched.Request) (relay.Grant, *refuse.Refusal) {
	r.Host = h.Settings.HostName
	grant, refusal, err := h.keeper.RequestGrant(ctx, r)
	switch {
	case refusal != nil:
		return relay.Grant{}, grantRefusal(refusal.Reason).WithRetryAfter(refusal.RetryAfter)
	case err != nil && errors.Is(err, ctx.Err()):
		return relay.Grant{}, refuse.New(refuse.ReasonCallerGone).WithRan(refuse.RanNo)
	case err != nil:
		return relay.Grant{}, refuse.New(refuse.ReasonNoServer).WithText("no grant: %v", err)
	}
	return relay.Grant{ID: r.ID, Server: grant.Server, Address: h.discovery.address(grant.Server)}, nil
}

// progress reports the progress of a granted request to its keeper.
func (h *Host) progress(_ string, p sched.Progress) {
	h.keeper.Progress(p)
}

// finishGrant reports the end of a granted request to its keeper.
func (h *Host) finishGrant(_ string, d sched.Done) {
	h.keeper.Done(d)
}
