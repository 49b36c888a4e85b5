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
	"siskinsaddle/internal/base/reply"
	"siskinsaddle/internal/fakes/origin"
	"siskinsaddle/internal/fakes/spoil"
	"siskinsaddle/internal/policy/route"
	"siskinsaddle/platform"
)

// wholeStream is the expected body of a stream.
var wholeStream = origin.FullStream()

const (
	// revokedKeyShare is the share of requests that use a revoked key.
	revokedKeyShare = 0.1
	// maxThinkTime is the maximum pause of a caller between requests, in milliseconds.
	maxThinkTime = 60
	// firstSegments and topicSegments are the numbers of different first and second
	// segments of prompts, segmentTokens the length of each.
	firstSegments = 3
	topicSegments = 12
	segmentTokens = 200
	// requestsPerConnection is how many requests a caller sends on a connection before
	// it opens another one.
	requestsPerConnection = 40
)

// caller sends requests one after the other on a keep-alive connection.
type caller struct {
	harness *harness
	name    string
	random  *rand.Rand
	host    *host
	conn    *reply.Conn
	reader  *bufio.Reader
	sent    int
	// poison is the segment of the caller's prompts that crashes engines, "" for none.
	poison string
}

// runCaller sends requests until the context ends and records each of them.
func (hn *harness) runCaller(ctx context.Context, number int, random *rand.Rand) {
	c := &caller{harness: hn, name: fmt.Sprint("c", number), random: random}
	defer c.closeConn()
	for ctx.Err() == nil {
		if c.conn == nil || c.sent%requestsPerConnection == 0 {
			c.closeConn()
			c.host = hn.pickHost(random)
		}
		s := c.roundTrip(routes[random.IntN(len(routes))])
		hn.mu.Lock()
		hn.record.Requests = append(hn.record.Requests, s)
		hn.mu.Unlock()
		hn.pause(ctx, clock.Millis(random.IntN(maxThinkTime)))
	}
}

// pickHost picks a random host that is ready, or any host if none is, as a load
// balancer does.
func (hn *harness) pickHost(random *rand.Rand) *host {
	var ready []*host
	for _, h := range hn.hosts {
		if h.ready.Load() {
			ready = append(ready, h)
		}
	}
	if len(ready) == 0 {
		ready = hn.hosts
	}
	return ready[random.IntN(len(ready))]
}

// pickKey returns a random key in force or, with revokedKeyShare, a revoked one.
func (hn *harness) pickKey(random *rand.Rand) string {
	hn.mu.Lock()
	defer hn.mu.Unlock()
	if len(hn.revokedKeys) > 0 && random.Float64() < revokedKeyShare {
		return hn.revokedKeys[random.IntN(len(hn.revokedKeys))]
	}
	return hn.keys[random.IntN(len(hn.keys))]
}

func (c *caller) closeConn() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// roundTrip sends one request and reads its response.
func (c *caller) roundTrip(r route.Route) Request {
	c.sent++
	s := Request{
		ID: fmt.Sprintf("%s-%d", c.name, c.sent), Kind: r.Kind, Host: c.host.number,
		Key: c.harness.pickKey(c.random), At: c.harness.now(),
	}
	if r.Prompts {
		s.Segments = []string{fmt.Sprint("first-", c.random.IntN(firstSegments)), fmt.Sprint("topic-", c.random.IntN(topicSegments))}
		if c.poison != "" {
			s.Segments[1] = c.poison
		}
	}
	if err := c.send(r, s); err != nil {
		s.Unsent = true
		c.closeConn()
	} else {
		c.read(&s)
	}
	s.Ended = c.harness.now()
	return s
}

func (c *caller) send(r route.Route, s Request) error {
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.host.settings.CallerAddress, time.Second)
		if err != nil {
			return err
		}
		c.conn = reply.Wrap(conn, c.host.settings.CallerAddress, nil)
		c.reader = bufio.NewReader(c.conn)
	}
	if err := c.conn.SetDeadline(deadline()); err != nil {
		return err
	}
	names := platform.Headers
	body := "for " + s.ID
	_, err := fmt.Fprintf(c.conn, "POST %sx HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %s\r\n%s: %d\r\n%sContent-Length: %d\r\n\r\n%s",
		r.Prefix, callerHost, names.RequestID, s.ID, names.Key, s.Key, names.Timeout, timeLimit, promptFields(s), len(body), body)
	return err
}

// promptFields returns the header lines that describe the prompt of a request.
func promptFields(s Request) string {
	if len(s.Segments) == 0 {
		return ""
	}
	text := platform.Headers.PromptSegments + ": "
	for _, name := range s.Segments {
		text += fmt.Sprintf("%s:%d,", name, segmentTokens)
	}
	return text + fmt.Sprintf("own-%s:%d\r\n%s: %d,20\r\n", s.ID, segmentTokens, platform.Headers.TokenCounts, segmentTokens*(len(s.Segments)+1))
}

func (c *caller) read(s *Request) {
	open := c.conn
	defer func() { s.Fault = open.Fault() }()
	answer, err := http.ReadResponse(c.reader, &http.Request{Method: http.MethodPost})
	if err != nil {
		c.closeConn()
		return
	}
	defer func() { _ = answer.Body.Close() }()
	s.Status = answer.StatusCode
	s.Stamp = answer.Header.Get(platform.Headers.ServerStamp)
	s.Limit = answer.Header.Get(platform.Headers.RateLimit)
	s.Leaving = answer.Header.Get(platform.Headers.Leaving) == "1"
	s.Spoiled = answer.Header.Get(spoil.Field)
	s.AnswerID = answer.Header.Get(platform.Headers.RequestID)
	body, err := io.ReadAll(answer.Body)
	endMarked := answer.ContentLength >= 0 || len(answer.TransferEncoding) > 0
	s.Body, s.Whole = string(body), err == nil && endMarked
	if err != nil || answer.Close {
		c.closeConn()
	}
}
