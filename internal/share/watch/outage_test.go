package watch_test

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/fakes/memdb"
	"siskinsaddle/internal/plat/rows"
	"siskinsaddle/internal/policy/fleet"
	"siskinsaddle/internal/share/watch"
)

// mode is how the store treats calls for a table: it answers, refuses them, open watches too,
// gives no answer, or refuses new calls while open watches stay open until it answers again.
type mode string

const (
	modeUp       mode = "Up"
	modeRefusing mode = "Refusing"
	modeSilent   mode = "Silent"
	modeHolding  mode = "Holding"
)

// callTimeout is the time after which a host gives a call up, in milliseconds, as on the
// platform.
const callTimeout = 700 * clock.Millis(1)

// lines are the connections of one host to the store.
type lines struct {
	store rows.Store

	mu    sync.Mutex
	modes map[string]mode
	// changed is closed at each change of modes, cut when all open calls go silent.
	changed, cut chan struct{}
}

func newLines(s rows.Store) *lines {
	return &lines{store: s, modes: map[string]mode{}, changed: make(chan struct{}), cut: make(chan struct{})}
}

func (l *lines) set(m mode, tables ...string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, t := range tables {
		l.modes[t] = m
	}
	close(l.changed)
	l.changed = make(chan struct{})
}

func (l *lines) silenceOpen() {
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.cut)
	l.cut = make(chan struct{})
}

func (l *lines) state(table string) (m mode, changed, cut <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.modes[table], l.changed, l.cut
}

type outcome struct {
	reply rows.Reply
	err   error
}

// call makes a call that the host gives up after a timeout in milliseconds.
func (l *lines) call(ctx context.Context, table string, timeout clock.Millis, do func(context.Context) (rows.Reply, error)) (rows.Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout.Duration())
	defer cancel()
	m, changed, cut := l.state(table)
	if m == modeRefusing || m == modeHolding {
		return rows.Reply{}, rows.ErrRefused
	}
	done := make(chan outcome, 1)
	go func() {
		reply, err := do(ctx)
		done <- outcome{reply, err}
	}()
	for {
		answers := done
		if m == modeHolding || m == modeSilent {
			answers = nil
		}
		select {
		case o := <-answers:
			return o.reply, o.err
		case <-ctx.Done():
			return rows.Reply{}, rows.ErrOutcomeUnknown
		case <-cut:
			<-ctx.Done()
			return rows.Reply{}, rows.ErrOutcomeUnknown
		case <-changed:
		}
		before := m
		m, changed, _ = l.state(table)
		if m == modeRefusing {
			return rows.Reply{}, rows.ErrRefused
		}
		if before == modeSilent {
			m = modeSilent // its answer is lost
		}
	}
}

func (l *lines) client() rows.Store {
	return rows.Store{
		Read: func(ctx context.Context, r rows.Range) (rows.Reply, error) {
			return l.call(ctx, r.Table, callTimeout, func(ctx context.Context) (rows.Reply, error) { return l.store.Read(ctx, r) })
		},
		Watch: func(ctx context.Context, table string, after int64, wait clock.Millis) (rows.Reply, error) {
			return l.call(ctx, table, wait+callTimeout, func(ctx context.Context) (rows.Reply, error) { return l.store.Watch(ctx, table, after, wait) })
		},
		Commit: l.store.Commit,
	}
}

// play is a host that follows two servers, a and b, and another host.
type play struct {
	c           *qt.C
	store       *memdb.Store
	lines       *lines
	host, other *watch.Watcher
}

func (p *play) putB()    { p.store.Put("servers", "b", []byte("10.0.0.2:1")) }
func (p *play) removeB() { p.store.Delete("servers", "b") }

func has(v watch.View, id string) bool {
	return slices.ContainsFunc(v.Servers, func(s fleet.Server) bool { return s.ID == id && !s.Leaving })
}

// adopt applies the view of the other host.
func (p *play) adopt() { p.host.Adopt(p.other.View(), 1, clock.System().Boot()) }

// adoptDown applies a view of a host that is turned away by the store.
func (p *play) adoptDown() {
	v := p.host.View()
	v.StoreDown = true
	p.host.Adopt(v, 1, clock.System().Boot())
}

