package link

import (
	"context"
	"net"
	"sync"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"github.com/panjf2000/ants/v2"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/base/count"
)

// The defaults of a Node's limits.
const (
	DefaultMaxFrame      = 16 << 20 // bytes
	DefaultMaxQueue      = 4096     // messages to one peer
	DefaultMaxCalls      = 1024     // calls being handled
	DefaultMaxStrangers  = 64       // connections in the handshake
	DefaultHandshakeWait = 2 * clock.Second
	DefaultDialWait      = 500 * clock.Millis(1)
	DefaultSilenceWait   = 250 * clock.Millis(1)
	DefaultRedialWait    = 50 * clock.Millis(1)
	DefaultWriteWait     = clock.Second
	DefaultIdleWait      = clock.Minute
	// MinSecretBytes is the shortest secret that Run accepts.
	MinSecretBytes = 16
)

// The errors of a Node.
var (
	ErrTooLarge       = errors.New("the frame is larger than the limit")
	ErrWrongPeer      = errors.New("the connection reached another peer")
	ErrWrongSecret    = errors.New("the peer does not know the secret")
	ErrOldIncarnation = errors.New("the peer's incarnation is older than a known one")
	ErrUnknownPeer    = errors.New("the peer has no known address")
	ErrUnreachable    = errors.New("the peer cannot be reached")
	ErrBroken         = errors.New("the connection ended before the reply")
	ErrQueueFull      = errors.New("the queue to the peer is full")
	ErrStopped        = errors.New("the link is not running")
	ErrRemote         = errors.New("the peer's handler failed")
)

// Peer is the other end of a connection, as its handshake proved.
type Peer struct {
	Name        string
	Incarnation int64
}

// Handler takes a message. The reply is encoded for a call and ignored for a
// send. Sends of one peer are handled one after another in their order, so a
// handler of sends must not block; calls are handled side by side.
type Handler func(ctx context.Context, from Peer, body []byte) (reply any, err error)

// Node is this host's end of all its links.
type Node struct {
	Name string
	// Incarnation is higher with each start of the host.
	Incarnation int64
	// Listen is "IP:port"; port 0 lets the system choose.
	Listen   string
	Secret   []byte
	Clock    clock.Clock
	Log      *log.Logger
	Counters *count.Set
	// Address looks up a peer's "IP:port".
	Address func(name string) (string, bool)
	// Admit, where set, may refuse a proven peer, such as one whose
	// incarnation is known to be over.
	Admit func(Peer) bool
	// Connected, where set, hears of each completed handshake.
	Connected func(Peer)

	// The limits; 0 takes the default.
	MaxFrame      int
	MaxQueue      int
	MaxCalls      int
	MaxStrangers  int
	HandshakeWait clock.Millis
	DialWait      clock.Millis
	SilenceWait   clock.Millis
	RedialWait    clock.Millis
	WriteWait     clock.Millis
	IdleWait      clock.Millis

	mu        sync.Mutex
	ctx       context.Context
	listener  net.Listener
	handlers  map[string]Handler
	lanes     map[string]*lane
	inbound   map[string]*inbound
	strangers chan struct{}
	pool      *ants.Pool
	running   sync.WaitGroup
}

// Handle registers the handler of a kind of message. It is called before Run.
func (n *Node) Handle(kind string, h Handler) {
	if n.handlers == nil {
		n.handlers = map[string]Handler{}
	}
	n.handlers[kind] = h
}

// Bind opens the listening socket. Run does it where it has not been done.
func (n *Node) Bind() error {
	if n.listener != nil {
		return nil
	}
	listener, err := net.Listen("tcp", n.Listen)
	if err != nil {
		return errors.Wrapf(err, "link listens on %s", n.Listen)
	}
	n.listener = listener
	return nil
}

// Addr returns the "IP:port" that Bind opened.
func (n *Node) Addr() string {
	return n.listener.Addr().String()
}

// Run accepts peers until the context ends, then closes every connection and
// waits for the handlers.
func (n *Node) Run(ctx context.Context) error {
	if len(n.Secret) < MinSecretBytes {
		return errors.Newf("link secret has %d bytes, at least %d are needed", len(n.Secret), MinSecretBytes)
	}
	if err := n.Start(ctx); err != nil {
		return err
	}
	n.accept()
	n.stop()
	return nil
}

