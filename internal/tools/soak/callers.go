package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/fakes/origin"
	"siskinsaddle/internal/policy/route"
	"siskinsaddle/platform"
)

// wholeStream is the body of a complete stream.
var wholeStream = origin.Whole()

const (
	// oldKeyShare is the share of requests with a key that was withdrawn.
	oldKeyShare = 0.1
	// mostThinking is the longest pause of a caller between requests, in
	// milliseconds.
	mostThinking = 60
	// longConnection is how many requests a caller sends on a connection before
	// it opens another one.
	longConnection = 40
)

// caller sends one request after the other on a connection that it keeps.
type caller struct {
	world  *world
	name   string
	random *rand.Rand
	host   *host
	conn   net.Conn
	reader *bufio.Reader
	sent   int
}

// call is one caller's day.
func (w *world) call(ctx context.Context, number int, random *rand.Rand) {
	c := &caller{world: w, name: fmt.Sprint("c", number), random: random}
	defer c.hangUp()
	for ctx.Err() == nil {
		if c.conn == nil || c.sent%longConnection == 0 {
			c.hangUp()
			c.host = w.choose(random)
		}
		s := c.once(routes[random.IntN(len(routes))])
		w.mu.Lock()
		w.record.Sent = append(w.record.Sent, s)
		w.mu.Unlock()
		w.pause(ctx, clock.Millis(random.IntN(mostThinking)))
	}
}

// choose takes a host as a balancer does: any that is ready, else any.
func (w *world) choose(random *rand.Rand) *host {
	var ready []*host
	for _, h := range w.hosts {
		if h.ready.Load() {
			ready = append(ready, h)
		}
	}
	if len(ready) == 0 {
		ready = w.hosts
	}
	return ready[random.IntN(len(ready))]
}

// key is one in force, or now and then one that was withdrawn.
func (w *world) key(random *rand.Rand) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.old) > 0 && random.Float64() < oldKeyShare {
		return w.old[random.IntN(len(w.old))]
	}
	return w.keys[random.IntN(len(w.keys))]
}

func (c *caller) hangUp() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// once sends one request and reads its answer.
func (c *caller) once(r route.Route) Sent {
	c.sent++
	s := Sent{
		ID: fmt.Sprintf("%s-%d", c.name, c.sent), Kind: r.Kind, Host: c.host.number,
		Key: c.world.key(c.random), At: c.world.now(),
	}
	if err := c.send(r, s); err != nil {
		s.Refused = true
		c.hangUp()
	} else {
		c.read(&s)
	}
	s.Ended = c.world.now()
	return s
}

func (c *caller) send(r route.Route, s Sent) error {
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.host.settings.CallerAddress, time.Second)
		if err != nil {
			return err
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	if err := c.conn.SetDeadline(deadline()); err != nil {
		return err
	}
	names := platform.Headers
	body := "for " + s.ID
	_, err := fmt.Fprintf(c.conn, "POST %sx HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %s\r\n%s: %d\r\nContent-Length: %d\r\n\r\n%s",
		r.Prefix, callerHost, names.RequestID, s.ID, names.Key, s.Key, names.Timeout, timeLimit, len(body), body)
	return err
}

func (c *caller) read(s *Sent) {
	answer, err := http.ReadResponse(c.reader, &http.Request{Method: http.MethodPost})
	if err != nil {
		c.hangUp()
		return
	}
	defer func() { _ = answer.Body.Close() }()
	s.Status = answer.StatusCode
	s.Stamp = answer.Header.Get(platform.Headers.ServerStamp)
	s.AnswerID = answer.Header.Get(platform.Headers.RequestID)
	body, err := io.ReadAll(answer.Body)
	s.Body, s.Whole = string(body), err == nil
	if err != nil || answer.Close {
		c.hangUp()
	}
}
