// Package member is the discovery of hosts. At its start each host writes a record with
// its address into a table of the platform's store, and it periodically reads the
// records of the other hosts. There are no heartbeats, since each call to the store has
// a cost. Whether a host is reachable shows at the first message to it.
//
// The table also holds the shared secret with which hosts authenticate one another. The
// first host creates it in a conditional write that fails if there is one already.
//
// After a restore of the store from an older copy, records and even the secret may be
// missing. Each host then writes its record again, and the secret that it had before,
// in place of one that a host created since. Hosts that are missing stay in the list.
//
// # Usage
//
//	r := &member.Registry{Store: store, Table: "hosts", Self: record, Clock: clk, Log: l}
//	secret, incarnation, err := r.Join(ctx)
//	go r.Run(ctx)
//	for _, m := range r.Members() { ... }
//	r.Restored() // the store was restored from a copy
package member

import (
	"bytes"
	"context"
	crand "crypto/rand"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/base/logs"
	"siskinsaddle/internal/plat/record"
	"siskinsaddle/internal/plat/rows"
)

// Member is one host's record.
type Member struct {
	Name string
	// Address is the "IP:port" of its links.
	Address       string
	FailureDomain string
	// Cores is the processor capacity of the host, in cores.
	Cores float64
}

const (
	secretKey       = "secret"
	secretBytes     = 32
	memberKeyPrefix = "host/"
	settledKey      = "settled"
	// minReadPeriod is the time until the first read after the start, in milliseconds,
	// when hosts that start together have written their records. The time doubles
	// with each read, up to maxReadPeriod.
	minReadPeriod = 300 * clock.Millis(1)
	maxReadPeriod = 16 * clock.Second
	// minRetryDelay is the shortest delay after a failed call, in milliseconds. Jitter
	// makes it up to twice as long.
	minRetryDelay = 300 * clock.Millis(1)
)

// Registry holds this host's list of all hosts. Its fields are set before Join.
type Registry struct {
	Store rows.Store
	Table string
	Self  Member
	Clock clock.Clock
	Log   *logs.Limited
	// OnOther, if set, is called with each row that is no host's record.
	OnOther func(r rows.Row) error
	// OnSecret, if set, is called with a secret that replaces the one from Join.
	OnSecret func(secret []byte)
	// OnRestored, if set, is called when this host has registered again after a restore.
	OnRestored func()
	// ReadsStore reports whether this host reads the records periodically. Nil
	// means always.
	ReadsStore func() bool

	once     sync.Once
	restored chan struct{}
	mu       sync.Mutex
	members  []Member
	version  rows.Revision
	joined   bool
	// earlier are the members known in earlier eras of the store.
	earlier []Member
	// secret is the shared secret, secretEra the era in which this host last found it in
	// the store.
	secret    []byte
	secretEra int64
	// settledEra is the newest era that the table calls settled.
	settledEra int64
	settled    chan int64
}

// records is what the table of hosts holds for this host.
type records struct {
	era int64
	// secret is the row of the secret, with version 0 if there is none.
	secret rows.Row
	// registered is set if this host has a record.
	registered bool
	// settled is the row of the settled era, with version 0 if there is none.
	settled rows.Row
}

func (r *Registry) prepare() {
	r.once.Do(func() { r.restored, r.settled = make(chan struct{}, 1), make(chan int64, 1) })
}

// SettledEra returns the newest era of the store in which a host is known to have confirmed
// a manifest, 0 for none.
func (r *Registry) SettledEra() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.settledEra
}

// Settled makes Run store that a host has confirmed a manifest in an era, for hosts that
// start. A restore of the store loses that, as it has to.
func (r *Registry) Settled(era int64) {
	r.prepare()
	select {
	case r.settled <- era:
	default: // an earlier era waits; the next host to start waits for the store to settle
	}
}

// Restored makes Run register this host again, since the store was restored from a copy.
func (r *Registry) Restored() {
	r.prepare()
	select {
	case r.restored <- struct{}{}:
	default: // it is to register again already
	}
}

