package accept

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"

	"github.com/cockroachdb/errors"

	"siskinsaddle/internal/base/chart"
	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/base/count"
	"siskinsaddle/internal/base/logs"
	"siskinsaddle/internal/plat/object"
	"siskinsaddle/internal/plat/table"
	"siskinsaddle/internal/share/mfest"
)

// simulation runs hosts and pushers in sequence on a manual clock, and keeps every
// version of the record.
type simulation struct {
	manual     *clock.Manual
	table      table.Store
	objects    object.Store
	hosts      map[string]*simHost
	partitions map[[2]string]bool
	// lost is the number of next writes whose replies are lost. Such a write takes
	// effect at once or, kept in delayedWrites, after writeDelay.
	lost          int
	writeDelay    clock.Millis
	delayedWrites []delayedWrite
	history       []Record
	accepted      map[int64]clock.Millis
	pushes        []*simPush
	violations    []string
	firstHost     func(n int) int
}

type delayedWrite struct {
	at     clock.Millis
	record table.Record
	when   table.Condition
}

type simHost struct {
	name, domain  string
	watcher       *Watcher
	collector     *Collector
	platformCut   bool
	down, paused  bool
	highestServed int64
}

type simPush struct {
	pusher *Pusher
	base   int64
	wakeAt clock.Millis
	cancel context.CancelFunc
	resume chan struct{}
	idle   chan struct{}
	done   bool
	answer Answer
}

func newSimulation(domains map[string]int) *simulation {
	s := &simulation{
		manual: clock.NewManual(1_000_000), table: table.NewMemory(), objects: object.NewMemory(),
		hosts: map[string]*simHost{}, partitions: map[[2]string]bool{}, accepted: map[int64]clock.Millis{},
		firstHost: func(int) int { return 0 },
	}
	for domain, n := range domains {
		for i := range n {
			s.start(fmt.Sprintf("%s-%d", domain, i), domain)
		}
	}
	return s
}

func (s *simulation) now() clock.Millis { return s.manual.Clock().Now() }

// platform returns the platform as seen by one host or pusher, which reaches it
// while reaches returns true.
func (s *simulation) platform(reaches func() bool) Platform {
	check := func(down error) error {
		if !reaches() {
			return down
		}
		return nil
	}
	t := table.Store{
		Get: func(ctx context.Context, kind, name string) (table.Record, error) {
			if err := check(table.ErrUnavailable); err != nil {
				return table.Record{}, err
			}
			return s.table.Get(ctx, kind, name)
		},
		Put: func(ctx context.Context, r table.Record, c table.Condition) error {
			if err := check(table.ErrUnavailable); err != nil {
				return err
			}
			return s.put(ctx, r, c)
		},
		List: func(ctx context.Context, kind, after string, limit int) (table.Page, error) {
			if err := check(table.ErrUnavailable); err != nil {
				return table.Page{}, err
			}
			return s.table.List(ctx, kind, after, limit)
		},
		Delete: s.table.Delete,
	}
	o := object.Store{
		Put: func(ctx context.Context, name string, body []byte) error {
			if err := check(object.ErrUnavailable); err != nil {
				return err
			}
			return s.objects.Put(ctx, name, body)
		},
		Get: func(ctx context.Context, name string) ([]byte, error) {
			if err := check(object.ErrUnavailable); err != nil {
				return nil, err
			}
			return s.objects.Get(ctx, name)
		},
		Delete: s.objects.Delete,
	}
	return Platform{Table: t, Objects: o, Clock: s.manual.Clock()}
}

func (s *simulation) put(ctx context.Context, r table.Record, c table.Condition) error {
	if s.lost == 0 || r.Kind != recordKind {
		return s.apply(ctx, r, c)
	}
	s.lost--
	if s.writeDelay > 0 {
		s.delayedWrites = append(s.delayedWrites, delayedWrite{at: s.now() + s.writeDelay, record: r, when: c})
	} else {
		_ = s.apply(ctx, r, c)
	}
	return table.ErrOutcomeUnknown
}

