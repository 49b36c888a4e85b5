package wire

import (
	"net"
	"syscall"
	"time"
)

// writeBytes is how much is written under one deadline.
const writeBytes = 64 << 10

// conn is a connection with a deadline on each read and write. It counts the
// bytes that the operating system took.
type conn struct {
	net.Conn
	progress time.Duration
	// firstByte is the deadline of the next read, 0 for progress.
	firstByte time.Duration
	// begin is the deadline of reads until the answer's body has begun, 0 for
	// progress.
	begin time.Duration
	taken int
	used  bool
}

func (c *Client) dial(address string) (net.Conn, error) {
	plain, err := net.DialTimeout("tcp", address, orElse(c.DialTimeout, defaultDialTimeout).Duration())
	if err != nil {
		return nil, err
	}
	progress := orElse(c.ProgressTimeout, defaultProgressTimeout)
	return &conn{Conn: plain, progress: progress.Duration()}, nil
}

// prepare makes the connection ready for one request.
func (c *conn) prepare(r Request) {
	c.taken = 0
	c.used = true
	c.firstByte = r.FirstByteTimeout.Duration()
	c.begin = r.BeginTimeout.Duration()
}

// begun ends the wait for the begin of an answer's body.
func (c *conn) begun() { c.begin = 0 }

func (c *conn) Read(p []byte) (int, error) {
	wait := max(c.progress, c.begin)
	if c.firstByte > 0 {
		wait = c.firstByte
		c.firstByte = 0
	}
	if err := c.SetReadDeadline(time.Now().Add(wait)); err != nil {
		return 0, err
	}
	return c.Conn.Read(p)
}

// Write gives each piece a deadline of its own, so that a long body on a slow
// connection is not taken for a silent one.
func (c *conn) Write(p []byte) (int, error) {
	written := 0
	for written < len(p) {
		if err := c.SetWriteDeadline(time.Now().Add(c.progress)); err != nil {
			return written, err
		}
		end := min(written+writeBytes, len(p))
		n, err := c.Conn.Write(p[written:end])
		written += n
		c.taken += n
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// alive tells whether an idle connection may be used: the server has neither
// closed it nor sent bytes that belong to no request. It looks at the receive
// buffer without waiting and without taking anything out.
func (c *conn) alive() bool {
	// The deadline of the last answer may have passed meanwhile.
	if err := c.SetReadDeadline(time.Time{}); err != nil {
		return false
	}
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	var peeked error
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, peeked = syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return true
	})
	return err == nil && (peeked == syscall.EAGAIN || peeked == syscall.EWOULDBLOCK)
}
