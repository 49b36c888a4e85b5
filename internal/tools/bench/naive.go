package bench

import "siskinsaddle/internal/policy/sched"

// naiveTries is the first try and one blind retry.
const naiveTries = 2

// naiveReason is why a naive host gives a request up.
const naiveReason sched.Reason = "Timeout"

// naive sends requests round robin. Each server is one FIFO. A try that gives
// no token within half of the class's longest wait, or whose connection ends
// before a token, is repeated once on the next server.
type naive struct {
	world *world
	turns map[hostPlace]int
}

// hostPlace is an entry host.
type hostPlace struct {
	domain int
	host   int
}

func (r *request) hostPlace() hostPlace { return hostPlace{domain: r.domain, host: r.host} }

func newNaive(w *world) router {
	n := &naive{world: w, turns: map[hostPlace]int{}}
	ignore := func(*attempt) {}
	return router{arrive: n.send, first: ignore, report: ignore, failed: n.failed, done: ignore}
}

func (n *naive) send(r *request) {
	servers := n.world.serversOf(r.domain)
	turn := n.turns[r.hostPlace()]
	n.turns[r.hostPlace()]++
	a := r.send(servers[turn%len(servers)], 0, false)
	n.world.after(r.class.MaxWaitMilliseconds/naiveTries, func() {
		if !a.over && r.got == 0 {
			a.cancel()
			n.again(r, naiveReason)
		}
	})
}

func (n *naive) failed(a *attempt, _ sched.Outcome) { n.again(a.request, "Failed") }

func (n *naive) again(r *request, why sched.Reason) {
	switch {
	case r.got > 0:
		r.end(endingBroken, why)
	case len(r.attempts) >= naiveTries:
		r.end(endingRefused, why)
	default:
		n.send(r)
	}
}
