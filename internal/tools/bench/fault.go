package bench

import (
	"slices"

	"siskinsaddle/internal/policy/sched"
)

// faultStarts are what each kind of fault does at its start. Each returns what
// is to be done at its end.
var faultStarts = map[FaultKind]func(w *world, f Fault) func(){
	FaultSlow:  startSlow,
	FaultCrash: startCrash,
	FaultFeed:  startFeed,
	FaultCut:   startCut,
}

func (w *world) planFaults(faults []Fault) {
	for _, f := range faults {
		w.at(f.FromMilliseconds, func() {
			end := faultStarts[f.Kind](w, f)
			w.at(f.UntilMilliseconds, end)
		})
	}
}

func (w *world) named(names []string) []*server {
	var found []*server
	for _, s := range w.servers {
		if slices.Contains(names, s.name) {
			found = append(found, s)
		}
	}
	return found
}

func startSlow(w *world, f Fault) func() {
	for _, s := range w.named(f.Servers) {
		s.slowdown *= f.Factor
	}
	return func() {
		for _, s := range w.named(f.Servers) {
			s.slowdown /= f.Factor
		}
	}
}

func startCrash(w *world, f Fault) func() {
	for _, s := range w.named(f.Servers) {
		s.crash()
	}
	return func() {
		for _, s := range w.named(f.Servers) {
			s.down = false
		}
	}
}

func startFeed(w *world, f Fault) func() {
	shared := &feed{servers: w.named(f.Servers), factor: f.Factor, share: f.DrawShare}
	for _, s := range shared.servers {
		s.feeds = append(s.feeds, shared)
	}
	return func() {
		for _, s := range shared.servers {
			s.feeds = slices.DeleteFunc(s.feeds, func(other *feed) bool { return other == shared })
		}
	}
}

func startCut(w *world, f Fault) func() {
	at := slices.IndexFunc(w.domains, func(d Domain) bool { return d.Name == f.Domain })
	w.cutOff[at] = true
	w.loseAcross()
	w.onCut()
	return func() {
		w.cutOff[at] = false
		w.onCut()
	}
}

// loseAcross breaks the connections that cross the cut: the host notices after
// a time of silence, and so does the server.
func (w *world) loseAcross() {
	for _, place := range w.hostPlaces() {
		for _, a := range w.openAttempts(place) {
			if !w.cut(place.domain, a.server.domain) {
				continue
			}
			a.lost = true
			w.after(silentTimeout, func() {
				a.server.cancel(a)
				a.fail(sched.OutcomeSilent)
			})
		}
	}
}