// step is something that happens at a time of a play, in milliseconds from its start.
type step struct {
	at clock.Millis
	do func(p *play)
}

func set(m mode, tables ...string) func(*play) { return func(p *play) { p.lines.set(m, tables...) } }

func (p *play) suspend() { p.lines.set(modeSilent, "op", "servers") }

// outagePlay is an order of events, and when the host stops using server b.
type outagePlay struct {
	name  string
	steps []step
	// keptUntil is the time up to which the host uses b, goneBy the time from which it does
	// not, 0 for never.
	keptUntil, goneBy clock.Millis
}

// The bounds of the users: a host is in touch contact after the end of a disturbance, and a
// server that has left gets no request after drain. Records are back within recovery after an
// outage.
const (
	contact  = 3_000 * clock.Millis(1)
	drain    = 2_000 * clock.Millis(1)
	recovery = 2_000 * clock.Millis(1)
	// outageEnd is the end of the outages, after which removedAt is the first removal that counts.
	outageEnd = 3_500 * clock.Millis(1)
	removedAt = outageEnd + contact + 50
)

var outagePlays = []outagePlay{
	{"an open watch goes silent, then a record is removed", []step{
		{0, func(p *play) { p.lines.silenceOpen() }}, {contact + 50, (*play).removeB},
	}, contact, contact + 50 + drain},
	{"an open watch goes silent, and a record is removed at once", []step{
		{0, func(p *play) { p.lines.silenceOpen() }}, {50, (*play).removeB},
	}, 0, contact + drain},
	{"one call is refused, and a record is removed", []step{
		{0, set(modeRefusing, "servers")}, {20, set(modeUp, "servers")}, {20, (*play).removeB},
	}, 0, 20 + drain},
	{"the servers' table is away, then a record is removed", []step{
		{0, set(modeRefusing, "servers")}, {outageEnd, set(modeUp, "servers")}, {removedAt, (*play).removeB},
	}, removedAt, removedAt + drain},
	{"the servers' table is silent, then a record is removed", []step{
		{0, set(modeSilent, "servers")}, {outageEnd, set(modeUp, "servers")}, {removedAt, (*play).removeB},
	}, removedAt, removedAt + drain},
	{"all tables are away, then a record is removed", []step{
		{0, set(modeRefusing, "op", "servers")}, {outageEnd, set(modeUp, "op", "servers")}, {removedAt, (*play).removeB},
	}, removedAt, removedAt + drain},
	{"all tables are silent, then a record is removed", []step{
		{0, set(modeSilent, "op", "servers")}, {outageEnd, set(modeUp, "op", "servers")}, {removedAt, (*play).removeB},
	}, removedAt, removedAt + drain},
	{"all tables are away and a watch stays open, then a record is removed", []step{
		{0, set(modeHolding, "op", "servers")}, {outageEnd, set(modeUp, "op", "servers")}, {removedAt, (*play).removeB},
	}, removedAt, removedAt + drain},
	{"a record expires while the servers' table is away", []step{
		{0, set(modeRefusing, "servers")}, {2_500, (*play).removeB}, {outageEnd, set(modeUp, "servers")}, {outageEnd + recovery - 100, (*play).putB},
	}, outageEnd + contact, 0},
	{"a record expires while all tables are silent", []step{
		{0, set(modeSilent, "op", "servers")}, {2_500, (*play).removeB}, {outageEnd, set(modeUp, "op", "servers")}, {outageEnd + recovery - 100, (*play).putB},
	}, outageEnd + contact, 0},
	{"a record expires while all tables are away and a watch stays open", []step{
		{0, set(modeHolding, "op", "servers")}, {2_500, (*play).removeB}, {outageEnd, set(modeUp, "op", "servers")}, {outageEnd + recovery - 100, (*play).putB},
	}, outageEnd + contact, 0},
	{"a record expires in an outage and is not back", []step{
		{0, set(modeRefusing, "servers")}, {2_500, (*play).removeB}, {outageEnd, set(modeUp, "servers")},
	}, outageEnd + recovery, outageEnd + contact},
	{"the manifest's table is away, and a record is removed", []step{
		{0, set(modeRefusing, "op")}, {1_000, (*play).removeB},
	}, 1_000, 1_000 + drain},
	{"the host is suspended while a record is removed", []step{
		{0, (*play).suspend}, {1_000, (*play).removeB}, {5_000, set(modeUp, "op", "servers")},
	}, 1_000, 5_000 + contact},
	{"the host is turned away while a record is removed, and adopts another host's view", []step{
		{0, set(modeRefusing, "op", "servers")}, {1_000, (*play).removeB}, {2_000, (*play).adopt}, {3_000, (*play).adopt}, {4_000, set(modeUp, "op", "servers")},
	}, 1_000, 2_100},
	{"the host is turned away while a record is removed", []step{
		{0, set(modeRefusing, "op", "servers")}, {1_000, (*play).removeB}, {4_000, set(modeUp, "op", "servers")},
	}, 1_000, 4_000 + contact},
	{"the view of a host that is turned away is adopted, and a record is removed", []step{
		{0, (*play).adoptDown}, {500, (*play).removeB},
	}, 500, 500 + 500},
}

