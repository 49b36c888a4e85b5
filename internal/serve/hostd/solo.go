package hostd

import (
	"context"
	"sync"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/policy/sched"
	"siskinsaddle/internal/serve/refuse"
	"siskinsaddle/internal/serve/relay"
)

// solo decides for one service on this host alone.
type solo struct {
	clock clock.Clock
	mu    sync.Mutex
	group *sched.Group
	waits map[string]chan sched.Decision
	// addresses of the backend servers by name.
	addresses map[string]string
}

func newSolo(c clock.Clock, s sched.Settings) *solo {
	return &solo{clock: c, group: sched.New(s), waits: map[string]chan sched.Decision{}}
}

// change runs one step of the group and hands out its decisions.
func (s *solo) change(step func(now clock.Millis, g *sched.Group)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	step(s.clock.Now(), s.group)
	for _, d := range s.group.Take() {
		if wait, ok := s.waits[d.ID]; ok {
			wait <- d
			delete(s.waits, d.ID)
		}
	}
}

func (s *solo) setServers(list []sched.Server, addresses map[string]string) {
	s.change(func(now clock.Millis, g *sched.Group) {
		s.addresses = addresses
		g.SetServers(now, list)
	})
}

func (s *solo) ask(ctx context.Context, r sched.Request) (relay.Grant, *refuse.Refusal) {
	wait := make(chan sched.Decision, 1)
	s.change(func(now clock.Millis, g *sched.Group) {
		s.waits[r.ID] = wait
		g.Offer(now, r)
	})
	select {
	case d := <-wait:
		if d.Kind == sched.DecisionRefuse {
			return relay.Grant{}, refuse.New(refuse.Reason(d.Reason)).WithRetryAfter(d.RetryAfter)
		}
		return s.grant(d), nil
	case <-ctx.Done():
		s.change(func(now clock.Millis, g *sched.Group) {
			delete(s.waits, r.ID)
			g.Cancel(now, r.ID)
		})
		return relay.Grant{}, refuse.New(refuse.ReasonCallerGone).WithRan(refuse.RanNo)
	}
}

func (s *solo) grant(d sched.Decision) relay.Grant {
	s.mu.Lock()
	defer s.mu.Unlock()
	return relay.Grant{ID: d.ID, Server: d.Server, Address: s.addresses[d.Server]}
}
