package proxyd

import (
	"context"
	"sync/atomic"

	"siskinsaddle/internal/base/logs"
	"siskinsaddle/internal/share/broker"
	"siskinsaddle/internal/share/guard"
	"siskinsaddle/internal/share/link"
	"siskinsaddle/internal/share/member"
	"siskinsaddle/internal/share/mirror"
	"siskinsaddle/internal/share/notify"
)

// Cluster is what this host uses to cooperate with other hosts: the registry of hosts,
// the links, the broker of grant requests, the mirror of the store, and what hosts tell
// each other of servers. Its exported fields are set before Host.Start.
type Cluster struct {
	Registry *member.Registry
	Link     *link.Node
	Broker   *broker.Broker
	Guard    *guard.Guard
	Notifier *notify.Notifier
	Mirror   *mirror.Mirror

	joined atomic.Bool
}

// assumedHosts is the number of hosts assumed before any are known: the smallest
// deployment has seven hosts and may grow to ten.
const assumedHosts = 10

// Joined reports whether this host has joined the others, so that it can send them
// grant requests.
func (c *Cluster) Joined() bool { return c.joined.Load() }

// Members returns all known hosts, or none before this one has joined them.
func (c *Cluster) Members() []member.Member {
	if !c.joined.Load() {
		return nil
	}
	return c.Registry.Members()
}

// Count returns the number of hosts that share a common limit, such as that of
// repeats. Before this host has joined the others it is assumedHosts.
func (c *Cluster) Count() int {
	if n := len(c.Members()); n > 0 {
		return n
	}
	return assumedHosts
}

// run joins the other hosts and serves the links to them until the context ends.
// Until it has joined, this host serves requests and decides alone.
func (c *Cluster) run(ctx context.Context, l *logs.Limited) {
	secret, incarnation, err := c.Registry.Join(ctx)
	if err != nil {
		return
	}
	c.Link.Secret, c.Link.Incarnation = secret, incarnation
	if err := c.Link.Start(ctx); err != nil {
		l.Error("The links to other hosts could not be opened; this host decides alone.", "err", err)
		return
	}
	c.joined.Store(true)
	l.Info("Joined the other hosts.", "hosts", len(c.Members()), "incarnation", incarnation)
	go c.Registry.Run(ctx)
	go c.Notifier.Run(ctx)
	if err := c.Link.Run(ctx); err != nil {
		l.Error("The links to other hosts failed.", "err", err)
	}
}
