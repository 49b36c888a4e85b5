package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/fakes/origin"
	"siskinsaddle/platform"
)

// Notice is the time in which a server said something of itself in its responses. Wait is
// the hold-off that it named in its refusals, 0 for that it is leaving.
type Notice struct {
	Server string
	Wait   clock.Millis
	From   clock.Millis
	Until  clock.Millis
}

const (
	// holdOffNotice is the time after a refusal from which it is to be heeded, and
	// maxHeldOff the number of requests that may come nevertheless.
	holdOffNotice = 500 * clock.Millis(1)
	maxHeldOff    = 2
	// noticeDuration is how long a server says that it is leaving, in milliseconds.
	noticeDuration = boundDrain + 2*clock.Second
)

var holdOffs = []clock.Millis{1_000, 2_500, 4_000}

// announceLeaving has a server say in its responses that it is leaving, while its record says
// that it is ready. Afterwards the server is replaced as others are.
func announceLeaving(ctx context.Context, hn *harness, f Fault) func() {
	s := hn.targetServer(f)
	s.SetLeaving(true)
	from := hn.now()
	return func() {
		hn.pause(ctx, noticeDuration)
		hn.mu.Lock()
		hn.record.Notices = append(hn.record.Notices, Notice{Server: s.ID, From: from, Until: hn.now()})
		leaving := s.leaving
		hn.mu.Unlock()
		if !leaving {
			hn.departServer(ctx, s, hn.putServer)
		}
	}
}

// holdOff has a server refuse all requests and name a time in which it wants none.
func holdOff(_ context.Context, hn *harness, f Fault) func() {
	s := hn.targetServer(f)
	wait := holdOffs[rand.New(rand.NewPCG(hn.options.Seed, uint64(f.At))).IntN(len(holdOffs))]
	s.SetHoldOff(fmt.Sprint(float64(wait) / float64(clock.Second)))
	from := hn.now()
	return func() {
		s.SetHoldOff("")
		hn.mu.Lock()
		defer hn.mu.Unlock()
		hn.record.Notices = append(hn.record.Notices, Notice{Server: s.ID, Wait: wait, From: from, Until: hn.now()})
	}
}

// oddRecords are values that no server or host writes.
var oddRecords = []string{
	"", "x", "[]", "null", strings.Repeat("[", 20_000), strings.Repeat(`{"a":`, 10_000),
	`{"service": "app", "address": "127.0.0.1:99999", "zone": "east", "slots": 64, "state": "ready"}`,
	`{"service": "app", "address": "127.0.0.1:1", "zone": "east", "slots": 1e30, "state": "ready"}`,
	`{"service": "app", "address": "127.0.0.1:1", "zone": "east", "slots": -5, "state": "ready"}`,
	`{"service": "engine", "address": "none", "zone": "east", "slots": 64, "state": "ready", "cold_left_ms": 1e300}`,
	`{"Name": "odd", "Address": "127.0.0.1:99999", "FailureDomain": "east", "Cores": 1e300}`,
}

// writeOddRecords writes odd records between those of servers and hosts, and removes them
// again.
func writeOddRecords(_ context.Context, hn *harness, f Fault) func() {
	key := func(i int) string { return fmt.Sprintf("i-%c-odd-%d-%d", 'a'+byte(i), f.At, i) }
	for i, value := range oddRecords {
		hn.store.Put(platform.ServersTable, key(i), []byte(value))
		hn.store.Put(hostsTable, "host/"+key(i), []byte(value))
	}
	return func() {
		for i := range oddRecords {
			hn.store.Delete(platform.ServersTable, key(i))
			hn.store.Delete(hostsTable, "host/"+key(i))
		}
	}
}

// hostsTable is the table in which hosts register.
const hostsTable = "hosts"

// leavingIsHeeded finds requests that reached a server from a host which had passed on an
// answer that says the server is leaving, longer ago than the bound. A host that was
// disturbed since may have forgotten it.
func leavingIsHeeded(r Record) []string {
	told := map[string]map[int]clock.Millis{}
	for _, s := range r.Requests {
		server := strings.TrimPrefix(s.Stamp, "stamp-")
		if !s.Leaving {
			continue
		}
		if told[server] == nil {
			told[server] = map[int]clock.Millis{}
		}
		if at, ok := told[server][s.Host]; !ok || s.Ended < at {
			told[server][s.Host] = s.Ended
		}
	}
	requests := r.requestsByID()
	var found []string
	for _, a := range r.Arrivals {
		s := requests[a.ID]
		at, ok := told[a.Server][s.Host]
		if ok && s.At > at+boundDrain && !r.hostDisturbed(s.Host, at, a.At) {
			found = append(found, fmt.Sprintf("%s reached %s from host %d, which had passed on %d ms before that the server is leaving", a.ID, a.Server, s.Host, s.At-at))
		}
	}
	return found
}

// holdOffsAreHeeded finds hosts that sent a server more requests than allowed after it had
// named them a hold-off.
func holdOffsAreHeeded(r Record) []string {
	requests := r.requestsByID()
	var found []string
	for _, n := range r.Notices {
		if n.Wait == 0 {
			continue
		}
		byHost := map[int][]Arrival{}
		for _, a := range r.Arrivals {
			if host := requests[a.ID].Host; a.Server == n.Server && a.At >= n.From && a.At <= n.Until+n.Wait {
				byHost[host] = append(byHost[host], a)
			}
		}
		for host, all := range byHost {
			if text := heldOffTooOften(r, n, host, all); text != "" {
				found = append(found, text)
			}
		}
	}
	return found
}

// heldOffTooOften describes the first refusal that a host did not heed, or returns "".
func heldOffTooOften(r Record, n Notice, host int, all []Arrival) string {
	for i, refused := range all {
		if refused.Runs || refused.At > n.Until {
			continue
		}
		count := 0
		for _, a := range all[i+1:] {
			if a.At > refused.At+holdOffNotice && a.At < refused.At+n.Wait {
				count++
			}
		}
		if count > maxHeldOff && !r.hostDisturbed(host, refused.At, refused.At+n.Wait) && !r.overlapsCrash(refused.At, refused.At+n.Wait) {
			return fmt.Sprintf("%s got %d requests from host %d within %d ms after it had refused one", n.Server, count, host, n.Wait)
		}
	}
	return ""
}

// strayCalls are the ways in which a faulty server sends bytes that belong to no request, and
// lateCalls those that only a server of plain calls has.
var (
	strayCalls = []origin.Behavior{
		origin.StrayRefusal, origin.UnnamedRefusal, origin.Informational, origin.UnnamedSuccess, origin.UnnamedFailure, origin.UnnamedEmpty,
	}
	lateCalls = []origin.Behavior{origin.LateCopy, origin.LateUnnamed, origin.Unstamped}
)
