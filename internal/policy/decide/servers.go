package decide

import "siskinsaddle/internal/policy/sched"

// Servers returns the servers as the group was told of them: those that
// SetServers was given, with suspected ones marked.
func (d *Decider) Servers() []sched.Server { return d.health.apply(d.servers) }
