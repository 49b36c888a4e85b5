package member_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/fakes/memdb"
	"siskinsaddle/internal/plat/rows"
	"siskinsaddle/internal/share/member"
)

// joinAndRun registers a host and runs its registry.
func joinAndRun(c *qt.C, r *member.Registry) []byte {
	ctx, cancel := context.WithCancel(context.Background())
	secret, _, err := r.Join(ctx)
	c.Assert(err, qt.IsNil)
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.Run(ctx)
	}()
	c.Cleanup(func() {
		cancel()
		<-done
	})
	return secret
}

// inTime waits until a condition holds and reports whether it does within three seconds.
func inTime(condition func() bool) bool {
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if condition() {
			return true
		}
	}
	return false
}

// values returns the rows of the table of hosts by their keys.
func values(c *qt.C, s *memdb.Store) map[string]string {
	reply, err := s.For("test").Read(context.Background(), rows.Range{Table: "hosts"})
	c.Assert(err, qt.IsNil)
	all := map[string]string{}
	for _, r := range reply.Rows {
		all[r.Key] = string(r.Value)
	}
	return all
}

func TestHostsRegisterAgainAfterRestore(t *testing.T) {
	c := qt.New(t)
	s := memdb.New(clock.System())
	one, two := newRegistry(s, "a"), newRegistry(s, "b")
	joinAndRun(c, one)
	old := s.Copy()
	joinAndRun(c, two)
	c.Assert(inTime(func() bool { return len(one.Members()) == 2 && len(two.Members()) == 2 }), qt.IsTrue)
	s.Restore(old)
	one.Restored()
	two.Restored()
	c.Assert(inTime(func() bool {
		c.Check(one.Members(), qt.HasLen, 2)
		c.Check(two.Members(), qt.HasLen, 2)
		return values(c, s)["host/b"] != ""
	}), qt.IsTrue)
}

// A host that starts on a copy without the secret creates another one, with which it
// reaches no host.
func TestSecretOutlivesRestore(t *testing.T) {
	c := qt.New(t)
	s := memdb.New(clock.System())
	empty := s.Copy()
	one, two := newRegistry(s, "a"), newRegistry(s, "b")
	secret := joinAndRun(c, one)
	joinAndRun(c, two)
	s.Restore(empty)
	started := newRegistry(s, "c")
	learned := make(chan []byte, 1)
	started.OnSecret = func(secret []byte) { learned <- secret }
	c.Assert(string(joinAndRun(c, started)), qt.Not(qt.Equals), string(secret))
	one.Restored()
	two.Restored()
	select {
	case got := <-learned:
		c.Assert(string(got), qt.Equals, string(secret))
	case <-time.After(5 * time.Second):
		c.Fatal("the started host did not learn the secret")
	}
	c.Assert(inTime(func() bool { all := values(c, s); return all["host/a"] != "" && all["host/b"] != "" }), qt.IsTrue)
	c.Assert(values(c, s)["secret"], qt.Equals, string(secret))
}

func TestIncarnationRisesAcrossRestore(t *testing.T) {
	c := qt.New(t)
	s := memdb.New(clock.System())
	old := s.Copy()
	for range 5 {
		s.Put("other", "row", nil)
	}
	_, first, err := newRegistry(s, "a").Join(context.Background())
	c.Assert(err, qt.IsNil)
	s.Restore(old)
	_, second, err := newRegistry(s, "a").Join(context.Background())
	c.Assert(err, qt.IsNil)
	c.Assert(second > first, qt.IsTrue)
}

func TestSettledEraIsLostInRestore(t *testing.T) {
	c := qt.New(t)
	s := memdb.New(clock.System())
	one := newRegistry(s, "a")
	joinAndRun(c, one)
	old := s.Copy()
	one.Settled(1)
	c.Assert(inTime(func() bool { return values(c, s)["settled"] == "1" }), qt.IsTrue)
	started := newRegistry(s, "b")
	joinAndRun(c, started)
	c.Assert(started.SettledEra(), qt.Equals, int64(1))

	s.Restore(old)
	started = newRegistry(s, "c")
	joinAndRun(c, started)
	c.Assert(started.SettledEra(), qt.Equals, int64(0))
}
