package notify_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/base/count"
	"siskinsaddle/internal/base/logs"
	"siskinsaddle/internal/policy/notice"
	"siskinsaddle/internal/share/link"
	"siskinsaddle/internal/share/member"
	"siskinsaddle/internal/share/notify"
)

// host is a linked host with a table of its own. received counts what other hosts told it.
type host struct {
	notifier *notify.Notifier
	mu       sync.Mutex
	table    *notice.Table
	received int
}

func (h *host) adopt(all []notice.Entry) []notice.Entry {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.received++
	var fresh []notice.Entry
	for _, e := range all {
		if h.table.AddLeaving(0, e) {
			fresh = append(fresh, e)
		}
	}
	return fresh
}

func (h *host) known() []notice.Entry {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.table.Entries()
}

// newHosts returns n linked hosts, of which the first two are the keepers of all servers.
func newHosts(c *qt.C, n int) []*host {
	var members []member.Member
	var mu sync.Mutex
	list := func() []member.Member {
		mu.Lock()
		defer mu.Unlock()
		return members
	}
	var all []*host
	for i := range n {
		name := fmt.Sprint("h", i)
		node := &link.Node{
			Name: name, Incarnation: 1, Listen: "127.0.0.1:0", Secret: []byte("a secret of the group's hosts"),
			Clock: clock.System(), Log: logs.Discard(), Counters: count.NewSet(), DialTimeout: 300, SilenceTimeout: 300,
			Address: func(peer string) (string, bool) {
				for _, m := range list() {
					if m.Name == peer {
						return m.Address, true
					}
				}
				return "", false
			},
		}
		h := &host{table: notice.NewTable()}
		h.notifier = &notify.Notifier{
			Self: name, Members: list, Keepers: func(string, string) []string { return []string{"h0", "h1"} },
			Link: node, Adopt: h.adopt, Known: h.known, Clock: clock.System(), Log: logs.Limit(logs.Discard(), clock.System(), nil),
		}
		h.notifier.Register()
		ctx, cancel := context.WithCancel(context.Background())
		c.Assert(node.Start(ctx), qt.IsNil)
		go h.notifier.Run(ctx)
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = node.Run(ctx)
		}()
		c.Cleanup(func() {
			cancel()
			<-done
		})
		mu.Lock()
		members = append(members, member.Member{Name: name, Address: node.Addr(), Cores: 1})
		mu.Unlock()
		all = append(all, h)
	}
	return all
}

func awaitKnown(c *qt.C, h *host, want ...notice.Entry) {
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if len(h.known()) >= len(want) {
			break
		}
	}
	c.Assert(h.known(), qt.DeepEquals, want)
}

func TestAllHostsLearnOfALeavingServerByOneMessageEach(t *testing.T) {
	c := qt.New(t)
	hosts := newHosts(c, 6)
	a, b := notice.Entry{Service: "llm", Server: "i-1", Born: 7}, notice.Entry{Service: "llm", Server: "i-2", Born: 7}
	// Two hosts see the first server leave, one the second.
	for i, h := range hosts[4:] {
		h.adopt([]notice.Entry{a})
		h.notifier.Share(a)
		if i == 0 {
			h.adopt([]notice.Entry{b})
			h.notifier.Share(b)
		}
	}
	for _, h := range hosts {
		awaitKnown(c, h, a, b)
	}
	time.Sleep(700 * time.Millisecond)
	for i, h := range hosts[2:4] {
		c.Check(h.received, qt.Equals, 1, qt.Commentf("host %d", i+2))
	}
}

func TestJoiningHostLearnsOfLeavingServers(t *testing.T) {
	c := qt.New(t)
	hosts := newHosts(c, 3)
	e := notice.Entry{Service: "llm", Server: "i-1", Born: 7}
	hosts[0].adopt([]notice.Entry{e})
	hosts[0].notifier.Tell("h2")
	awaitKnown(c, hosts[2], e)
	c.Assert(hosts[1].known(), qt.HasLen, 0)
}
