// Package table is the interface to the platform's transactional table service:
// small records, each written conditionally and with a token unique to the write.
//
// Store is a struct of functions; supporting another platform takes one more
// constructor. NewMemory keeps records in the process, for tests and for the
// embedded defaults.
//
// A write whose response was lost returns ErrOutcomeUnknown. The writer then reads the
// record again and compares tokens: its own token means that the write took
// effect. A different token, or no record, does not prove that it failed: the
// write may still reach the service.
//
// # Usage
//
//	s := table.NewMemory()
//	r := table.Record{Kind: "Lease", Name: "canvas-llm/prairie-a", Token: table.NewToken(), Body: body}
//	err := s.Put(ctx, r, table.IfAbsent())
//	switch {
//	case errors.Is(err, table.ErrConflict):       // another writer's record exists
//	case errors.Is(err, table.ErrOutcomeUnknown): // read again and compare tokens
//	}
package table

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"sort"
	"sync"

	"github.com/cockroachdb/errors"

	"siskinsaddle/internal/base/clock"
)

// Errors returned by a Store. ErrUnavailable and ErrThrottled guarantee that
// nothing was written; after ErrOutcomeUnknown the write may or may not have taken
// effect.
var (
	ErrNotFound       = errors.New("the record does not exist")
	ErrConflict       = errors.New("the record does not meet the condition of the write")
	ErrOutcomeUnknown = errors.New("the response of the table service was lost")
	ErrUnavailable    = errors.New("the table service is not reachable")
	ErrThrottled      = errors.New("the table service throttled the request")
)

// Record is an entry of the table. Kind and Name are its key; List returns the
// records of one Kind.
type Record struct {
	Kind string
	Name string
	// Token is unique to the write that made this record.
	Token string
	// Body is the content, encoded by the package that owns the Kind.
	Body []byte
	// ExpiresAt is the Unix time in milliseconds after which the record may be
	// removed; 0 means never.
	ExpiresAt clock.Millis
}

// Condition is the precondition of a write. The zero Condition always holds.
type Condition struct {
	// Absent requires that no record has the key.
	Absent bool
	// Token requires that the record has this token; empty requires nothing.
	Token string
}

// IfAbsent returns the condition that no record has the key.
func IfAbsent() Condition { return Condition{Absent: true} }

// IfToken returns the condition that the record still has this token.
func IfToken(token string) Condition { return Condition{Token: token} }

// Page is one page of a listing. Next is the after argument for the next page,
// empty on the last one.
type Page struct {
	Records []Record
	Next    string
}

// Store is a table service. Reads are strongly consistent. Writes are never
// retried.
type Store struct {
	// Get returns ErrNotFound if the record does not exist.
	Get func(ctx context.Context, kind, name string) (Record, error)
	// Put writes a whole record.
	Put func(ctx context.Context, r Record, c Condition) error
	// Delete removes a record. Deleting an absent record without a condition
	// is not an error.
	Delete func(ctx context.Context, kind, name string, c Condition) error
	// List returns up to limit records of a kind whose names sort after the
	// given name, in order of name.
	List func(ctx context.Context, kind, after string, limit int) (Page, error)
}

// NewToken returns 128 random bits in hexadecimal.
func NewToken() string {
	var b [16]byte
	_, _ = rand.Read(b[:]) // documented never to fail
	return hex.EncodeToString(b[:])
}

type memory struct {
	mu      sync.Mutex
	records map[memoryKey]Record
}

type memoryKey struct {
	kind string
	name string
}

// NewMemory returns a Store that keeps its records in the process.
func NewMemory() Store {
	m := &memory{records: map[memoryKey]Record{}}
	return Store{Get: m.get, Put: m.put, Delete: m.remove, List: m.list}
}

func (m *memory) get(_ context.Context, kind, name string) (Record, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	r, ok := m.records[memoryKey{kind, name}]
	if !ok {
		return Record{}, ErrNotFound
	}
	return r, nil
}

func (m *memory) put(_ context.Context, r Record, c Condition) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	key := memoryKey{r.Kind, r.Name}
	if !m.holds(key, c) {
		return ErrConflict
	}
	m.records[key] = r
	return nil
}

func (m *memory) remove(_ context.Context, kind, name string, c Condition) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	key := memoryKey{kind, name}
	if !m.holds(key, c) {
		return ErrConflict
	}
	delete(m.records, key)
	return nil
}

// holds reports whether the stored record meets the condition. The caller holds mu.
func (m *memory) holds(key memoryKey, c Condition) bool {
	r, ok := m.records[key]
	if c.Absent {
		return !ok
	}
	return c.Token == "" || (ok && r.Token == c.Token)
}

func (m *memory) list(_ context.Context, kind, after string, limit int) (Page, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var page Page
	for key, r := range m.records {
		if key.kind == kind && key.name > after {
			page.Records = append(page.Records, r)
		}
	}
	sort.Slice(page.Records, func(i, j int) bool { return page.Records[i].Name < page.Records[j].Name })
	if len(page.Records) > limit {
		page.Records = page.Records[:limit]
		page.Next = page.Records[limit-1].Name
	}
	return page, nil
}
