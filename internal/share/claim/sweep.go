package claim

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"siskinsaddle/internal/plat/table"
)

// Sweep reads one page of up to limit claims and removes those that have
// expired, with their objects. The next call goes on after the page, and starts
// again at the end. It returns how many were removed.
func (d *Desk) Sweep(ctx context.Context, limit int) (int, error) {
	d.mu.Lock()
	after := d.cursor
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
	d.cursor = page.Next
	d.mu.Unlock()
	return removed, nil
}

// removeExpired removes a record unless it has been written since it was
// listed. The object goes after the record, which may otherwise name nothing.
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
