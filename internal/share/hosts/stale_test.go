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

// Guards against removing the registration of a host that is only partitioned from
// this one: it is kept while the platform lists the host or the list cannot be read.
func TestStaleRegistrationOfListedHostIsKept(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	self := Host{Name: "host-1", FailureDomain: "prairie-a"}
	dead := Host{Name: "host-2", FailureDomain: "prairie-a", State: StateDead}
	store := table.NewMemory()
	kind := registrationKind("prairie-a")
	c.Assert(store.Put(
		ctx, table.Record{Kind: kind, Name: dead.Name, Token: "t"}, table.IfAbsent(),
	), qt.IsNil)
	var entries []disco.Entry
	var listErr error
	n := &Node{
		Self:  self,
		Table: store,
		List:  disco.List{Read: func(context.Context) ([]disco.Entry, error) { return entries, listErr }},
		Clock: clock.NewManual(staleAfter + 1).Clock(),
		Log:   logs.Discard(),
	}
	n.core = newCore(self, DefaultTiming())
	n.core.members[dead.Name] = &member{Host: dead}
	view := NewView(1, self)
	n.view.Store(&view)
	registered := func() bool {
		n.removeStale(ctx, []registered{{host: dead, token: "t"}})
		_, err := store.Get(ctx, kind, dead.Name)
		return err == nil
	}
	entries = []disco.Entry{{Name: dead.Name, Kind: disco.KindHost}}
	c.Assert(registered(), qt.IsTrue, qt.Commentf("host is listed"))
	entries, listErr = nil, context.DeadlineExceeded
	c.Assert(registered(), qt.IsTrue, qt.Commentf("list cannot be read"))
	listErr = nil
	c.Assert(registered(), qt.IsFalse)
}
