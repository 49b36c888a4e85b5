package rows_test

import (
	"context"
	"testing"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/plat/rows"
)

func TestEachCallIsObserved(t *testing.T) {
	c := qt.New(t)
	broken := errors.New("broken")
	s := rows.Store{
		Read:   func(context.Context, rows.Range) (rows.Reply, error) { return rows.Reply{Version: 3}, nil },
		Watch:  func(context.Context, string, int64, clock.Millis) (rows.Reply, error) { return rows.Reply{}, broken },
		Commit: func(context.Context, rows.Change) (rows.Reply, error) { return rows.Reply{Version: 4}, nil },
	}
	observed := map[rows.Call]error{}
	s = s.WithObserver(clock.System(), func(call rows.Call, took clock.Millis, err error) {
		c.Check(took >= 0, qt.IsTrue)
		observed[call] = err
	})
	reply, err := s.Read(context.Background(), rows.Range{})
	c.Assert(err, qt.IsNil)
	c.Assert(reply.Version, qt.Equals, int64(3))
	_, err = s.Watch(context.Background(), "t", 0, 0)
	c.Assert(err, qt.Equals, broken)
	_, err = s.Commit(context.Background(), rows.Change{})
	c.Assert(err, qt.IsNil)
	c.Assert(observed, qt.HasLen, 3)
	c.Assert(observed[rows.CallWatch], qt.Equals, broken)
}
