// Package mirror replicates the state of the platform's store between hosts, so that
// few hosts have to read the store.
//
// In each failure domain one host, the reader, reads the store: the first by a hash
// among the hosts with enough processor cores. The others send it long-poll queries
// over a link, and it replies as soon as it has newer state. The reply also holds the
// time at which the manifest was confirmed, relative to the arrival of the query. The
// querying host adds that to the time at which it sent the query, so that network
// latency never makes a confirmation appear younger than it is.
//
// A host skips a reader that cannot be reached, or whose reads of the store fail, and
// queries the next one. After the last it reads the store itself. If that fails too,
// it queries hosts of other failure domains, which can confirm a manifest that this
// host cannot confirm. The hosts need no agreement on the reader: a second reader
// only adds calls to the store.
//
// # Usage
//
//	b := &mirror.Brief{Self: "host-1", FailureDomain: "a", Crew: c, Joined: joined, Link: node, News: n, Clock: clk, Log: l}
//	b.Register()   // before the link runs
//	go b.Run(ctx)  // instead of News.Run
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
	// joinWait is how long a host waits for the records of other hosts before it
	// reads the store itself, in milliseconds. It is the time of some fifty calls
	// to the store.
	joinWait = 500 * clock.Millis(1)
	// replyMargin is how long before its deadline a reply is requested, in
	// milliseconds. It allows for the network latency, also on a slowed host.
	replyMargin = 200 * clock.Millis(1)
	// shortTimeout is the timeout of a query that is not a long poll.
	shortTimeout = 300 * clock.Millis(1)
	// minBackoff is how long an unreachable reader is skipped at first, in
	// milliseconds. It doubles with each failure, up to maxBackoff.
	minBackoff = 1_000 * clock.Millis(1)
	maxBackoff = 4_000 * clock.Millis(1)
	// checkPeriod is the time between two checks which host reads the store, in
	// milliseconds, on a host that reads itself or finds no reader. Jitter makes
	// it up to twice as long.
	checkPeriod = 500 * clock.Millis(1)
	// staleShare is the age from which a confirmation is stale, as a share of the
	// time within which a change must be in force. It is longer than the time
	// between two reads and leaves time for one more read.
	staleShare = 0.8
)

// Mirror keeps the News of this host up to date, and replies to the queries of other
// hosts. Its fields are set before Register.
type Mirror struct {
	Self          string
	FailureDomain string
	Members       *member.Registry
	// Joined reports whether the other hosts can be queried.
	Joined  func() bool
	Link    *link.Node
	Watcher *watch.Watcher
	Clock   clock.Clock
	Log     *logs.Limited
	// MaxApplyDelay is the longest time until a change is in force, in milliseconds.
	MaxApplyDelay clock.Millis

	reads    atomic.Bool
	slow     atomic.Bool
	mu       sync.Mutex
	backoffs map[string]backoff
	// received is the last view received from another host, bodyCache the last body
	// sent.
	received  viewOrigin
	bodyCache bodyCache
	// source is the host whose state is followed. Only Run's goroutine uses it.
	source string
}

// viewOrigin is a view's ID and the host that sent it.
type viewOrigin struct {
	host   string
	viewID int64
}

// backoff is the state of a reader that is skipped after a failed query.
type backoff struct {
	until clock.Millis
	delay clock.Millis
}

// Register installs the handler for queries of other hosts.
func (b *Mirror) Register() {
	b.backoffs = map[string]backoff{}
	b.Watcher.SlowRetry = b.slow.Load
	b.Members.ReadsStore = b.ReadsStore
	b.Link.Handle(kindQuery, b.handleQuery)
}

// ReadsStore reports whether this host reads the store.
func (b *Mirror) ReadsStore() bool { return b.reads.Load() }

// Run keeps the News up to date until the context ends.
func (b *Mirror) Run(ctx context.Context) {
	b.awaitJoined(ctx)
	reader := &reader{news: b.Watcher}
	defer reader.stop()
	for ctx.Err() == nil {
		read := func() {
			b.reads.Store(true)
			reader.start(ctx)
		}
		switch b.setSource(b.round(ctx, read)) {
		case b.Self, "":
			b.pause(ctx)
		default:
			b.reads.Store(false)
			reader.stop()
		}
	}
}

func (b *Mirror) awaitJoined(ctx context.Context) {
	until := b.Clock.Now() + joinWait
	for !b.Joined() && b.Clock.Now() < until && ctx.Err() == nil {
		<-b.Clock.After(joinWait / 50)
	}
}

// pause waits until the next check.
func (b *Mirror) pause(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-b.Clock.After(checkPeriod + clock.Millis(rand.N(int64(checkPeriod)))):
	}
}

