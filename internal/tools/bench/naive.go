package bench

import "siskinsaddle/internal/policy/sched"

// naiveMaxAttempts is the first attempt and one blind retry.
const naiveMaxAttempts = 2

// naiveTimeoutReason is the reason of an attempt that timed out.
const naiveTimeoutReason sched.Reason = "Timeout"

// naive sends requests round robin; each server is one FIFO queue. An attempt
// that returns no token within half of the class's maximum wait, or whose
// connection ends before a token, is retried once on the next server.
type naive struct {
	simulation *simulation
	nextServer map[hostPlace]int
}

// hostPlace identifies an entry host by the index of its failure domain and its
// own index in it.
type hostPlace struct {
	domain int
	host   int
}

func (r *request) hostPlace() hostPlace { return hostPlace{domain: r.domain, host: r.host} }

func newNaive(sm *simulation) router {
	n := &naive{simulation: sm, nextServer: map[hostPlace]int{}}
	ignore := func(*attempt) {}
	return router{arrive: n.send, firstToken: ignore, progress: ignore, failed: n.failed, done: ignore}
}

func (n *naive) send(r *request) {
	servers := n.simulation.serversOf(r.domain)
	turn := n.nextServer[r.hostPlace()]
	n.nextServer[r.hostPlace()]++
	a := r.send(servers[turn%len(servers)], 0, false)
	n.simulation.after(r.class.MaxWaitMilliseconds/naiveMaxAttempts, func() {
		if !a.finished && r.received == 0 {
			a.cancel()
			n.retryOrEnd(r, naiveTimeoutReason)
		}
	})
}

func (n *naive) failed(a *attempt, _ sched.Outcome) { n.retryOrEnd(a.request, "Failed") }

func (n *naive) retryOrEnd(r *request, why sched.Reason) {
	switch {
	case r.received > 0:
		r.end(endingBroken, why)
	case len(r.attempts) >= naiveMaxAttempts:
		r.end(endingRefused, why)
	default:
		n.send(r)
	}
}
