package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"
)

// resumeTrials is the number of streams that are played, and of hosts that are killed.
const resumeTrials = 1

// playResumedStream kills a host after it has passed on the last event of a stream, and
// before the stream's end. The caller resumes the stream at another host, whose server has
// no more events, and goes on using the channel. Each answer on it has to be one in the
// protocol.
func playResumedStream(l *lab) ([]string, error) {
	if err := l.config(); err != nil {
		return nil, err
	}
	for range 3 {
		if _, err := l.addServer(); err != nil {
			return nil, err
		}
	}
	if err := l.startHosts(hostCount); err != nil {
		return nil, err
	}
	time.Sleep(boundContact)
	var broken []string
	for i := range resumeTrials {
		line, err := l.resumeTrial(l.hosts[i], l.hosts[i+1])
		if err != nil {
			return nil, err
		}
		if line != "" {
			broken = append(broken, line)
		}
	}
	return broken, nil
}

// resumeTrial plays a stream at one host. With trouble the host is killed, and the stream
// is resumed at the next one.
func (l *lab) resumeTrial(first, next *host) (string, error) {
	c, err := l.dial(first)
	if err != nil {
		return "", err
	}
	defer c.close()
	if err := c.send(http.MethodPost, streamPrefix+"12", ""); err != nil {
		return "", err
	}
	response, err := c.receive(http.MethodPost)
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }() // its channel is closed too
	last, err := readEvents(response.Body, func(event int) {
		if event == streamEvents && l.trouble {
			l.log("host %s is killed", first.name)
			_ = first.process.Process.Kill() // the stream shows whether it was
		}
	})
	l.log("caller got the events up to %d (%v)", last, err)
	used := c
	if err != nil {
		if used, err = l.dial(next); err != nil {
			return "", err
		}
		defer used.close()
		if err := used.send(http.MethodPost, streamPrefix+"12", fmt.Sprint(last)); err != nil {
			return "", err
		}
		resumed, err := used.receive(http.MethodPost)
		if err != nil {
			return "", err
		}
		_, err = io.Copy(io.Discard, resumed.Body)
		_ = resumed.Body.Close() // it was read to its end
		l.log("caller got %d to the resumed request (body error: %v)", resumed.StatusCode, err)
	}
	return used.lookUp()
}

// lookUp sends a look-up on the channel, which is still open, and returns how its answer
// breaks the rule.
func (c *channel) lookUp() (string, error) {
	if err := c.send(http.MethodGet, routePrefix+"7", ""); err != nil {
		return "", err
	}
	begin, err := c.reader.Peek(len("HTTP/1.1 "))
	if err != nil {
		return "", err
	}
	if string(begin) != "HTTP/1.1 " {
		return fmt.Sprintf("MIXED: the answer to request %s on a channel of %s begins with %q, which is no answer in the protocol", c.id, c.host.name, begin), nil
	}
	response, err := c.receive(http.MethodGet)
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }() // it was read to its end
	if got := response.Header.Get(fieldID); got != c.id {
		return fmt.Sprintf("MIXED: the answer to request %s on a channel of %s belongs to %q", c.id, c.host.name, got), nil
	}
	_, err = io.Copy(io.Discard, response.Body)
	return "", err
}

// channel is a caller's connection to a host.
type channel struct {
	lab    *lab
	host   *host
	conn   net.Conn
	reader *bufio.Reader
	// id is the ID of the last request.
	id string
}

func (l *lab) dial(h *host) (*channel, error) {
	conn, err := net.Dial("tcp", h.caller)
	if err != nil {
		return nil, err
	}
	return &channel{lab: l, host: h, conn: conn, reader: bufio.NewReader(conn)}, conn.SetDeadline(time.Now().Add(startTime))
}

func (c *channel) close() { _ = c.conn.Close() }

// send sends a request without a body. Last names the last event that the caller got, "" for
// none.
func (c *channel) send(method, path, last string) error {
	c.id = fmt.Sprintf("%016x", rand.Uint64())
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %s\r\n%s: %d\r\n", method, path, routeHost,
		fieldID, c.id, fieldKey, apiKey, fieldDeadline, callerTime.Milliseconds())
	if last != "" {
		fmt.Fprintf(&b, "%s: %s\r\n", fieldLast, last)
	}
	if method == http.MethodPost {
		b.WriteString("Content-Length: 0\r\n")
	}
	b.WriteString("\r\n")
	c.lab.log("caller sends %s %s as %s to %s, after event %q", method, path, c.id, c.host.name, last)
	_, err := io.WriteString(c.conn, b.String())
	return err
}

// receive reads the header of the answer to the last request.
func (c *channel) receive(method string) (*http.Response, error) {
	response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return nil, err
	}
	c.lab.log("caller got %d to %s", response.StatusCode, response.Header.Get(fieldID))
	return response, nil
}

// readEvents reads a stream to its end and returns the number of its last event. It calls
// seen with each event.
func readEvents(r io.Reader, seen func(event int)) (int, error) {
	last := 0
	reader := bufio.NewReader(r)
	for {
		line, err := reader.ReadString('\n')
		if errors.Is(err, io.EOF) {
			return last, nil
		}
		if err != nil {
			return last, err
		}
		if n, _ := fmt.Sscanf(line, "id: %d", &last); n == 1 {
			continue
		}
		if line == "\n" {
			seen(last)
		}
	}
}
