package wire_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"

	"siskinsaddle/internal/serve/wire"
)

// point is where the server drops the connection, or goes silent.
type point string

const (
	beforeRequest        point = "BeforeRequest"
	duringRequest        point = "DuringRequest"
	afterRequest         point = "AfterRequest"
	duringHeader         point = "DuringHeader"
	duringBody           point = "DuringBody"
	afterResponse        point = "AfterResponse"
	never                point = "Never"
	answerText                 = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nX-Kind: test\r\n\r\ndone"
	headerSplit                = 20
	bodySplit                  = len(answerText) - 2
	requestTaste               = 12
	requestIDField             = "X-Request-Id"
	longBodyLength             = 4 << 20
	chunkedAnswer              = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n"
	quickTimeout               = 60
	generousTimeout            = 10_000
	connectionsAtOnce          = 8
	requestsPerWorker          = 40
	strayAnswerForNobody       = answerText
)

var (
	points = []point{beforeRequest, duringRequest, afterRequest, duringHeader, duringBody, afterResponse}
	verbs  = []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS", "TRACE", "CONNECT", "QUERY"}
)

// backend is a server that fails each connection at one point and counts how
// often it got each request, whole or in part.
type backend struct {
	net.Listener
	mu     sync.Mutex
	at     point
	silent bool
	reset  bool
	text   string
	got    map[string]int
	parts  int
	open   []net.Conn
	links  sync.WaitGroup
}

func newBackend(c *qt.C) *backend {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	b := &backend{Listener: l, at: never, text: answerText, got: map[string]int{}}
	var accepts sync.WaitGroup
	accepts.Go(func() {
		for {
			link, err := l.Accept()
			if err != nil {
				return
			}
			b.mu.Lock()
			b.open = append(b.open, link)
			b.mu.Unlock()
			b.links.Go(func() { b.serve(link) })
		}
	})
	c.Cleanup(func() {
		_ = l.Close()
		b.mu.Lock()
		for _, link := range b.open {
			_ = link.Close()
		}
		b.mu.Unlock()
		accepts.Wait()
		b.links.Wait()
	})
	return b
}

// set changes the point. Idle connections end at once where it is before the
// request.
func (b *backend) set(at point, reset bool) {
	b.mu.Lock()
	b.at, b.reset = at, reset
	open := append([]net.Conn(nil), b.open...)
	b.mu.Unlock()
	if at == beforeRequest {
		for _, link := range open {
			b.end(link)
		}
	}
}

func (b *backend) setSilent(at point, silent bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.at, b.silent = at, silent
}

func (b *backend) setText(text string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.text = text
}

func (b *backend) now() (point, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.at, b.silent
}

func (b *backend) end(link net.Conn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.silent {
		return
	}
	if b.reset {
		_ = link.(*net.TCPConn).SetLinger(0)
	}
	_ = link.Close()
}

func (b *backend) serve(link net.Conn) {
	in := bufio.NewReader(link)
	for {
		if at, _ := b.now(); at == beforeRequest {
			b.end(link)
			return
		}
		if _, err := in.Peek(requestTaste); err != nil {
			return
		}
		b.mu.Lock()
		b.parts++
		b.mu.Unlock()
		if at, _ := b.now(); at == duringRequest {
			b.end(link)
			return
		}
		request, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		b.mu.Lock()
		b.got[request.Header.Get(requestIDField)]++
		b.mu.Unlock()
		if !b.answer(link) {
			b.end(link)
			return
		}
	}
}

// answer writes as much of the answer as the point allows. It returns whether
// the connection stays open.
func (b *backend) answer(link net.Conn) bool {
	lengths := map[point]int{afterRequest: 0, duringHeader: headerSplit, duringBody: bodySplit}
	at, _ := b.now()
	b.mu.Lock()
	text := b.text
	b.mu.Unlock()
	if length, ok := lengths[at]; ok {
		_, _ = io.WriteString(link, text[:length])
		return false
	}
	_, _ = io.WriteString(link, text)
	return at != afterResponse
}

func do(client *wire.Client, b *backend, verb, id string) (wire.Sent, string, error) {
	answer, sent, err := client.Do(context.Background(), wire.Request{
		Address: b.Addr().String(),
		Method:  verb,
		Path:    "/bookings",
		Headers: []wire.Header{{Name: requestIDField, Value: id}},
		Body:    []byte(`{"visit":1}`),
	})
	if err != nil {
		return sent, "", err
	}
	body, err := io.ReadAll(answer.Body)
	_ = answer.Body.Close()
	return sent, string(body), err
}

// For every verb, on fresh and on kept-alive connections, closed and reset at
// every point, the server gets a request at most once, and gets no byte of one
// that the client calls SentNothing.
func TestNothingIsSentTwice(t *testing.T) {
	for _, at := range points {
		for _, verb := range verbs {
			for _, kept := range []bool{false, true} {
				for _, reset := range []bool{false, true} {
					t.Run(fmt.Sprint(at, "/", verb, "/kept=", kept, "/reset=", reset), func(t *testing.T) {
						checkDrop(qt.New(t), at, verb, kept, reset)
					})
				}
			}
		}
	}
}

