package entry

import (
	"context"
	"net"
	"syscall"
	"time"

	"siskinsaddle/internal/base/clock"
)

// timeoutListener sets a deadline for each write on its connections. A caller that
// stops reading is disconnected, while a long response to a caller that keeps
// reading is not interrupted.
type timeoutListener struct {
	net.Listener
	writeTimeout time.Duration
}

// Accept implements net.Listener.
func (l timeoutListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &timeoutConn{Conn: c, writeTimeout: l.writeTimeout}, nil
}

type timeoutConn struct {
	net.Conn
	writeTimeout time.Duration
}

// Write sets a new write deadline and writes b.
func (c *timeoutConn) Write(b []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.writeTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

// disconnectPollPeriod is the time between two checks of a caller's connection.
const disconnectPollPeriod = 100 * time.Millisecond

// cancelOnDisconnect calls cancel once the caller has closed its connection, and
// returns when ctx is done. The HTTP server does not read while a handler runs, so
// the socket is polled without consuming data.
func cancelOnDisconnect(ctx context.Context, c net.Conn, cancel context.CancelFunc) {
	ticker := time.NewTicker(disconnectPollPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if peerClosed(c) {
				cancel()
				return
			}
		}
	}
}

// peerClosed reports whether the peer has closed the connection: peeking at the
// socket finds the end of the stream or a broken connection.
func peerClosed(c net.Conn) bool {
	if tc, ok := c.(*timeoutConn); ok {
		c = tc.Conn
	}
	raw, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return true
	}
	isClosed := false
	err = control.Control(func(fd uintptr) { isClosed = peekEOF(int(fd)) })
	return err != nil || isClosed
}

// peekEOF peeks at a socket without blocking. It returns true at the end of the
// stream or on an error other than EAGAIN and EINTR.
func peekEOF(fd int) bool {
	var buf [1]byte
	n, _, err := syscall.Recvfrom(fd, buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	if err == nil {
		return n == 0
	}
	return err != syscall.EAGAIN && err != syscall.EINTR
}

// retryAfterSeconds rounds a duration up to whole seconds, for Retry-After.
func retryAfterSeconds(m clock.Millis) int {
	return int((m + clock.Second - 1) / clock.Second)
}
