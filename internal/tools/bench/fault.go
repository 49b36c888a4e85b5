package bench

import (
	"slices"

	"siskinsaddle/internal/policy/sched"
)

// faultStarters inject each kind of fault. Each returns the function that ends
// the fault.
var faultStarters = map[FaultKind]func(w *simulation, f Fault) func(){
	FaultSlow:  startSlow,
	FaultCrash: startCrash,
	FaultFeed:  startFeed,
	FaultCut:   startCut,
}

func (sm *simulation) scheduleFaults(faults []Fault) {
	for _, f := range faults {
		sm.at(f.FromMilliseconds, func() {
			end := faultStarters[f.Kind](sm, f)
			sm.at(f.UntilMilliseconds, end)
		})
	}
}

func (sm *simulation) serversNamed(names []string) []*server {
	var found []*server
	for _, s := range sm.servers {
		if slices.Contains(names, s.name) {
			found = append(found, s)
		}
	}
	return found
}

func startSlow(sm *simulation, f Fault) func() {
	for _, s := range sm.serversNamed(f.Servers) {
		s.slowdown *= f.Factor
	}
	return func() {
		for _, s := range sm.serversNamed(f.Servers) {
			s.slowdown /= f.Factor
		}
	}
}

func startCrash(sm *simulation, f Fault) func() {
	for _, s := range sm.serversNamed(f.Servers) {
		s.crash()
	}
	return func() {
		for _, s := range sm.serversNamed(f.Servers) {
			s.down = false
		}
	}
}

func startFeed(sm *simulation, f Fault) func() {
	shared := &powerFeed{servers: sm.serversNamed(f.Servers), factor: f.Factor, drawShare: f.DrawShare}
	for _, s := range shared.servers {
		s.powerFeeds = append(s.powerFeeds, shared)
	}
	return func() {
		for _, s := range shared.servers {
			s.powerFeeds = slices.DeleteFunc(s.powerFeeds, func(other *powerFeed) bool {
				return other == shared
			})
		}
	}
}

func startCut(sm *simulation, f Fault) func() {
	at := slices.IndexFunc(sm.domains, func(d Domain) bool { return d.Name == f.Domain })
	sm.isolated[at] = true
	sm.breakPartitionedConnections()
	sm.onPartitionChange()
	return func() {
		sm.isolated[at] = false
		sm.onPartitionChange()
	}
}

// breakPartitionedConnections breaks the connections between separated domains.
// Both the host and the server detect it after unresponsiveTimeout.
func (sm *simulation) breakPartitionedConnections() {
	for _, place := range sm.hostPlaces() {
		for _, a := range sm.openAttempts(place) {
			if !sm.partitioned(place.domain, a.server.domain) {
				continue
			}
			a.lost = true
			sm.after(unresponsiveTimeout, func() {
				a.server.cancel(a)
				a.fail(sched.OutcomeSilent)
			})
		}
	}
}
