package bench

import (
	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/policy/sched"
	"siskinsaddle/internal/serve/probe"
)

// minFailedProbes is how many consecutive probes must fail before a server
// counts as down.
const minFailedProbes = 2

// probes simulates the health probes of the servers. All hosts share their
// results.
type probes struct {
	simulation   *simulation
	failedProbes map[*server]int
}

func newProbes(sm *simulation) *probes {
	p := &probes{simulation: sm, failedProbes: map[*server]int{}}
	for i, s := range sm.servers {
		stagger := clock.Millis(i) * probe.Period / clock.Millis(len(sm.servers))
		sm.every(stagger, probe.Period, func() { p.check(s) })
	}
	return p
}

func (p *probes) check(s *server) {
	if s.down {
		p.failedProbes[s]++
		return
	}
	p.failedProbes[s] = 0
}

func (p *probes) state(s *server) sched.ServerState {
	if p.failedProbes[s] >= minFailedProbes {
		return sched.ServerDown
	}
	return sched.ServerUp
}
