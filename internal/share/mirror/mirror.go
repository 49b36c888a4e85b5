// Package mirror spreads what the platform's store says, so that few hosts have
// to read it.
//
// In each failure domain the first host by a hash, among the strong ones, reads
// the store; the others ask it over a link and are answered as soon as it knows
// more than they do. With the answer comes when the manifest was confirmed,
// counted from the arrival of the question: the asker adds that to the moment
// at which it asked, so that the way there never makes a confirmation younger
// than it is.
//
// A host passes over a reader that cannot be reached, or that does not read the
// store with success, and asks the next one. After the last it reads the store itself, and
// where it cannot, hosts of other failure domains are asked, which vouch for a
// manifest that this host alone cannot confirm. Who reads needs no agreement:
// two readers cost calls to the store, no more.
//
// # Usage
//
//	b := &mirror.Brief{Self: "host-1", FailureDomain: "a", Crew: c, Joined: joined, Link: node, News: n, Clock: clk, Log: l}
//	b.Register()   // before the link runs
//	go b.Run(ctx)  // in place of the News's Run
package mirror

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/base/logs"
	"siskinsaddle/internal/share/link"
	"siskinsaddle/internal/share/member"
	"siskinsaddle/internal/share/watch"
)

const (
	// joinWait is how long a host waits for the records of others before it
	// reads the store itself, in milliseconds: some fifty calls to the store.
	joinWait = 500 * clock.Millis(1)
	// askMargin is how much sooner than it is needed an answer is asked for, in
	// milliseconds: the way, on a slowed host as well.
	askMargin = 200 * clock.Millis(1)
	// quickWait bounds an answer that is wanted at once.
	quickWait = 300 * clock.Millis(1)
	// firstRest is how long a reader that cannot be reached is passed over, in
	// milliseconds; lastRest bounds its doubling.
	firstRest = 1_000 * clock.Millis(1)
	lastRest  = 4_000 * clock.Millis(1)
	// lookPeriod is the time between two looks at who reads, of a host that
	// reads itself or finds no reader; up to twice as long by a jitter.
	lookPeriod = 500 * clock.Millis(1)
	// staleShare is the age of a confirmation at which a host looks further, as
	// a share of the time in which a change has to be in force: above the time
	// between two reads, and with room for a read.
	staleShare = 0.8
)

// Brief is this host's end. Its fields are set before Register.
type Brief struct {
	Self          string
	FailureDomain string
	Crew          *member.Crew
	// Joined tells that the other hosts can be asked.
	Joined func() bool
	Link   *link.Node
	News   *watch.News
	Clock  clock.Clock
	Log    *logs.Limited
	// Apply is how long a change may take until it is in force, in milliseconds.
	Apply clock.Millis

	reads   atomic.Bool
	patient atomic.Bool
	mu      sync.Mutex
	resting map[string]rest
	// told is the last edition that a host told, packed what this host tells.
	told   told
	packed packed
	// source is whom the news come from; only Run's goroutine uses it.
	source string
}

// told is what this host last heard, and from whom.
type told struct {
	host    string
	edition int64
}

// rest is a reader that is passed over.
type rest struct {
	until clock.Millis
	pause clock.Millis
}

// Register takes the questions of other hosts.
func (b *Brief) Register() {
	b.resting = map[string]rest{}
	b.News.SlowRetry = b.patient.Load
	b.Crew.Reads = b.Reads
	b.Link.Handle(kindAsk, b.handleAsk)
}

// Reads tells whether this host reads the store.
func (b *Brief) Reads() bool { return b.reads.Load() }

// Run keeps the News up to date until the context ends.
func (b *Brief) Run(ctx context.Context) {
	b.awaitOthers(ctx)
	reader := &reader{news: b.News}
	defer reader.stop()
	for ctx.Err() == nil {
		read := func() {
			b.reads.Store(true)
			reader.start(ctx)
		}
		switch b.took(b.round(ctx, read)) {
		case b.Self, "":
			b.pause(ctx)
		default:
			b.reads.Store(false)
			reader.stop()
		}
	}
}

func (b *Brief) awaitOthers(ctx context.Context) {
	until := b.Clock.Now() + joinWait
	for !b.Joined() && b.Clock.Now() < until && ctx.Err() == nil {
		<-b.Clock.After(joinWait / 50)
	}
}

// pause waits for the next look.
func (b *Brief) pause(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-b.Clock.After(lookPeriod + clock.Millis(rand.N(int64(lookPeriod)))):
	}
}

