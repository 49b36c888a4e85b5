package link

import (
	"bufio"
	"context"
	"net"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/base/count"
	"siskinsaddle/internal/base/logs"
	"siskinsaddle/internal/fakes/midbox"
)

const (
	goodSecret = "a secret of the tests, long enough"
	testWait   = 10 * time.Second
)

// start runs a node that echoes calls and forwards the bodies of sends to got.
func start(c *qt.C, n *Node, got chan<- string) *Node {
	if n.Listen == "" {
		n.Listen = "127.0.0.1:0"
	}
	n.Clock, n.Log, n.Counters = clock.System(), logs.Discard(), count.NewSet()
	n.Handle("Echo", func(_ context.Context, from Peer, body []byte) (any, error) {
		var text string
		err := Decode(body, &text)
		return []string{from.Name, text}, err
	})
	n.Handle("Note", func(_ context.Context, _ Peer, body []byte) (any, error) {
		var text string
		err := Decode(body, &text)
		got <- text
		return nil, err
	})
	ctx, cancel := context.WithCancel(context.Background())
	c.Assert(n.Start(ctx), qt.IsNil)
	done := make(chan error, 1)
	go func() { done <- n.Run(ctx) }()
	c.Cleanup(func() {
		cancel()
		c.Check(<-done, qt.IsNil)
	})
	return n
}

func resolveTo(address *string) func(string) (string, bool) {
	return func(string) (string, bool) { return *address, true }
}

func echo(n *Node, peer string) ([]string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), testWait)
	defer cancel()
	var reply []string
	err := n.Call(ctx, peer, "Echo", "hello", &reply)
	return reply, err
}

func TestSendsArriveInOrderAndAreCounted(t *testing.T) {
	c := qt.New(t)
	got := make(chan string, 100)
	b := start(c, &Node{Name: "b", Secret: []byte(goodSecret)}, got)
	address := b.Addr()
	a := start(c, &Node{Name: "a", Secret: []byte(goodSecret), Address: resolveTo(&address)}, got)
	for i := range 100 {
		c.Assert(a.Send("b", "Note", string(rune('0'+i))), qt.IsNil)
	}
	for i := range 100 {
		c.Assert(<-got, qt.Equals, string(rune('0'+i)))
	}
	reply, err := echo(a, "b")
	c.Assert(err, qt.IsNil)
	c.Assert(reply, qt.DeepEquals, []string{"a", "hello"})
	out := []count.Label{{Key: "direction", Value: "Out"}, {Key: "kind", Value: "Note"}}
	c.Assert(a.Counters.Count("siskinsaddle_link_messages_total", out...), qt.Equals, int64(100))
	in := []count.Label{{Key: "direction", Value: "In"}, {Key: "kind", Value: "Note"}}
	c.Assert(b.Counters.Count("siskinsaddle_link_bytes_total", in...), qt.Equals,
		a.Counters.Count("siskinsaddle_link_bytes_total", out...))
}

func TestHandshakeRejectsInvalidPeers(t *testing.T) {
	c := qt.New(t)
	b := start(c, &Node{
		Name: "b", Secret: []byte(goodSecret),
		Admit: func(p Peer) bool { return p.Incarnation > 1 },
	}, nil)
	address := b.Addr()
	for _, test := range []struct {
		node   *Node
		peer   string
		reason string
	}{
		{
			&Node{Name: "a", Incarnation: 2, Secret: []byte("another secret of the tests")},
			"b", "WrongSecret",
		},
		{&Node{Name: "a", Incarnation: 1, Secret: []byte(goodSecret)}, "b", "OldIncarnation"},
		{&Node{Name: "a", Incarnation: 2, Secret: []byte(goodSecret)}, "c", ""},
	} {
		test.node.Address = resolveTo(&address)
		_, err := echo(start(c, test.node, nil), test.peer)
		c.Check(errors.Is(err, ErrUnreachable), qt.IsTrue, qt.Commentf("%v", err))
		if test.reason == "" {
			continue
		}
		reason := count.Label{Key: "reason", Value: test.reason}
		c.Check(b.Counters.Count("siskinsaddle_link_refused_total", reason), qt.Equals, int64(1))
	}
}

func TestReplacedSecretHoldsForNewConnections(t *testing.T) {
	c := qt.New(t)
	b := start(c, &Node{Name: "b", Secret: []byte(goodSecret)}, nil)
	address := b.Addr()
	a := start(c, &Node{Name: "a", Secret: []byte("another secret of the tests"), Address: resolveTo(&address), RedialDelay: 1}, nil)
	_, err := echo(a, "b")
	c.Assert(errors.Is(err, ErrUnreachable), qt.IsTrue, qt.Commentf("%v", err))
	a.SetSecret([]byte(goodSecret))
	for err != nil && !t.Failed() {
		_, err = echo(a, "b")
		c.Check(err == nil || errors.Is(err, ErrUnreachable), qt.IsTrue, qt.Commentf("%v", err))
	}
}

