package accept

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/cockroachdb/errors"

	"siskinsaddle/internal/plat/table"
)

// historyKey zero-pads the number, so that keys sort by number.
func historyKey(number int64) string {
	return fmt.Sprintf("%019d", number)
}

// writeHistory copies the record of a finished generation to the history. It is
// called before the next one is staged, so that no record is lost.
func (p Platform) writeHistory(ctx context.Context, r Record) error {
	body, err := json.Marshal(r)
	if err != nil {
		return errors.Wrap(err, "encoding the manifest history record")
	}
	ctx, cancel := withTimeout(ctx, p.Clock, platformTimeout)
	defer cancel()
	err = p.put(ctx, table.Record{Kind: historyKind, Name: historyKey(r.Number), Token: table.NewToken(), Body: body}, "")
	if errors.Is(err, table.ErrConflict) {
		return nil // an earlier push wrote the same
	}
	return err
}

// History returns the records of the last generations, the latest last. They
// include aborted ones and the current record, which may still be staged.
func (p Platform) History(ctx context.Context) ([]Record, error) {
	all, err := p.history(ctx)
	if err != nil {
		return nil, err
	}
	latest, err := p.Read(ctx)
	if err != nil {
		return nil, err
	}
	if latest.Number > 0 && (len(all) == 0 || all[len(all)-1].Number < latest.Number) {
		all = append(all, latest)
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
	// historyLimit is how many finished generations are kept.
	historyLimit = 500
	// trimBatch is the most generations removed after one push.
	trimBatch = 10
)

func (p Platform) historyPage(ctx context.Context, after string) (table.Page, error) {
	ctx, cancel := withTimeout(ctx, p.Clock, platformTimeout)
	defer cancel()
	return p.Table.List(ctx, historyKind, after, historyPageSize)
}

// historyRecord returns the record of a generation that is no longer the current
// one.
func (p Platform) historyRecord(ctx context.Context, number int64) (Record, bool, error) {
	ctx, cancel := withTimeout(ctx, p.Clock, platformTimeout)
	defer cancel()
	raw, err := p.Table.Get(ctx, historyKind, historyKey(number))
	if errors.Is(err, table.ErrNotFound) {
		return Record{}, false, nil
	}
	if err != nil {
		return Record{}, false, err
	}
	r, err := decodeRecord(raw.Body)
	return r, err == nil, err
}

// trimHistory removes the oldest generations beyond historyLimit, and their
// bodies unless a later generation uses the same body.
func (p Platform) trimHistory(ctx context.Context) error {
	all, err := p.history(ctx)
	if err != nil || len(all) <= historyLimit {
		return err
	}
	current, err := p.Read(ctx)
	if err != nil {
		return err
	}
	old := all[:min(len(all)-historyLimit, trimBatch)]
	used := map[string]bool{current.Body.Object: true, current.Previous.Body.Object: true}
	for _, r := range all[len(old):] {
		used[r.Body.Object] = true
	}
	for _, r := range old {
		if err := p.removeGeneration(ctx, r, !used[r.Body.Object]); err != nil {
			return err
		}
	}
	return nil
}

func (p Platform) removeGeneration(ctx context.Context, r Record, withBody bool) error {
	ctx, cancel := withTimeout(ctx, p.Clock, platformTimeout)
	defer cancel()
	if withBody {
		if err := p.Objects.Delete(ctx, r.Body.Object); err != nil {
			return err
		}
	}
	return p.Table.Delete(ctx, historyKind, historyKey(r.Number), table.Condition{})
}