func (s *simulation) apply(ctx context.Context, r table.Record, c table.Condition) error {
	err := s.table.Put(ctx, r, c)
	if err == nil && r.Kind == recordKind {
		record, decodeErr := decodeRecord(r.Body)
		if decodeErr != nil {
			panic(decodeErr)
		}
		s.history = append(s.history, record)
		if _, known := s.accepted[record.Number]; record.State == StateAccepted && !known {
			s.accepted[record.Number] = s.now()
		}
	}
	return err
}

// start starts a host, or restarts it without any state.
func (s *simulation) start(name, domain string) {
	h := &simHost{name: name, domain: domain}
	registered := false
	if old := s.hosts[name]; old != nil {
		h.platformCut, h.highestServed = old.platformCut, old.highestServed
	}
	p := s.platform(func() bool { return !h.platformCut })
	h.watcher = &Watcher{
		Holder: NewHolder(name, domain, s.manual.Clock()), Platform: p, Log: logs.Discard(), Counters: count.NewSet(),
		Peers: Peers{
			Call: func(_ context.Context, to, kind string, request, reply any) error {
				return s.call(h, to, kind, request, reply)
			},
			PathSeen:     func(to string) (clock.Millis, bool) { return s.now(), s.pathSeen(h, to) },
			SameDomain:   func() []string { return s.sameDomain(domain) },
			OtherDomains: func() []string { return s.otherDomains(domain) },
			Registered: func() bool {
				if !registered {
					registered = p.Table.Put(context.Background(), table.Record{Kind: "Host/" + domain, Name: name}, table.Condition{}) == nil
				}
				return registered
			},
			Registrations: registrations(p),
			ForEachConcurrently: func(n int, f func(int)) {
				for i := range n {
					f(i)
				}
			},
		},
	}
	h.collector = &Collector{Watcher: h.watcher}
	s.hosts[name] = h
}

func registrations(p Platform) func(context.Context, string) ([]string, error) {
	return func(ctx context.Context, domain string) ([]string, error) {
		page, err := p.Table.List(ctx, "Host/"+domain, "", 100)
		var names []string
		for _, r := range page.Records {
			names = append(names, r.Name)
		}
		return names, err
	}
}

func (s *simulation) sameDomain(domain string) []string {
	return slices.DeleteFunc(s.names(), func(name string) bool { return s.hosts[name].domain != domain })
}

func (s *simulation) otherDomains(domain string) []string {
	names := slices.DeleteFunc(s.names(), func(name string) bool { return s.hosts[name].domain == domain })
	return names[:min(2, len(names))]
}

func (s *simulation) partition(a, b string, on bool) {
	s.partitions[[2]string{a, b}] = on
	s.partitions[[2]string{b, a}] = on
}

func (s *simulation) pathSeen(from *simHost, to string) bool {
	t, ok := s.hosts[to]
	return ok && (t.down || t.paused) && !s.partitions[[2]string{from.name, to}]
}

var errSilent = errors.New("no answer")

func (s *simulation) call(from *simHost, to, kind string, request, reply any) error {
	t, ok := s.hosts[to]
	if !ok || t.down || t.paused || s.partitions[[2]string{from.name, to}] {
		return errSilent
	}
	h := t.watcher.Holder
	answers := map[string]func() any{
		KindCheck: func() any { return h.Check(request.(CheckRequest)) },
		KindTell:  func() any { return h.Tell(request.(TellRequest)) },
		KindHello: func() any { return h.Hello(request.(HelloRequest)) },
		KindBody:  func() any { return h.Body(request.(BodyRequest)) },
	}
	text, err := json.Marshal(answers[kind]())
	if err != nil {
		return err
	}
	return json.Unmarshal(text, reply)
}

// push starts a push that sleeps on the simulation's clock.
func (s *simulation) push(m mfest.Manifest, reaches func() bool, leaveBehind ...string) *simPush {
	p := s.platform(reaches)
	u := &simPush{base: m.Base, resume: make(chan struct{}), idle: make(chan struct{})}
	u.pusher = &Pusher{
		Platform: p, Registrations: registrations(p), Log: logs.Discard(), By: "test", LeaveBehind: leaveBehind,
		Sleep: func(_ context.Context, m clock.Millis) {
			u.wakeAt = s.now() + m
			u.idle <- struct{}{}
			<-u.resume
		},
	}
	s.pushes = append(s.pushes, u)
	ctx, cancel := context.WithCancel(context.Background())
	u.cancel = cancel
	go func() {
		<-u.resume
		u.answer = u.pusher.Push(ctx, m)
		cancel()
		u.done = true
		u.idle <- struct{}{}
	}()
	return u
}