// One failed call, one silent watch or one table that is down must not keep a server that has
// left, and an outage must not cost servers whose records expired in it.
func TestServersAfterOutagesAndSilence(t *testing.T) {
	for _, test := range outagePlays {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			runOutagePlay(t, test)
		})
	}
}

func runOutagePlay(t *testing.T, test outagePlay) {
	c := qt.New(t)
	store := memdb.New(clock.System())
	store.Put("op", "manifest", []byte("1"))
	store.Put("servers", "a", []byte("10.0.0.1:1"))
	p := &play{c: c, store: store, lines: newLines(store.For("host")), host: newWatcher(store), other: newWatcher(store)}
	p.putB()
	p.host.Store, p.host.ConfirmEvery = p.lines.client(), 0
	run(c, p.host)
	run(c, p.other)
	eventually(func() bool { return has(p.host.View(), "b") && has(p.other.View(), "b") })

	began := time.Now()
	now := func() clock.Millis { return clock.FromDuration(time.Since(began)) }
	last := max(test.keptUntil, test.goneBy) + 200
	steps := test.steps
	for now() < last {
		for len(steps) > 0 && steps[0].at <= now() {
			steps[0].do(p)
			steps = steps[1:]
		}
		time.Sleep(5 * time.Millisecond)
		at, used := now(), has(p.host.View(), "b")
		if !used && at < test.keptUntil {
			c.Fatalf("b is not used any more %d ms from the start, before %d", at, test.keptUntil)
		}
		if used && test.goneBy > 0 && at > test.goneBy {
			c.Fatalf("b is used %d ms from the start, later than %d", at, test.goneBy)
		}
		if !has(p.host.View(), "a") {
			c.Fatalf("a is not used any more %d ms from the start", at)
		}
	}
}

// An outage ends for a host with its next call. If it waited longer than contact less recovery,
// it would keep a server that has left although it is in touch again.
func TestServersAreReadOftenWhileTheirTableIsDown(t *testing.T) {
	for _, m := range []mode{modeRefusing, modeSilent} {
		t.Run(string(m), func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			store := memdb.New(clock.System())
			store.Put("op", "manifest", []byte("1"))
			store.Put("servers", "a", []byte("10.0.0.1:1"))
			l := newLines(store.For("host"))
			w := newWatcher(store)
			w.Store, w.ConfirmEvery = l.client(), 0
			var mu sync.Mutex
			var began []time.Time
			read := w.Store.Read
			w.Store.Read = func(ctx context.Context, r rows.Range) (rows.Reply, error) {
				if r.Table == "servers" {
					mu.Lock()
					began = append(began, time.Now())
					mu.Unlock()
				}
				return read(ctx, r)
			}
			run(c, w)
			eventually(func() bool { return has(w.View(), "a") })
			l.set(modeRefusing, "servers") // ends the open watch
			eventually(func() bool { return w.View().StoreDown })
			l.set(m, "servers")
			time.Sleep(8 * time.Second)
			mu.Lock()
			defer mu.Unlock()
			longest := time.Since(began[len(began)-1])
			for i := 1; i < len(began); i++ {
				longest = max(longest, began[i].Sub(began[i-1]))
			}
			c.Check(longest < (contact-recovery).Duration(), qt.IsTrue, qt.Commentf("%v between two reads", longest))
		})
	}
}
