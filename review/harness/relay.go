package main

import (
	"net"
	"sync"
)

// relay passes the connections of one process on to another address. Those that are
// silenced stay open and carry nothing any more.
type relay struct {
	address  string
	listener net.Listener
	mu       sync.Mutex
	gates    map[*gate]bool
}

// gate is one direction of a connection. Bytes that arrive while it is shut are dropped.
type gate struct {
	mu   sync.Mutex
	shut bool
}

// startRelay starts a relay to an address.
func startRelay(ip, to string) *relay {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		fail("listening as a relay: %v", err)
	}
	r := &relay{address: l.Addr().String(), listener: l, gates: map[*gate]bool{}}
	go func() {
		for {
			in, err := l.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", to)
			if err != nil {
				_ = in.Close()
				continue
			}
			go r.pass(in, out)
			go r.pass(out, in)
		}
	}()
	return r
}

func (r *relay) pass(from, to net.Conn) {
	g := &gate{}
	r.mu.Lock()
	r.gates[g] = true
	r.mu.Unlock()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		g.mu.Lock()
		if !g.shut && n > 0 {
			_, _ = to.Write(buffer[:n])
		}
		// The end of a silenced connection reaches nobody either.
		if err != nil && !g.shut {
			_ = to.Close()
		}
		g.mu.Unlock()
		if err != nil {
			break
		}
	}
	r.mu.Lock()
	delete(r.gates, g)
	r.mu.Unlock()
	_ = from.Close() // nothing more comes from it
}

// silence makes all open connections silent for good. New ones work.
func (r *relay) silence() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	for g := range r.gates {
		g.mu.Lock()
		g.shut = true
		g.mu.Unlock()
	}
	return len(r.gates) / 2
}
