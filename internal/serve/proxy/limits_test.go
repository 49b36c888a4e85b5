package proxy_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"siskinsaddle/internal/base/meter"
	"siskinsaddle/internal/fakes/origin"
)

// Many callers send to a service of which one server, or each, has named a limit.
func TestLimitedServerGetsNoMoreThanItsRate(t *testing.T) {
	const (
		servers  = 3
		senders  = 8
		rate     = 2
		begin    = 500 * time.Millisecond
		window   = 4 * time.Second
		interval = 100 * time.Millisecond
		// The users allow one and a half times the rate and five requests, and expect that
		// the server gets its share.
		maxRequests = 1.5*rate*4 + 5
		minRequests = rate * 4 / 2
	)
	for _, k := range []struct {
		name, path, header string
		limited            int
		broker             bool
	}{
		{"one of the servers, calls", "/lookup/x", "", 1, true},
		{"one of the servers, calls, alone", "/lookup/x", "", 1, false},
		{"each server, calls", "/booking/x", "", servers, true},
		{"one of the servers, prompts", "/chat/x", "%[1]s: shared-%[2]d:350,own-%[2]d-%[3]d:900\r\n", 1, true},
		{"each server, prompts", "/chat/x", "%[1]s: shared-%[2]d:350,own-%[2]d-%[3]d:900\r\n", servers, true},
		{"one of the servers, prompts, alone", "/chat/x", "%[1]s: shared-%[2]d:350,own-%[2]d-%[3]d:900\r\n", 1, false},
	} {
		t.Run(k.name, func(t *testing.T) {
			t.Parallel()
			c, r := start(t, 0, false)
			arrivals := make([]int, servers)
			var mu sync.Mutex
			began := time.Now()
			for i := range servers {
				o := &origin.Origin{Stream: k.header != "", OnRequest: func(*http.Request, bool) {
					if at := time.Since(began); at > begin && at < begin+window {
						mu.Lock()
						arrivals[i]++
						mu.Unlock()
					}
				}}
				if i < k.limited {
					o.SetRateLimit(fmt.Sprint(rate))
				}
				r.addServer(o)
			}
			r.forwarder.SetServers(r.serverList())
			if k.broker {
				r.withBroker()
			}
			served, wrong := 0, 0
			var all sync.WaitGroup
			for n := range senders {
				all.Go(func() {
					for i := 0; time.Since(began) < begin+window; i++ {
						header := ""
						if k.header != "" {
							header = fmt.Sprintf(k.header, fields.PromptSegments, n, i)
						}
						got := r.send("POST", k.path, fmt.Sprintf("r-%d-%d", n, i), header+"Content-Length: 0\r\n")
						mu.Lock()
						if got.status == 200 {
							served++
						} else if got.status != 503 {
							wrong++
						}
						mu.Unlock()
						time.Sleep(interval)
					}
				})
			}
			all.Wait()
			c.Logf("arrivals %v, %d served", arrivals, served)
			c.Check(wrong, qt.Equals, 0)
			for i, n := range arrivals[:k.limited] {
				c.Check(n <= maxRequests, qt.IsTrue, qt.Commentf("server %d got %d requests", i, n))
				// One of several may have no prompts whose segments it has cached.
				if k.header == "" || k.limited == servers {
					c.Check(n >= minRequests, qt.IsTrue, qt.Commentf("server %d got %d requests", i, n))
				}
			}
			if k.limited < servers {
				c.Check(served > senders*int(window/interval)/2, qt.IsTrue, qt.Commentf("%d served", served))
			}
		})
	}
}

// A torn response to a later request does not carry the field, as no part of it can be
// trusted.
func TestBrokenResponseLiftsNoRateLimit(t *testing.T) {
	for _, broken := range []origin.Behavior{origin.Tear, origin.EndlessBody, origin.HalfEvent} {
		c, r := start(t, 1, broken == origin.HalfEvent)
		limited := func() int64 {
			r.forwarder.UpdateGauges()
			return r.count.Gauge(meter.Servers, meter.Label("state", "Limited"))
		}
		r.servers[0].SetRateLimit("50")
		path := "/booking/x"
		if broken == origin.HalfEvent {
			path = "/once/x"
		}
		r.send("POST", path, "names", "Content-Length: 0\r\n")
		c.Assert(limited(), qt.Equals, int64(1))
		r.servers[0].SetDefault(broken)
		for i := 0; r.runs("breaks") == 0; i++ {
			// The server's rate lets the first ones wait.
			time.Sleep(20 * time.Millisecond)
			r.send("POST", path, "breaks", "Content-Length: 0\r\n")
		}
		c.Check(limited(), qt.Equals, int64(1), qt.Commentf("%s", broken))
	}
}