// Join writes this host's record and returns the shared secret and the incarnation, a
// number that is higher at each start of the host. It retries until the context ends.
func (r *Registry) Join(ctx context.Context) ([]byte, int64, error) {
	for {
		secret, incarnation, err := r.join(ctx)
		if err == nil {
			return secret, incarnation, nil
		}
		if ctx.Err() != nil {
			return nil, 0, ctx.Err()
		}
		r.Log.Warn("Registering this host failed; retrying.", "err", err)
		<-r.Clock.After(minRetryDelay + clock.Millis(rand.N(int64(minRetryDelay))))
	}
}

func (r *Registry) join(ctx context.Context) ([]byte, int64, error) {
	found, err := r.readRecords(ctx)
	if err != nil {
		return nil, 0, err
	}
	secret := found.secret.Value
	if !found.hasSecret() {
		secret, err = r.createSecret(ctx, found.secret.Version)
		if err != nil {
			return nil, 0, err
		}
	}
	reply, err := r.register(ctx)
	if err != nil {
		return nil, 0, err
	}
	r.mu.Lock()
	r.secret, r.secretEra = secret, found.era
	r.mu.Unlock()
	r.addSelf()
	if reply.Era > found.era {
		r.Restored()
	}
	return secret, incarnation(reply.Revision()), nil
}

// hasSecret reports whether the table has a secret that a host has created.
func (f records) hasSecret() bool { return f.secret.Version > 0 && len(f.secret.Value) == secretBytes }

// register writes this host's record.
func (r *Registry) register(ctx context.Context) (rows.Reply, error) {
	value, err := json.Marshal(r.Self)
	if err != nil {
		return rows.Reply{}, errors.Wrap(err, "encoding this host's record")
	}
	row := rows.Row{Table: r.Table, Key: memberKeyPrefix + r.Self.Name, Value: value}
	return r.Store.Commit(ctx, rows.Change{Writes: []rows.Row{row}})
}

// versionBits is the number of bits of an incarnation for the store's version: at a
// thousand transactions a second the version takes 35 years to fill them.
const versionBits = 40

// incarnation returns a number that rises with the position in the store, also across a
// restore.
func incarnation(at rows.Revision) int64 { return at.Era<<versionBits | at.Version }

// rejoin registers this host again after a restore.
func (r *Registry) rejoin(ctx context.Context) error {
	found, err := r.readRecords(ctx)
	if err != nil {
		return err
	}
	if err := r.restoreSecret(ctx, found); err != nil {
		return err
	}
	if found.registered {
		return nil
	}
	_, err = r.register(ctx)
	return err
}

