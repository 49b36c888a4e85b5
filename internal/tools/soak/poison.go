package soak

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/policy/route"
	"siskinsaddle/platform"
)

const (
	// crashDowntime is the time after which a crashed server is back under another ID, in
	// milliseconds.
	crashDowntime = 1 * clock.Second
	// minPoisonPause and maxPoisonPause bound the time between two prompts with the same
	// poisoned segment, in milliseconds.
	minPoisonPause = 40
	maxPoisonPause = 300
)

// startPoison makes engines crash on a new segment and sends prompts with it until the
// callers stop.
func startPoison(_ context.Context, hn *harness, f Fault) func() {
	hn.mu.Lock()
	segment := fmt.Sprintf("poison-%d-%d", f.At, len(hn.poisons))
	hn.poisons = append(slices.Clone(hn.poisons), segment)
	servers, poisons := hn.servers, hn.poisons
	hn.mu.Unlock()
	// Without the lock, which the servers take for each request.
	for _, s := range servers {
		if s.service == serviceEngine {
			s.SetCrashSegments(poisons...)
		}
	}
	hn.sendPoison(segment)
	return nil
}

// chatRoute returns the route of prompts.
func chatRoute() route.Route {
	return routes[slices.IndexFunc(routes, func(r route.Route) bool { return r.Prompts })]
}

// runPoison sends prompts with a poisoned segment to random hosts, no two alike.
func (hn *harness) runPoison(ctx context.Context, segment string) {
	random := rand.New(rand.NewPCG(hn.options.Seed, uint64(hn.now())))
	c := &caller{harness: hn, name: segment, random: random, poison: segment}
	defer c.closeConn()
	for ctx.Err() == nil {
		c.closeConn()
		c.host = hn.pickHost(random)
		s := c.roundTrip(chatRoute())
		hn.mu.Lock()
		hn.record.Requests = append(hn.record.Requests, s)
		hn.mu.Unlock()
		hn.pause(ctx, clock.Millis(minPoisonPause+random.IntN(maxPoisonPause-minPoisonPause)))
	}
}

// crashServers crashes half of the engines at once.
func crashServers(_ context.Context, hn *harness, _ Fault) func() {
	hn.mu.Lock()
	var engines []*server
	for _, s := range hn.servers {
		if s.service == serviceEngine && !s.leaving {
			engines = append(engines, s)
		}
	}
	hn.mu.Unlock()
	for _, s := range engines[:len(engines)/2] {
		s.Crash()
	}
	return nil
}

// serverCrashed records the crash of a server and starts another one in its place after
// crashDowntime. Its record stays until then.
func (hn *harness) serverCrashed(s *server, segment string) {
	hn.mu.Lock()
	defer hn.mu.Unlock()
	at := hn.now()
	hn.record.Crashes = append(hn.record.Crashes, Crash{Server: s.ID, Segment: segment, At: at})
	hn.servers = slices.DeleteFunc(slices.Clone(hn.servers), func(other *server) bool { return other == s })
	hn.crashed = append(hn.crashed, s)
	hn.running.Go(func() {
		// The relay would answer in the server's place.
		s.relay.Close()
		<-hn.clock.After(crashDowntime)
		hn.store.Delete(platform.ServersTable, s.ID)
		if err := hn.addServer(s.service); err != nil {
			hn.recordError(err)
		}
	})
}

// Crash is the end of a server by the segment of a prompt, or together with others if
// Segment is empty.
type Crash struct {
	Server  string
	Segment string
	At      clock.Millis
}

const (
	// crashLimit is the number of crashes after which prompts with a segment must stop, but
	// for allowedAfterLimit more.
	crashLimit        = 5
	allowedAfterLimit = 3
	// minSample is the least number of prompts whose share that is served is compared.
	minSample = 20
)

// crashesBySegment returns the times of the crashes by each segment.
func (r Record) crashesBySegment() map[string][]clock.Millis {
	all := map[string][]clock.Millis{}
	for _, k := range r.Crashes {
		if k.Segment != "" {
			all[k.Segment] = append(all[k.Segment], k.At)
		}
	}
	for _, times := range all {
		slices.Sort(times)
	}
	return all
}