func TestDialerRejectsListenerWithoutSecret(t *testing.T) {
	c := qt.New(t)
	// This listener accepts any proof but cannot produce its own.
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer func() { _ = listener.Close() }()
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		s := newStream(conn)
		var h hello
		var p proof
		_ = s.readMessage(&h)
		_ = s.writeMessage(&challenge{Name: "b", Nonce: newNonce()})
		_ = s.readMessage(&p)
		_ = s.writeMessage(&p) // reflects the dialer's own proof
	}()
	address := listener.Addr().String()
	a := start(c, &Node{Name: "a", Secret: []byte(goodSecret), Address: resolveTo(&address)}, nil)
	_, _, err = a.dial(context.Background(), "b")
	c.Assert(errors.Is(err, ErrWrongSecret), qt.IsTrue, qt.Commentf("%v", err))
}

func TestSilentConnectionIsReplaced(t *testing.T) {
	c := qt.New(t)
	got := make(chan string, 10)
	b := start(c, &Node{Name: "b", Secret: []byte(goodSecret)}, got)
	relay, err := midbox.New(b.Addr())
	c.Assert(err, qt.IsNil)
	defer relay.Close()
	address := relay.Addr()
	a := start(c, &Node{
		Name: "a", Secret: []byte(goodSecret), Address: resolveTo(&address), SilenceTimeout: 50,
	}, got)
	_, err = echo(a, "b")
	c.Assert(err, qt.IsNil)
	relay.SilenceOpen()
	_, err = echo(a, "b")
	c.Assert(errors.Is(err, ErrBroken), qt.IsTrue, qt.Commentf("%v", err))
	reply, err := echo(a, "b")
	c.Assert(err, qt.IsNil)
	c.Assert(reply, qt.DeepEquals, []string{"a", "hello"})
	c.Assert(a.Counters.Count(
		"siskinsaddle_link_lost_total", count.Label{Key: "reason", Value: "Silent"},
	), qt.Equals, int64(1))

	// A probe replaces the connection before the silence is detected.
	relay.SilenceOpen()
	peer, result := a.Probe(context.Background(), "b")
	c.Assert(peer.Name, qt.Equals, "b")
	c.Assert(result, qt.Equals, ProbeReached)
	_, err = echo(a, "b")
	c.Assert(err, qt.IsNil)
}

// A probe's session and a frame are ready at the same time, in either of two states of the
// queue: with a silent connection or with none, when the peer cannot be dialed any more.
func TestQueuedFrameIsSentOnProbedConnection(t *testing.T) {
	const rounds = 20
	c := qt.New(t)
	b := start(c, &Node{Name: "b", Secret: []byte(goodSecret)}, nil)
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer func() { _ = silent.Close() }()
	address := b.Addr()
	a := start(c, &Node{Name: "a", Secret: []byte(goodSecret), Address: resolveTo(&address), SilenceTimeout: 50}, nil)
	for _, k := range []struct {
		name string
		run  func(q *sendQueue)
	}{
		{"silent connection", func(q *sendQueue) {
			conn, err := net.Dial("tcp", silent.Addr().String())
			c.Assert(err, qt.IsNil)
			q.runSessions(newSession(newStream(conn)), nil)
		}},
		{"no connection", func(q *sendQueue) {
			a.running.Add(1)
			q.run()
		}},
	} {
		c.Run(k.name, func(c *qt.C) {
			for range rounds {
				address = b.Addr()
				s, _, err := a.dial(context.Background(), "b")
				c.Assert(err, qt.IsNil)
				address = silent.Addr().String()
				q := newSendQueue(a, "b")
				body, err := Encode("hello")
				c.Assert(err, qt.IsNil)
				o := outgoing{f: frame{Type: frameCall, Kind: "Echo", Body: body}, result: make(chan result, 1)}
				q.replaceSession(newSession(s))
				c.Assert(q.enqueue(o), qt.IsNil)
				ended := make(chan struct{})
				go func() {
					defer close(ended)
					k.run(q)
				}()
				c.Check((<-o.result).err, qt.IsNil)
				q.cancel()
				<-ended
			}
		})
	}
}

