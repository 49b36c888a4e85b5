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

// longTimeouts keep hosts from marking each other as lost on a busy machine.
var longTimeouts = Timeouts{GrantRequest: 20 * clock.Second, Report: 20 * clock.Second, Rebuild: 20 * clock.Second}

const (
	serverCount = 3
	serverSlots = 4
	runDuration = 20 * time.Millisecond
	testLimit   = 30 * time.Second
)

// harness is a failure domain of hosts on real sockets, with simulated servers that only
// count running requests.
type harness struct {
	*qt.C
	mu         sync.Mutex
	members    map[string]*member
	running    map[string]map[string]string // host by server and request ID
	maxRunning int                          // maximum on one server
	auditors   []*audit.Auditor
	pending    sync.WaitGroup
	answers    map[string]answer
}

type answer struct {
	grant   Grant
	refusal *Refusal
	err     error
}

type member struct {
	*Node
	proxy *midbox.Proxy
	crash func()
}

func newHarness(t *testing.T, count int) *harness {
	h := &harness{
		C: qt.New(t), members: map[string]*member{},
		running: map[string]map[string]string{}, answers: map[string]answer{},
	}
	for i := range count {
		h.start(fmt.Sprintf("host-%d", i), 1)
	}
	return h
}

// start starts a host that its peers reach through a proxy.
func (h *harness) start(name string, incarnation int64) *member {
	m, l := h.newMember(name)
	m.Incarnation, l.Incarnation = incarnation, incarnation
	l.Address = func(peer string) (string, bool) {
		h.mu.Lock()
		defer h.mu.Unlock()
		to, ok := h.members[peer]
		return to.proxy.Addr(), ok
	}
	proxy, err := midbox.New(l.Addr())
	h.Assert(err, qt.IsNil)
	m.proxy = proxy
	m.Prepare()
	ctx, cancel := context.WithCancel(context.Background())
	h.startMember(ctx, cancel, m, l.Run, m.Run)
	return m
}

// startWithMembership starts a host that runs the membership protocol itself.
func (h *harness) startWithMembership(name string, store table.Store) {
	m, l := h.newMember(name)
	g := &hosts.Node{
		Self: hosts.Host{Name: name, FailureDomain: "prairie-a", Address: l.Addr()},
		Link: l, Table: store, Clock: m.Clock, Log: m.Log, Counters: m.Counters,
	}
	ctx, cancel := context.WithCancel(context.Background())
	l.Incarnation = g.Register(ctx)
	m.Incarnation = l.Incarnation
	l.Address, l.Admit, l.OnConnected = g.Address, g.Admit, g.Connected
	m.Prepare()
	g.OnChange(m.ViewChanged)
	h.Assert(g.Prepare(), qt.IsNil)
	h.startMember(ctx, cancel, m, l.Run, m.Run, g.Run)
}

func (h *harness) newMember(name string) (*member, *link.Node) {
	system, counters := clock.System(), count.NewSet()
	l := &link.Node{
		Name: name, Listen: "127.0.0.1:0", Secret: []byte("a secret of the tests, long enough"),
		Clock: system, Log: logs.Discard(), Counters: counters,
	}
	h.Assert(l.Bind(), qt.IsNil)
	return &member{Node: &Node{
		Name: name, FailureDomain: "prairie-a", Link: l,
		Services: func() []string { return []string{"canvas-llm"} },
		Servers:  testServers, Settings: testSettings,
		Clock: system, Log: logs.Discard(), Counters: counters, NewAuditor: h.newAuditor, Timeouts: longTimeouts,
	}}, l
}

func (h *harness) startMember(
	ctx context.Context, cancel func(), m *member, parts ...func(context.Context) error,
) {
	h.mu.Lock()
	h.members[m.Name] = m
	h.mu.Unlock()
	h.Assert(m.Link.Start(ctx), qt.IsNil)
	done := make(chan error, len(parts))
	for _, part := range parts {
		go func() { done <- part(ctx) }()
	}
	m.crash = sync.OnceFunc(func() {
		cancel()
		if m.proxy != nil {
			m.proxy.Close()
		}
		for range parts {
			h.Check(<-done, qt.IsNil)
		}
		m.mu.Lock()
		m.core.kept = nil
		m.mu.Unlock()
	})
	h.Cleanup(m.crash)
}

func testServers(_, domain string) []sched.Server {
	var all []sched.Server
	for i := range serverCount {
		if domain == "prairie-a" {
			all = append(all, sched.Server{
				Name: fmt.Sprintf("llm-%d", i), State: sched.ServerUp, Slots: serverSlots,
			})
		}
	}
	return all
}

func testSettings(string) (sched.Settings, uint64) {
	var classes []sched.Class
	for tier := 1; tier <= 3; tier++ {
		classes = append(classes, sched.Class{
			Name: fmt.Sprintf("class-%d", tier), Tier: tier, FloorPeriod: 10 * clock.Second, MaxWaiting: 10_000,
		})
	}
	return sched.Settings{Classes: classes}, 1
}

func (h *harness) newAuditor(s sched.Settings) *audit.Auditor {
	a := audit.New(s)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.auditors = append(h.auditors, a)
	return a
}

