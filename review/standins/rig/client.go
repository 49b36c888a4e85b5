package rig

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// Answer is what a caller got.
type Answer struct {
	Status int
	Header http.Header
	Body   string
	// Err is set if no complete answer came.
	Err error
}

// Call is one request of a caller.
type Call struct {
	ID     string
	Method string
	Path   string
	Key    string
	Wait   time.Duration
	Body   string
	Header []string
}

// Text returns the request as it is sent.
func (c Call) Text(host string) string {
	var b strings.Builder
	_, _ = fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n", c.Method, c.Path, host, c.ID, c.Wait.Milliseconds())
	if c.Key != "" {
		_, _ = fmt.Fprintf(&b, "X-Api-Key: %s\r\n", c.Key)
	}
	for _, h := range c.Header {
		b.WriteString(h + "\r\n")
	}
	if c.Method != http.MethodGet {
		_, _ = fmt.Fprintf(&b, "Content-Length: %d\r\n", len(c.Body))
	}
	b.WriteString("\r\n" + c.Body)
	return b.String()
}

// Caller is a channel of a consumer to a host.
type Caller struct {
	conn   net.Conn
	reader *bufio.Reader
}

// Dial opens a channel.
func Dial(address string) (*Caller, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &Caller{conn: c, reader: bufio.NewReader(c)}, nil
}

// Close closes the channel.
func (c *Caller) Close() { _ = c.conn.Close() }

// Do sends one request and reads its answer.
func (c *Caller) Do(call Call) Answer {
	_ = c.conn.SetDeadline(time.Now().Add(call.Wait + time.Second))
	if _, err := io.WriteString(c.conn, call.Text("shop.example")); err != nil {
		return Answer{Err: err}
	}
	return readAnswer(c.reader, call.Method)
}

// ReadAnswer reads the answer to a POST request from a channel.
func ReadAnswer(c net.Conn) Answer { return readAnswer(bufio.NewReader(c), http.MethodPost) }

func readAnswer(r *bufio.Reader, method string) Answer {
	resp, err := http.ReadResponse(r, &http.Request{Method: method})
	if err != nil {
		return Answer{Err: err}
	}
	body, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	return Answer{Status: resp.StatusCode, Header: resp.Header, Body: string(body), Err: err}
}

// Once sends one request on a channel of its own.
func Once(address string, call Call) Answer {
	c, err := Dial(address)
	if err != nil {
		return Answer{Err: err}
	}
	defer c.Close()
	return c.Do(call)
}
