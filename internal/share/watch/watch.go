// Package watch follows the manifest and the list of servers, which operators and
// backend servers write to the platform's store.
//
// Each of the two tables has a follower. It makes a snapshot read and then
// watches for changes. After a failed watch, or when the store no longer has the
// history, it starts again with a snapshot read. A watch always requests the
// changes after the last one received, so a change that the store left out of a
// reply arrives in a later one.
//
// A watch without changes confirms nothing, since the store may delay changes for
// a while. The manifest is therefore also read periodically. Each read confirms it
// as of the time at which the read was sent. The age of that confirmation decides
// whether API keys are accepted. Ages are measured with the boot-time clock. A manifest
// that cannot be decoded may withdraw keys: the one in force is not confirmed beside it.
//
// The store may be restored from an older copy. Its versions go back then and are given
// out again, and its era rises. Positions are compared by era and version, so that late
// replies from before the restore are told from newer ones, and each table is read again
// in a new era. A manifest of another era is applied only if its own version is higher,
// since the copy may hold an older one than that in force. The copy confirms nothing until
// its manifest has been written again or the operators have had time for that: a newer one
// that withdraws keys may be lost. The first read of a host that starts may be of such a
// copy too, unless another host has found the era settled.
//
// Not every host has to read the store: Adopt applies the state of another host,
// and Run may end and be called again.
//
// # Usage
//
//	w := &watch.Watcher{Store: store, Clock: clock.System(), Source: source, Log: logger}
//	go w.Run(ctx)              // reads the store
//	w.Adopt(view, confirmedAt) // or applies the view of another host
//	view := w.View()
//	if view.Manifest == nil { ... }
//	age := w.Age(now) // since the manifest was confirmed
package watch

import (
	"context"
	"maps"
	"math/rand/v2"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/base/logs"
	"siskinsaddle/internal/plat/rows"
	"siskinsaddle/internal/policy/fleet"
	"siskinsaddle/internal/policy/route"
)

// Source holds the ranges of the records and their decoders.
type Source struct {
	ManifestRange rows.Range
	ServersRange  rows.Range
	// Manifest returns nil without an error if the rows contain no manifest.
	Manifest func([]rows.Row) (*route.Manifest, error)
	// Server returns an error for a record without a usable server.
	Server func(rows.Row) (fleet.Server, error)
}

// View is the state of both tables as this host knows it. It is immutable.
type View struct {
	// Manifest is nil until the first one is received.
	Manifest *route.Manifest
	// ManifestRevision is the position of the manifest's row, ManifestRows are
	// the rows that it was decoded from.
	ManifestRevision rows.Revision
	ManifestRows     []rows.Row
	// Servers are sorted by ID. ServersKnown is set once they were read,
	// ServersRevision is the position of the last change that they include.
	Servers         []fleet.Server
	ServersKnown    bool
	ServersRevision rows.Revision
	// Missing maps the ID of each server without a record to the time at which
	// it is dropped, on the boot-time clock.
	Missing map[string]clock.Millis
	// StoreDown is set while the store is down for the host that reads the servers.
	StoreDown bool
}

// The defaults and fixed intervals, in milliseconds.
const (
	// serversWait is the longest watch without a reply, and so the time to detect
	// a lost connection. When all connections have stopped answering, hosts have
	// 5 s, the times for contact and for draining together, to learn that a server
	// leaves.
	serversWait = 3_200 * clock.Millis(1)
	// serversBatchDelay is a tenth of the 2 s for which a leaving server may get
	// requests. Servers start and leave many at a time, and each call has a cost.
	serversBatchDelay = 200 * clock.Millis(1)
	// manifestWait is long, since the periodic reads find the same changes.
	manifestWait = 20_000 * clock.Millis(1)
	// defaultConfirm is the time between two reads of the manifest. It is within
	// the 2 s that a change may take to be in force.
	defaultConfirm = 1_400 * clock.Millis(1)
	// recoveryGrace is the time after an outage within which the platform
	// guarantees that the records of live servers are back. After a restore, operators
	// have as long to write again what was lost.
	recoveryGrace = 2_000 * clock.Millis(1)
	// missingGrace is how long a removed record is still attributed to the last
	// outage. It is within the 2 s for which a leaving server may get requests.
	missingGrace = 1_200 * clock.Millis(1)
	// restoreGrace is the time after a restore within which servers have written their
	// records again, and those of servers that are gone are removed: after three
	// heartbeats of 1.2 s in the users' deployments.
	restoreGrace = 6_000 * clock.Millis(1)
)

