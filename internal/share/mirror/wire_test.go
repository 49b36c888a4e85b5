package mirror

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/base/logs"
	"siskinsaddle/internal/fakes/memdb"
	"siskinsaddle/internal/plat/rows"
	"siskinsaddle/internal/policy/fleet"
	"siskinsaddle/internal/policy/route"
	"siskinsaddle/internal/share/link"
	"siskinsaddle/internal/share/member"
	"siskinsaddle/internal/share/watch"
)

// newUnlinkedHost returns a host without links, and its store.
func newUnlinkedHost() (*Mirror, *memdb.Store) {
	clk := clock.System()
	l := logs.Limit(logs.Discard(), clk, nil)
	s := memdb.New(clk)
	w := &watch.Watcher{
		Store: s.For("host"), Clock: clk, Log: l, ConfirmEvery: 50,
		Source: watch.Source{
			ManifestRange: rows.Range{Table: "op"},
			ServersRange:  rows.Range{Table: "servers"},
			Manifest:      func([]rows.Row) (*route.Manifest, error) { return route.NewManifest(route.Parts{Version: 1}), nil },
			Server:        func(r rows.Row) (fleet.Server, error) { return fleet.Server{ID: r.Key}, nil },
		},
	}
	return &Mirror{Self: "host", Members: &member.Registry{Clock: clk, Log: l}, Watcher: w, Clock: clk, Log: l, MaxApplyDelay: 60_000, backoffs: map[string]backoff{}}, s
}

func query(c *qt.C, m *Mirror, q queryMessage) reply {
	encoded, err := link.Encode(q)
	c.Assert(err, qt.IsNil)
	got, err := m.handleQuery(context.Background(), link.Peer{Name: "other"}, encoded)
	c.Assert(err, qt.IsNil)
	return got.(reply)
}

// Hosts that follow one another in a cycle would all treat their state as fresh until
// it is too old on all of them at once. So a host whose state comes from another host
// must not pass for a reader.
func TestHostWithoutOwnReadsIsNoReader(t *testing.T) {
	c := qt.New(t)
	m, _ := newUnlinkedHost()
	m.Watcher.Adopt(watch.View{Servers: []fleet.Server{{ID: "a"}}, ServersKnown: true, ServersRevision: rows.Revision{Version: 5}}, 0, m.Clock.Boot())
	got := query(c, m, queryMessage{ViewID: m.Watcher.ViewID()})
	c.Assert(got.Known, qt.IsTrue)
	c.Assert(got.Direct, qt.IsFalse)

	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go m.Watcher.Run(ctx)
	for !query(c, m, queryMessage{}).Direct {
		<-m.Clock.After(1)
	}
}

// A follower must drop a server without a record at the same time as the reader does,
// even if it has lost the connection to the reader by then.
func TestFollowerDropsMissingServer(t *testing.T) {
	c := qt.New(t)
	reader, _ := newUnlinkedHost()
	now := reader.Clock.Boot()
	reader.Watcher.Adopt(watch.View{
		Servers: []fleet.Server{{ID: "a"}, {ID: "b"}}, ServersKnown: true, ServersRevision: rows.Revision{Version: 5},
		Missing: map[string]clock.Millis{"b": now + 300},
	}, 0, now)
	follower, _ := newUnlinkedHost()
	sent := follower.Clock.Boot()
	c.Assert(follower.adopt("reader", sent, query(c, reader, queryMessage{})), qt.IsNil)
	c.Assert(follower.Watcher.View().Servers, qt.HasLen, 2)
	for len(follower.Watcher.View().Servers) > 1 {
		<-follower.Clock.After(1)
	}
	c.Assert(follower.Watcher.View().Servers[0].ID, qt.Equals, "a")
}
