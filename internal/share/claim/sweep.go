package claim

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"siskinsaddle/internal/plat/table"
)

// Sweep reads one page of up to limit claims, removes the expired ones with
// their objects, and returns how many it removed. The next call continues after
// the page, and starts over after the last one.
func (d *Desk) Sweep(ctx context.Context, limit int) (int, error) {
	d.mu.Lock()
	after := d.sweepCursor
	d.mu.Unlock()
	page, err := d.Table.List(ctx, Kind, after, limit)
	if err != nil {
		return 0, err
	}
	removed := 0
	for _, r := range page.Records {
		done, err := d.removeExpired(ctx, r)
		if err != nil {
			return removed, err
		}
		if done {
			removed++
		}
	}
	d.mu.Lock()
	d.sweepCursor = page.Next
	d.mu.Unlock()
	return removed, nil
}

// removeExpired removes an expired record unless it was rewritten since it was
// listed. The object is removed after the record, so that no record names a
// missing object.
func (d *Desk) removeExpired(ctx context.Context, r table.Record) (bool, error) {
	s := stored{token: r.Token, expires: r.ExpiresAt}
	if !s.expired(d.Clock.Wall()) {
		return false, nil
	}
	err := d.Table.Delete(ctx, r.Kind, r.Name, table.IfToken(r.Token))
	if errors.Is(err, table.ErrConflict) {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	if err := msgpack.Unmarshal(r.Body, &s.record); err == nil && s.Object != "" {
		return true, d.Objects.Delete(ctx, s.Object)
	}
	return true, nil
}
