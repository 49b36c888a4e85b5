// Package mirror replicates the state of the platform's store between hosts, so that
// few hosts have to read the store.
//
// In each failure domain of more than maxAllReadHosts hosts one host, the reader, reads
// the store: the first by a hash, where hosts with many processor cores come first. In
// smaller domains every host reads it. The others send the reader long-poll queries
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
// A host that starts, and each host after a restore of the store, also asks some others
// for their manifest: the restored store may have an older one.
//
// # Usage
//
//	m := &mirror.Mirror{
//		Self: "host-1", FailureDomain: "a", Members: registry, Joined: joined,
//		Link: node, Watcher: watcher, Clock: clk, Log: l,
//	}
//	m.Register()   // before the link runs
//	go m.Run(ctx)  // instead of Watcher.Run
package mirror

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/base/logs"
	"siskinsaddle/internal/plat/rows"
	"siskinsaddle/internal/share/link"
	"siskinsaddle/internal/share/member"
	"siskinsaddle/internal/share/watch"
)

const (
	// joinWait is how long a host waits for the records of other hosts before it
	// reads the store itself, in milliseconds. It checks fifty times meanwhile.
	joinWait = 500 * clock.Millis(1)
	// replyMargin is how long before its deadline a reply is requested, in
	// milliseconds. It allows for the network latency, also on a slowed host.
	replyMargin = 200 * clock.Millis(1)
	// shortTimeout is the timeout of a query that is not a long poll, and of the wait
	// for a confirmation after a host began to read the store, in milliseconds.
	shortTimeout = 300 * clock.Millis(1)
	// minBackoff is how long an unreachable reader is skipped at first, in
	// milliseconds. It doubles with each failure, up to maxBackoff.
	minBackoff = 1_000 * clock.Millis(1)
	maxBackoff = 4_000 * clock.Millis(1)
	// maxAsked is the number of hosts that are asked for their manifest.
	maxAsked = 4
	// checkPeriod is the time between two checks which host reads the store, in
	// milliseconds, on a host that reads itself or finds no reader. Jitter makes
	// it up to twice as long.
	checkPeriod = 500 * clock.Millis(1)
	// staleShare is the age from which a confirmation is stale, as a share of the
	// time within which a change must be in force. It is longer than the time
	// between two reads and leaves time for one more read.
	staleShare = 0.8
)

// Mirror keeps the Watcher of this host up to date, and replies to the queries of other
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

	reads atomic.Bool
	// otherReaders is set if a host that comes before this one as a reader answers queries.
	otherReaders atomic.Bool
	mu           sync.Mutex
	backoffs     map[string]backoff
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
func (m *Mirror) Register() {
	m.backoffs = map[string]backoff{}
	m.Watcher.SlowRetry = m.otherReaders.Load
	m.Members.ReadsStore = m.ReadsStore
	m.Link.Handle(kindQuery, m.handleQuery)
}

// ReadsStore reports whether this host reads the store.
func (m *Mirror) ReadsStore() bool { return m.reads.Load() }

// Run keeps the Watcher up to date until the context ends.
func (m *Mirror) Run(ctx context.Context) {
	m.awaitJoined(ctx)
	m.askManifests(ctx)
	reader := &storeReader{watcher: m.Watcher}
	defer reader.stop()
	for ctx.Err() == nil {
		read := func() {
			m.reads.Store(true)
			reader.start(ctx)
		}
		switch m.setSource(m.findSource(ctx, read)) {
		case m.Self, "":
			m.pause(ctx)
		default:
			m.reads.Store(false)
			reader.stop()
		}
	}
}

func (m *Mirror) awaitJoined(ctx context.Context) {
	until := m.Clock.Now() + joinWait
	for !m.Joined() && m.Clock.Now() < until && ctx.Err() == nil {
		<-m.Clock.After(joinWait / 50)
	}
}

// pause waits until the next check.
func (m *Mirror) pause(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-m.Clock.After(checkPeriod + clock.Millis(rand.N(int64(checkPeriod)))):
	}
}

// findSource queries the readers in turn and returns the first whose state is fresh, this
// host's name if it reads the store itself, and "" if it finds no reader. Read
// makes this host read the store.
func (m *Mirror) findSource(ctx context.Context, read func()) string {
	var members []member.Member
	if m.Joined() {
		members = m.Members.Members()
	}
	near, far := readers(m.Self, m.FailureDomain, members)
	rank := slices.Index(near, m.Self)
	if rank < 0 {
		rank = len(near)
	}
	otherReaders := false
	for _, name := range near[:rank] {
		fresh, answered := m.query(ctx, name, true)
		if fresh {
			return name
		}
		otherReaders = otherReaders || answered
	}
	m.otherReaders.Store(otherReaders)
	read()
	m.awaitFresh(ctx)
	if !m.stale() {
		return m.Self
	}
	for _, name := range append(near[min(rank+1, len(near)):], far...) {
		if fresh, _ := m.query(ctx, name, false); fresh {
			break
		}
	}
	return ""
}