const stepTime clock.Millis = 100

// step advances the clock by stepTime and runs each host that is up, checking its
// view before and after its steps. The check before covers hosts that have just
// been resumed.
func (s *simulation) step() {
	s.manual.Advance(stepTime)
	s.delayedWrites = slices.DeleteFunc(s.delayedWrites, func(l delayedWrite) bool {
		if l.at <= s.now() {
			_ = s.apply(context.Background(), l.record, l.when)
		}
		return l.at <= s.now()
	})
	for _, u := range s.pushes {
		if !u.done && u.wakeAt <= s.now() {
			u.resume <- struct{}{}
			<-u.idle
		}
	}
	names := s.names()
	for i := range names {
		h := s.hosts[names[(i+s.firstHost(len(names)))%len(names)]]
		if h.down || h.paused {
			continue
		}
		s.checkView(h)
		ctx := context.Background()
		for _, f := range []func(context.Context){
			h.watcher.StepTick, h.watcher.StepRoster, h.watcher.StepPlatform, h.watcher.StepPeers, h.watcher.StepBodies, h.collector.Step,
		} {
			f(ctx)
		}
		s.checkView(h)
	}
}

func (s *simulation) names() []string {
	var names []string
	for name := range s.hosts {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func (s *simulation) run(m clock.Millis) {
	for end := s.now() + m; s.now() < end; {
		s.step()
	}
}

// checkView checks a host's view against the record's history: it may serve only
// under generations that were in force at some moment of the last CurrencyWindow.
func (s *simulation) checkView(h *simHost) {
	v := h.watcher.Holder.View()
	if !v.Serves() {
		return
	}
	k := h.watcher.Holder.Knowledge()
	under := []int64{v.Generation}
	if v.Mode == ModeBoth {
		under = append(under, k.Staged.Number)
	}
	if slices.Max(under) < h.highestServed {
		s.reportViolation(h, "went back from generation %d to %d", h.highestServed, v.Generation)
	}
	h.highestServed = max(h.highestServed, v.Generation)
	if latest := s.requiredGeneration(h.domain); !slices.Contains(under, latest) && v.Generation < latest {
		s.reportViolation(h, "served generations %v (%s) although its domain requires %d", under, v.Mode, latest)
	}
	if _, ok := s.accepted[v.Generation]; !ok {
		s.reportViolation(h, "served generation %d, which was never accepted", v.Generation)
	}
}

// requiredGeneration returns the latest generation that was accepted more than
// CurrencyWindow ago and did not leave the domain behind.
func (s *simulation) requiredGeneration(domain string) int64 {
	var latest int64
	for _, r := range s.history[max(0, len(s.history)-20):] {
		at, ok := s.accepted[r.Number]
		if ok && s.now()-at > CurrencyWindow && !slices.Contains(r.LeftBehind, domain) {
			latest = max(latest, r.Number)
		}
	}
	return latest
}

func (s *simulation) reportViolation(h *simHost, format string, args ...any) {
	s.violations = append(s.violations, fmt.Sprintf("%d %s ", s.now(), h.name)+fmt.Sprintf(format, args...))
}

// checkPushes compares each push's answer with the record's history.
func (s *simulation) checkPushes() {
	for i, u := range s.pushes {
		if !u.done {
			s.violations = append(s.violations, fmt.Sprintf("push %d has no answer", i))
			continue
		}
		number := u.answer.Generation
		_, accepted := s.accepted[number]
		switch {
		case u.answer.Outcome == Accepted && !accepted:
			s.violations = append(s.violations, fmt.Sprintf("push %d was told that %d is accepted", i, number))
		case u.answer.Outcome == NotAccepted && number > 0 && accepted:
			s.violations = append(s.violations, fmt.Sprintf("push %d was told that %d is not accepted", i, number))
		}
	}
	last := map[chart.State]int64{}
	for i, r := range s.history {
		if r.Number < last[StateStaging] || r.State == StateAccepted && r.Number < last[StateAccepted] {
			s.violations = append(s.violations, fmt.Sprintf("record %d went back: %v", i, r))
		}
		last[r.State] = r.Number
	}
}
