package bench

import (
	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/policy/sched"
	"siskinsaddle/internal/serve/probe"
)

// probeMisses is how many probes in a row have to fail.
const probeMisses = 2

// probes are what keepers learn by asking servers how they are.
type probes struct {
	world  *world
	missed map[*server]int
}

func newProbes(w *world) *probes {
	p := &probes{world: w, missed: map[*server]int{}}
	for i, s := range w.servers {
		stagger := clock.Millis(i) * probe.Period / clock.Millis(len(w.servers))
		w.every(stagger, probe.Period, func() { p.ask(s) })
	}
	return p
}

func (p *probes) ask(s *server) {
	if s.down {
		p.missed[s]++
		return
	}
	p.missed[s] = 0
}

func (p *probes) state(s *server) sched.ServerState {
	if p.missed[s] >= probeMisses {
		return sched.ServerDown
	}
	return sched.ServerUp
}
