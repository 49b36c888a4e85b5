package amazon_test

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"siskinsaddle/internal/fakes/cloud"
	"siskinsaddle/internal/fakes/hangup"
	"siskinsaddle/internal/plat/amazon"
	"siskinsaddle/internal/plat/disco"
	"siskinsaddle/internal/plat/object"
	"siskinsaddle/internal/plat/table"
)

var ctx = context.Background()

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	flag.Parse()
	os.Exit(m.Run())
}

func start(c *qt.C) (*cloud.Cloud, amazon.Settings) {
	p := &cloud.Cloud{}
	c.Assert(p.Start(), qt.IsNil)
	c.Cleanup(p.Stop)
	url := "http://" + p.Address()
	return p, amazon.Settings{
		TableEndpoint: url, ObjectEndpoint: url, Region: "local", AccessKey: "key", SecretKey: "secret",
		Table: "records", Bucket: "bodies", DialTimeout: 1_000, Timeout: 20_000,
	}
}

// Guards the mapping of platform faults to errors: each fault gives one error for a
// write and one for a read, and a later read shows whether the write took effect.
func TestFaultsMapToErrors(t *testing.T) {
	cases := []struct {
		name    string
		faults  cloud.Faults
		write   error
		read    error
		written bool
	}{
		{"None", cloud.Faults{}, nil, nil, true},
		{"Down", cloud.Faults{Down: true}, table.ErrOutcomeUnknown, table.ErrUnavailable, false},
		{"Throttled", cloud.Faults{Throttle: true}, table.ErrThrottled, table.ErrThrottled, false},
		{"LostRequest", cloud.Faults{LoseRequestsBeforeWrite: 1}, table.ErrOutcomeUnknown, nil, false},
		{"LostAnswer", cloud.Faults{LoseAnswersAfterWrite: 1}, table.ErrOutcomeUnknown, nil, true},
		{"Slow", cloud.Faults{SlowMilliseconds: 300}, table.ErrOutcomeUnknown, table.ErrUnavailable, true},
	}
	for _, k := range cases {
		t.Run(k.name, func(t *testing.T) {
			c := qt.New(t)
			p, settings := start(c)
			longTimeout := amazon.NewTable(settings)
			if k.name == "Slow" {
				settings.Timeout = 50
			}
			s := amazon.NewTable(settings)
			c.Assert(longTimeout.Put(ctx, table.Record{Kind: "K", Name: "old", Token: "0"}, table.IfAbsent()), qt.IsNil)
			p.SetFaults(k.faults)
			checkError(c, s.Put(ctx, table.Record{Kind: "K", Name: "new", Token: "1"}, table.IfAbsent()), k.write)
			_, err := s.Get(ctx, "K", "old")
			checkError(c, err, k.read)
			p.SetFaults(cloud.Faults{SlowMilliseconds: k.faults.SlowMilliseconds})
			_, err = longTimeout.Get(ctx, "K", "new")
			c.Assert(err == nil, qt.Equals, k.written)
			c.Assert(p.Counts().TableWrites <= 2, qt.IsTrue)
		})
	}
}

// checkError fails the test unless err is or wraps want.
func checkError(c *qt.C, err, want error) {
	if want == nil {
		c.Assert(err, qt.IsNil)
		return
	}
	c.Assert(errors.Is(err, want), qt.IsTrue, qt.Commentf("%v instead of %v", err, want))
}

// The empty body of such a response would be that of a record that does not exist.
func TestBrokenResponseSaysNothingAboutRecords(t *testing.T) {
	const end = "Content-Length: 2\r\n\r\n{}"
	for name, text := range map[string]string{
		"status 000":           "HTTP/1.1 000 OK\r\n" + end,
		"a blank in a name":    "HTTP/1.1 200 OK\r\nX Note: odd\r\n" + end,
		"a folded line":        "HTTP/1.1 200 OK\r\nX-Note: odd\r\n folded\r\n" + end,
		"a line without CR":    "HTTP/1.1 200 OK\n" + end,
		"a control byte":       "HTTP/1.1 200 O\x01K\r\n" + end,
		"a length and chunks":  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 2\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
		"a broken last chunk":  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0 \r\n\r\n",
		"a broken trailer":     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\nX Note: odd\r\n\r\n",
		"a chunk with a blank": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2 \r\n{}\r\n0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			s := &hangup.Server{}
			c.Assert(s.Start(), qt.IsNil)
			defer s.Stop()
			s.SetResponse(text)
			_, settings := start(c)
			settings.TableEndpoint = "http://" + s.Address()
			store := amazon.NewTable(settings)
			_, err := store.Get(ctx, "K", "n")
			checkError(c, err, table.ErrUnavailable)
			checkError(c, store.Put(ctx, table.Record{Kind: "K", Name: "n", Token: "1"}, table.IfAbsent()), table.ErrOutcomeUnknown)
		})
	}
}