// Watcher follows the manifest and the list of servers. Its fields are set before Run.
type Watcher struct {
	Store  rows.Store
	Clock  clock.Clock
	Source Source
	Log    *logs.Limited
	// ConfirmEvery is the time between two reads of the manifest, in milliseconds.
	ConfirmEvery clock.Millis
	// Changed is called after each change of the view, one call at a time.
	Changed func(View)
	// SettledEra returns the newest era in which another host has confirmed a manifest, as
	// far as this host knows. Nil means that the store is never restored.
	SettledEra func() int64
	// OnSettled, if set, is called with each era in which a read has confirmed the manifest.
	OnSettled func(era int64)
	// OnRestored, if set, is called when the store was restored from a copy.
	OnRestored func()
	// SlowRetry reports whether failed reads are retried slowly, since other
	// hosts read the store as well. Nil means never.
	SlowRetry func() bool

	once      sync.Once
	view      atomic.Pointer[View]
	viewID    atomic.Int64
	confirmed atomic.Int64
	// confirmedDirect is the last confirmation by a read of this host itself.
	confirmedDirect atomic.Int64
	mu              sync.Mutex
	fleet           *fleet.Fleet
	// answeredAt is the time of the last answered call for the servers, on the boot-time
	// clock.
	answeredAt clock.Millis
	// unusable has the versions of servers' records that were logged as unusable.
	unusable map[string]int64
	// era is the newest era of the store, valid if eraKnown is set.
	era      int64
	eraKnown bool
	// restored is the last restore of the store that this host has seen, or may have
	// missed. settledEra is the last era for which OnSettled was called.
	restored   restore
	settledEra int64
	// unreadable is the position of the newest manifest if it cannot be decoded, zero if it
	// can.
	unreadable rows.Revision
	// positions are the versions of the rows that have held the manifest in force.
	positions map[int64]bool
	// recovered notifies when a read of the manifest succeeds after a failed one,
	// suspected when one fails and the servers were not read lately, updated at each
	// change and confirmation.
	recovered notifier
	suspected notifier
	updated   notifier
}

func (w *Watcher) prepare() {
	w.once.Do(func() {
		w.fleet = fleet.New(recoveryGrace, missingGrace, restoreGrace)
		w.unusable = map[string]int64{}
		w.viewID.Store(rand.Int64())
	})
}

// Updated returns a channel that closes at the next change or confirmation.
func (w *Watcher) Updated() <-chan struct{} { return w.updated.wait() }

// ViewID identifies the current view. It changes with each change of the view, and
// starts from a random number at each start of the host.
func (w *Watcher) ViewID() int64 { return w.viewID.Load() }

// View returns the current view.
func (w *Watcher) View() View {
	if v := w.view.Load(); v != nil {
		return *v
	}
	return View{}
}

// NeverConfirmed is the confirmation time of a manifest without a confirmation. It
// makes the age at least an hour, which is to exceed every limit on the age.
const NeverConfirmed = -clock.Hour

// RestoreUntil returns the time on the boot-time clock up to which operators may have yet
// to write again what a restore of the store has lost, 0 without a restore.
func (w *Watcher) RestoreUntil() clock.Millis {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.restored.until
}

