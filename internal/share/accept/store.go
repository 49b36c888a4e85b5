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

// platformWait bounds one request to the platform.
const platformWait = 1500 * clock.Millis(1)

// Platform reads and writes the manifest's records and bodies.
type Platform struct {
	Table   table.Store
	Objects object.Store
	Clock   clock.Clock
}

// within bounds a context by the program's clock.
func within(ctx context.Context, c clock.Clock, limit clock.Millis) (context.Context, context.CancelFunc) {
	bounded, cancel := context.WithCancel(ctx)
	over := c.After(limit)
	go func() {
		select {
		case <-over:
			cancel()
		case <-bounded.Done():
		}
	}()
	return bounded, cancel
}

// stored is a record with the token of the write that made it, "" where there
// is none yet.
type stored struct {
	Record
	token string
}

// Read returns the record, or the one before the first push.
func (p Platform) Read(ctx context.Context) (Record, error) {
	s, err := p.read(ctx)
	return s.Record, err
}

func (p Platform) read(ctx context.Context) (stored, error) {
	ctx, cancel := within(ctx, p.Clock, platformWait)
	defer cancel()
	raw, err := p.Table.Get(ctx, recordKind, recordName)
	if errors.Is(err, table.ErrAbsent) {
		return stored{Record: newRecord()}, nil
	}
	if err != nil {
		return stored{}, err
	}
	r, err := decodeRecord(raw.Body)
	return stored{Record: r, token: raw.Token}, err
}

// write replaces the record that was read. ErrConflict means that another
// write came first, ErrUnsure that nothing is known.
func (p Platform) write(ctx context.Context, old stored, r Record) (stored, error) {
	body, err := json.Marshal(r)
	if err != nil {
		return stored{}, errors.Wrap(err, "writing the manifest record")
	}
	next := stored{Record: r, token: table.NewToken()}
	ctx, cancel := within(ctx, p.Clock, platformWait)
	defer cancel()
	return next, p.put(ctx, table.Record{Kind: recordKind, Name: recordName, Token: next.token, Body: body}, old.token)
}

// put writes a record over the one with a token, or where none is for "".
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
	ctx, cancel := within(ctx, p.Clock, platformWait)
	defer cancel()
	f := InForce{Domain: domain}
	raw, err := p.Table.Get(ctx, inForceKind, domain)
	if errors.Is(err, table.ErrAbsent) {
		return f, "", nil
	}
	if err != nil {
		return f, "", err
	}
	return f, raw.Token, errors.Wrap(json.Unmarshal(raw.Body, &f), "reading a domain's report")
}

// reportInForce writes a domain's report unless a later one stands.
func (p Platform) reportInForce(ctx context.Context, f InForce) error {
	held, token, err := p.readInForce(ctx, f.Domain)
	if err != nil || held.Generation >= f.Generation {
		return err
	}
	body, err := json.Marshal(f)
	if err != nil {
		return errors.Wrap(err, "writing a domain's report")
	}
	ctx, cancel := within(ctx, p.Clock, platformWait)
	defer cancel()
	return p.put(ctx, table.Record{Kind: inForceKind, Name: f.Domain, Token: table.NewToken(), Body: body}, token)
}

// fetch reads a packed body from the object store.
func (p Platform) fetch(ctx context.Context, ref Ref) ([]byte, error) {
	ctx, cancel := within(ctx, p.Clock, platformWait)
	defer cancel()
	return p.Objects.Get(ctx, ref.Object)
}

func (p Platform) putBody(ctx context.Context, ref Ref, packed []byte) error {
	ctx, cancel := within(ctx, p.Clock, platformWait)
	defer cancel()
	return p.Objects.Put(ctx, ref.Object, packed)
}

// Manifest reads the manifest of a generation, an empty one for number 0.
func (p Platform) Manifest(ctx context.Context, g Generation) (mfest.Manifest, error) {
	if g.Number == 0 {
		return mfest.Manifest{}, nil
	}
	packed, err := p.fetch(ctx, g.Body)
	if err != nil {
		return mfest.Manifest{}, err
	}
	return mfest.Unpack(packed, g.Body.Hash)
}
