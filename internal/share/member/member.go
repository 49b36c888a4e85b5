// Package member is the discovery of hosts. At its start each host writes a record with
// its address into a table of the platform's store, and it periodically reads the
// records of the other hosts. There are no heartbeats, since each call to the store has
// a cost. Whether a host is reachable shows at the first message to it.
//
// The table also holds the shared secret with which hosts authenticate one another. The
// first host creates it in a conditional write that fails if there is one already.
//
// # Usage
//
//	r := &member.Registry{Store: store, Table: "hosts", Self: record, Clock: clk, Log: l}
//	secret, incarnation, err := r.Join(ctx)
//	go r.Run(ctx)
//	for _, m := range r.Members() { ... }
package member

import (
	"context"
	crand "crypto/rand"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"sort"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/base/logs"
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
	// ReadsStore reports whether this host reads the records periodically. Nil
	// means always.
	ReadsStore func() bool

	mu      sync.Mutex
	members []Member
	version rows.Revision
	joined  bool
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
	secret, err := r.readRecords(ctx)
	if err != nil {
		return nil, 0, err
	}
	if secret == nil {
		secret, err = r.createSecret(ctx)
		if err != nil {
			return nil, 0, err
		}
	}
	value, err := json.Marshal(r.Self)
	if err != nil {
		return nil, 0, errors.Wrap(err, "encoding this host's record")
	}
	row := rows.Row{Table: r.Table, Key: memberKeyPrefix + r.Self.Name, Value: value}
	reply, err := r.Store.Commit(ctx, rows.Change{Writes: []rows.Row{row}})
	if err != nil {
		return nil, 0, err
	}
	r.addSelf()
	return secret, reply.Version, nil
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

// createSecret writes a new secret, or returns the one that another host has written
// concurrently.
func (r *Registry) createSecret(ctx context.Context) ([]byte, error) {
	secret := make([]byte, secretBytes)
	if _, err := crand.Read(secret); err != nil {
		return nil, errors.Wrap(err, "generating the secret shared by the hosts")
	}
	row := rows.Row{Table: r.Table, Key: secretKey, Value: secret}
	_, err := r.Store.Commit(ctx, rows.Change{Expect: []rows.Row{row}, Writes: []rows.Row{row}})
	if err == nil {
		return secret, nil
	}
	if !errors.Is(err, rows.ErrConflict) {
		return nil, err
	}
	written, err := r.readRecords(ctx)
	if err == nil && written == nil {
		err = errors.New("the secret shared by the hosts is missing after a write conflict")
	}
	return written, err
}

// readRecords reads all records and returns the secret, nil if there is none.
func (r *Registry) readRecords(ctx context.Context) ([]byte, error) {
	reply, err := r.Store.Read(ctx, rows.Range{Table: r.Table})
	if err != nil {
		return nil, err
	}
	var secret []byte
	var members []Member
	newest := rows.Revision{Era: reply.Era}
	for _, row := range reply.Rows {
		newest.Version = max(newest.Version, row.Version)
		if row.Key == secretKey {
			secret = row.Value
			continue
		}
		if !strings.HasPrefix(row.Key, memberKeyPrefix) {
			r.readOther(row)
			continue
		}
		var m Member
		if err := json.Unmarshal(row.Value, &m); err != nil || m.Name == "" || m.Address == "" {
			r.Log.Warn("A host's record was ignored: it is invalid.", "key", row.Key, "err", err)
			continue
		}
		members = append(members, m)
	}
	r.Adopt(members, newest)
	return secret, nil
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
	members = append([]Member(nil), members...)
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
	wait := minReadPeriod
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.Clock.After(wait + clock.Millis(rand.N(int64(wait/4)))):
		}
		if r.ReadsStore == nil || r.ReadsStore() {
			if _, err := r.readRecords(ctx); err != nil && ctx.Err() == nil {
				r.Log.Warn("Reading the records of the hosts failed; retrying.", "err", err)
			}
		}
		wait = min(2*wait, maxReadPeriod)
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
