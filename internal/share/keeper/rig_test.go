package keeper

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/base/count"
	"siskinsaddle/internal/base/logs"
	"siskinsaddle/internal/fakes/midbox"
	"siskinsaddle/internal/plat/table"
	"siskinsaddle/internal/policy/audit"
	"siskinsaddle/internal/policy/sched"
	"siskinsaddle/internal/share/hosts"
	"siskinsaddle/internal/share/link"
)

// patient waits let no host take another for lost because the machine is busy.
var patient = Waits{Ask: 20 * clock.Second, Lost: 20 * clock.Second, Rebuild: 20 * clock.Second}

const (
	serverCount = 3
	serverSlots = 4
	holdTime    = 20 * time.Millisecond
	testLimit   = 30 * time.Second
)

// rig is a failure domain of hosts on real sockets before servers that only
// count what runs.
type rig struct {
	*qt.C
	mu       sync.Mutex
	members  map[string]*member
	running  map[string]map[string]string // by server, request to host
	most     int                          // most that ran on one server
	auditors []*audit.Auditor
	asking   sync.WaitGroup
	answers  map[string]answer
}

type answer struct {
	grant   Grant
	refusal *Refusal
	err     error
}

type member struct {
	*Node
	relay *midbox.Proxy
	crash func()
}

func newRig(t *testing.T, count int) *rig {
	r := &rig{C: qt.New(t), members: map[string]*member{}, running: map[string]map[string]string{}, answers: map[string]answer{}}
	for i := range count {
		r.start(fmt.Sprintf("host-%d", i), 1)
	}
	return r
}

// start starts a host whose peers reach it through a relay.
func (r *rig) start(name string, incarnation int64) *member {
	m, l := r.open(name)
	m.Incarnation, l.Incarnation = incarnation, incarnation
	l.Address = func(peer string) (string, bool) {
		r.mu.Lock()
		defer r.mu.Unlock()
		to, ok := r.members[peer]
		return to.relay.Addr(), ok
	}
	relay, err := midbox.New(l.Addr())
	r.Assert(err, qt.IsNil)
	m.relay = relay
	m.Prepare()
	ctx, cancel := context.WithCancel(context.Background())
	r.run(ctx, cancel, m, l.Run, m.Run)
	return m
}

// startWhole starts a host with its own membership.
func (r *rig) startWhole(name string, store table.Store) {
	m, l := r.open(name)
	g := &hosts.Node{
		Self: hosts.Host{Name: name, FailureDomain: "prairie-a", Address: l.Addr()},
		Link: l, Table: store, Clock: m.Clock, Log: m.Log, Counters: m.Counters,
	}
	ctx, cancel := context.WithCancel(context.Background())
	l.Incarnation = g.Register(ctx)
	m.Incarnation = l.Incarnation
	l.Address, l.Admit, l.Connected = g.Address, g.Admit, g.Connected
	m.Prepare()
	g.OnChange(m.ViewChanged)
	r.Assert(g.Prepare(), qt.IsNil)
	r.run(ctx, cancel, m, l.Run, m.Run, g.Run)
}

func (r *rig) open(name string) (*member, *link.Node) {
	system, counters := clock.System(), count.NewSet()
	l := &link.Node{
		Name: name, Listen: "127.0.0.1:0", Secret: []byte("a secret of the tests, long enough"),
		Clock: system, Log: logs.Discard(), Counters: counters,
	}
	r.Assert(l.Bind(), qt.IsNil)
	return &member{Node: &Node{
		Name: name, FailureDomain: "prairie-a", Link: l,
		Services: func() []string { return []string{"canvas-llm"} }, Servers: testServers, Settings: testSettings,
		Clock: system, Log: logs.Discard(), Counters: counters, Watch: r.watch, Waits: patient,
	}}, l
}

func (r *rig) run(ctx context.Context, cancel func(), m *member, parts ...func(context.Context) error) {
	r.mu.Lock()
	r.members[m.Name] = m
	r.mu.Unlock()
	r.Assert(m.Link.Start(ctx), qt.IsNil)
	done := make(chan error, len(parts))
	for _, part := range parts {
		go func() { done <- part(ctx) }()
	}
	m.crash = sync.OnceFunc(func() {
		cancel()
		if m.relay != nil {
			m.relay.Close()
		}
		for range parts {
			r.Check(<-done, qt.IsNil)
		}
		m.mu.Lock()
		m.core.desks = nil
		m.mu.Unlock()
	})
	r.Cleanup(m.crash)
}

func testServers(_, domain string) []sched.Server {
	var all []sched.Server
	for i := range serverCount {
		if domain == "prairie-a" {
			all = append(all, sched.Server{Name: fmt.Sprintf("llm-%d", i), State: sched.ServerUp, Slots: serverSlots})
		}
	}
	return all
}

func testSettings(string) (sched.Settings, uint64) {
	var classes []sched.Class
	for tier := 1; tier <= 3; tier++ {
		classes = append(classes, sched.Class{Name: fmt.Sprintf("class-%d", tier), Tier: tier, FloorPeriod: 10 * clock.Second, MaxWaiting: 10_000})
	}
	return sched.Settings{Classes: classes}, 1
}

