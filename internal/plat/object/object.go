// Package object is the interface to the platform's object store: large immutable
// bodies, each named by the SHA-256 of its content.
//
// # Usage
//
//	s := object.NewMemory()
//	name := object.Name(body)
//	err := s.Put(ctx, name, body) // idempotent
//	body, err = s.Get(ctx, name)  // ErrNotFound, or ErrCorrupt if the hash does not match
package object

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"sync"

	"github.com/cockroachdb/errors"
)

// Errors returned by a Store.
var (
	ErrNotFound    = errors.New("the object does not exist")
	ErrCorrupt     = errors.New("the object's content does not match its name")
	ErrUnavailable = errors.New("the object store is not reachable")
)

// Store is an object store. Put is idempotent, since a body determines its name.
type Store struct {
	Put    func(ctx context.Context, name string, body []byte) error
	Get    func(ctx context.Context, name string) ([]byte, error)
	Delete func(ctx context.Context, name string) error
}

// Name returns the name of a body: its SHA-256 in hexadecimal.
func Name(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

type memory struct {
	mu     sync.Mutex
	bodies map[string][]byte
}

// NewMemory returns a Store that keeps its bodies in the process.
func NewMemory() Store {
	m := &memory{bodies: map[string][]byte{}}
	return Store{Put: m.put, Get: m.get, Delete: m.remove}
}

func (m *memory) put(_ context.Context, name string, body []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.bodies[name] = append([]byte(nil), body...)
	return nil
}

func (m *memory) get(_ context.Context, name string) ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	body, ok := m.bodies[name]
	if !ok {
		return nil, ErrNotFound
	}
	if Name(body) != name {
		return nil, ErrCorrupt
	}
	return append([]byte(nil), body...), nil
}

func (m *memory) remove(_ context.Context, name string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.bodies, name)
	return nil
}