func TestFrameHandshakeAndQueueLimits(t *testing.T) {
	c := qt.New(t)
	b := start(c, &Node{
		Name: "b", Secret: []byte(goodSecret), MaxFrame: 1000, MaxHandshakes: 1, HandshakeTimeout: 100,
	}, nil)
	address := b.Addr()
	a := start(c, &Node{
		Name: "a", Secret: []byte(goodSecret), Address: resolveTo(&address), MaxQueue: 1,
	}, nil)
	var reply []string
	err := a.Call(context.Background(), "b", "Echo", string(make([]byte, 2000)), &reply)
	c.Assert(errors.Is(err, ErrBroken), qt.IsTrue, qt.Commentf("%v", err))

	// A connection that sends nothing holds the only handshake slot until the timeout.
	idle, err := net.Dial("tcp", address)
	c.Assert(err, qt.IsNil)
	defer func() { _ = idle.Close() }()
	second, err := net.Dial("tcp", address)
	c.Assert(err, qt.IsNil)
	defer func() { _ = second.Close() }()
	for _, conn := range []net.Conn{second, idle} {
		_, err = bufio.NewReader(conn).ReadByte()
		c.Assert(err, qt.IsNotNil)
	}
	c.Assert(b.Counters.Count(
		"siskinsaddle_link_refused_total", count.Label{Key: "reason", Value: "Handshake"},
	), qt.Equals, int64(1))

	// Adding to a full queue fails immediately.
	q := newSendQueue(a, "nobody")
	c.Assert(q.enqueue(outgoing{}), qt.IsNil)
	c.Assert(errors.Is(q.enqueue(outgoing{}), ErrQueueFull), qt.IsTrue)
}

func TestReconnectsToRestartedPeer(t *testing.T) {
	c := qt.New(t)
	connected := make(chan Peer, 10)
	ctx, stopOld := context.WithCancel(context.Background())
	old := &Node{Name: "b", Incarnation: 1, Secret: []byte(goodSecret), Listen: "127.0.0.1:0"}
	old.Clock, old.Log, old.Counters = clock.System(), logs.Discard(), count.NewSet()
	c.Assert(old.Start(ctx), qt.IsNil)
	oldDone := make(chan error, 1)
	go func() { oldDone <- old.Run(ctx) }()
	address := old.Addr()
	a := start(c, &Node{
		Name: "a", Secret: []byte(goodSecret), Address: resolveTo(&address),
		OnConnected: func(p Peer) { connected <- p },
	}, nil)
	_, err := echo(a, "b")
	c.Assert(errors.Is(err, ErrRemote), qt.IsTrue, qt.Commentf("%v", err))
	c.Assert(<-connected, qt.Equals, Peer{Name: "b", Incarnation: 1})
	stopOld()
	c.Assert(<-oldDone, qt.IsNil)
	_, result := a.Probe(context.Background(), "b")
	c.Assert(result, qt.Equals, ProbeRefused)

	start(c, &Node{Name: "b", Incarnation: 2, Secret: []byte(goodSecret), Listen: address}, nil)
	for err = ErrUnreachable; errors.Is(err, ErrUnreachable) || errors.Is(err, ErrBroken); {
		_, err = echo(a, "b")
	}
	c.Assert(err, qt.IsNil)
	c.Assert(<-connected, qt.Equals, Peer{Name: "b", Incarnation: 2})
}

// A handler may wait long before it replies. After its connection has ended the reply
// cannot be delivered.
func TestCallEndsWithItsConnection(t *testing.T) {
	c := qt.New(t)
	handling, ended := make(chan struct{}), make(chan struct{})
	server := &Node{Name: "b", Incarnation: 1, Secret: []byte(goodSecret)}
	server.Handle("Wait", func(ctx context.Context, _ Peer, _ []byte) (any, error) {
		close(handling)
		<-ctx.Done()
		close(ended)
		return nil, ctx.Err()
	})
	start(c, server, make(chan string, 1))
	address := server.Addr()
	client := start(c, &Node{Name: "a", Incarnation: 1, Secret: []byte(goodSecret), Address: resolveTo(&address)}, make(chan string, 1))
	called := make(chan error, 1)
	go func() { called <- client.Call(context.Background(), "b", "Wait", "", nil) }()
	<-handling
	client.Disconnect("b")
	c.Assert(<-called, qt.IsNotNil)
	select {
	case <-ended:
	case <-time.After(testWait):
		c.Fatal("the handler still waits")
	}
}

// A paused peer's machine accepts the connection, and nothing answers on it.
func TestCallToPausedPeerFailsSoon(t *testing.T) {
	c := qt.New(t)
	const dialTimeout = 100 * clock.Millis(1)
	paused, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer func() { _ = paused.Close() }()
	address := paused.Addr().String()
	n := start(c, &Node{Name: "a", Secret: []byte(goodSecret), Address: resolveTo(&address), DialTimeout: dialTimeout}, nil)
	began := time.Now()
	_, err = echo(n, "b")
	c.Assert(errors.Is(err, ErrUnreachable), qt.IsTrue, qt.Commentf("%v", err))
	c.Assert(clock.FromDuration(time.Since(began)) < 5*dialTimeout, qt.IsTrue, qt.Commentf("failed after %v", time.Since(began)))
}