// round asks one reader after the other and returns the first whose news are
// fresh, this host's name where it reads itself, "" where none was found. Read
// makes this host read the store.
func (b *Brief) round(ctx context.Context, read func()) string {
	var members []member.Member
	if b.Joined() {
		members = b.Crew.Members()
	}
	near, far := readers(b.Self, b.FailureDomain, members)
	rank := slices.Index(near, b.Self)
	if rank < 0 {
		rank = len(near)
	}
	b.patient.Store(rank > 0)
	for _, name := range near[:rank] {
		if b.ask(ctx, name, true) {
			return name
		}
	}
	read()
	b.awaitFresh(ctx)
	if !b.stale() {
		return b.Self
	}
	for _, name := range append(near[min(rank+1, len(near)):], far...) {
		if b.ask(ctx, name, false) {
			break
		}
	}
	return ""
}

// awaitFresh gives a read of the store its time.
func (b *Brief) awaitFresh(ctx context.Context) {
	over := b.Clock.After(quickWait)
	for {
		fresh := b.News.Updated()
		if !b.stale() {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-over:
			return
		case <-fresh:
		}
	}
}

// staleAge is the age of a confirmation from which on this host looks further.
func (b *Brief) staleAge() clock.Millis { return clock.Millis(staleShare * float64(b.Apply)) }

func (b *Brief) stale() bool { return b.News.Age(b.Clock.Boot()) > b.staleAge() }

// took logs whom this host follows.
func (b *Brief) took(name string) string {
	if b.source == name {
		return name
	}
	b.source = name
	from := name
	switch name {
	case b.Self:
		from = "the store"
	case "":
		from = "nobody"
	}
	b.Log.Info("News come from another source.", "source", from, "age", b.News.Age(b.Clock.Boot()))
	return name
}

// ask asks one host and tells whether what is known is fresh afterwards. Of a
// reader it is also demanded that it reads the store itself; one that was
// followed before may wait for something new.
func (b *Brief) ask(ctx context.Context, name string, reader bool) bool {
	if b.rests(name) {
		return false
	}
	v := b.News.View()
	sent := b.Clock.Boot()
	m := askMessage{Edition: b.editionOf(name), Row: v.ManifestRow, Members: b.Crew.Version(), Age: b.News.Age(sent)}
	limit := quickWait
	if left := b.staleAge() - m.Age; b.source == name && left > quickWait {
		m.Wait, limit = left-askMargin, left
	}
	asking, cancel := context.WithTimeout(ctx, limit.Duration())
	defer cancel()
	var got answer
	err := b.Link.Call(asking, name, kindAsk, m, &got)
	if err == nil {
		err = b.take(name, sent, got)
	}
	if err == nil && reader && !got.Direct {
		err = errNotReading
	}
	if err != nil {
		b.lost(name, err)
		return false
	}
	b.mu.Lock()
	delete(b.resting, name)
	b.mu.Unlock()
	return !b.stale()
}

// errNotReading is a reader that does not read the store with success.
var errNotReading = errors.New("the host does not read the store itself")

// take adopts an answer.
func (b *Brief) take(name string, sent clock.Millis, got answer) error {
	known := watch.View{}
	if len(got.Body) > 0 {
		var in body
		if err := unpack(got.Body, &in); err != nil {
			return err
		}
		known = in.view(sent, got.Missing)
		b.Crew.Adopt(in.Members, in.MembersVersion)
	}
	known.ManifestRow = got.Row
	confirmed := watch.NeverConfirmed
	if got.Known {
		confirmed = sent + got.Confirmed
	}
	b.News.Adopt(known, confirmed)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.told = told{name, got.Edition}
	return nil
}

// editionOf is the last edition that a host told, 0 for none.
func (b *Brief) editionOf(name string) int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.told.host != name {
		return 0
	}
	return b.told.edition
}

func (b *Brief) rests(name string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	r, ok := b.resting[name]
	return ok && b.Clock.Now() < r.until
}

// lost lets a host rest that could not be asked.
func (b *Brief) lost(name string, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	pause := firstRest
	if r, ok := b.resting[name]; ok {
		pause = min(2*r.pause, lastRest)
	}
	b.resting[name] = rest{until: b.Clock.Now() + pause, pause: pause}
	b.Log.Warn("A host cannot be asked for news.", "host", name, "rest", pause, "err", err)
}

// reader runs the News while this host reads the store.
type reader struct {
	news *watch.News
	end  func()
}

func (r *reader) start(ctx context.Context) {
	if r.end != nil {
		return
	}
	reading, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.news.Run(reading)
	}()
	r.end = func() {
		cancel()
		<-done
	}
}

func (r *reader) stop() {
	if r.end != nil {
		r.end()
		r.end = nil
	}
}
