package member_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/base/logs"
	"siskinsaddle/internal/fakes/memdb"
	"siskinsaddle/internal/share/member"
)

func newRegistry(s *memdb.Store, name string) *member.Registry {
	return &member.Registry{
		Store: s.For(name),
		Table: "hosts",
		Self:  member.Member{Name: name, Address: "10.0.0.1:1", Cores: 0.4},
		Clock: clock.System(),
		Log:   logs.Limit(logs.Discard(), clock.System(), nil),
	}
}

// Hosts that start concurrently must end up with the same secret, and each with an
// incarnation of its own.
func TestHostsThatStartTogetherShareOneSecret(t *testing.T) {
	c := qt.New(t)
	s := memdb.New(clock.System())
	const hosts = 12
	secrets := make([]string, hosts)
	incarnations := map[int64]bool{}
	var mu sync.Mutex
	var all sync.WaitGroup
	for i := range hosts {
		all.Go(func() {
			secret, incarnation, err := newRegistry(s, fmt.Sprint("h", i)).Join(context.Background())
			mu.Lock()
			defer mu.Unlock()
			c.Check(err, qt.IsNil)
			secrets[i] = string(secret)
			incarnations[incarnation] = true
		})
	}
	all.Wait()
	for _, secret := range secrets {
		c.Assert(secret, qt.Equals, secrets[0])
		c.Assert(len(secret) >= 32, qt.IsTrue)
	}
	c.Assert(incarnations, qt.HasLen, hosts)
}

func TestRestartedHostHasHigherIncarnationAndKnowsTheOthers(t *testing.T) {
	c := qt.New(t)
	s := memdb.New(clock.System())
	_, first, err := newRegistry(s, "a").Join(context.Background())
	c.Assert(err, qt.IsNil)
	_, _, err = newRegistry(s, "b").Join(context.Background())
	c.Assert(err, qt.IsNil)
	again := newRegistry(s, "a")
	_, second, err := again.Join(context.Background())
	c.Assert(err, qt.IsNil)
	c.Assert(second > first, qt.IsTrue)
	c.Assert(again.Members(), qt.HasLen, 2)
	address, ok := again.Address("b")
	c.Assert(ok, qt.IsTrue)
	c.Assert(address, qt.Equals, "10.0.0.1:1")
}

// The store writes the new secret, but its reply is lost. The host must use the secret
// that it has written, rather than another one.
func TestLostReplyLeavesOneSecret(t *testing.T) {
	c := qt.New(t)
	s := memdb.New(clock.System())
	s.SetFaults(memdb.Faults{LoseResponses: true})
	ctx, cancel := context.WithCancel(context.Background())
	one := newRegistry(s, "a")
	joined := make(chan []byte, 1)
	go func() {
		secret, _, err := one.Join(ctx)
		c.Check(err, qt.IsNil)
		joined <- secret
	}()
	calls := s.Calls()
	for s.Calls() < calls+3 {
		<-clock.System().After(1)
	}
	s.SetFaults(memdb.Faults{})
	secret := <-joined
	other, _, err := newRegistry(s, "b").Join(ctx)
	cancel()
	c.Assert(err, qt.IsNil)
	c.Assert(string(other), qt.Equals, string(secret))
}

// Another program may write to the table of hosts.
func TestOddRowsAmongTheHostsAreIgnored(t *testing.T) {
	c := qt.New(t)
	s := memdb.New(clock.System())
	for key, value := range map[string]string{
		"host/odd-cores":   `{"Name": "odd-cores", "Address": "10.0.0.9:1", "FailureDomain": "a", "Cores": 1e300}`,
		"host/no-cores":    `{"Name": "no-cores", "Address": "10.0.0.9:1", "FailureDomain": "a", "Cores": -1}`,
		"host/odd-port":    `{"Name": "odd-port", "Address": "10.0.0.9:99999", "FailureDomain": "a", "Cores": 1}`,
		"host/other-name":  `{"Name": "a", "Address": "10.0.0.9:1", "FailureDomain": "a", "Cores": 1}`,
		"host/deep":        strings.Repeat("[", 20_000),
		"host/odd\r\nname": `{"Name": "odd\r\nname", "Address": "10.0.0.9:1", "FailureDomain": "a", "Cores": 1}`,
		"settled":          "1e30",
		"unknown":          strings.Repeat("{", 20_000),
	} {
		s.Put("hosts", key, []byte(value))
	}
	for _, name := range []string{"a", "b"} {
		_, _, err := newRegistry(s, name).Join(context.Background())
		c.Assert(err, qt.IsNil)
	}
	r := newRegistry(s, "c")
	_, _, err := r.Join(context.Background())
	c.Assert(err, qt.IsNil)
	var names []string
	for _, m := range r.Members() {
		names = append(names, m.Name)
	}
	c.Assert(names, qt.DeepEquals, []string{"a", "b", "c"})
}

func TestSecretThatNoHostHasCreatedIsReplaced(t *testing.T) {
	for _, odd := range []string{"", "x", strings.Repeat("x", 60_000)} {
		c := qt.New(t)
		s := memdb.New(clock.System())
		s.Put("hosts", "secret", []byte(odd))
		first, _, err := newRegistry(s, "a").Join(context.Background())
		c.Assert(err, qt.IsNil)
		c.Assert(first, qt.HasLen, 32)
		second, _, err := newRegistry(s, "b").Join(context.Background())
		c.Assert(err, qt.IsNil)
		c.Assert(second, qt.DeepEquals, first)
	}
}