func (r *rig) watch(s sched.Settings) *audit.Auditor {
	a := audit.New(s)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.auditors = append(r.auditors, a)
	return a
}

// patience sets whether hosts take a keeper for lost after the usual waits.
func (r *rig) patience(usual bool) {
	for _, m := range r.members {
		m.mu.Lock()
		m.core.waits = patient
		if usual {
			m.core.waits.Ask, m.core.waits.Lost = DefaultWaits().Ask, DefaultWaits().Lost
		}
		m.mu.Unlock()
	}
}

// view gives hosts a membership by hand.
func (r *rig) view(number uint64, to []string, live ...hosts.Host) {
	v := hosts.NewView(number, live...)
	for _, name := range to {
		r.members[name].ViewChanged(v)
	}
}

func named(incarnation int64, state string, names ...string) []hosts.Host {
	var all []hosts.Host
	for _, name := range names {
		h := hosts.Host{Name: name, FailureDomain: "prairie-a", Incarnation: incarnation, State: hosts.StateAlive}
		if state == "Leaving" {
			h.State = hosts.StateLeaving
		}
		all = append(all, h)
	}
	return all
}

func numbered(count int) []string {
	var names []string
	for i := range count {
		names = append(names, fmt.Sprintf("host-%d", i))
	}
	return names
}

// burst lets each host ask for many requests at once; each that is granted
// runs for holdTime.
func (r *rig) burst(tag string, each int, from ...string) {
	for _, name := range from {
		for i := range each {
			r.asking.Go(func() { r.request(r.members[name], fmt.Sprintf("%s-%s-%d", tag, name, i), i%3+1) })
		}
	}
}

func (r *rig) request(m *member, id string, tier int) {
	ctx, cancel := context.WithTimeout(context.Background(), testLimit)
	defer cancel()
	now := m.Clock.Now()
	grant, refusal, err := m.Ask(ctx, sched.Request{
		ID: id, Service: "canvas-llm", Class: fmt.Sprintf("class-%d", tier), Workspace: "stall", PredictedTokens: 10,
		Arrived: now, Deadline: now + 20*clock.Second, GiveUp: now + 60*clock.Second,
	})
	r.mu.Lock()
	r.answers[id] = answer{grant, refusal, err}
	r.mu.Unlock()
	if err != nil || refusal != nil {
		return
	}
	r.set(grant.Server, id, m.Name)
	time.Sleep(holdTime) // the work itself, not a wait for something
	r.set(grant.Server, id, "")
	m.Done(sched.Done{Progress: sched.Progress{ID: id, Tokens: 10, FirstToken: 5}, Outcome: sched.OutcomeDone})
}

func (r *rig) set(server, id, host string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.running[server] == nil {
		r.running[server] = map[string]string{}
	}
	if host == "" {
		delete(r.running[server], id)
		return
	}
	r.running[server][id] = host
	r.most = max(r.most, len(r.running[server]))
}

// finished waits for all requests, checks that each was granted once and that
// the keepers' decisions kept their order, and returns the most that ran on
// one server.
func (r *rig) finished(wanted int) int {
	r.asking.Wait()
	r.awaitNothingHeld()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Assert(r.answers, qt.HasLen, wanted)
	for id, a := range r.answers {
		r.Assert(a.err, qt.IsNil, qt.Commentf("%s", id))
		r.Assert(a.refusal, qt.IsNil, qt.Commentf("%s", id))
	}
	for name, m := range r.members {
		m.mu.Lock()
		for _, d := range m.core.desks {
			r.Check(d.sched.audit.Findings(), qt.HasLen, 0, qt.Commentf("%s keeps %s", name, d.group.Name))
		}
		m.mu.Unlock()
	}
	most := r.most
	r.most = 0
	r.answers = map[string]answer{}
	return most
}

// awaitNothingHeld waits until every slot is free at every keeper: a lost
// message must not hold one for good.
func (r *rig) awaitNothingHeld() {
	limit := time.Now().Add(testLimit)
	for held := 1; held > 0; time.Sleep(time.Millisecond) {
		held = 0
		for _, m := range r.members {
			m.mu.Lock()
			for _, d := range m.core.desks {
				held += len(d.held)
			}
			m.mu.Unlock()
		}
		r.Assert(time.Now().Before(limit), qt.IsTrue, qt.Commentf("%d still held", held))
	}
}

// await waits for the first event of a kind on a host.
func (r *rig) await(m *member, event string) {
	limit := time.Now().Add(testLimit)
	for m.Counters.Count("siskinsaddle_keep_events_total", count.Label{Key: "event", Value: event}) == 0 {
		r.Assert(time.Now().Before(limit), qt.IsTrue, qt.Commentf("%s: no event %s", m.Name, event))
		time.Sleep(time.Millisecond)
	}
}

// awaitAnswers waits until some requests have been answered.
func (r *rig) awaitAnswers(wanted int) {
	limit := time.Now().Add(testLimit)
	for have := 0; have < wanted; {
		r.mu.Lock()
		have = len(r.answers)
		r.mu.Unlock()
		r.Assert(time.Now().Before(limit), qt.IsTrue)
		time.Sleep(time.Millisecond)
	}
}
