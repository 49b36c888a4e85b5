package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// The bounds of the deployment that the case checks.
const (
	contactTime = 3 * time.Second
	drainTime   = 2 * time.Second
)

// silentChannels: the open channels from the fronts to the store go silent. After
// contactTime and half a second more, a server leaves without a word: its entry is removed,
// and it serves on. No request may reach it later than drainTime after that.
func silentChannels(dir string, trouble bool) bool {
	n := pickNet()
	st := newStore()
	l := serveHTTP(n+".1:0", st)
	var mu sync.Mutex
	left := map[string]time.Time{}
	broken, unanswered := 0, 0
	app := func(id string) handler {
		return func(c net.Conn, r *http.Request, _ []byte) bool {
			now := time.Now()
			mu.Lock()
			at, leaving := left[id]
			mu.Unlock()
			field := ""
			if leaving {
				field = "Server-Leaving: 1\r\n"
				if late := now.Sub(at); late > drainTime {
					mu.Lock()
					broken++
					mu.Unlock()
					note("BROKEN: request %s reaches %s %d ms after its entry was removed", r.Header.Get("Request-Id"), id, late.Milliseconds())
				}
			}
			time.Sleep(60 * time.Millisecond)
			_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Stamp: %s\r\n%sContent-Length: 2\r\n\r\nok", r.Header.Get("Request-Id"), id, field)
			return err == nil
		}
	}
	serverCount := 0
	add := func() *server {
		serverCount++
		id := fmt.Sprintf("i-app%d", serverCount)
		s := newServer(n+".10", id, app(id))
		cleanups = append(cleanups, s.end)
		st.put("servers", id, entry("app", s.address, "za", 1_700_000_000_000+int64(serverCount)))
		note("%s registers", id)
		return s
	}
	servers := []*server{add(), add(), add()}
	st.put("op", "config", config(1))
	var fronts []*front
	var relays []*relay
	for i, zone := range []string{"za", "za", "za", "zb", "zb", "zc", "zc"} {
		r := startRelay(n+".2", l.Addr().String())
		relays = append(relays, r)
		fronts = append(fronts, startFront(dir, fmt.Sprintf("front-%d", i+1), fmt.Sprintf("%s.%d", n, 101+i), zone, r.address))
	}
	for _, f := range fronts {
		f.awaitReady(8 * time.Second)
	}
	const rounds, period = 6, 10 * time.Second
	start := time.Now().Add(2 * time.Second)
	for round := range rounds {
		silent := start.Add(time.Duration(round) * period)
		// A server is added.
		time.Sleep(time.Until(silent.Add(-100 * time.Millisecond)))
		added := add()
		time.Sleep(time.Until(silent))
		if trouble {
			count := 0
			for _, r := range relays {
				count += r.silence()
			}
			note("the %d open channels to the store go silent", count)
		}
		// The store and the machines have been calm for contactTime.
		time.Sleep(time.Until(silent.Add(contactTime + 550*time.Millisecond)))
		leaver := servers[0]
		servers = append(servers[1:], added)
		removed := time.Now()
		mu.Lock()
		left[leaver.id] = removed
		mu.Unlock()
		st.drop("servers", leaver.id)
		note("the entry of %s is removed; it serves on", leaver.id)
		// Many consumers come at once.
		time.Sleep(time.Until(removed.Add(drainTime + 50*time.Millisecond)))
		var all sync.WaitGroup
		for i, f := range fronts {
			for k := range 5 {
				all.Go(func() {
					time.Sleep(time.Duration(k) * 80 * time.Millisecond)
					id := fmt.Sprintf("%04x%04x%04x", round, i, k)
					c := &consumer{address: f.address}
					defer c.close()
					if err := c.send("POST", "/b/new", id, []string{"Deadline-Ms: 4000"}, "stall"); err != nil {
						note("booking %s to %s was not sent: %v", id, f.name, err)
						return
					}
					a := c.receive(5 * time.Second)
					if a.status != http.StatusOK || !a.complete {
						mu.Lock()
						unanswered++
						mu.Unlock()
					}
					note("booking %s to %s: %d from %q, complete %v", id, f.name, a.status, a.header.Get("Response-Stamp"), a.complete)
				})
			}
		}
		time.Sleep(time.Until(removed.Add(drainTime + 400*time.Millisecond)))
		leaver.end()
		note("%s ends", leaver.id)
		all.Wait()
	}
	note("%d bookings had no success", unanswered)
	note("%d requests reached a server later than %v after its entry was removed", broken, drainTime)
	return broken == 0
}

func init() { cases["silent-channels"] = silentChannels }
