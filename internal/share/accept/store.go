package accept

import (
	"context"
	"encoding/json"

	"github.com/cockroachdb/errors"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/plat/object"
	"siskinsaddle/internal/plat/table"
	"siskinsaddle/internal/share/mfest"
)

// The kinds and names of the records.
const (
	recordKind  = "Manifest"
	recordName  = "Current"
	historyKind = "ManifestHistory"
	inForceKind = "ManifestInForce"
)

// platformTimeout bounds one request to the platform.
const platformTimeout = 1500 * clock.Millis(1)

// Platform reads and writes the manifest's records and bodies.
type Platform struct {
	Table   table.Store
	Objects object.Store
	Clock   clock.Clock
}

// withTimeout returns a context that is cancelled after limit on the given clock.
func withTimeout(ctx context.Context, c clock.Clock, limit clock.Millis) (context.Context, context.CancelFunc) {
	bounded, cancel := context.WithCancel(ctx)
	expired := c.After(limit)
	go func() {
		select {
		case <-expired:
			cancel()
		case <-bounded.Done():
		}
	}()
	return bounded, cancel
}

// storedRecord is a record with the token of the write that made it, "" if the
// record does not exist yet.
type storedRecord struct {
	Record
	token string
}

// Read returns the record, or the one before the first push.
func (p Platform) Read(ctx context.Context) (Record, error) {
	s, err := p.read(ctx)
	return s.Record, err
}

func (p Platform) read(ctx context.Context) (storedRecord, error) {
	ctx, cancel := withTimeout(ctx, p.Clock, platformTimeout)
	defer cancel()
	raw, err := p.Table.Get(ctx, recordKind, recordName)
	if errors.Is(err, table.ErrNotFound) {
		return storedRecord{Record: newRecord()}, nil
	}
	if err != nil {
		return storedRecord{}, err
	}
	r, err := decodeRecord(raw.Body)
	return storedRecord{Record: r, token: raw.Token}, err
}

// write replaces the record that was read. It returns table.ErrConflict if another
// write came first, and table.ErrOutcomeUnknown if the write may or may not take
// effect.
func (p Platform) write(ctx context.Context, old storedRecord, r Record) (storedRecord, error) {
	body, err := json.Marshal(r)
	if err != nil {
		return storedRecord{}, errors.Wrap(err, "encoding the manifest record")
	}
	next := storedRecord{Record: r, token: table.NewToken()}
	ctx, cancel := withTimeout(ctx, p.Clock, platformTimeout)
	defer cancel()
	return next, p.put(ctx, table.Record{Kind: recordKind, Name: recordName, Token: next.token, Body: body}, old.token)
}

// put replaces the record that has the token, or creates it if the token is "".
func (p Platform) put(ctx context.Context, r table.Record, token string) error {
	condition := table.IfToken(token)
	if token == "" {
		condition = table.IfAbsent()
	}
	return p.Table.Put(ctx, r, condition)
}

// InForce is what a failure domain last reported as in force on its hosts.
type InForce struct {
	Domain     string
	Generation int64
	// At is Unix time.
	At clock.Millis
	// Hosts is the number of hosts that serve under it, Silent names those
	// that did not answer.
	Hosts  int
	Silent []string `json:",omitempty"`
}

// ReadInForce returns the last report of a failure domain, with generation 0
// if there is none.
func (p Platform) ReadInForce(ctx context.Context, domain string) (InForce, error) {
	f, _, err := p.readInForce(ctx, domain)
	return f, err
}

func (p Platform) readInForce(ctx context.Context, domain string) (InForce, string, error) {
	ctx, cancel := withTimeout(ctx, p.Clock, platformTimeout)
	defer cancel()
	f := InForce{Domain: domain}
	raw, err := p.Table.Get(ctx, inForceKind, domain)
	if errors.Is(err, table.ErrNotFound) {
		return f, "", nil
	}
	if err != nil {
		return f, "", err
	}
	return f, raw.Token, errors.Wrap(json.Unmarshal(raw.Body, &f), "decoding a failure domain's in-force report")
}

// reportInForce writes a domain's report unless one for the same or a later
// generation exists.
func (p Platform) reportInForce(ctx context.Context, f InForce) error {
	current, token, err := p.readInForce(ctx, f.Domain)
	if err != nil || current.Generation >= f.Generation {
		return err
	}
	body, err := json.Marshal(f)
	if err != nil {
		return errors.Wrap(err, "encoding a failure domain's in-force report")
	}
	ctx, cancel := withTimeout(ctx, p.Clock, platformTimeout)
	defer cancel()
	return p.put(ctx, table.Record{Kind: inForceKind, Name: f.Domain, Token: table.NewToken(), Body: body}, token)
}

// fetchBody reads a packed body from the object store.
func (p Platform) fetchBody(ctx context.Context, ref Ref) ([]byte, error) {
	ctx, cancel := withTimeout(ctx, p.Clock, platformTimeout)
	defer cancel()
	return p.Objects.Get(ctx, ref.Object)
}

func (p Platform) putBody(ctx context.Context, ref Ref, packed []byte) error {
	ctx, cancel := withTimeout(ctx, p.Clock, platformTimeout)
	defer cancel()
	return p.Objects.Put(ctx, ref.Object, packed)
}

// Manifest reads the manifest of a generation, an empty one for number 0.
func (p Platform) Manifest(ctx context.Context, g Generation) (mfest.Manifest, error) {
	if g.Number == 0 {
		return mfest.Manifest{}, nil
	}
	packed, err := p.fetchBody(ctx, g.Body)
	if err != nil {
		return mfest.Manifest{}, err
	}
	return mfest.Unpack(packed, g.Body.Hash)
}
