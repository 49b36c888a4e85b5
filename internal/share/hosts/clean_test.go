package hosts

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/base/logs"
	"siskinsaddle/internal/plat/disco"
	"siskinsaddle/internal/plat/table"
)

// The registration of a host that is only cut off stays: the platform lists
// it, or the list cannot be read.
func TestCleanLeavesListedHosts(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	self := Host{Name: "host-1", FailureDomain: "prairie-a"}
	lost := Host{Name: "host-2", FailureDomain: "prairie-a", State: StateDead}
	store := table.NewMemory()
	kind := registrationKind("prairie-a")
	c.Assert(store.Put(ctx, table.Record{Kind: kind, Name: lost.Name, Token: "t"}, table.IfAbsent()), qt.IsNil)
	var entries []disco.Entry
	var unread error
	n := &Node{
		Self:  self,
		Table: store,
		List:  disco.List{Read: func(context.Context) ([]disco.Entry, error) { return entries, unread }},
		Clock: clock.NewManual(staleAfter + 1).Clock(),
		Log:   logs.Discard(),
	}
	n.core = newCore(self, DefaultTiming())
	n.core.members[lost.Name] = &member{Host: lost}
	view := NewView(1, self)
	n.view.Store(&view)
	registered := func() bool {
		n.clean(ctx, []registered{{host: lost, token: "t"}})
		_, err := store.Get(ctx, kind, lost.Name)
		return err == nil
	}
	entries = []disco.Entry{{Name: lost.Name, Kind: disco.KindHost}}
	c.Assert(registered(), qt.IsTrue, qt.Commentf("it is listed"))
	entries, unread = nil, context.DeadlineExceeded
	c.Assert(registered(), qt.IsTrue, qt.Commentf("the list cannot be read"))
	unread = nil
	c.Assert(registered(), qt.IsFalse)
}
