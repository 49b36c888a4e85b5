package reply

import (
	"io"
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// Conn is a client's connection whose reads fail at the first byte that is no response. The
// bytes before it are read first. It is used by one reader at a time.
type Conn struct {
	net.Conn
	// Faults may be nil. Server and ID name the server and the request in its reports.
	Faults *Faults
	Server string
	ID     string

	checker checker
}

// Dial opens a connection to the server at an "IP:port".
func Dial(address string, timeout time.Duration, faults *Faults) (*Conn, error) {
	tcp, err := net.DialTimeout("tcp", address, timeout)
	if err != nil {
		return nil, err
	}
	return Wrap(tcp, address, faults), nil
}

// Wrap returns a checked connection on one to the server at an "IP:port".
func Wrap(c net.Conn, address string, faults *Faults) *Conn {
	return &Conn{Conn: c, Faults: faults, Server: address}
}

// Expect prepares for the response to a request that is sent next.
func (c *Conn) Expect(method string) { c.checker.noBodies = method == "HEAD" }

// Complete reports whether the bytes so far end a final response, or there are none.
func (c *Conn) Complete() bool { return c.checker.complete() }

// Fault returns the fault that has ended the connection's reads, or "".
func (c *Conn) Fault() Fault { return c.checker.fault }

// Read returns a *BrokenError instead of bytes that are no response, and for an end of the
// connection within a response.
func (c *Conn) Read(p []byte) (int, error) {
	if fault := c.Fault(); fault != "" {
		return 0, &BrokenError{fault}
	}
	n, err := c.Conn.Read(p)
	valid := c.checker.check(p[:n])
	if reset := errors.Is(err, syscall.ECONNRESET); reset || errors.Is(err, io.EOF) {
		c.checker.end(reset)
	}
	fault := c.Fault()
	if fault == "" {
		return n, err
	}
	c.Report(fault)
	if valid > 0 {
		return valid, nil
	}
	return 0, &BrokenError{fault}
}

const (
	// maxLateReads bounds the reads of EndByReset, and lateReadTime the time for them.
	maxLateReads = 64
	lateReadTime = time.Millisecond
	lateReadSize = 4 << 10
)

// EndByReset ends the reads of a connection that was reset while its request was written. What
// has arrived of a response by then is broken: a read behind it would say that the connection
// ended in order, as the write has taken the error.
func (c *Conn) EndByReset() {
	if c.SetReadDeadline(time.Now().Add(lateReadTime)) != nil {
		return
	}
	var buffer [lateReadSize]byte
	for range maxLateReads {
		n, err := c.Conn.Read(buffer[:])
		c.checker.check(buffer[:n])
		if err != nil {
			break
		}
	}
	c.checker.end(true)
	if fault := c.Fault(); fault != "" {
		c.Report(fault)
	}
}

// Report reports a fault of the server.
func (c *Conn) Report(fault Fault) { c.Faults.report(c.Server, c.ID, fault) }
