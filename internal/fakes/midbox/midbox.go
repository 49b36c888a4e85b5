// Package midbox is a TCP proxy between two ends under test. It can discard the
// bytes of a connection without closing it, as a middlebox (a NAT or a firewall)
// does that has lost its connection state.
//
// A silent connection stays open at both ends, but nothing passes through it any
// more, not even its close.
//
// # Usage
//
//	r, err := midbox.New("127.0.0.1:7301")
//	defer r.Close()
//	dial(r.Addr())
//	r.SilenceOpen()      // open connections carry nothing any more, new ones work
//	r.SetAllSilent(true) // new connections are accepted and carry nothing either
package midbox

import (
	"net"
	"sync"
	"time"
)

const bufferBytes = 16 << 10

// Proxy relays TCP connections from Addr to the target and injects faults. It is
// safe for concurrent use.
type Proxy struct {
	target   string
	listener net.Listener

	mu        sync.Mutex
	allSilent bool
	delay     time.Duration
	oneWay    bool
	pairs     map[*pair]struct{}
}

// pair is one relayed connection: the client's side and the target's side.
type pair struct {
	client, server net.Conn
	mu             sync.Mutex
	silent         bool
}

// New starts a proxy to the target, an "IP:port", on a free port of 127.0.0.1.
func New(target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Proxy{target: target, listener: listener, pairs: map[*pair]struct{}{}}
	go r.accept()
	return r, nil
}

// Addr returns the "IP:port" to dial.
func (r *Proxy) Addr() string { return r.listener.Addr().String() }

// SilenceOpen makes every open connection silent; later connections are not affected.
func (r *Proxy) SilenceOpen() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for p := range r.pairs {
		p.silence()
	}
}

// SetAllSilent sets whether new connections are silent. If so, it also makes the
// open ones silent; setting it back doesn't restore them.
func (r *Proxy) SetAllSilent(silent bool) {
	r.mu.Lock()
	r.allSilent = silent
	r.mu.Unlock()
	if silent {
		r.SilenceOpen()
	}
}

// Reset ends every open connection, at both ends, with a TCP reset.
func (r *Proxy) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for p := range r.pairs {
		for _, c := range []net.Conn{p.client, p.server} {
			if tcp, ok := c.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0) // otherwise Close sends a FIN
			}
		}
		p.closeBoth()
	}
}

// SetDelay delays each chunk that is relayed from now on, in either direction.
func (r *Proxy) SetDelay(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay = d
}

// SetOneWay sets whether the bytes that the target sends are discarded.
func (r *Proxy) SetOneWay(on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.oneWay = on
}

func (r *Proxy) faults() (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.delay, r.oneWay
}

// Close closes the listener and every relayed connection.
func (r *Proxy) Close() {
	_ = r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for p := range r.pairs {
		p.closeBoth()
	}
}

func (r *Proxy) accept() {
	for {
		client, err := r.listener.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", r.target)
		if err != nil {
			_ = client.Close()
			continue
		}
		r.relay(&pair{client: client, server: server})
	}
}

// relay registers a pair and copies in both directions in the background.
func (r *Proxy) relay(p *pair) {
	r.mu.Lock()
	p.silent = r.allSilent
	r.pairs[p] = struct{}{}
	r.mu.Unlock()
	go r.copyBytes(p, p.client, p.server)
	go r.copyBytes(p, p.server, p.client)
}

// copyBytes copies from one side of a pair to the other until either side fails.
func (r *Proxy) copyBytes(p *pair, from, to net.Conn) {
	defer r.remove(p)
	buffer := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		delay, oneWay := r.faults()
		if p.isSilent() || (oneWay && from == p.server) {
			continue
		}
		time.Sleep(delay)
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// remove closes a pair and drops it. A silent pair stays open, so that the other
// end does not notice the close.
func (r *Proxy) remove(p *pair) {
	if p.isSilent() {
		return
	}
	p.closeBoth()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.pairs, p)
}

func (p *pair) silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.silent = true
}

func (p *pair) isSilent() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.silent
}

func (p *pair) closeBoth() {
	_ = p.client.Close()
	_ = p.server.Close()
}