// awaitFresh waits until the manifest's confirmation is fresh, up to shortTimeout.
func (m *Mirror) awaitFresh(ctx context.Context) {
	timeout := m.Clock.After(shortTimeout)
	for {
		updated := m.Watcher.Updated()
		if !m.stale() {
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
func (m *Mirror) staleAge() clock.Millis { return clock.Millis(staleShare * float64(m.MaxApplyDelay)) }

func (m *Mirror) stale() bool { return m.Watcher.Age(m.Clock.Boot()) > m.staleAge() }

// setSource sets the host whose state is followed, and logs a change.
func (m *Mirror) setSource(name string) string {
	if m.source == name {
		return name
	}
	m.source = name
	label := name
	switch name {
	case m.Self:
		label = "the store"
	case "":
		label = "nobody"
	}
	m.Log.Info("The source of the platform's state changed.", "source", label,
		"age", m.Watcher.Age(m.Clock.Boot()))
	return name
}

// Restored asks other hosts for their manifest after a restore of the store.
func (m *Mirror) Restored() { go m.askManifests(context.Background()) }

// askManifests asks some other hosts for their manifest, in case it is newer than that of
// the store.
func (m *Mirror) askManifests(ctx context.Context) {
	if !m.Joined() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, shortTimeout.Duration())
	defer cancel()
	others := slices.DeleteFunc(slices.Clone(m.Members.Members()), func(o member.Member) bool { return o.Name == m.Self })
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	var all sync.WaitGroup
	for _, o := range others[:min(len(others), maxAsked)] {
		all.Go(func() {
			at := m.Watcher.View().ManifestRevision
			sent := m.Clock.Boot()
			var got reply
			q := queryMessage{ManifestOnly: true, Row: at.Version, ManifestEra: at.Era, Age: m.Watcher.Age(sent)}
			err := m.Link.Call(ctx, o.Name, kindQuery, q, &got)
			if err == nil {
				err = m.adoptManifest(sent, got)
			}
			if err != nil {
				m.Log.Debug("Asking a host for its manifest failed.", "host", o.Name, "err", err)
			}
		})
	}
	all.Wait()
}

// adoptManifest applies the reply to a query for the manifest only.
func (m *Mirror) adoptManifest(sent clock.Millis, got reply) error {
	view, confirmed, _, err := got.decode(sent)
	if err != nil {
		return err
	}
	if got.RestoreLeft > 0 {
		m.Watcher.AdoptRestore(sent+got.RestoreLeft, got.ManifestVersion)
	}
	m.Watcher.Adopt(view, got.ManifestVersion, confirmed)
	return nil
}

// query queries one host and reports whether this host's state is fresh afterwards, and
// whether the other one answered. With mustRead, the queried host must read the store itself.
// The query to the current source is a long poll.
func (m *Mirror) query(ctx context.Context, name string, mustRead bool) (fresh, answered bool) {
	if m.inBackoff(name) {
		return false, false
	}
	v := m.Watcher.View()
	sent := m.Clock.Boot()
	q := queryMessage{
		ViewID: m.lastViewID(name), Row: v.ManifestRevision.Version, ManifestEra: v.ManifestRevision.Era, Age: m.Watcher.Age(sent),
	}
	members := m.Members.Version()
	q.Members, q.MembersEra = members.Version, members.Era
	limit := shortTimeout
	if left := m.staleAge() - q.Age; m.source == name && left > shortTimeout {
		q.Wait, limit = left-replyMargin, left
	}
	callCtx, cancel := context.WithTimeout(ctx, limit.Duration())
	defer cancel()
	var got reply
	err := m.Link.Call(callCtx, name, kindQuery, q, &got)
	if err == nil {
		err = m.adopt(name, sent, got)
	}
	if err != nil {
		m.recordFailure(name, err)
		return false, false
	}
	m.mu.Lock()
	delete(m.backoffs, name)
	m.mu.Unlock()
	if mustRead && !got.Direct {
		// It is asked again at the next check, since it may be the first to read the
		// store after an outage.
		m.Log.Info("A host has no successful reads of the store itself; it is asked again soon.", "host", name)
		return false, true
	}
	return !m.stale(), true
}

// adopt applies the reply to a query that was sent at a time of the boot-time clock.
func (m *Mirror) adopt(name string, sent clock.Millis, got reply) error {
	view, confirmed, in, err := got.decode(sent)
	if err != nil {
		return err
	}
	if len(got.Body) > 0 {
		m.Members.Adopt(in.Members, rows.Revision{Era: in.MembersEra, Version: in.MembersVersion})
	}
	m.Watcher.Adopt(view, got.ManifestVersion, confirmed)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.received = viewOrigin{name, got.ViewID}
	return nil
}

// lastViewID returns the ID of the last view received from a host, 0 if the last view
// came from another one.
func (m *Mirror) lastViewID(name string) int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.received.host != name {
		return 0
	}
	return m.received.viewID
}

func (m *Mirror) inBackoff(name string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	r, ok := m.backoffs[name]
	return ok && m.Clock.Now() < r.until
}

// recordFailure starts or extends the backoff of a host after a failed query.
func (m *Mirror) recordFailure(name string, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delay := minBackoff
	if r, ok := m.backoffs[name]; ok {
		delay = min(2*r.delay, maxBackoff)
	}
	m.backoffs[name] = backoff{until: m.Clock.Now() + delay, delay: delay}
	m.Log.Warn("A query to another host failed; it is skipped for a while.",
		"host", name, "rest", delay, "err", err)
}

// storeReader runs the Watcher while this host reads the store.
type storeReader struct {
	watcher *watch.Watcher
	// end stops the Watcher and waits for it. It is nil while the Watcher does not
	// run.
	end func()
}

func (r *storeReader) start(ctx context.Context) {
	if r.end != nil {
		return
	}
	readCtx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.watcher.Run(readCtx)
	}()
	r.end = func() {
		cancel()
		<-done
	}
}

func (r *storeReader) stop() {
	if r.end != nil {
		r.end()
		r.end = nil
	}
}
