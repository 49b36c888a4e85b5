package keeper

import (
	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/policy/audit"
	"siskinsaddle/internal/policy/sched"
	"siskinsaddle/internal/share/hosts"
	"siskinsaddle/internal/share/link"
)

// TickEvery is the time between two ticks of a Node in milliseconds.
const TickEvery = tickEvery

// Machine is what a Node does without its edge: a program that brings its own
// time and network, such as the benchmark, drives it. It is not safe for
// concurrent use.
//
// After each call, Packets and Decisions return what follows from it.
type Machine struct {
	core *core
}

// Packet is what goes to one peer. Body is encoded as on the link.
type Packet struct {
	To   string
	Body []byte
}

// Decision ends the wait of a request: with a grant, or with a refusal.
type Decision struct {
	ID      string
	Grant   Grant
	Refusal *Refusal
}

// MachineSettings are those of a Node that the protocol needs.
type MachineSettings struct {
	Name          string
	FailureDomain string
	// GroupSize is the most backend servers of a group; 0 lets the host decide
	// alone.
	GroupSize int
	Services  func() []string
	Servers   func(service, domain string) []sched.Server
	Settings  func(service string) (sched.Settings, uint64)
	// Random returns a number below its argument.
	Random func(int) int
	// Watch, where set, returns an auditor for each group kept.
	Watch func(sched.Settings) *audit.Auditor
}

// NewMachine returns a Machine without a view of the hosts.
func NewMachine(s MachineSettings) *Machine {
	self := link.Peer{Name: s.Name, Incarnation: 1}
	return &Machine{core: newCore(self, s.FailureDomain, s.GroupSize, seams{
		services: s.Services, servers: s.Servers, settings: s.Settings, random: s.Random, watch: s.Watch,
	})}
}

// ViewChanged follows the membership.
func (m *Machine) ViewChanged(now clock.Millis, v hosts.View) { m.core.setView(now, v) }

// Ask places a request. Its decision comes with Decisions.
func (m *Machine) Ask(now clock.Millis, r sched.Request) { m.core.ask(now, r) }

// Cancel withdraws a request.
func (m *Machine) Cancel(now clock.Millis, id string) { m.core.cancel(now, id) }

// Progress notes what has been seen of a running request.
func (m *Machine) Progress(p sched.Progress) { m.core.note(p) }

// Done ends a granted request.
func (m *Machine) Done(now clock.Millis, d sched.Done) { m.core.done(now, d) }

// Tick lets time pass; a Node does so each TickEvery.
func (m *Machine) Tick(now clock.Millis) { m.core.tick(now) }

// Sum is what rides on the beats to other failure domains.
func (m *Machine) Sum(now clock.Millis) []DomainDigest { return m.core.sum(now) }

// Learn takes another failure domain's Sum.
func (m *Machine) Learn(now clock.Millis, domain string, all []DomainDigest) {
	m.core.learn(now, domain, all)
}

// Receive takes a packet's body from a peer.
func (m *Machine) Receive(now clock.Millis, from string, body []byte) error {
	var p packet
	if err := link.Decode(body, &p); err != nil {
		return err
	}
	m.core.receive(now, link.Peer{Name: from, Incarnation: 1}, &p)
	return nil
}

// Packets returns what is to be sent. What goes to this host itself has been
// delivered.
func (m *Machine) Packets(now clock.Millis) ([]Packet, error) {
	m.deliver(now)
	var all []Packet
	for {
		peer, p, ok := m.core.take()
		if !ok {
			return all, nil
		}
		body, err := link.Encode(p)
		if err != nil {
			return all, err
		}
		all = append(all, Packet{To: peer, Body: body})
	}
}

func (m *Machine) deliver(now clock.Millis) {
	for {
		p, ok := m.core.takeFor(m.core.self.Name)
		if !ok {
			return
		}
		m.core.receive(now, m.core.self, p)
	}
}

// Decisions returns the requests that have been decided since the last call.
func (m *Machine) Decisions() []Decision {
	var all []Decision
	for _, r := range m.core.ended {
		all = append(all, Decision{ID: r.id, Grant: r.grant, Refusal: r.refusal})
	}
	m.core.ended = m.core.ended[:0]
	return all
}