// AdoptRestore records a restore of the store that another host has seen. Until is as for
// RestoreUntil, version the version of its manifest.
func (w *Watcher) AdoptRestore(until clock.Millis, version int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if until > w.restored.until {
		w.restored = restore{until: until, version: version, known: true}
	}
}

// Age returns the time since the manifest was confirmed, in milliseconds. Now is a
// time of the boot-time clock.
func (w *Watcher) Age(now clock.Millis) clock.Millis { return age(&w.confirmed, now) }

// DirectAge is like Age, but counts only confirmations by reads of this host itself.
func (w *Watcher) DirectAge(now clock.Millis) clock.Millis { return age(&w.confirmedDirect, now) }

func age(confirmed *atomic.Int64, now clock.Millis) clock.Millis {
	at := clock.Millis(confirmed.Load())
	if at == 0 {
		at = NeverConfirmed
	}
	return now - at
}

// Run follows both tables until the context ends. It may be called again
// afterwards.
func (w *Watcher) Run(ctx context.Context) {
	w.prepare()
	defer w.stopReading()
	var tasks sync.WaitGroup
	defer tasks.Wait()
	tasks.Go(func() { w.followServers(ctx) })
	after, ok := w.confirmFirst(ctx)
	if !ok {
		return
	}
	manifest := w.follower("manifest", w.Source.ManifestRange, manifestWait)
	// An error is logged there, and only reads confirm a manifest.
	manifest.onSnapshot = func(r rows.Reply) { _, _, _ = w.applyManifest(r.Rows, r.Era) }
	manifest.onChange = manifest.onSnapshot
	manifest.hasSnapshot, manifest.after = true, after
	tasks.Go(func() { manifest.run(ctx) })
	tasks.Go(func() { w.confirmPeriodically(ctx) })
}

// followServers follows the servers until the context ends. It does not wait for the first
// read of the manifest, whose table may be down alone.
func (w *Watcher) followServers(ctx context.Context) {
	f := w.follower("servers", w.Source.ServersRange, serversWait)
	f.after = w.View().ServersRevision
	f.batchDelay = serversBatchDelay
	f.onSnapshot = w.replaceServers
	f.onChange = w.applyServerChanges
	f.onFailure = w.recordFailure
	f.suspected = w.suspected.wait
	f.retryDelay = w.serversRetryDelay
	f.run(ctx)
}

// Confirm records that the manifest in the view was the newest at a time of the
// boot-time clock.
func (w *Watcher) Confirm(at clock.Millis) {
	for {
		old := w.confirmed.Load()
		if int64(at) <= old {
			return
		}
		if w.confirmed.CompareAndSwap(old, int64(at)) {
			w.updated.notify()
			return
		}
	}
}

func (w *Watcher) follower(name string, span rows.Range, watchWait clock.Millis) *follower {
	return &follower{
		recovered: w.recovered.wait,
		suspected: func() <-chan struct{} { return nil },
		store:     w.Store,
		clock:     w.Clock,
		log:       w.Log.With("table", name),
		span:      span,
		watchWait: watchWait,
		enterEra:  w.enterEra,
		onFailure: func() {},

		retryDelay: func(previous clock.Millis) clock.Millis { return backOff(previous, maxRetryDelay) },
	}
}

// restore is a restore of the store from a copy.
type restore struct {
	// until is the time on the boot-time clock up to which operators may have yet to
	// write again what is lost, 0 without a restore.
	until clock.Millis
	// version is the version of the manifest in force before, or else of the first one
	// read since, valid if known is set. positions are the versions of the rows that held
	// it, nil if they are not all known.
	version   int64
	known     bool
	positions map[int64]bool
}

// settled reports whether a manifest that was read from the restored store can be taken
// for the newest one: it was written after the restore, or what was lost would have been.
func (r restore) settled(now clock.Millis, version int64, at rows.Revision) bool {
	// The copy may be from before an earlier restore, and have any of the rows.
	writtenAgain := version > r.version || (version == r.version && r.positions != nil && !r.positions[at.Version])
	return now >= r.until || writtenAgain
}

