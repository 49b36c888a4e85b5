package claim

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"siskinsaddle/internal/plat/table"
)

// RemoveExpired reads one page of up to limit claims, removes the expired ones with
// their objects, and returns how many it removed. The next call continues after
// the page, and starts over after the last one.
func (m *Manager) RemoveExpired(ctx context.Context, limit int) (int, error) {
	m.mu.Lock()
	after := m.sweepCursor
	m.mu.Unlock()
	page, err := m.Table.List(ctx, Kind, after, limit)
	if err != nil {
		return 0, err
	}
	removed := 0
	for _, r := range page.Records {
		done, err := m.removeExpired(ctx, r)
		if err != nil {
			return removed, err
		}
		if done {
			removed++
		}
	}
	m.mu.Lock()
	m.sweepCursor = page.Next
	m.mu.Unlock()
	return removed, nil
}

// removeExpired removes an expired record unless it was rewritten since it was
// listed. The object is removed after the record, so that no record names a
// missing object.
func (m *Manager) removeExpired(ctx context.Context, r table.Record) (bool, error) {
	s := stored{token: r.Token, expires: r.ExpiresAt}
	if !s.expired(m.Clock.Wall()) {
		return false, nil
	}
	err := m.Table.Delete(ctx, r.Kind, r.Name, table.IfToken(r.Token))
	if errors.Is(err, table.ErrConflict) {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	if err := msgpack.Unmarshal(r.Body, &s.record); err == nil && s.Object != "" {
		return true, m.Objects.Delete(ctx, s.Object)
	}
	return true, nil
}