// restoreSecret writes the secret from before a restore again if it is lost. Of several
// secrets the one from the earliest era remains, as most hosts have it.
func (r *Registry) restoreSecret(ctx context.Context, found records) error {
	r.mu.Lock()
	secret, era := r.secret, r.secretEra
	r.mu.Unlock()
	same := found.hasSecret() && bytes.Equal(found.secret.Value, secret)
	if !same && era < found.era {
		written := rows.Row{Table: r.Table, Key: secretKey, Value: secret}
		expected := rows.Row{Table: r.Table, Key: secretKey, Version: found.secret.Version}
		if _, err := r.Store.Commit(ctx, rows.Change{Expect: []rows.Row{expected}, Writes: []rows.Row{written}}); err != nil {
			return err
		}
		r.Log.Warn("The secret of the hosts was written again after a restore of the store.", "era", found.era)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.secretEra = max(r.secretEra, found.era)
	return nil
}

// addSelf adds this host to the members, since their records were read before its own
// was written.
func (r *Registry) addSelf() {
	r.mu.Lock()
	r.joined = true
	others := slices.DeleteFunc(slices.Clone(r.members), func(m Member) bool { return m.Name == r.Self.Name })
	version := r.version
	r.mu.Unlock()
	r.Adopt(others, version)
}

// createSecret writes a new secret in place of a row with a version, 0 for none, or returns
// the one that another host has written concurrently.
func (r *Registry) createSecret(ctx context.Context, version int64) ([]byte, error) {
	secret := make([]byte, secretBytes)
	if _, err := crand.Read(secret); err != nil {
		return nil, errors.Wrap(err, "generating the secret shared by the hosts")
	}
	row := rows.Row{Table: r.Table, Key: secretKey, Value: secret, Version: version}
	_, err := r.Store.Commit(ctx, rows.Change{Expect: []rows.Row{row}, Writes: []rows.Row{row}})
	if err == nil {
		return secret, nil
	}
	if !errors.Is(err, rows.ErrConflict) {
		return nil, err
	}
	found, err := r.readRecords(ctx)
	if err == nil && !found.hasSecret() {
		err = errors.New("the secret shared by the hosts is missing after a write conflict")
	}
	return found.secret.Value, err
}

// readRecords reads all records.
func (r *Registry) readRecords(ctx context.Context) (records, error) {
	reply, err := r.Store.Read(ctx, rows.Range{Table: r.Table})
	if err != nil {
		return records{}, err
	}
	found := records{era: reply.Era}
	var members []Member
	newest := rows.Revision{Era: reply.Era}
	for _, row := range reply.Rows {
		newest.Version = max(newest.Version, row.Version)
		if row.Key == secretKey {
			found.secret = row
			continue
		}
		if row.Key == settledKey {
			found.settled = row
			continue
		}
		if !strings.HasPrefix(row.Key, memberKeyPrefix) {
			r.readOther(row)
			continue
		}
		m, err := decodeMember(row)
		if err != nil {
			r.Log.Warn("A host's record was ignored: it is invalid.", "key", row.Key, "err", err)
			continue
		}
		found.registered = found.registered || m.Name == r.Self.Name
		members = append(members, m)
	}
	r.Adopt(members, newest)
	r.checkSecret(found)
	if err := r.readSettled(found); err != nil {
		r.Log.Warn("A record was ignored.", "key", settledKey, "err", err)
	}
	return found, nil
}

// maxCores bounds the cores of a host. The strongest host decides which others may be keepers.
const maxCores = 1_024

// decodeMember decodes a host's record. Another program may have written it.
func decodeMember(row rows.Row) (Member, error) {
	var m Member
	if err := record.Decode(row.Value, &m); err != nil {
		return Member{}, err
	}
	for _, err := range []error{record.CheckName(m.Name), record.CheckAddress(m.Address)} {
		if err != nil {
			return Member{}, err
		}
	}
	if memberKeyPrefix+m.Name != row.Key {
		return Member{}, errors.Newf("the record is of host %q", m.Name)
	}
	if !(m.Cores > 0 && m.Cores <= maxCores) {
		return Member{}, errors.Newf("a host has no %g cores", m.Cores)
	}
	return m, nil
}

// readSettled reads the settled era. The row may be one of an earlier era.
func (r *Registry) readSettled(found records) error {
	if found.settled.Version == 0 {
		return nil
	}
	era, err := strconv.ParseInt(string(found.settled.Value), 10, 64)
	if err != nil {
		return errors.Wrap(err, "decoding the settled era")
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.settledEra = max(r.settledEra, era)
	return nil
}

// storeSettled stores that an era is settled, unless another host has.
func (r *Registry) storeSettled(ctx context.Context, era int64) {
	found, err := r.readRecords(ctx)
	if err == nil && (found.era != era || r.SettledEra() >= era) {
		return
	}
	if err == nil {
		row := rows.Row{Table: r.Table, Key: settledKey, Value: strconv.AppendInt(nil, era, 10)}
		expected := rows.Row{Table: r.Table, Key: settledKey, Version: found.settled.Version}
		_, err = r.Store.Commit(ctx, rows.Change{Expect: []rows.Row{expected}, Writes: []rows.Row{row}})
	}
	if err != nil && !errors.Is(err, rows.ErrConflict) {
		r.Log.Warn("Storing that the store is settled failed; hosts that start wait for that.", "era", era, "err", err)
	}
}

// checkSecret adopts a secret that has changed in the same era: the one from before a
// restore, written again by a host that had it.
func (r *Registry) checkSecret(found records) {
	r.mu.Lock()
	changed := r.secret != nil && found.era == r.secretEra && found.hasSecret() && !bytes.Equal(found.secret.Value, r.secret)
	if changed {
		r.secret = found.secret.Value
	}
	r.mu.Unlock()
	if changed {
		r.Log.Warn("The secret of the hosts has changed.", "era", found.era)
		if r.OnSecret != nil {
			r.OnSecret(found.secret.Value)
		}
	}
}

// readOther passes a row on that is no host's record.
func (r *Registry) readOther(row rows.Row) {
	err := errors.New("unknown kind of record")
	if r.OnOther != nil {
		err = r.OnOther(row)
	}
	if err != nil {
		r.Log.Warn("A record was ignored.", "key", row.Key, "err", err)
	}
}

// Adopt replaces the records, unless the current ones are newer. Newest is the position of
// the newest of them in the store.
func (r *Registry) Adopt(members []Member, newest rows.Revision) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if newest.Before(r.version) {
		return
	}
	if newest.Era > r.version.Era {
		r.earlier = r.members
	}
	members = append([]Member(nil), members...)
	for _, e := range r.earlier {
		if !slices.ContainsFunc(members, func(m Member) bool { return m.Name == e.Name }) {
			members = append(members, e)
		}
	}
	if r.joined && !slices.ContainsFunc(members, func(m Member) bool { return m.Name == r.Self.Name }) {
		members = append(members, r.Self)
	}
	sort.Slice(members, func(i, j int) bool { return members[i].Name < members[j].Name })
	if len(members) != len(r.members) {
		r.Log.Info("List of hosts changed.", "hosts", len(members))
	}
	r.members, r.version = members, newest
}

// Run reads the records periodically until the context ends.
func (r *Registry) Run(ctx context.Context) {
	r.prepare()
	wait := minReadPeriod
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.restored:
			r.rejoinWithRetries(ctx)
			wait = minReadPeriod
			continue
		case era := <-r.settled:
			<-r.Clock.After(clock.Millis(rand.N(int64(minRetryDelay))))
			r.storeSettled(ctx, era)
			continue
		case <-r.Clock.After(wait + clock.Millis(rand.N(int64(wait/4)))):
		}
		if r.ReadsStore == nil || r.ReadsStore() {
			found, err := r.readRecords(ctx)
			if err != nil && ctx.Err() == nil {
				r.Log.Warn("Reading the records of the hosts failed; retrying.", "err", err)
			}
			if err == nil && r.joinedBefore(found.era) {
				r.Restored()
			}
		}
		wait = min(2*wait, maxReadPeriod)
	}
}

// joinedBefore reports whether this host has registered in an earlier era only.
func (r *Registry) joinedBefore(era int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.secret != nil && r.secretEra < era
}

// rejoinWithRetries registers this host again, at a random moment since all hosts do so at
// a time.
func (r *Registry) rejoinWithRetries(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.Clock.After(clock.Millis(rand.N(int64(minRetryDelay)))):
		}
		err := r.rejoin(ctx)
		if err == nil {
			break
		}
		r.Log.Warn("Registering this host again after a restore failed; retrying.", "err", err)
		<-r.Clock.After(minRetryDelay)
	}
	if r.OnRestored != nil {
		r.OnRestored()
	}
}

// Version returns the position of the newest record in the store.
func (r *Registry) Version() rows.Revision {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.version
}

// Members returns the records, sorted by name.
func (r *Registry) Members() []Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.members
}

// Address returns a host's "IP:port".
func (r *Registry) Address(name string) (string, bool) {
	for _, m := range r.Members() {
		if m.Name == name {
			return m.Address, true
		}
	}
	return "", false
}
