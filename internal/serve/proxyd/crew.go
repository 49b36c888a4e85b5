package proxyd

import (
	"context"
	"sync/atomic"

	"siskinsaddle/internal/base/logs"
	"siskinsaddle/internal/share/broker"
	"siskinsaddle/internal/share/link"
	"siskinsaddle/internal/share/member"
	"siskinsaddle/internal/share/mirror"
)

// Crew is what a host does together with the others. Its fields are set before
// the Gate's Start.
type Crew struct {
	Crew  *member.Crew
	Link  *link.Node
	Clerk *broker.Clerk
	Brief *mirror.Brief

	joined atomic.Bool
}

// hostsBefore is the number of hosts that is assumed before any are known: the
// users' smaller sites have seven and may add three.
const hostsBefore = 10

// Joined tells whether the others can be asked.
func (c *Crew) Joined() bool { return c.joined.Load() }

// Members returns the hosts, none before this one has joined them.
func (c *Crew) Members() []member.Member {
	if !c.joined.Load() {
		return nil
	}
	return c.Crew.Members()
}

// Count is the number of hosts that share what is allowed to all together.
func (c *Crew) Count() int {
	if n := len(c.Members()); n > 0 {
		return n
	}
	return hostsBefore
}

// run joins the others and serves their links until the context ends. Requests
// are served meanwhile, by this host's decisions alone.
func (c *Crew) run(ctx context.Context, l *logs.Limited) {
	secret, incarnation, err := c.Crew.Join(ctx)
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
	go c.Crew.Run(ctx)
	if err := c.Link.Run(ctx); err != nil {
		l.Error("The links to other hosts ended.", "err", err)
	}
}
