package decide

import "siskinsaddle/internal/policy/sched"

// Servers returns the servers as passed to the group: the list from SetServers with
// the states and slots of suspected servers and servers on trial adjusted.
func (d *Decider) Servers() []sched.Server { return d.health.apply(d.servers) }
