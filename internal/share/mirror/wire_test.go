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

// lone is a host without links, and its store.
func lone() (*Brief, *memdb.Shelf) {
	clk := clock.System()
	l := logs.Limit(logs.Discard(), clk, nil)
	s := memdb.New(clk)
	n := &watch.News{
		Store: s.For("host"), Clock: clk, Log: l, ConfirmEvery: 50,
		Source: watch.Source{
			ManifestRange: rows.Range{Table: "op"},
			ServersRange:  rows.Range{Table: "servers"},
			Manifest:      func([]rows.Row) (*route.Manifest, error) { return route.NewManifest(route.Parts{Version: 1}), nil },
			Server:        func(r rows.Row) (fleet.Server, error) { return fleet.Server{ID: r.Key}, nil },
		},
	}
	return &Brief{Self: "host", Crew: &member.Crew{Clock: clk, Log: l}, News: n, Clock: clk, Log: l, Apply: 60_000, resting: map[string]rest{}}, s
}

func asked(c *qt.C, b *Brief, m askMessage) answer {
	encoded, err := link.Encode(m)
	c.Assert(err, qt.IsNil)
	got, err := b.handleAsk(context.Background(), link.Peer{Name: "other"}, encoded)
	c.Assert(err, qt.IsNil)
	return got.(answer)
}

// Hosts that follow one another in a circle would all believe that their news
// are fresh until they are too old for all at once.
func TestAHostThatWasVouchedForIsNoReader(t *testing.T) {
	c := qt.New(t)
	b, _ := lone()
	b.News.Adopt(watch.View{Servers: []fleet.Server{{ID: "a"}}, ServersKnown: true, ServersRow: 5}, b.Clock.Boot())
	got := asked(c, b, askMessage{Edition: b.News.ViewID()})
	c.Assert(got.Known, qt.IsTrue)
	c.Assert(got.Direct, qt.IsFalse)

	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go b.News.Run(ctx)
	for !asked(c, b, askMessage{}).Direct {
		<-b.Clock.After(1)
	}
}

// What is missing on the reader is dropped by its followers at the same time,
// also when they lose the reader before.
func TestAMissingServerIsDroppedByAFollower(t *testing.T) {
	c := qt.New(t)
	reader, _ := lone()
	now := reader.Clock.Boot()
	reader.News.Adopt(watch.View{
		Servers: []fleet.Server{{ID: "a"}, {ID: "b"}}, ServersKnown: true, ServersRow: 5,
		Missing: map[string]clock.Millis{"b": now + 300},
	}, now)
	follower, _ := lone()
	sent := follower.Clock.Boot()
	c.Assert(follower.take("reader", sent, asked(c, reader, askMessage{})), qt.IsNil)
	c.Assert(follower.News.View().Servers, qt.HasLen, 2)
	for len(follower.News.View().Servers) > 1 {
		<-follower.Clock.After(1)
	}
	c.Assert(follower.News.View().Servers[0].ID, qt.Equals, "a")
}
