// Package table is the platform's transactional table service as this program
// uses it: small records, each written under a condition and with a token that
// no other write carries.
//
// Store is a struct of functions, so that another platform is one more
// constructor. NewMemory keeps records in the process, for tests and for the
// embedded defaults.
//
// A write whose answer was lost returns ErrUnsure. The writer then reads the
// record again and compares tokens: its own token there means that the write
// took effect. A different token, or none, does not yet mean that it did not:
// the write may still arrive.
//
// # Usage
//
//	s := table.NewMemory()
//	r := table.Record{Kind: "Lease", Name: "canvas-llm/prairie-a", Token: table.NewToken(), Body: body}
//	err := s.Put(ctx, r, table.IfAbsent())
//	switch {
//	case errors.Is(err, table.ErrConflict): // somebody else's record stands
//	case errors.Is(err, table.ErrUnsure):   // read again and compare tokens
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

// The errors of a Store. ErrUnavailable and ErrThrottled promise that nothing
// was written; ErrUnsure promises nothing.
var (
	ErrAbsent      = errors.New("the record does not exist")
	ErrConflict    = errors.New("the record is not the one that the condition names")
	ErrUnsure      = errors.New("the answer of the table service was lost")
	ErrUnavailable = errors.New("the table service is not reachable")
	ErrThrottled   = errors.New("the table service limits the rate")
)

// Record is one record. Kind and Name are its key; records of one Kind can be
// listed together.
type Record struct {
	Kind string
	Name string
	// Token is unique to the write that made this record.
	Token string
	// Body is the typed content, encoded by its owner.
	Body []byte
	// ExpiresAt is Unix time in milliseconds after which the record may be
	// removed, 0 for never.
	ExpiresAt clock.Millis
}

// Condition is what has to hold for a write. The zero Condition always holds.
type Condition struct {
	// Absent wants that no record has the key.
	Absent bool
	// Token wants that the record has this token.
	Token string
}

// IfAbsent is the condition that no record has the key.
func IfAbsent() Condition { return Condition{Absent: true} }

// IfToken is the condition that the record still has this token.
func IfToken(token string) Condition { return Condition{Token: token} }

// Page is a part of a listing. Next is empty on the last page.
type Page struct {
	Records []Record
	Next    string
}

// Store is a table service. Reads are strongly consistent. No function resends
// a write.
type Store struct {
	// Get returns ErrAbsent where there is no record.
	Get func(ctx context.Context, kind, name string) (Record, error)
	// Put writes a whole record.
	Put func(ctx context.Context, r Record, c Condition) error
	// Delete removes a record. Removing an absent record under no condition
	// is no error.
	Delete func(ctx context.Context, kind, name string, c Condition) error
	// List returns up to limit records of a kind, by name, after a name.
	List func(ctx context.Context, kind, after string, limit int) (Page, error)
}

// NewToken returns 128 random bits in hexadecimal.
func NewToken() string {
	var b [16]byte
	_, _ = rand.Read(b[:]) // never fails, by the standard library's promise
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
		return Record{}, ErrAbsent
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