func checkDrop(c *qt.C, at point, verb string, kept, reset bool) {
	b := newBackend(c)
	client := &wire.Client{ProgressTimeout: generousTimeout}
	parts := 0
	if kept {
		_, _, err := do(client, b, "GET", "first")
		c.Assert(err, qt.IsNil)
		parts = 1
	}
	b.set(at, reset)
	sent, body, err := do(client, b, verb, "second")
	b.set(never, false)

	// The counts are final once the server has seen the end of each connection.
	client.Forget(b.Addr().String())
	b.links.Wait()
	b.mu.Lock()
	defer b.mu.Unlock()
	c.Assert(b.got["second"] <= 1, qt.IsTrue, qt.Commentf("runs: %d", b.got["second"]))
	c.Assert(b.parts-parts <= 1, qt.IsTrue, qt.Commentf("beginnings: %d", b.parts))
	if sent == wire.SentNothing {
		c.Assert(err, qt.IsNotNil)
		c.Assert(b.parts-parts, qt.Equals, 0)
	}
	if err == nil {
		c.Assert(b.got["second"], qt.Equals, 1)
		if verb != "HEAD" {
			c.Assert(body, qt.Equals, "done")
		}
	}
}

// The library's own round trip does resend, which shows that the test above
// can fail.
func TestLibraryAloneResends(t *testing.T) {
	c := qt.New(t)
	b := newBackend(c)
	b.set(afterRequest, false)
	request := fasthttp.AcquireRequest()
	request.SetRequestURI("http://" + b.Addr().String() + "/bookings")
	request.Header.Set(requestIDField, "plain")
	err := (&fasthttp.Client{}).Do(request, fasthttp.AcquireResponse())
	c.Assert(err, qt.IsNotNil)
	b.mu.Lock()
	defer b.mu.Unlock()
	c.Assert(b.got["plain"] > 1, qt.IsTrue)
}

// Every connection goes silent, before and after the request and in the middle
// of the answer: the request ends by its deadline, and the next one finds a new
// connection.
func TestSilentConnectionIsDropped(t *testing.T) {
	for _, at := range []point{duringRequest, afterRequest, duringHeader, duringBody} {
		t.Run(string(at), func(t *testing.T) {
			c := qt.New(t)
			b := newBackend(c)
			client := &wire.Client{ProgressTimeout: quickTimeout}
			b.setSilent(at, true)
			sent, _, err := do(client, b, "POST", "silent")
			c.Assert(err, qt.ErrorIs, wire.ErrSilent)
			c.Assert(sent, qt.Equals, wire.SentAll)
			c.Assert(client.Connections(b.Addr().String()), qt.Equals, 0)
			b.setSilent(never, false)
			_, body, err := do(client, b, "POST", "next")
			c.Assert(err, qt.IsNil)
			c.Assert(body, qt.Equals, "done")
		})
	}
}

func TestRefusedConnectionSendsNothing(t *testing.T) {
	c := qt.New(t)
	b := newBackend(c)
	c.Assert(b.Close(), qt.IsNil)
	sent, _, err := do(&wire.Client{}, b, "POST", "refused")
	c.Assert(err, qt.ErrorIs, wire.ErrDial)
	c.Assert(sent, qt.Equals, wire.SentNothing)
}

// A server that sends an answer nobody asked for must not have it taken for the
// answer of the next request on that connection.
func TestStrayAnswerGoesToNobody(t *testing.T) {
	c := qt.New(t)
	b := newBackend(c)
	client := &wire.Client{ProgressTimeout: generousTimeout}
	b.setText(answerText + strings.Replace(strayAnswerForNobody, "done", "else", 1))
	_, body, err := do(client, b, "GET", "one")
	c.Assert(err, qt.IsNil)
	c.Assert(body, qt.Equals, "done")
	_, body, err = do(client, b, "GET", "two")
	c.Assert(err, qt.IsNil)
	c.Assert(body, qt.Equals, "done")
}

func TestCancelEndsAWaitingRead(t *testing.T) {
	c := qt.New(t)
	b := newBackend(c)
	b.setSilent(duringBody, true)
	client := &wire.Client{ProgressTimeout: generousTimeout}
	ctx, cancel := context.WithCancel(context.Background())
	answer, _, err := client.Do(ctx, wire.Request{Address: b.Addr().String(), Method: "GET", Path: "/"})
	c.Assert(err, qt.IsNil)
	c.Assert(answer.Status, qt.Equals, 200)
	c.Assert(answer.Header("x-kind"), qt.Equals, "test")
	cancel()
	_, err = io.ReadAll(answer.Body)
	c.Assert(err, qt.ErrorIs, context.Canceled)
	c.Assert(answer.Body.Close(), qt.IsNil)
	c.Assert(client.Connections(b.Addr().String()), qt.Equals, 0)
}

func TestLimitsAndReuse(t *testing.T) {
	c := qt.New(t)
	b := newBackend(c)
	b.setText(chunkedAnswer)
	client := &wire.Client{MaxBodyBytes: longBodyLength}
	var workers sync.WaitGroup
	for w := range connectionsAtOnce {
		workers.Go(func() {
			for i := range requestsPerWorker {
				_, body, err := do(client, b, "POST", fmt.Sprint(w, "-", i))
				c.Check(err, qt.IsNil)
				c.Check(body, qt.Equals, "done")
			}
		})
	}
	workers.Wait()
	b.mu.Lock()
	c.Check(len(b.open) <= connectionsAtOnce, qt.IsTrue)
	b.mu.Unlock()
	b.setText(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", longBodyLength+1, strings.Repeat("x", longBodyLength+1)))
	_, _, err := do(client, b, "GET", "long")
	c.Assert(err, qt.ErrorIs, wire.ErrTooLarge)
}