// poisonedPromptsStop finds segments that went on crashing servers.
func poisonedPromptsStop(r Record) []string {
	requests := r.requestsByID()
	var found []string
	for segment, crashes := range r.crashesBySegment() {
		if len(crashes) < crashLimit {
			continue
		}
		from := crashes[crashLimit-1] + boundContact
		late := 0
		for _, a := range r.Arrivals {
			s := requests[a.ID]
			if a.At > from && slices.Contains(s.Segments, segment) && !r.hostDisturbed(s.Host, a.At-boundContact, a.At) {
				late++
			}
		}
		if late > allowedAfterLimit {
			found = append(found, fmt.Sprintf("%s: %d prompts reached servers later than %d ms; %d crashes in all", segment, late, from, len(crashes)))
		}
	}
	return found
}

func (r Record) requestsByID() map[string]Request {
	requests := make(map[string]Request, len(r.Requests))
	for _, s := range r.Requests {
		requests[s.ID] = s
	}
	return requests
}

// hostDisturbed reports whether a host was not running, paused or cut off in a time span,
// or the machine lagged. Faults of the store excuse nothing here.
func (r Record) hostDisturbed(host int, from, until clock.Millis) bool {
	for _, f := range r.Faults {
		own := f.Host == host && (f.Kind == KindKill || f.Kind == KindPause || f.Kind == KindStop || f.Kind == KindDomainCut)
		if own && f.From < until && f.Until > from {
			return true
		}
	}
	return r.overlapsLag(from, until)
}

// poisoned reports whether a request has a segment that crashed a server.
func (r Record) poisoned(s Request, crashes map[string][]clock.Millis) bool {
	return slices.ContainsFunc(s.Segments, func(name string) bool { return len(crashes[name]) > 0 })
}

// soundPromptsAreNotRefused finds prompts that were refused as if they crashed servers.
func soundPromptsAreNotRefused(r Record) []string {
	var found []string
	crashes := r.crashesBySegment()
	for _, s := range r.Requests {
		if isQuarantined(s) && !r.poisoned(s, crashes) {
			found = append(found, fmt.Sprintf("%s with segments %v was refused at %d ms", s.ID, s.Segments, s.At))
		}
	}
	return found
}

// soundPromptsGoOn compares the share of served sound prompts, while poisoned ones still
// come, with that outside faults.
func soundPromptsGoOn(r Record) []string {
	crashes := r.crashesBySegment()
	last := clock.Millis(0)
	for _, times := range crashes {
		last = max(last, times[min(len(times), crashLimit)-1])
	}
	if last == 0 {
		return nil
	}
	var all, served [2]int
	for _, s := range r.Requests {
		if len(s.Segments) == 0 || r.poisoned(s, crashes) || r.overlapsFault(s.Host, s.At-boundContact, s.Ended, true) {
			continue
		}
		n := 0
		if s.At > last+2*boundContact {
			n = 1
		} else if r.overlapsCrash(s.At-boundContact, s.Ended) {
			continue
		}
		all[n]++
		if s.outcome() == outcomeServed {
			served[n]++
		}
	}
	if all[0] < minSample || all[1] < minSample || 2*served[1]*all[0] >= served[0]*all[1] {
		return nil
	}
	return []string{fmt.Sprintf("%d of %d sound prompts were served beside poisoned ones, %d of %d otherwise", served[1], all[1], served[0], all[0])}
}

// overlapsCrash reports whether a server crashed in a time span.
func (r Record) overlapsCrash(from, until clock.Millis) bool {
	return slices.ContainsFunc(r.Crashes, func(k Crash) bool { return k.At > from && k.At < until })
}

// crashText returns the number of crashes by each segment, and how many prompts with it
// were refused, a line each.
func (r Record) crashText() string {
	var b strings.Builder
	crashes := r.crashesBySegment()
	for _, segment := range slices.Sorted(maps.Keys(crashes)) {
		refused, all := 0, 0
		for _, s := range r.Requests {
			if slices.Contains(s.Segments, segment) {
				all++
				if isQuarantined(s) {
					refused++
				}
			}
		}
		times := crashes[segment]
		fmt.Fprintf(&b, "%s: %d crashes in %d ms, %d of %d prompts refused\n", segment, len(times), times[len(times)-1]-times[0], refused, all)
	}
	return b.String()
}
