package hostd

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"

	"siskinsaddle/internal/share/hosts"
	"siskinsaddle/internal/share/link"
)

// startPeers registers this host and makes its end of the links. The links
// themselves start once every part has registered its handlers.
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
		return errors.Wrap(err, "links' address")
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
		List:     h.machines.list(),
		Clock:    h.Clock,
		Log:      h.Log.WithPrefix("hosts"),
		Counters: h.Count,
	}
	h.link.Address = h.members.Address
	h.link.Admit = h.members.Admit
	h.link.Connected = h.members.Connected
	h.link.Incarnation = h.members.Register(ctx)
	return h.members.Prepare()
}

// answers makes a link's handler of a function on typed messages.
func answers[Q, A any](answer func(Q) A) link.Handler {
	return func(_ context.Context, _ link.Peer, body []byte) (any, error) {
		var request Q
		if err := link.Decode(body, &request); err != nil {
			return nil, err
		}
		return answer(request), nil
	}
}

// farHosts is how many hosts of each other failure domain are asked.
const farHosts = 2

// near names the other hosts of this failure domain that membership knows.
func (h *Host) near() []string {
	var names []string
	for _, other := range h.members.View().In(h.Settings.FailureDomain) {
		if other.Name != h.Settings.HostName {
			names = append(names, other.Name)
		}
	}
	return names
}

// far names a few hosts of each other failure domain.
func (h *Host) far() []string {
	view := h.members.View()
	var names []string
	for _, domain := range view.Domains() {
		if domain == h.Settings.FailureDomain {
			continue
		}
		for i, other := range view.Duty(domain) {
			if i == farHosts {
				break
			}
			names = append(names, other.Name)
		}
	}
	return names
}

// Registrations names the registered hosts of a failure domain.
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

// gone tells whether a process of a host is believed to be dead: the host is
// not among the live ones, or lives with a later incarnation.
func (h *Host) gone(name string, incarnation uint64) bool {
	now, ok := h.members.View().Find(name)
	return !ok || uint64(now.Incarnation) > incarnation
}

// each runs f for every number side by side and waits for all.
func (h *Host) each(n int, f func(i int)) {
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
