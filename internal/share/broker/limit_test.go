package broker_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/policy/grant"
	"siskinsaddle/internal/policy/place"
)

// limitLoad sends calls to servers that have named rates, and records the grants.
type limitLoad struct {
	group   *group
	limits  []grant.Limit
	all     sync.WaitGroup
	mu      sync.Mutex
	granted map[string][]clock.Millis
}

func newLimitLoad(g *group, limits []grant.Limit) *limitLoad {
	return &limitLoad{group: g, limits: limits, granted: map[string][]clock.Millis{}}
}

// send sends calls through a host until the context ends.
func (l *limitLoad) send(ctx context.Context, name string, n int) {
	b, clk := l.group.hosts[name].broker, clock.System()
	for i := 0; ctx.Err() == nil; i++ {
		request := grant.Request{
			ID: fmt.Sprint(name, "-", n, "-", i), Class: "call", Target: 300, TimeLeft: 2_000, Plain: true, Limits: l.limits,
			Segments: []place.Segment{{Name: fmt.Sprint("p", i%40), Tokens: 1}},
		}
		d, err := b.RequestGrant(ctx, service, request)
		if err == nil && d.Server != "" {
			l.mu.Lock()
			l.granted[d.Server] = append(l.granted[d.Server], clk.Now())
			l.mu.Unlock()
			b.Ended(request.ID, place.OutcomeServed)
		}
		<-clk.After(50)
	}
}

// assertHolds checks that no server got more than the users allow: one and a half times
// its rate and five requests in 4 s.
func (l *limitLoad) assertHolds(c *qt.C, rate float64) {
	const window = 4 * clock.Second
	for server, times := range l.granted {
		for i, from := range times {
			n := 0
			for _, at := range times[i:] {
				if at < from+window {
					n++
				}
			}
			c.Assert(float64(n) <= 1.5*rate*4+5, qt.IsTrue, qt.Commentf("%s got %d requests", server, n))
		}
	}
}

// Half of the hosts do not know yet of the host that is the keeper for the others.
func TestTwoKeepersShareARate(t *testing.T) {
	c := qt.New(t)
	const rate = 8.0
	g := newGroup(c, 6, 0)
	first := g.hosts["h0"].broker.Analysts(service)[0]
	g.unknown = map[string]string{}
	for i, name := range []string{"h0", "h1", "h2", "h3", "h4", "h5"} {
		if name != first && i%2 == 0 {
			g.unknown[name] = first
		}
	}
	g.setServers(newServers(1))
	l := newLimitLoad(g, []grant.Limit{{Server: "s0", Born: 1, Rate: rate}})
	ctx, cancel := context.WithTimeout(context.Background(), 6*time.Second)
	defer cancel()
	for name := range g.hosts {
		for n := range 6 {
			l.all.Go(func() { l.send(ctx, name, n) })
		}
	}
	l.all.Wait()
	l.assertHolds(c, rate)
	c.Assert(len(l.granted["s0"]) >= 6*rate/2, qt.IsTrue, qt.Commentf("%d granted", len(l.granted["s0"])))
}

// All hosts send to servers that have named a rate, and the keeper is killed twice.
func TestRateLimitHoldsThoughKeepersDie(t *testing.T) {
	const (
		hosts  = 6
		rate   = 2.0
		length = 8 * time.Second
	)
	for _, servers := range []int{2, 200} { // one pool and four pools
		t.Run(fmt.Sprint(servers), func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			g := newGroup(c, hosts, 0)
			g.setServers(newServers(servers))
			// The hosts that saw an answer pass the rate on with their requests.
			var limits []grant.Limit
			for i := range servers {
				limits = append(limits, grant.Limit{Server: fmt.Sprint("s", i), Born: 1, Rate: rate})
			}
			l := newLimitLoad(g, limits)
			ctx, cancel := context.WithTimeout(context.Background(), length)
			defer cancel()
			clk := clock.System()
			alive := []string{"h0", "h1", "h2", "h3", "h4", "h5"}
			doomed := g.hosts["h0"].broker.Analysts(service)
			for _, name := range alive {
				if !slices.Contains(doomed, name) {
					for n := range 6 {
						l.all.Go(func() { l.send(ctx, name, n) })
					}
				}
			}
			for _, name := range doomed {
				<-clk.After(2_500)
				g.hosts[name].stop()
			}
			l.all.Wait()
			l.assertHolds(c, rate)
			if servers == 2 {
				c.Assert(len(l.granted["s0"]) >= int(rate*length.Seconds()/2), qt.IsTrue, qt.Commentf("%d granted", len(l.granted["s0"])))
			}
		})
	}
}