// enterEra checks the era of a reply. In a new one the records of servers may be missing,
// as after an outage. An older one is that of a late reply.
func (w *Watcher) enterEra(era int64) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.eraKnown && era < w.era {
		return errStale
	}
	if w.eraKnown && era > w.era {
		w.Log.Warn("The store was restored from a copy; all its tables are read again.", "era", era)
		w.fleet.StoreRestored(w.Clock.Boot())
		w.awaitSettled()
		if era == w.era+1 && w.restored.known {
			w.restored.positions = maps.Clone(w.positions)
		}
		if w.OnRestored != nil {
			w.OnRestored()
		}
	}
	if !w.eraKnown && w.SettledEra != nil {
		// The store may have been restored just before this host started.
		w.awaitSettled()
	}
	w.era, w.eraKnown = era, true
	return nil
}

// awaitSettled makes reads confirm nothing until the store is settled. The caller holds
// the lock.
func (w *Watcher) awaitSettled() {
	w.restored = restore{until: w.Clock.Boot() + recoveryGrace}
	if v := w.View(); v.Manifest != nil {
		w.restored.version, w.restored.known = v.Manifest.Version(), true
	}
}

// settle reports whether a manifest that was read from an era of the store at a time of the
// boot-time clock can be taken for the newest one. SettledEra is the newest era that another
// host had found settled by then.
func (w *Watcher) settle(sent clock.Millis, version int64, at rows.Revision, settledEra int64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.restored.known {
		w.restored.version, w.restored.known = version, true
	}
	if at.Era != settledEra && !w.restored.settled(sent, version, at) {
		return false
	}
	if w.OnSettled != nil && w.settledEra != at.Era {
		w.settledEra = at.Era
		w.OnSettled(at.Era)
	}
	return true
}

// confirm reads the manifest once and returns the position of that read, also with
// errUnsettled and errUnreadable.
func (w *Watcher) confirm(ctx context.Context) (rows.Revision, error) {
	sent := w.Clock.Boot()
	settledEra := int64(0)
	if w.SettledEra != nil {
		settledEra = w.SettledEra()
	}
	reply, err := w.Store.Read(ctx, w.Source.ManifestRange)
	if err != nil {
		return rows.Revision{}, err
	}
	err = w.enterEra(reply.Era)
	if err != nil || reply.Revision().Before(w.View().ManifestRevision) {
		w.Log.Warn("Stale reply from the store ignored; the manifest is not confirmed.",
			"era", reply.Era, "version", reply.Version)
		return rows.Revision{}, errStale
	}
	version, at, err := w.applyManifest(reply.Rows, reply.Era)
	if err != nil {
		return reply.Revision(), errUnreadable
	}
	if !w.settle(sent, version, at, settledEra) {
		w.Log.Info("The restored manifest may lack changes; it is not confirmed yet.", "version", version, "era", at.Era, "row", at.Version)
		return reply.Revision(), errUnsettled
	}
	w.confirmedDirect.Store(int64(sent))
	w.Confirm(sent)
	return reply.Revision(), nil
}

// confirmFirst retries until a read succeeds or the context ends. A read that does not confirm
// the manifest of a restored store suffices.
func (w *Watcher) confirmFirst(ctx context.Context) (rows.Revision, bool) {
	for first := true; ctx.Err() == nil; first = false {
		after, err := w.confirm(ctx)
		if err == nil || errors.Is(err, errUnsettled) || errors.Is(err, errUnreadable) {
			return after, true
		}
		if ctx.Err() != nil {
			break
		}
		if first {
			w.Log.Warn("Reading the manifest failed; retrying.", "err", err)
		}
		w.pause(ctx, w.retryWait())
	}
	return rows.Revision{}, false
}

