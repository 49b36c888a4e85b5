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

// All hosts send to servers that have named a rate, and the keeper is killed twice.
func TestRateLimitHoldsThoughKeepersDie(t *testing.T) {
	const (
		hosts  = 6
		rate   = 2.0
		length = 8 * time.Second
		window = 4 * clock.Second
		// The users allow one and a half times the rate and five requests.
		maxRequests = 1.5*rate*4 + 5
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
			var mu sync.Mutex
			granted := map[string][]clock.Millis{}
			clk := clock.System()
			ctx, cancel := context.WithTimeout(context.Background(), length)
			defer cancel()
			var all sync.WaitGroup
			send := func(name string, n int) {
				b := g.hosts[name].broker
				for i := 0; ctx.Err() == nil; i++ {
					request := grant.Request{
						ID: fmt.Sprint(name, "-", n, "-", i), Class: "call", Target: 300, TimeLeft: 2_000, Plain: true, Limits: limits,
						Segments: []place.Segment{{Name: fmt.Sprint("p", i%40), Tokens: 1}},
					}
					d, err := b.RequestGrant(ctx, service, request)
					if err == nil && d.Server != "" {
						mu.Lock()
						granted[d.Server] = append(granted[d.Server], clk.Now())
						mu.Unlock()
						b.Ended(request.ID, place.OutcomeServed)
					}
					<-clk.After(50)
				}
			}
			alive := []string{"h0", "h1", "h2", "h3", "h4", "h5"}
			doomed := g.hosts["h0"].broker.Analysts(service)
			for _, name := range alive {
				if !slices.Contains(doomed, name) {
					for n := range 6 {
						all.Go(func() { send(name, n) })
					}
				}
			}
			for _, name := range doomed {
				<-clk.After(2_500)
				g.hosts[name].stop()
			}
			all.Wait()
			for server, times := range granted {
				for i, from := range times {
					n := 0
					for _, at := range times[i:] {
						if at < from+window {
							n++
						}
					}
					c.Assert(n <= maxRequests, qt.IsTrue, qt.Commentf("%s got %d requests", server, n))
				}
			}
			if servers == 2 {
				c.Assert(len(granted["s0"]) >= int(rate*length.Seconds()/2), qt.IsTrue, qt.Commentf("%d granted", len(granted["s0"])))
			}
		})
	}
}
