// Package midbox is a TCP relay between two ends under test. It can drop what it
// relays without telling either end, as a middle box does that has lost track
// of its connections.
//
// # Usage
//
//	r, err := midbox.New("127.0.0.1:7301")
//	defer r.Close()
//	dial(r.Addr())
//	r.SilenceOpen()    // connections of now carry nothing any more, new ones work
//	r.SetAllSilent(true) // new ones are accepted and carry nothing either
package midbox

import (
	"net"
	"sync"
	"time"
)

const bufferBytes = 16 << 10

// Proxy passes bytes between those who dial Addr and the target.
type Proxy struct {
	target   string
	listener net.Listener

	mu        sync.Mutex
	allSilent bool
	delay     time.Duration
	oneWay    bool
	pairs     map[*pair]struct{}
}

type pair struct {
	near, far net.Conn
	mu        sync.Mutex
	silent    bool
}

// New opens a relay on a loopback port that the system chooses.
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

// SilenceOpen makes every open connection swallow what either end sends.
func (r *Proxy) SilenceOpen() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for p := range r.pairs {
		p.silence()
	}
}

// SetAllSilent makes open connections silent and decides whether new ones are.
func (r *Proxy) SetAllSilent(silent bool) {
	r.mu.Lock()
	r.allSilent = silent
	r.mu.Unlock()
	if silent {
		r.SilenceOpen()
	}
}

// Reset ends every open connection with a reset.
func (r *Proxy) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for p := range r.pairs {
		for _, c := range []net.Conn{p.near, p.far} {
			if tcp, ok := c.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0) // without it the connection is closed instead
			}
		}
		p.end()
	}
}

// SetDelay holds back each piece of bytes that passes from now on.
func (r *Proxy) SetDelay(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay = d
}

// SetOneWay drops what the target sends back.
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

// Close ends the relay and its connections.
func (r *Proxy) Close() {
	_ = r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for p := range r.pairs {
		p.end()
	}
}

func (r *Proxy) accept() {
	for {
		near, err := r.listener.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", r.target)
		if err != nil {
			_ = near.Close()
			continue
		}
		r.relay(&pair{near: near, far: far})
	}
}

func (r *Proxy) relay(p *pair) {
	r.mu.Lock()
	p.silent = r.allSilent
	r.pairs[p] = struct{}{}
	r.mu.Unlock()
	go r.pass(p, p.near, p.far)
	go r.pass(p, p.far, p.near)
}

func (r *Proxy) pass(p *pair, from, to net.Conn) {
	defer r.forget(p)
	buffer := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		delay, oneWay := r.faults()
		if p.isSilent() || (oneWay && from == p.far) {
			continue
		}
		time.Sleep(delay)
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// forget ends a pair. A silent one hides the end from the other side.
func (r *Proxy) forget(p *pair) {
	if p.isSilent() {
		return
	}
	p.end()
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

func (p *pair) end() {
	_ = p.near.Close()
	_ = p.far.Close()
}