// confirmPeriodically reads the manifest at intervals until the context ends.
func (w *Watcher) confirmPeriodically(ctx context.Context) {
	every := w.ConfirmEvery
	if every == 0 {
		every = defaultConfirm
	}
	w.mu.Lock()
	failing := w.restored.until > w.Clock.Boot()
	w.mu.Unlock()
	for {
		wait := every
		if failing {
			wait = w.retryWait()
		}
		w.pause(ctx, wait)
		if ctx.Err() != nil {
			return
		}
		_, err := w.confirm(ctx)
		if err == nil && failing {
			w.recovered.notify()
		}
		if unanswered(err) {
			w.suspectOutage()
		}
		// Another read before the usual time would find an unreadable manifest again.
		failing = err != nil && !errors.Is(err, errUnreadable)
	}
}

// maxUnconfirmed is the age from which the last answered call for the servers does not show
// any more that their table is up, in milliseconds.
const maxUnconfirmed = 1 * clock.Second

// suspectOutage makes the servers be read at once after a failed read of the manifest, since
// the whole store may be down: a watch of them may stay open through an outage in which
// records of servers expire.
func (w *Watcher) suspectOutage() {
	w.mu.Lock()
	old := w.Clock.Boot()-w.answeredAt > maxUnconfirmed
	w.mu.Unlock()
	if old {
		w.suspected.notify()
	}
}

// unanswered reports whether a read of the manifest failed without a reply of the store.
func unanswered(err error) bool {
	return err != nil && !errors.Is(err, errUnreadable) && !errors.Is(err, errUnsettled) && !errors.Is(err, errStale)
}

// serversRetryDelay returns the delay after a failed call for the servers, from the previous one.
// The first retry is early in any case, as most single failures are those of a connection.
func (w *Watcher) serversRetryDelay(previous clock.Millis) clock.Millis {
	if previous > 0 && w.SlowRetry != nil && w.SlowRetry() {
		return slowServersRetryDelay
	}
	return backOff(previous, maxServersRetryDelay)
}

func (w *Watcher) stopReading() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fleet.StopReading()
}

func (w *Watcher) pause(ctx context.Context, wait clock.Millis) {
	select {
	case <-ctx.Done():
	case <-w.Clock.After(wait):
	}
}

// The delays after a failed read, in milliseconds; jitter makes them up to twice as
// long. Several retries have to fit into the age up to which API keys are accepted.
// The slow delay spreads the calls of many hosts.
const (
	confirmRetryDelay = 200 * clock.Millis(1)
	slowRetryDelay    = 1_500 * clock.Millis(1)
)

// The longest delays between two failed calls for the servers, in milliseconds; jitter makes
// them up to half as long again. A host learns of the end of an outage with its next call and
// then keeps servers without a record for recoveryGrace. Delay and grace together must end
// within 3 s of the outage: from then on no server that has left may get a request. Where
// another host reads the store too, this one learns of the end from it.
const (
	maxServersRetryDelay  = 600 * clock.Millis(1)
	slowServersRetryDelay = 3_000 * clock.Millis(1)
)

func (w *Watcher) retryWait() clock.Millis {
	wait := confirmRetryDelay
	if w.SlowRetry != nil && w.SlowRetry() {
		wait = slowRetryDelay
	}
	return wait + clock.Millis(rand.N(int64(wait)))
}

// Unreadable reports whether the newest manifest that this host has read cannot be decoded.
func (w *Watcher) Unreadable() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.unreadable != rows.Revision{}
}

// noteUnreadable records whether the manifest at a position of the store can be decoded, and
// logs a change.
func (w *Watcher) noteUnreadable(at rows.Revision, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	before := w.unreadable
	if err == nil {
		if before != (rows.Revision{}) && before.Before(at) {
			w.Log.Info("The manifest can be read again.", "era", at.Era, "row", at.Version)
			w.unreadable = rows.Revision{}
		}
		return
	}
	w.unreadable = at
	if before != at {
		w.Log.Error("The newest manifest cannot be read; the one before stays in force, but is not confirmed any more.",
			"era", at.Era, "row", at.Version, "err", err)
	}
}

