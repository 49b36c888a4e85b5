package entry

import (
	"context"
	"net"
	"syscall"
	"time"

	"siskinsaddle/internal/base/clock"
)

// guardListener gives every connection a deadline for each write, so that a
// caller that takes nothing is dropped while a long answer to one that takes
// its parts goes on.
type guardListener struct {
	net.Listener
	writeTimeout time.Duration
}

// Accept waits for the next connection.
func (l guardListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &guardConn{Conn: c, writeTimeout: l.writeTimeout}, nil
}

type guardConn struct {
	net.Conn
	writeTimeout time.Duration
}

// Write writes within the timeout.
func (c *guardConn) Write(b []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.writeTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

// gonePeriod is the time between two looks at a caller's connection.
const gonePeriod = 100 * time.Millisecond

// watchGone cancels once the caller has closed its connection. The HTTP server
// does not read while a handler runs, so the watch looks at the socket without
// taking bytes from it. It ends with the context.
func watchGone(ctx context.Context, c net.Conn, cancel context.CancelFunc) {
	ticker := time.NewTicker(gonePeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if closed(c) {
				cancel()
				return
			}
		}
	}
}

// closed tells whether the other end has closed the connection: a look at the
// socket that finds the end of the stream or a broken connection.
func closed(c net.Conn) bool {
	if g, ok := c.(*guardConn); ok {
		c = g.Conn
	}
	raw, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return true
	}
	gone := false
	err = control.Control(func(fd uintptr) { gone = peekEnd(int(fd)) })
	return err != nil || gone
}

func peekEnd(fd int) bool {
	var one [1]byte
	n, _, err := syscall.Recvfrom(fd, one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	if err == nil {
		return n == 0
	}
	return err != syscall.EAGAIN && err != syscall.EINTR
}

// seconds rounds a length of time up to whole seconds, for Retry-After.
func seconds(m clock.Millis) int {
	return int((m + clock.Second - 1) / clock.Second)
}
