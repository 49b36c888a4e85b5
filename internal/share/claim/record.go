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

// maxClockSkew is added to the expiry time of a record, since each host compares
// it with its own wall clock. In milliseconds.
const maxClockSkew = clock.Minute

// record is the encoded body of a claim in the table.
type record struct {
	State       chart.State
	Owner       string
	Incarnation uint64
	Fence       uint64
	Hash        []byte
	Status      int      `msgpack:",omitempty"`
	Headers     []Header `msgpack:",omitempty"`
	Body        []byte   `msgpack:",omitempty"`
	// Object is the name of the envelope in the object store that holds the body.
	Object string `msgpack:",omitempty"`
	// NotKept reports whether the response body was dropped because the host
	// already held MaxHeldBytes.
	NotKept bool `msgpack:",omitempty"`
}

// stored is a record with its token and expiry time in the table.
type stored struct {
	record
	token   string
	expires clock.Millis
}

// envelope is the object that holds a large body. Objects are named by their
// content, so the token makes the name unique to one claim, and removing the
// object affects no other claim.
type envelope struct {
	Token string
	Body  []byte
}

// recordName returns the name of a request's record. The key is hashed because a
// caller may choose one longer than the table's limit.
func recordName(r Request) string {
	sum := sha256.Sum256([]byte(r.Key))
	return r.Workspace + "/" + r.Service + "/" + hex.EncodeToString(sum[:])
}

// put writes a record under a token chosen by the caller, so that a retry after
// a lost answer carries the same token.
func (m *Manager) put(ctx context.Context, name, token string, r record, c table.Condition) error {
	body, err := msgpack.Marshal(r)
	if err != nil {
		return errors.Wrapf(err, "encoding record of claim %q", name)
	}
	ctx, cancel := m.withStoreTimeout(ctx)
	defer cancel()
	err = m.Table.Put(ctx, table.Record{
		Kind:      Kind,
		Name:      name,
		Token:     token,
		Body:      body,
		ExpiresAt: m.Clock.Wall() + m.retention(),
	}, c)
	m.recordStoreResult(err)
	return err
}

func (m *Manager) retention() clock.Millis {
	if m.Retention == nil {
		return defaultRetention
	}
	return m.Retention()
}

// read returns the record of a claim, in stateAbsent if there is none.
func (m *Manager) read(ctx context.Context, name string) (stored, error) {
	ctx, cancel := m.withStoreTimeout(ctx)
	defer cancel()
	r, err := m.Table.Get(ctx, Kind, name)
	if errors.Is(err, table.ErrNotFound) {
		m.recordStoreResult(nil)
		return stored{record: record{State: stateAbsent}}, nil
	}
	m.recordStoreResult(err)
	if err != nil {
		return stored{}, err
	}
	s := stored{token: r.Token, expires: r.ExpiresAt}
	if err := msgpack.Unmarshal(r.Body, &s.record); err != nil {
		return stored{}, errors.Wrapf(err, "decoding record of claim %q", name)
	}
	return s, nil
}

// expired reports whether a record may be removed or claimed again.
func (s stored) expired(wall clock.Millis) bool {
	return s.expires > 0 && wall > s.expires+maxClockSkew
}

// withStoreTimeout returns the context for a store call, bounded by StoreTimeout.
// Cancellation of the caller's context does not abort the call, since that would
// only leave the outcome of the write unknown.
func (m *Manager) withStoreTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(
		context.WithoutCancel(ctx), orDefault(m.StoreTimeout, defaultStoreTimeout).Duration(),
	)
}

// condition requires that the record is still the one that was read.
func (s stored) condition() table.Condition {
	if s.token == "" {
		return table.IfAbsent()
	}
	return table.IfToken(s.token)
}

// withResponse adds a response to the record. A body larger than InlineBytes is
// written to the object store first, so the record never names a missing object.
func (m *Manager) withResponse(
	ctx context.Context, r record, token string, answer Response, bodyKept bool,
) (record, error) {
	r.Status = answer.Status
	r.Headers = answer.Headers
	r.NotKept = !bodyKept
	if len(answer.Body) <= orDefault(m.InlineBytes, defaultInlineBytes) {
		r.Body = answer.Body
		return r, nil
	}
	body, err := msgpack.Marshal(envelope{Token: token, Body: answer.Body})
	if err != nil {
		return r, err
	}
	ctx, cancel := m.withStoreTimeout(ctx)
	defer cancel()
	r.Object = object.Name(body)
	return r, m.Objects.Put(ctx, r.Object, body)
}

// loadResponse returns the recorded response, reading its body from the object
// store if needed.
func (m *Manager) loadResponse(ctx context.Context, r record) (Response, error) {
	answer := Response{Status: r.Status, Headers: r.Headers, Body: r.Body}
	if r.NotKept {
		return answer, errors.New("response body was dropped: too many bytes held")
	}
	if r.Object == "" {
		return answer, nil
	}
	ctx, cancel := m.withStoreTimeout(ctx)
	defer cancel()
	body, err := m.Objects.Get(ctx, r.Object)
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
