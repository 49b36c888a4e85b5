package hostd

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"

	"siskinsaddle/internal/share/hosts"
	"siskinsaddle/internal/share/link"
)

// startPeers registers this host and creates its link node. The links start later,
// after every component has registered its handlers.
func (h *Host) startPeers(ctx context.Context) error {
	s := h.Settings
	h.link = &link.Node{
		Name:     s.HostName,
		Listen:   s.Links.Address,
		Secret:   []byte(s.Links.Secret),
		Clock:    h.Clock,
		Log:      h.Log.WithPrefix("link"),
		Counters: h.Count,
	}
	if err := h.link.Bind(); err != nil {
		return errors.Wrap(err, "binding the link address")
	}
	h.members = &hosts.Node{
		Self: hosts.Host{
			Name:          s.HostName,
			FailureDomain: s.FailureDomain,
			Region:        s.Region,
			Address:       h.link.Addr(),
		},
		Link:     h.link,
		Table:    h.Table,
		List:     h.discovery.list(),
		Clock:    h.Clock,
		Log:      h.Log.WithPrefix("hosts"),
		Counters: h.Count,
	}
	h.link.Address = h.members.Address
	h.link.Admit = h.members.Admit
	h.link.OnConnected = h.members.Connected
	h.link.Incarnation = h.members.Register(ctx)
	return h.members.Prepare()
}

// typedHandler adapts a function on typed messages to a link handler.
func typedHandler[Q, A any](handle func(Q) A) link.Handler {
	return func(_ context.Context, _ link.Peer, body []byte) (any, error) {
		var request Q
		if err := link.Decode(body, &request); err != nil {
			return nil, err
		}
		return handle(request), nil
	}
}

// hostsPerOtherDomain is the number of hosts of each other failure domain to
// contact.
const hostsPerOtherDomain = 2

// sameDomainHosts returns the names of the other hosts of this failure domain in
// the membership view.
func (h *Host) sameDomainHosts() []string {
	var names []string
	for _, other := range h.members.View().In(h.Settings.FailureDomain) {
		if other.Name != h.Settings.HostName {
			names = append(names, other.Name)
		}
	}
	return names
}

// otherDomainHosts returns the names of a few hosts of each other failure domain.
func (h *Host) otherDomainHosts() []string {
	view := h.members.View()
	var names []string
	for _, domain := range view.Domains() {
		if domain == h.Settings.FailureDomain {
			continue
		}
		for i, other := range view.Eligible(domain) {
			if i == hostsPerOtherDomain {
				break
			}
			names = append(names, other.Name)
		}
	}
	return names
}

// Registrations returns the names of the registered hosts of a failure domain.
func (h *Host) Registrations(ctx context.Context, domain string) ([]string, error) {
	registered, err := h.members.Registrations(ctx, domain)
	if err != nil {
		return nil, err
	}
	names := make([]string, 0, len(registered))
	for _, r := range registered {
		names = append(names, r.Name)
	}
	return names, nil
}

// isDead reports whether a process of a host is considered dead: the host is not
// in the membership view, or is there with a later incarnation.
func (h *Host) isDead(name string, incarnation uint64) bool {
	current, ok := h.members.View().Find(name)
	return !ok || uint64(current.Incarnation) > incarnation
}

// forEach calls f(0) to f(n-1) concurrently and waits for all. A call for which the
// pool has no worker runs inline.
func (h *Host) forEach(n int, f func(i int)) {
	var work sync.WaitGroup
	for i := range n {
		work.Add(1)
		run := func() {
			defer work.Done()
			f(i)
		}
		if h.pool.Submit(run) != nil {
			run()
		}
	}
	work.Wait()
}
