package accept

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/cockroachdb/errors"

	"siskinsaddle/internal/plat/table"
)

// historyName sorts by number.
func historyName(number int64) string {
	return fmt.Sprintf("%019d", number)
}

// keepHistory writes the record of an ended generation aside. It is called
// before the next one is staged, so none goes missing.
func (p Platform) keepHistory(ctx context.Context, r Record) error {
	body, err := json.Marshal(r)
	if err != nil {
		return errors.Wrap(err, "writing the manifest's history")
	}
	ctx, cancel := within(ctx, p.Clock, platformWait)
	defer cancel()
	err = p.put(ctx, table.Record{Kind: historyKind, Name: historyName(r.Number), Token: table.NewToken(), Body: body}, "")
	if errors.Is(err, table.ErrConflict) {
		return nil // an earlier push wrote the same
	}
	return err
}

// History returns the records of the last generations, the latest last. Those
// that were aborted are among them.
func (p Platform) History(ctx context.Context) ([]Record, error) {
	all, err := p.history(ctx)
	if err != nil {
		return nil, err
	}
	now, err := p.Read(ctx)
	if err != nil {
		return nil, err
	}
	if now.Number > 0 && (len(all) == 0 || all[len(all)-1].Number < now.Number) {
		all = append(all, now)
	}
	return all, nil
}

func (p Platform) history(ctx context.Context) ([]Record, error) {
	var all []Record
	for after := ""; ; {
		page, err := p.historyPage(ctx, after)
		if err != nil {
			return nil, err
		}
		for _, raw := range page.Records {
			r, err := decodeRecord(raw.Body)
			if err != nil {
				return nil, err
			}
			all = append(all, r)
		}
		if page.Next == "" {
			return all, nil
		}
		after = page.Next
	}
}

const (
	historyPageSize = 200
	// historyKept is how many ended generations are kept.
	historyKept = 500
	// trimBatch bounds how many are removed after one push.
	trimBatch = 10
)

func (p Platform) historyPage(ctx context.Context, after string) (table.Page, error) {
	ctx, cancel := within(ctx, p.Clock, platformWait)
	defer cancel()
	return p.Table.List(ctx, historyKind, after, historyPageSize)
}

// historyOf returns the record of a generation that is no longer the current
// one.
func (p Platform) historyOf(ctx context.Context, number int64) (Record, bool, error) {
	ctx, cancel := within(ctx, p.Clock, platformWait)
	defer cancel()
	raw, err := p.Table.Get(ctx, historyKind, historyName(number))
	if errors.Is(err, table.ErrAbsent) {
		return Record{}, false, nil
	}
	if err != nil {
		return Record{}, false, err
	}
	r, err := decodeRecord(raw.Body)
	return r, err == nil, err
}

// trimHistory removes the oldest generations beyond historyKept, and their
// bodies where no later generation has the same.
func (p Platform) trimHistory(ctx context.Context) error {
	all, err := p.history(ctx)
	if err != nil || len(all) <= historyKept {
		return err
	}
	current, err := p.Read(ctx)
	if err != nil {
		return err
	}
	old := all[:min(len(all)-historyKept, trimBatch)]
	used := map[string]bool{current.Body.Object: true, current.Previous.Body.Object: true}
	for _, r := range all[len(old):] {
		used[r.Body.Object] = true
	}
	for _, r := range old {
		if err := p.remove(ctx, r, !used[r.Body.Object]); err != nil {
			return err
		}
	}
	return nil
}

func (p Platform) remove(ctx context.Context, r Record, withBody bool) error {
	ctx, cancel := within(ctx, p.Clock, platformWait)
	defer cancel()
	if withBody {
		if err := p.Objects.Delete(ctx, r.Body.Object); err != nil {
			return err
		}
	}
	return p.Table.Delete(ctx, historyKind, historyName(r.Number), table.Condition{})
}