// applyManifest puts a newer manifest in force. Manifests never go back: rows that
// are not newer than those in force are ignored. It returns the version of the manifest
// in the rows and its position, 0 if they have none, and an error if it cannot be decoded.
func (w *Watcher) applyManifest(all []rows.Row, era int64) (int64, rows.Revision, error) {
	at := rows.Revision{Era: era}
	for _, r := range all {
		at.Version = max(at.Version, r.Version)
	}
	if v := w.View(); v.Manifest != nil && at == v.ManifestRevision {
		return v.Manifest.Version(), at, nil
	}
	m, err := w.Source.Manifest(all)
	if err == nil && m == nil {
		return 0, rows.Revision{Era: era}, nil
	}
	w.noteUnreadable(at, err)
	if err != nil {
		return 0, at, err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	v := w.View()
	if v.Manifest != nil && !newerManifest(m.Version(), at, v.Manifest.Version(), v.ManifestRevision) {
		if m.Version() == v.Manifest.Version() {
			w.positions[at.Version] = true
		}
		return m.Version(), at, nil
	}
	if v.Manifest == nil || m.Version() != v.Manifest.Version() {
		w.positions = map[int64]bool{}
	}
	w.positions[at.Version] = true
	v.Manifest, v.ManifestRevision, v.ManifestRows = m, at, all
	routes, services, keys := m.Counts()
	w.Log.Info("Manifest in force.", "version", m.Version(), "era", at.Era, "row", at.Version,
		"routes", routes, "services", services, "keys", keys)
	w.publish(v)
	return m.Version(), at, nil
}

// newerManifest reports whether the manifest with a version at a position of the store is
// newer than the one in force. Within an era the store orders them. Positions of different
// eras say nothing about that, so there the manifests' own versions do.
func newerManifest(version int64, at rows.Revision, inForce int64, inForceAt rows.Revision) bool {
	if at.Era == inForceAt.Era || version == inForce {
		return inForceAt.Before(at)
	}
	return version > inForce
}

// Adopt applies the view of another host. Confirmed is the time at which that host's
// manifest was confirmed, on the boot-time clock of this host. The manifest is
// decoded from ManifestRows alone, which may be missing if this host has them. Version is
// that manifest's version.
func (w *Watcher) Adopt(v View, version int64, confirmed clock.Millis) {
	w.prepare()
	// The era is entered before its manifest is in force. An older one changes nothing.
	if v.ManifestRevision.Era > 0 {
		_ = w.enterEra(v.ManifestRevision.Era)
	}
	current := v.ServersKnown && w.enterEra(v.ServersRevision.Era) == nil
	if len(v.ManifestRows) > 0 {
		_, _, _ = w.applyManifest(v.ManifestRows, v.ManifestRevision.Era) // confirmed below only if it is in force
	}
	if current {
		w.adoptServers(v)
	}
	own := w.View()
	if !own.ManifestRevision.Before(v.ManifestRevision) || (own.Manifest != nil && version < own.Manifest.Version()) {
		w.Confirm(confirmed)
	}
}

func (w *Watcher) adoptServers(v View) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if v.ServersRevision.Before(w.View().ServersRevision) {
		return
	}
	now := w.Clock.Boot()
	w.fleet.Adopt(now, v.Servers, v.Missing, v.StoreDown)
	if left := len(v.Servers) - len(w.fleet.List()); left > 0 {
		w.Log.Info("Servers without a record were not adopted from another host, as they have left.", "servers", left)
	}
	w.publishServers(now, v.ServersRevision)
}

func (w *Watcher) publish(v View) {
	w.view.Store(&v)
	w.viewID.Add(1)
	w.updated.notify()
	if w.Changed != nil {
		w.Changed(v)
	}
}

