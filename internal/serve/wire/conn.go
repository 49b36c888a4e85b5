package wire

import (
	"cmp"
	"net"
	"syscall"
	"time"

	"siskinsaddle/internal/base/reply"
)

// maxWriteBytes is the number of bytes written under one deadline.
const maxWriteBytes = 64 << 10

// conn is a connection with a deadline on each read and write. It counts the
// bytes that the operating system accepted.
type conn struct {
	*reply.Conn
	// progressTimeout is the timeout of each read and write.
	progressTimeout time.Duration
	// headerTimeout, if not 0, replaces progressTimeout until the header is complete.
	// headerDeadline is its end, counted from the first read.
	headerTimeout  time.Duration
	headerDeadline time.Time
	// bodyBeginTimeout replaces a shorter progressTimeout for reads until the response
	// body has begun. It is 0 afterwards.
	bodyBeginTimeout time.Duration
	// bodyTimeout replaces a shorter progressTimeout for all reads of the response body.
	bodyTimeout time.Duration
	accepted    int
	// readable is the number of bytes that may still be read for this response.
	readable int
	used     bool
}

func (c *Client) dial(address string) (net.Conn, error) {
	checked, err := reply.Dial(address, orElse(c.DialTimeout, defaultDialTimeout).Duration(), c.Faults)
	if err != nil {
		return nil, err
	}
	progressTimeout := orElse(c.ProgressTimeout, defaultProgressTimeout)
	return &conn{Conn: checked, progressTimeout: progressTimeout.Duration()}, nil
}

// prepare resets the connection's state for one request, whose response may have
// maxBytes with its framing.
func (c *conn) prepare(r Request, maxBytes int) {
	c.Expect(r.Method)
	c.Server, c.ID = cmp.Or(r.Server, r.Address), r.ID
	c.accepted = 0
	c.used = true
	c.readable = maxBytes
	c.headerTimeout = r.HeaderTimeout.Duration()
	c.headerDeadline = time.Time{}
	c.bodyBeginTimeout = r.BodyBeginTimeout.Duration()
	c.bodyTimeout = r.BodyTimeout.Duration()
}

// headerEnded ends the timeout of the header.
func (c *conn) headerEnded() { c.headerTimeout = 0 }

// bodyBegun ends the timeout that holds until the response body begins.
func (c *conn) bodyBegun() { c.bodyBeginTimeout = 0 }

func (c *conn) Read(p []byte) (int, error) {
	if c.readable <= 0 {
		return 0, ErrTooLarge
	}
	if err := c.SetReadDeadline(c.readDeadline(time.Now())); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p[:min(len(p), c.readable)])
	c.readable -= n
	return n, err
}

// readDeadline returns the deadline of the next read. That of the header does not move
// while the header arrives.
func (c *conn) readDeadline(now time.Time) time.Time {
	if c.headerTimeout == 0 {
		return now.Add(max(c.progressTimeout, c.bodyBeginTimeout, c.bodyTimeout))
	}
	if c.headerDeadline.IsZero() {
		c.headerDeadline = now.Add(c.headerTimeout)
	}
	return c.headerDeadline
}

// Write sets a new deadline for every maxWriteBytes, so that a long body on a slow
// connection does not time out while it makes progress.
func (c *conn) Write(p []byte) (int, error) {
	written := 0
	for written < len(p) {
		if err := c.SetWriteDeadline(time.Now().Add(c.progressTimeout)); err != nil {
			return written, err
		}
		end := min(written+maxWriteBytes, len(p))
		n, err := c.Conn.Write(p[written:end])
		written += n
		c.accepted += n
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// reusable reports whether an idle connection may be used again: the server has
// neither closed it nor sent unsolicited bytes. It peeks at the receive buffer
// without blocking.
func (c *conn) reusable() bool {
	// The read deadline of the previous response may have passed.
	if err := c.SetReadDeadline(time.Time{}); err != nil {
		return false
	}
	raw, err := c.Conn.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	var peekErr error
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, peekErr = syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return true
	})
	return err == nil && (peekErr == syscall.EAGAIN || peekErr == syscall.EWOULDBLOCK)
}
