package link

import (
	"context"
	"net"
	"sync"
	"sync/atomic"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"github.com/panjf2000/ants/v2"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/base/count"
)

// Defaults of a Node's limits and timeouts.
const (
	DefaultMaxFrame         = 16 << 20 // bytes
	DefaultMaxQueue         = 4096     // messages queued for one peer
	DefaultMaxCalls         = 4096     // inbound calls handled concurrently; a grant request is one while it waits
	DefaultMaxHandshakes    = 64       // inbound connections in the handshake
	DefaultHandshakeTimeout = 2 * clock.Second
	DefaultDialTimeout      = 500 * clock.Millis(1)
	DefaultSilenceTimeout   = 250 * clock.Millis(1)
	DefaultRedialDelay      = 50 * clock.Millis(1)
	DefaultWriteTimeout     = clock.Second
	DefaultIdleTimeout      = clock.Minute
	// MinSecretBytes is the shortest secret that Run accepts.
	MinSecretBytes = 16
)

// Errors returned by Node.
var (
	ErrTooLarge       = errors.New("frame exceeds the size limit")
	ErrWrongPeer      = errors.New("connection reached a different peer")
	ErrWrongSecret    = errors.New("peer failed authentication")
	ErrOldIncarnation = errors.New("peer's incarnation is outdated")
	ErrUnknownPeer    = errors.New("peer address unknown")
	ErrUnreachable    = errors.New("peer is unreachable")
	ErrBroken         = errors.New("connection closed before the reply")
	ErrQueueFull      = errors.New("send queue to the peer is full")
	ErrStopped        = errors.New("link is not running")
	ErrRemote         = errors.New("peer's handler returned an error")
)

// Peer is the authenticated identity of the other end of a connection.
type Peer struct {
	Name        string
	Incarnation int64
}

// Handler handles a message. The reply is encoded for a call and ignored for a
// send. Sends from one peer are handled sequentially, in the order sent, so a
// handler of sends must not block. Calls are handled concurrently; their context ends
// with the peer's connection, after which the reply cannot be delivered.
type Handler func(ctx context.Context, from Peer, body []byte) (reply any, err error)

// Node holds this host's connections to its peers and accepts theirs.
type Node struct {
	Name string
	// Incarnation increases with each start of the host.
	Incarnation int64
	// Listen is "IP:port"; port 0 lets the kernel choose.
	Listen string
	// Secret may be replaced later by SetSecret.
	Secret   []byte
	Clock    clock.Clock
	Log      *log.Logger
	Counters *count.Set
	// Address looks up a peer's "IP:port".
	Address func(name string) (string, bool)
	// Admit, if set, may refuse an authenticated peer, such as one with an
	// outdated incarnation.
	Admit func(Peer) bool
	// OnConnected, if set, is called after each completed handshake.
	OnConnected func(Peer)

	// Limits and timeouts; 0 selects the default.
	MaxFrame         int
	MaxQueue         int
	MaxCalls         int
	MaxHandshakes    int
	HandshakeTimeout clock.Millis
	DialTimeout      clock.Millis
	SilenceTimeout   clock.Millis
	RedialDelay      clock.Millis
	WriteTimeout     clock.Millis
	IdleTimeout      clock.Millis

	newSecret  atomic.Pointer[[]byte]
	mu         sync.Mutex
	ctx        context.Context
	listener   net.Listener
	handlers   map[string]Handler
	sendQueues map[string]*sendQueue
	inbound    map[string]*inbound
	handshakes chan struct{}
	pool       *ants.Pool
	running    sync.WaitGroup
}

// Handle registers the handler for a kind of message. Call it before Run.
func (n *Node) Handle(kind string, h Handler) {
	if n.handlers == nil {
		n.handlers = map[string]Handler{}
	}
	n.handlers[kind] = h
}

// Bind opens the listening socket. Run calls it if the socket is not open yet.
func (n *Node) Bind() error {
	if n.listener != nil {
		return nil
	}
	listener, err := net.Listen("tcp", n.Listen)
	if err != nil {
		return errors.Wrapf(err, "listen for peers on %s", n.Listen)
	}
	n.listener = listener
	return nil
}

// Addr returns the "IP:port" that the node listens on. Call it after Bind.
func (n *Node) Addr() string {
	return n.listener.Addr().String()
}