// Start prepares the node for sending. Run calls it; a caller that must send
// before Run has been scheduled calls it first, with the same context.
func (n *Node) Start(ctx context.Context) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ctx != nil {
		return nil
	}
	n.setDefaults()
	if err := n.Bind(); err != nil {
		return err
	}
	pool, err := ants.NewPool(n.MaxCalls, ants.WithNonblocking(true))
	if err != nil {
		return errors.Wrap(err, "link pool")
	}
	n.pool = pool
	n.lanes = map[string]*lane{}
	n.inbound = map[string]*inbound{}
	n.strangers = make(chan struct{}, n.MaxStrangers)
	n.ctx = ctx
	context.AfterFunc(ctx, func() { _ = n.listener.Close() })
	return nil
}

func (n *Node) setDefaults() {
	setDefault(&n.MaxFrame, DefaultMaxFrame)
	setDefault(&n.MaxQueue, DefaultMaxQueue)
	setDefault(&n.MaxCalls, DefaultMaxCalls)
	setDefault(&n.MaxStrangers, DefaultMaxStrangers)
	setDefault(&n.HandshakeWait, DefaultHandshakeWait)
	setDefault(&n.DialWait, DefaultDialWait)
	setDefault(&n.SilenceWait, DefaultSilenceWait)
	setDefault(&n.RedialWait, DefaultRedialWait)
	setDefault(&n.WriteWait, DefaultWriteWait)
	setDefault(&n.IdleWait, DefaultIdleWait)
}

func setDefault[T int | clock.Millis](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}

func (n *Node) stop() {
	n.mu.Lock()
	for _, i := range n.inbound {
		_ = i.s.conn.Close()
	}
	n.mu.Unlock()
	n.running.Wait()
	n.pool.Release()
}

// Send queues a message and returns at once. A nil error does not mean that it
// arrives.
func (n *Node) Send(peer, kind string, body any) error {
	encoded, err := Encode(body)
	if err != nil {
		return err
	}
	l, err := n.lane(peer)
	if err != nil {
		return err
	}
	return l.push(outgoing{f: frame{Type: frameSend, Kind: kind, Body: encoded}})
}

// Call sends a message and waits for the reply, which it decodes into reply,
// or for the context's end. After any error but ErrUnreachable and
// ErrQueueFull the peer may have handled the message.
func (n *Node) Call(ctx context.Context, peer, kind string, body, reply any) error {
	encoded, err := Encode(body)
	if err != nil {
		return err
	}
	l, err := n.lane(peer)
	if err != nil {
		return err
	}
	o := outgoing{f: frame{Type: frameCall, Kind: kind, Body: encoded}, result: make(chan result, 1)}
	if err := l.push(o); err != nil {
		return err
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-n.ctx.Done():
		return ErrStopped
	case r := <-o.result:
		if r.err != nil || reply == nil {
			return r.err
		}
		return Decode(r.body, reply)
	}
}

// Forget closes the connection to a peer, such as one that is dead.
func (n *Node) Forget(peer string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if l, ok := n.lanes[peer]; ok {
		l.cancel()
	}
}

// lane returns the lane to a peer and opens it where there is none.
func (n *Node) lane(peer string) (*lane, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ctx == nil || n.ctx.Err() != nil {
		return nil, ErrStopped
	}
	if l, ok := n.lanes[peer]; ok {
		return l, nil
	}
	l := newLane(n, peer)
	n.lanes[peer] = l
	n.running.Add(1)
	go l.run()
	return l, nil
}

// drop removes a lane that ends, so that the next message opens another.
func (n *Node) drop(l *lane) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.lanes[l.peer] == l {
		delete(n.lanes, l.peer)
	}
}

func (n *Node) counted(direction, kind string, bytes int) {
	labels := []count.Label{{Key: "direction", Value: direction}, {Key: "kind", Value: kind}}
	n.Counters.Add("siskinsaddle_link_messages_total", 1, labels...)
	n.Counters.Add("siskinsaddle_link_bytes_total", int64(bytes), labels...)
}

func (n *Node) lost(reason string, by int) {
	n.Counters.Add("siskinsaddle_link_lost_total", int64(by), count.Label{Key: "reason", Value: reason})
}
