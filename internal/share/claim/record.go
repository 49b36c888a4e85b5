package claim

import (
	"context"
	"crypto/sha256"
	"encoding/hex"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"siskinsaddle/internal/base/chart"
	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/plat/object"
	"siskinsaddle/internal/plat/table"
)

// maxClockDifference is added to the time at which a record expires, since
// hosts compare it with their own wall clocks. In milliseconds.
const maxClockDifference = clock.Minute

// record is the body of a claim's record in the table.
type record struct {
	State       chart.State
	Owner       string
	Incarnation uint64
	Fence       uint64
	Hash        []byte
	Status      int      `msgpack:",omitempty"`
	Headers     []Header `msgpack:",omitempty"`
	Body        []byte   `msgpack:",omitempty"`
	// Object names the envelope in the object store that holds the body.
	Object string `msgpack:",omitempty"`
	// NotKept tells that the response's body was too large to hold.
	NotKept bool `msgpack:",omitempty"`
}

// stored is a record with its place in the table.
type stored struct {
	record
	token   string
	expires clock.Millis
}

// envelope is the object that holds a large body. The token makes its content,
// and so its name, that of one claim alone, so that removing it harms no other.
type envelope struct {
	Token string
	Body  []byte
}

// nameOf gives the record's name. The key is hashed, since a caller may choose
// one longer than the table's limit.
func nameOf(o Order) string {
	sum := sha256.Sum256([]byte(o.Key))
	return o.Workspace + "/" + o.Service + "/" + hex.EncodeToString(sum[:])
}

// put writes a record under a token that the caller chose before, so that a
// second attempt after a lost answer carries the same one.
func (d *Desk) put(ctx context.Context, name, token string, r record, c table.Condition) error {
	body, err := msgpack.Marshal(r)
	if err != nil {
		return errors.Wrapf(err, "claim %q", name)
	}
	ctx, cancel := d.bounded(ctx)
	defer cancel()
	err = d.Table.Put(ctx, table.Record{
		Kind:      Kind,
		Name:      name,
		Token:     token,
		Body:      body,
		ExpiresAt: d.Clock.Wall() + d.retention(),
	}, c)
	d.note(err)
	return err
}

func (d *Desk) retention() clock.Millis {
	if d.Retention == nil {
		return defaultRetention
	}
	return d.Retention()
}

// read returns the record of a claim, with stateAbsent where there is none.
func (d *Desk) read(ctx context.Context, name string) (stored, error) {
	ctx, cancel := d.bounded(ctx)
	defer cancel()
	r, err := d.Table.Get(ctx, Kind, name)
	if errors.Is(err, table.ErrAbsent) {
		d.note(nil)
		return stored{record: record{State: stateAbsent}}, nil
	}
	d.note(err)
	if err != nil {
		return stored{}, err
	}
	s := stored{token: r.Token, expires: r.ExpiresAt}
	if err := msgpack.Unmarshal(r.Body, &s.record); err != nil {
		return stored{}, errors.Wrapf(err, "claim %q", name)
	}
	return s, nil
}

// expired tells whether a record may be removed or claimed anew.
func (s stored) expired(wall clock.Millis) bool {
	return s.expires > 0 && wall > s.expires+maxClockDifference
}

// bounded gives a call to a store its own time. The end of the caller's
// connection does not end the call, which would only make its outcome unsure.
func (d *Desk) bounded(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.WithoutCancel(ctx), orElse(d.StoreTimeout, defaultStoreTimeout).Duration())
}

// condition is that the record is still the one that was read.
func (s stored) condition() table.Condition {
	if s.token == "" {
		return table.IfAbsent()
	}
	return table.IfToken(s.token)
}

// withOutcome returns the record with a response. A large body goes to the
// object store first, so that the record never names an object that is missing.
func (d *Desk) withOutcome(ctx context.Context, r record, token string, answer Response, kept bool) (record, error) {
	r.Status = answer.Status
	r.Headers = answer.Headers
	r.NotKept = !kept
	if len(answer.Body) <= orElse(d.InlineBytes, defaultInlineBytes) {
		r.Body = answer.Body
		return r, nil
	}
	body, err := msgpack.Marshal(envelope{Token: token, Body: answer.Body})
	if err != nil {
		return r, err
	}
	ctx, cancel := d.bounded(ctx)
	defer cancel()
	r.Object = object.Name(body)
	return r, d.Objects.Put(ctx, r.Object, body)
}

// response reads the recorded answer.
func (d *Desk) response(ctx context.Context, r record) (Response, error) {
	answer := Response{Status: r.Status, Headers: r.Headers, Body: r.Body}
	if r.NotKept {
		return answer, errors.New("the answer was too large to keep")
	}
	if r.Object == "" {
		return answer, nil
	}
	ctx, cancel := d.bounded(ctx)
	defer cancel()
	body, err := d.Objects.Get(ctx, r.Object)
	if err != nil {
		return answer, err
	}
	var e envelope
	if err := msgpack.Unmarshal(body, &e); err != nil {
		return answer, err
	}
	answer.Body = e.Body
	return answer, nil
}
