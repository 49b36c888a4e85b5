package front

import (
	"net"
	"sync"
	"time"
)

const (
	readChunkBytes = 16 << 10
	maxUnreadBytes = 1 << 20
)

// Conn is one caller's connection. It reads ahead of the HTTP server, so that
// the stand-in learns at once that the caller has closed it.
type Conn struct {
	net.Conn
	server *Server
	gone   chan struct{}

	mu     sync.Mutex
	wake   *sync.Cond
	unread []byte
	err    error
	silent bool
	closed bool
}

func newConn(raw net.Conn, s *Server) *Conn {
	c := &Conn{Conn: raw, server: s, gone: make(chan struct{})}
	c.wake = sync.NewCond(&c.mu)
	return c
}

// Gone is closed once the caller has closed the connection, or Reset was
// called. A silent connection's caller is never known to be gone.
func (c *Conn) Gone() <-chan struct{} { return c.gone }

// pump reads until the connection ends.
func (c *Conn) pump() {
	chunk := make([]byte, readChunkBytes)
	for {
		n, err := c.Conn.Read(chunk)
		if !c.take(chunk[:n], err) {
			return
		}
	}
}

// take stores what was read; it returns false after the end.
func (c *Conn) take(chunk []byte, err error) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.silent {
		return err == nil
	}
	c.unread = append(c.unread, chunk...)
	c.wake.Broadcast()
	if err != nil {
		c.end(err)
		return false
	}
	for len(c.unread) > maxUnreadBytes && c.err == nil {
		c.wake.Wait()
	}
	return true
}

// end records the end of the connection; the caller holds the lock.
func (c *Conn) end(err error) {
	if c.err != nil {
		return
	}
	c.err = err
	close(c.gone)
	c.wake.Broadcast()
}

// Read returns what the pump has read.
func (c *Conn) Read(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.unread) == 0 && c.err == nil {
		c.wake.Wait()
	}
	if len(c.unread) == 0 {
		return 0, c.err
	}
	n := copy(b, c.unread)
	c.unread = c.unread[n:]
	c.wake.Broadcast()
	return n, nil
}

// Write writes to the caller, or nowhere on a silent connection.
func (c *Conn) Write(b []byte) (int, error) {
	c.mu.Lock()
	silent := c.silent
	c.mu.Unlock()
	if silent {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Close closes the connection. The caller of a silent one does not notice.
func (c *Conn) Close() error {
	c.mu.Lock()
	c.end(net.ErrClosed)
	silent := c.silent
	c.mu.Unlock()
	if silent {
		return nil
	}
	return c.shut()
}

// Reset closes the connection, silent or not, without a clean end: the caller
// reads an error.
func (c *Conn) Reset() {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	c.mu.Lock()
	c.end(net.ErrClosed)
	c.mu.Unlock()
	_ = c.shut()
}

func (c *Conn) shut() error {
	c.mu.Lock()
	done := c.closed
	c.closed = true
	c.mu.Unlock()
	if done {
		return nil
	}
	c.server.forget(c)
	return c.Conn.Close()
}

func (c *Conn) silence() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.silent = true
}

// SetReadDeadline does nothing: a read ends with the connection.
func (c *Conn) SetReadDeadline(time.Time) error { return nil }

// SetDeadline sets the deadline of writes.
func (c *Conn) SetDeadline(t time.Time) error { return c.SetWriteDeadline(t) }
