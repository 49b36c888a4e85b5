package front

import (
	"net"
	"sync"
	"time"

	"siskinsaddle/internal/fakes/spoil"
)

const (
	readChunkBytes = 16 << 10
	// maxBufferedBytes is how far one connection reads ahead of the HTTP server.
	maxBufferedBytes = 1 << 20
)

// Conn is a connection from a caller. It reads ahead of the HTTP server, so that
// the stand-in notices a close by the caller while a request is in progress.
type Conn struct {
	net.Conn
	server *Server
	ended  chan struct{}

	mu       sync.Mutex
	wake     *sync.Cond
	buffered []byte
	err      error
	silent   bool
	closed   bool
	spoil    spoil.Kind
}

func newConn(raw net.Conn, s *Server) *Conn {
	c := &Conn{Conn: raw, server: s, ended: make(chan struct{})}
	c.wake = sync.NewCond(&c.mu)
	return c
}

// Done returns a channel that is closed when the connection ends: the caller
// closed it, or Close or Reset was called. On a silent connection, a close by the
// caller goes unnoticed.
func (c *Conn) Done() <-chan struct{} { return c.ended }

// readAhead reads from the caller into the buffer until the connection ends.
func (c *Conn) readAhead() {
	chunk := make([]byte, readChunkBytes)
	for {
		n, err := c.Conn.Read(chunk)
		if !c.buffer(chunk[:n], err) {
			return
		}
	}
}

// buffer stores bytes that were read, or discards them on a silent connection, and
// blocks while the buffer is full. It returns false once the connection has ended.
func (c *Conn) buffer(chunk []byte, err error) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.silent {
		return err == nil
	}
	c.buffered = append(c.buffered, chunk...)
	c.wake.Broadcast()
	if err != nil {
		c.endLocked(err)
		return false
	}
	for len(c.buffered) > maxBufferedBytes && c.err == nil {
		c.wake.Wait()
	}
	return true
}

// endLocked records the end of the connection. The caller must hold c.mu.
func (c *Conn) endLocked(err error) {
	if c.err != nil {
		return
	}
	c.err = err
	close(c.ended)
	c.wake.Broadcast()
}

// Read returns bytes from the buffer and blocks while it is empty. Once the
// connection has ended and the buffer is empty, it returns the cause.
func (c *Conn) Read(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.buffered) == 0 && c.err == nil {
		c.wake.Wait()
	}
	if len(c.buffered) == 0 {
		return 0, c.err
	}
	n := copy(b, c.buffered)
	c.buffered = c.buffered[n:]
	c.wake.Broadcast()
	return n, nil
}

// Spoil breaks the response that is written next.
func (c *Conn) Spoil(kind spoil.Kind) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.spoil = kind
}

// Write writes to the caller. On a silent connection it discards the bytes.
func (c *Conn) Write(b []byte) (int, error) {
	c.mu.Lock()
	silent, kind := c.silent, c.spoil
	c.spoil = ""
	c.mu.Unlock()
	if silent {
		return len(b), nil
	}
	if kind == "" {
		return c.Conn.Write(b)
	}
	text, goesOn := kind.Response(b)
	_, err := c.Conn.Write(text)
	if err == nil && !goesOn {
		err = c.Close()
	}
	return len(b), err
}

// Close closes the connection. A silent connection stays open towards the caller.
func (c *Conn) Close() error {
	c.mu.Lock()
	c.endLocked(net.ErrClosed)
	silent := c.silent
	c.mu.Unlock()
	if silent {
		return nil
	}
	return c.closeSocket()
}

// Reset closes the connection, silent or not, with a TCP reset: the caller reads an
// error instead of EOF.
func (c *Conn) Reset() {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	c.mu.Lock()
	c.endLocked(net.ErrClosed)
	c.mu.Unlock()
	_ = c.closeSocket()
}

// closeSocket closes the TCP connection once and untracks it.
func (c *Conn) closeSocket() error {
	c.mu.Lock()
	done := c.closed
	c.closed = true
	c.mu.Unlock()
	if done {
		return nil
	}
	c.server.untrack(c)
	return c.Conn.Close()
}

func (c *Conn) silence() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.silent = true
}

// SetReadDeadline does nothing: a read blocks until data arrives or the connection
// ends.
func (c *Conn) SetReadDeadline(time.Time) error { return nil }

// SetDeadline sets the write deadline only.
func (c *Conn) SetDeadline(t time.Time) error { return c.SetWriteDeadline(t) }