func TestRefusedConnectionWritesNothing(t *testing.T) {
	c := qt.New(t)
	p, settings := start(c)
	p.Stop()
	checkError(c, amazon.NewTable(settings).Put(ctx, table.Record{Kind: "K", Name: "n", Token: "1"}, table.IfAbsent()), table.ErrUnavailable)
	checkError(c, amazon.NewObjects(settings).Put(ctx, "n", []byte("body")), object.ErrUnavailable)
	_, err := disco.NewHTTP(p.Address(), 1_000, nil).Read(ctx)
	checkError(c, err, disco.ErrUnavailable)
}

// Random calls give the same results from the service over real sockets as from the
// in-memory store.
func TestTableMatchesMemoryStore(t *testing.T) {
	p, settings := start(qt.New(t))
	run := 0
	rapid.Check(t, func(t *rapid.T) {
		run++
		settings.Table = fmt.Sprint("records-", run)
		store := amazon.NewTable(settings)
		model := table.NewMemory()
		names := rapid.SampledFrom([]string{"a", "b", "c/d", "é"})
		tokens := rapid.SampledFrom([]string{"1", "2", "3"})
		condition := rapid.SampledFrom([]table.Condition{{}, table.IfAbsent(), table.IfToken("1"), table.IfToken("2")})
		t.Repeat(map[string]func(*rapid.T){
			"Put": func(t *rapid.T) {
				r := table.Record{Kind: "K", Name: names.Draw(t, "name"), Token: tokens.Draw(t, "token"), Body: []byte{1, 2}, ExpiresAt: 1_500}
				c := condition.Draw(t, "condition")
				requireSameError(t, store.Put(ctx, r, c), model.Put(ctx, r, c))
			},
			"Delete": func(t *rapid.T) {
				name, c := names.Draw(t, "name"), condition.Draw(t, "condition")
				requireSameError(t, store.Delete(ctx, "K", name, c), model.Delete(ctx, "K", name, c))
			},
			"": func(t *rapid.T) {
				after := rapid.SampledFrom([]string{"", "a", "c"}).Draw(t, "after")
				got, err := store.List(ctx, "K", after, 2)
				requireSameError(t, err, nil)
				want, _ := model.List(ctx, "K", after, 2)
				if fmt.Sprint(got) != fmt.Sprint(want) {
					t.Fatalf("after %q: %v instead of %v", after, got, want)
				}
			},
		})
	})
	qt.Assert(t, p.Counts().TableWrites > 0, qt.IsTrue)
}

// requireSameError fails the test unless got is or wraps want.
func requireSameError(t *rapid.T, got, want error) {
	if (got == nil) != (want == nil) || (want != nil && !errors.Is(got, want)) {
		t.Fatalf("%v instead of %v", got, want)
	}
}

func TestObjectStoreAndMachineList(t *testing.T) {
	c := qt.New(t)
	p, settings := start(c)
	s := amazon.NewObjects(settings)
	body := []byte("a body")
	name := object.Name(body)
	_, err := s.Get(ctx, name)
	checkError(c, err, object.ErrNotFound)
	c.Assert(s.Put(ctx, name, body), qt.IsNil)
	c.Assert(s.Put(ctx, name, body), qt.IsNil)
	got, err := s.Get(ctx, name)
	c.Assert(err, qt.IsNil)
	c.Assert(string(got), qt.Equals, "a body")
	c.Assert(s.Put(ctx, name, []byte("another")), qt.IsNil)
	_, err = s.Get(ctx, name)
	checkError(c, err, object.ErrCorrupt)
	c.Assert(s.Delete(ctx, name), qt.IsNil)

	entry := disco.Entry{Name: "host-1", Kind: disco.KindHost, FailureDomain: "prairie-a", Address: "127.0.0.1:1", State: disco.StateLive}
	p.SetEntry(entry)
	entries, err := disco.NewHTTP(p.Address(), 10_000, nil).Read(ctx)
	c.Assert(err, qt.IsNil)
	c.Assert(entries, qt.DeepEquals, []disco.Entry{entry})
}

// BenchmarkCalls measures single writes and reads over loopback, with the stand-in
// in the same process.
func BenchmarkCalls(b *testing.B) {
	_, settings := start(qt.New(b))
	s := amazon.NewTable(settings)
	r := table.Record{Kind: "K", Name: "n", Token: table.NewToken(), Body: make([]byte, 200)}
	qt.Assert(b, s.Put(ctx, r, table.Condition{}), qt.IsNil)
	b.Run("Put", func(b *testing.B) {
		for b.Loop() {
			qt.Assert(b, s.Put(ctx, r, table.Condition{}), qt.IsNil)
		}
	})
	b.Run("Get", func(b *testing.B) {
		for b.Loop() {
			_, err := s.Get(ctx, "K", "n")
			qt.Assert(b, err, qt.IsNil)
		}
	})
}
