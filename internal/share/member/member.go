// Package member is how hosts find one another: each writes its address into a
// table of the platform's store at its start and reads those of the others now
// and then. Records carry no sign of life, since each call to the store has its
// price; whether a host can be reached shows when it is asked something.
//
// The table also holds the secret by which hosts know one another. The first
// host makes it, under the condition that there is none.
//
// # Usage
//
//	c := &member.Crew{Store: store, Table: "hosts", Self: record, Clock: c, Log: l}
//	secret, incarnation, err := c.Join(ctx)
//	go c.Run(ctx)
//	for _, m := range c.Members() { ... }
package member

import (
	"context"
	crand "crypto/rand"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"sort"
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
	// Cores is the share of a processor core that the host has.
	Cores float64
}

const (
	secretKey   = "secret"
	secretBytes = 32
	memberKeys  = "host/"
	// firstLook is when the records are read again after the start, when the
	// hosts that start together have written theirs; later looks follow at
	// twice the time each, up to lastLook. In milliseconds.
	firstLook = 300 * clock.Millis(1)
	lastLook  = 16 * clock.Second
	// retryWait is the wait after a call that failed.
	retryWait = 300 * clock.Millis(1)
)

// Crew is this host's view of the hosts. Its fields are set before Join.
type Crew struct {
	Store rows.Store
	Table string
	Self  Member
	Clock clock.Clock
	Log   *logs.Limited
	// Reads tells whether this host is to read the records now and then; nil
	// for always.
	Reads func() bool

	mu      sync.Mutex
	members []Member
	version int64
	joined  bool
}

// Join writes this host's record and returns the common secret and a number
// that is higher at each start of the host. It tries until the context ends.
func (c *Crew) Join(ctx context.Context) ([]byte, int64, error) {
	for {
		secret, incarnation, err := c.join(ctx)
		if err == nil {
			return secret, incarnation, nil
		}
		if ctx.Err() != nil {
			return nil, 0, ctx.Err()
		}
		c.Log.Warn("The record of this host could not be written.", "err", err)
		<-c.Clock.After(retryWait + clock.Millis(rand.N(int64(retryWait))))
	}
}

func (c *Crew) join(ctx context.Context) ([]byte, int64, error) {
	secret, err := c.look(ctx)
	if err != nil {
		return nil, 0, err
	}
	if secret == nil {
		secret, err = c.makeSecret(ctx)
		if err != nil {
			return nil, 0, err
		}
	}
	value, err := json.Marshal(c.Self)
	if err != nil {
		return nil, 0, errors.Wrap(err, "encoding this host's record")
	}
	row := rows.Row{Table: c.Table, Key: memberKeys + c.Self.Name, Value: value}
	reply, err := c.Store.Commit(ctx, rows.Change{Writes: []rows.Row{row}})
	if err != nil {
		return nil, 0, err
	}
	c.addSelf()
	return secret, reply.Version, nil
}

// addSelf puts this host among the members, whose records were read before its
// own was written.
func (c *Crew) addSelf() {
	c.mu.Lock()
	c.joined = true
	others := slices.DeleteFunc(slices.Clone(c.members), func(m Member) bool { return m.Name == c.Self.Name })
	version := c.version
	c.mu.Unlock()
	c.Adopt(others, version)
}

// makeSecret writes a new secret unless another host did so meanwhile.
func (c *Crew) makeSecret(ctx context.Context) ([]byte, error) {
	secret := make([]byte, secretBytes)
	if _, err := crand.Read(secret); err != nil {
		return nil, errors.Wrap(err, "making the hosts' secret")
	}
	row := rows.Row{Table: c.Table, Key: secretKey, Value: secret}
	_, err := c.Store.Commit(ctx, rows.Change{Expect: []rows.Row{row}, Writes: []rows.Row{row}})
	if err == nil {
		return secret, nil
	}
	if !errors.Is(err, rows.ErrConflict) {
		return nil, err
	}
	written, err := c.look(ctx)
	if err == nil && written == nil {
		err = errors.New("the hosts' secret vanished")
	}
	return written, err
}

// look reads all records and returns the secret, nil where there is none.
func (c *Crew) look(ctx context.Context) ([]byte, error) {
	reply, err := c.Store.Read(ctx, rows.Range{Table: c.Table})
	if err != nil {
		return nil, err
	}
	var secret []byte
	var members []Member
	version := int64(0)
	for _, r := range reply.Rows {
		version = max(version, r.Version)
		if r.Key == secretKey {
			secret = r.Value
			continue
		}
		var m Member
		if err := json.Unmarshal(r.Value, &m); err != nil || m.Name == "" || m.Address == "" {
			c.Log.Warn("A host's record cannot be read.", "key", r.Key, "err", err)
			continue
		}
		members = append(members, m)
	}
	c.Adopt(members, version)
	return secret, nil
}

// Adopt takes records that were read when the newest of them had a version,
// unless newer ones are known.
func (c *Crew) Adopt(members []Member, version int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if version < c.version {
		return
	}
	members = append([]Member(nil), members...)
	if c.joined && !slices.ContainsFunc(members, func(m Member) bool { return m.Name == c.Self.Name }) {
		members = append(members, c.Self)
	}
	sort.Slice(members, func(i, j int) bool { return members[i].Name < members[j].Name })
	if len(members) != len(c.members) {
		c.Log.Info("List of hosts changed.", "hosts", len(members))
	}
	c.members, c.version = members, version
}

// Run reads the records now and then until the context ends.
func (c *Crew) Run(ctx context.Context) {
	wait := firstLook
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.Clock.After(wait + clock.Millis(rand.N(int64(wait/4)))):
		}
		if c.Reads == nil || c.Reads() {
			if _, err := c.look(ctx); err != nil && ctx.Err() == nil {
				c.Log.Warn("The records of hosts could not be read.", "err", err)
			}
		}
		wait = min(2*wait, lastLook)
	}
}

// Version is the store's version of the newest record that was read.
func (c *Crew) Version() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.version
}

// Members returns the records by name.
func (c *Crew) Members() []Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.members
}

// Address looks up a host's "IP:port".
func (c *Crew) Address(name string) (string, bool) {
	for _, m := range c.Members() {
		if m.Name == name {
			return m.Address, true
		}
	}
	return "", false
}