// useDefaultTimeouts switches the timeouts after which a keeper is lost between
// DefaultTimeouts and longTimeouts.
func (h *harness) useDefaultTimeouts(enabled bool) {
	for _, m := range h.members {
		m.mu.Lock()
		m.core.timeouts = longTimeouts
		if enabled {
			m.core.timeouts.GrantRequest, m.core.timeouts.Report = DefaultTimeouts().GrantRequest, DefaultTimeouts().Report
		}
		m.mu.Unlock()
	}
}

// setView sets the membership view of some hosts.
func (h *harness) setView(number uint64, to []string, live ...hosts.Host) {
	v := hosts.NewView(number, live...)
	for _, name := range to {
		h.members[name].ViewChanged(v)
	}
}

func hostsNamed(incarnation int64, state string, names ...string) []hosts.Host {
	var all []hosts.Host
	for _, name := range names {
		h := hosts.Host{
			Name: name, FailureDomain: "prairie-a", Incarnation: incarnation, State: hosts.StateAlive,
		}
		if state == "Leaving" {
			h.State = hosts.StateLeaving
		}
		all = append(all, h)
	}
	return all
}

func hostNames(count int) []string {
	var names []string
	for i := range count {
		names = append(names, fmt.Sprintf("host-%d", i))
	}
	return names
}

// burst places many requests on each host at once; each that is granted runs for
// runDuration.
func (h *harness) burst(tag string, each int, from ...string) {
	for _, name := range from {
		for i := range each {
			h.pending.Go(func() { h.request(h.members[name], fmt.Sprintf("%s-%s-%d", tag, name, i), i%3+1) })
		}
	}
}

func (h *harness) request(m *member, id string, tier int) {
	ctx, cancel := context.WithTimeout(context.Background(), testLimit)
	defer cancel()
	now := m.Clock.Now()
	grant, refusal, err := m.RequestGrant(ctx, sched.Request{
		ID: id, Service: "canvas-llm", Class: fmt.Sprintf("class-%d", tier),
		Workspace: "stall", PredictedTokens: 10,
		Arrived: now, Deadline: now + 20*clock.Second, GiveUp: now + 60*clock.Second,
	})
	h.mu.Lock()
	h.answers[id] = answer{grant, refusal, err}
	h.mu.Unlock()
	if err != nil || refusal != nil {
		return
	}
	h.setRunning(grant.Server, id, m.Name)
	time.Sleep(runDuration) // simulates the work on the server
	h.setRunning(grant.Server, id, "")
	m.Done(sched.Done{
		Progress: sched.Progress{ID: id, Tokens: 10, FirstToken: 5}, Outcome: sched.OutcomeDone,
	})
}

func (h *harness) setRunning(server, id, host string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.running[server] == nil {
		h.running[server] = map[string]string{}
	}
	if host == "" {
		delete(h.running[server], id)
		return
	}
	h.running[server][id] = host
	h.maxRunning = max(h.maxRunning, len(h.running[server]))
}

// awaitFinished waits for all requests, checks that each was granted once and that the
// audits of the keepers' decisions have no findings, and returns the maximum number of
// requests that ran on one server.
func (h *harness) awaitFinished(wanted int) int {
	h.pending.Wait()
	h.awaitNothingHeld()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.Assert(h.answers, qt.HasLen, wanted)
	for id, a := range h.answers {
		h.Assert(a.err, qt.IsNil, qt.Commentf("%s", id))
		h.Assert(a.refusal, qt.IsNil, qt.Commentf("%s", id))
	}
	for name, m := range h.members {
		m.mu.Lock()
		for _, kg := range m.core.kept {
			h.Check(kg.decider.auditor.Findings(), qt.HasLen, 0, qt.Commentf("%s keeps %s", name, kg.group.Name))
		}
		m.mu.Unlock()
	}
	maxRunning := h.maxRunning
	h.maxRunning = 0
	h.answers = map[string]answer{}
	return maxRunning
}

// awaitNothingHeld waits until every slot is free at every keeper: a lost message must
// not hold one forever.
func (h *harness) awaitNothingHeld() {
	limit := time.Now().Add(testLimit)
	for held := 1; held > 0; time.Sleep(time.Millisecond) {
		held = 0
		for _, m := range h.members {
			m.mu.Lock()
			for _, kg := range m.core.kept {
				held += len(kg.held)
			}
			m.mu.Unlock()
		}
		h.Assert(time.Now().Before(limit), qt.IsTrue, qt.Commentf("%d still held", held))
	}
}

// awaitEvent waits for the first event of a kind on a host.
func (h *harness) awaitEvent(m *member, event string) {
	limit := time.Now().Add(testLimit)
	for m.Counters.Count("siskinsaddle_keep_events_total", count.Label{Key: "event", Value: event}) == 0 {
		h.Assert(time.Now().Before(limit), qt.IsTrue, qt.Commentf("%s: no event %s", m.Name, event))
		time.Sleep(time.Millisecond)
	}
}

// awaitAnswers waits until some requests have been answered.
func (h *harness) awaitAnswers(wanted int) {
	limit := time.Now().Add(testLimit)
	for have := 0; have < wanted; {
		h.mu.Lock()
		have = len(h.answers)
		h.mu.Unlock()
		h.Assert(time.Now().Before(limit), qt.IsTrue)
		time.Sleep(time.Millisecond)
	}
}