// round queries the readers in turn and returns the first whose state is fresh, this
// host's name if it reads the store itself, and "" if it finds no reader. Read
// makes this host read the store.
func (b *Mirror) round(ctx context.Context, read func()) string {
	var members []member.Member
	if b.Joined() {
		members = b.Members.Members()
	}
	near, far := readers(b.Self, b.FailureDomain, members)
	rank := slices.Index(near, b.Self)
	if rank < 0 {
		rank = len(near)
	}
	b.slow.Store(rank > 0)
	for _, name := range near[:rank] {
		if b.query(ctx, name, true) {
			return name
		}
	}
	read()
	b.awaitFresh(ctx)
	if !b.stale() {
		return b.Self
	}
	for _, name := range append(near[min(rank+1, len(near)):], far...) {
		if b.query(ctx, name, false) {
			break
		}
	}
	return ""
}

// awaitFresh waits until the manifest's confirmation is fresh, up to shortTimeout.
func (b *Mirror) awaitFresh(ctx context.Context) {
	timeout := b.Clock.After(shortTimeout)
	for {
		updated := b.Watcher.Updated()
		if !b.stale() {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-timeout:
			return
		case <-updated:
		}
	}
}

// staleAge is the age from which a confirmation is stale, in milliseconds.
func (b *Mirror) staleAge() clock.Millis { return clock.Millis(staleShare * float64(b.MaxApplyDelay)) }

func (b *Mirror) stale() bool { return b.Watcher.Age(b.Clock.Boot()) > b.staleAge() }

// setSource sets the host whose state is followed, and logs a change.
func (b *Mirror) setSource(name string) string {
	if b.source == name {
		return name
	}
	b.source = name
	label := name
	switch name {
	case b.Self:
		label = "the store"
	case "":
		label = "nobody"
	}
	b.Log.Info("The source of the platform's state changed.", "source", label,
		"age", b.Watcher.Age(b.Clock.Boot()))
	return name
}

// query queries one host and reports whether this host's state is fresh afterwards. A
// host queried as a reader must read the store itself. The query to the current
// source is a long poll.
func (b *Mirror) query(ctx context.Context, name string, reader bool) bool {
	if b.inBackoff(name) {
		return false
	}
	v := b.Watcher.View()
	sent := b.Clock.Boot()
	m := queryMessage{
		ViewID: b.lastViewID(name), Row: v.ManifestRow, Members: b.Members.Version(), Age: b.Watcher.Age(sent),
	}
	limit := shortTimeout
	if left := b.staleAge() - m.Age; b.source == name && left > shortTimeout {
		m.Wait, limit = left-replyMargin, left
	}
	callCtx, cancel := context.WithTimeout(ctx, limit.Duration())
	defer cancel()
	var got reply
	err := b.Link.Call(callCtx, name, kindQuery, m, &got)
	if err == nil {
		err = b.adopt(name, sent, got)
	}
	if err == nil && reader && !got.Direct {
		err = errNotReading
	}
	if err != nil {
		b.recordFailure(name, err)
		return false
	}
	b.mu.Lock()
	delete(b.backoffs, name)
	b.mu.Unlock()
	return !b.stale()
}

// errNotReading reports a host without recent successful reads of the store.
var errNotReading = errors.New("the host has no successful reads of the store itself")

// adopt applies the reply to a query that was sent at a time of the boot-time clock.
func (b *Mirror) adopt(name string, sent clock.Millis, got reply) error {
	view := watch.View{}
	if len(got.Body) > 0 {
		var in body
		if err := unpack(got.Body, &in); err != nil {
			return err
		}
		view = in.view(sent, got.Missing)
		b.Members.Adopt(in.Members, in.MembersVersion)
	}
	view.ManifestRow = got.Row
	confirmed := watch.NeverConfirmed
	if got.Known {
		confirmed = sent + got.Confirmed
	}
	b.Watcher.Adopt(view, confirmed)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.received = viewOrigin{name, got.ViewID}
	return nil
}

// lastViewID returns the ID of the last view received from a host, 0 if the last view
// came from another one.
func (b *Mirror) lastViewID(name string) int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.received.host != name {
		return 0
	}
	return b.received.viewID
}

func (b *Mirror) inBackoff(name string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	r, ok := b.backoffs[name]
	return ok && b.Clock.Now() < r.until
}

// recordFailure starts or extends the backoff of a host after a failed query.
func (b *Mirror) recordFailure(name string, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delay := minBackoff
	if r, ok := b.backoffs[name]; ok {
		delay = min(2*r.delay, maxBackoff)
	}
	b.backoffs[name] = backoff{until: b.Clock.Now() + delay, delay: delay}
	b.Log.Warn("A host cannot be asked for news.",
		"host", name, "rest", delay, "err", err)
}

// reader runs the News while this host reads the store.
type reader struct {
	news *watch.Watcher
	// end stops the News and waits for it. It is nil while the News does not run.
	end func()
}

func (r *reader) start(ctx context.Context) {
	if r.end != nil {
		return
	}
	readCtx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.news.Run(readCtx)
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