// Run accepts connections until the context ends, then closes every connection
// and waits for the running handlers.
func (n *Node) Run(ctx context.Context) error {
	if len(n.Secret) < MinSecretBytes {
		return errors.Newf(
			"link secret is %d bytes long, need at least %d", len(n.Secret), MinSecretBytes,
		)
	}
	if err := n.Start(ctx); err != nil {
		return err
	}
	n.accept()
	n.stop()
	return nil
}

// Start prepares the node for sending. Run calls it; a caller that must send
// before the goroutine of Run is scheduled calls it first, with the same context.
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
		return errors.Wrap(err, "create link worker pool")
	}
	n.pool = pool
	n.sendQueues = map[string]*sendQueue{}
	n.inbound = map[string]*inbound{}
	n.handshakes = make(chan struct{}, n.MaxHandshakes)
	n.ctx = ctx
	context.AfterFunc(ctx, func() { _ = n.listener.Close() })
	return nil
}

func (n *Node) setDefaults() {
	setDefault(&n.MaxFrame, DefaultMaxFrame)
	setDefault(&n.MaxQueue, DefaultMaxQueue)
	setDefault(&n.MaxCalls, DefaultMaxCalls)
	setDefault(&n.MaxHandshakes, DefaultMaxHandshakes)
	setDefault(&n.HandshakeTimeout, DefaultHandshakeTimeout)
	setDefault(&n.DialTimeout, DefaultDialTimeout)
	setDefault(&n.SilenceTimeout, DefaultSilenceTimeout)
	setDefault(&n.RedialDelay, DefaultRedialDelay)
	setDefault(&n.WriteTimeout, DefaultWriteTimeout)
	setDefault(&n.IdleTimeout, DefaultIdleTimeout)
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

// Send queues a message and returns without blocking. A nil error does not
// guarantee delivery.
func (n *Node) Send(peer, kind string, body any) error {
	encoded, err := Encode(body)
	if err != nil {
		return err
	}
	q, err := n.sendQueue(peer)
	if err != nil {
		return err
	}
	return q.enqueue(outgoing{f: frame{Type: frameSend, Kind: kind, Body: encoded}})
}

// Call sends a message, waits for the reply and decodes it into reply. It
// returns early if the context ends. After any error but ErrUnreachable and
// ErrQueueFull the peer may have handled the message.
func (n *Node) Call(ctx context.Context, peer, kind string, body, reply any) error {
	encoded, err := Encode(body)
	if err != nil {
		return err
	}
	q, err := n.sendQueue(peer)
	if err != nil {
		return err
	}
	o := outgoing{f: frame{Type: frameCall, Kind: kind, Body: encoded}, result: make(chan result, 1)}
	if err := q.enqueue(o); err != nil {
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

// Disconnect closes the outgoing connection to a peer, such as one that is dead.
func (n *Node) Disconnect(peer string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if q, ok := n.sendQueues[peer]; ok {
		q.cancel()
	}
}

// sendQueue returns the send queue of a peer and starts it if there is none.
func (n *Node) sendQueue(peer string) (*sendQueue, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ctx == nil || n.ctx.Err() != nil {
		return nil, ErrStopped
	}
	if q, ok := n.sendQueues[peer]; ok {
		return q, nil
	}
	q := newSendQueue(n, peer)
	n.sendQueues[peer] = q
	n.running.Add(1)
	go q.run()
	return q, nil
}

// removeQueue removes a queue that shuts down, so that the next message starts a
// new one.
func (n *Node) removeQueue(q *sendQueue) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.sendQueues[q.peer] == q {
		delete(n.sendQueues, q.peer)
	}
}

func (n *Node) countMessage(direction, kind string, bytes int) {
	labels := []count.Label{{Key: "direction", Value: direction}, {Key: "kind", Value: kind}}
	n.Counters.Add("siskinsaddle_link_messages_total", 1, labels...)
	n.Counters.Add("siskinsaddle_link_bytes_total", int64(bytes), labels...)
}

func (n *Node) countLost(reason string, by int) {
	n.Counters.Add(
		"siskinsaddle_link_lost_total", int64(by), count.Label{Key: "reason", Value: reason},
	)
}

// recordBroken records bytes of a peer that are no reply. The connection is closed then.
func (n *Node) recordBroken(peer string, err error) {
	n.Counters.Add("siskinsaddle_link_broken_total", 1, count.Label{Key: "peer", Value: peer})
	n.Log.Warn("A peer's reply is broken.", "peer", peer, "error", err)
}