func (w *Watcher) replaceServers(r rows.Reply) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.Clock.Boot()
	w.fleet.StoreSucceeded(now)
	w.answeredAt = now
	var all []fleet.Server
	for _, row := range r.Rows {
		if s, ok := w.server(row); ok {
			all = append(all, s)
		}
	}
	w.fleet.Replace(now, all)
	w.publishServers(now, r.Revision())
}

func (w *Watcher) applyServerChanges(r rows.Reply) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.Clock.Boot()
	w.fleet.StoreSucceeded(now)
	w.answeredAt = now
	upTo := w.View().ServersRevision
	if len(r.Rows) > 0 && upTo.Before(r.Revision()) {
		upTo = r.Revision()
	}
	for _, row := range r.Rows {
		if row.Deleted {
			w.fleet.Remove(now, row.Key)
			continue
		}
		if s, ok := w.server(row); ok {
			w.fleet.Put(now, s)
		} else {
			w.fleet.Remove(now, row.Key)
		}
	}
	w.publishServers(now, upTo)
}

func (w *Watcher) server(row rows.Row) (fleet.Server, bool) {
	s, err := w.Source.Server(row)
	if err == nil {
		return s, true
	}
	if w.unusable[row.Key] != row.Version && len(w.unusable) < maxUnusable {
		w.Log.Warn("A server's record cannot be used; the other records are.", "key", row.Key, "version", row.Version, "err", err)
		w.unusable[row.Key] = row.Version
	}
	return fleet.Server{}, false
}

// maxUnusable bounds the records that are logged as unusable.
const maxUnusable = 1_000

// recordFailure records a failed call for the servers. It publishes a view with StoreDown set
// once the store is known to be down.
func (w *Watcher) recordFailure() {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.Clock.Boot()
	wasDown := w.fleet.StoreDown()
	w.fleet.CallFailed(now)
	if !wasDown && w.fleet.StoreDown() {
		w.Log.Warn("The store is down; servers whose records are missing afterwards are kept for a while.", "answered", now-w.answeredAt)
	}
	w.publishServers(now, w.View().ServersRevision)
}

// publishServers publishes a view of the list if it changed. At is the position of the
// last change in it.
func (w *Watcher) publishServers(now clock.Millis, at rows.Revision) {
	w.fleet.DropExpired(now)
	if delay, ok := w.fleet.UntilNextDrop(now); ok {
		go w.dropExpiredLater(delay)
	}
	v := w.View()
	list := w.fleet.List()
	known := v.ServersKnown || at.Version > 0
	down := w.fleet.StoreDown()
	same := v.ServersKnown == known && equalServers(v.Servers, list)
	missing := w.fleet.Missing()
	if same && v.StoreDown == down && v.ServersRevision == at && maps.Equal(v.Missing, missing) {
		return
	}
	if len(missing) != len(v.Missing) {
		w.Log.Info("The number of servers that are kept without a record changed.", "servers", len(missing), "storeDown", down)
	}
	v.Servers, v.ServersKnown, v.ServersRevision, v.Missing, v.StoreDown =
		list, known, at, missing, down
	if same {
		w.publish(v)
		return
	}
	leaving := 0
	for _, s := range list {
		if s.Leaving {
			leaving++
		}
	}
	w.Log.Info("List of servers changed.", "servers", len(list), "leaving", leaving)
	w.publish(v)
}

// dropExpiredLater drops the servers whose grace for a missing record has expired.
func (w *Watcher) dropExpiredLater(delay clock.Millis) {
	<-w.Clock.After(delay + 1)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.publishServers(w.Clock.Boot(), w.View().ServersRevision)
}

func equalServers(a, b []fleet.Server) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if !a[i].Same(b[i]) {
			return false
		}
	}
	return true
}

// historyGone reports whether a new snapshot read is needed.
func historyGone(err error) bool { return errors.Is(err, rows.ErrHistoryGone) }
