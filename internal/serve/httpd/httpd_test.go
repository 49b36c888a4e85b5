package httpd_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/base/count"
	"siskinsaddle/internal/base/logs"
	"siskinsaddle/internal/serve/httpd"
)

const testTimeout = 20 * time.Second

func start(c *qt.C, handle func(context.Context, *httpd.Request, *httpd.ResponseWriter), l httpd.Limits) (*httpd.Server, *count.Set) {
	set := count.NewSet()
	s := &httpd.Server{
		Address: "127.0.0.1:0",
		Clock:   clock.System(),
		Handle:  handle,
		Limits:  func() httpd.Limits { return l },
		Log:     logs.Limit(logs.Discard(), clock.System(), nil),
		Count:   set,
	}
	c.Assert(s.Start(), qt.IsNil)
	c.Cleanup(func() { _ = s.Close() })
	return s, set
}

// echo responds with the method, host, path and body length of the request.
func echo(_ context.Context, r *httpd.Request, w *httpd.ResponseWriter) {
	w.Whole(200, nil, fmt.Appendf(nil, "%s %s %s %d", r.Method, r.Host, r.Path, len(r.Body)))
}

func dial(c *qt.C, s *httpd.Server) net.Conn {
	conn, err := net.Dial("tcp", s.Bound())
	c.Assert(err, qt.IsNil)
	c.Assert(conn.SetDeadline(time.Now().Add(testTimeout)), qt.IsNil)
	c.Cleanup(func() { _ = conn.Close() })
	return conn
}

// statuses sends text and returns the response statuses until the connection ends.
func statuses(c *qt.C, s *httpd.Server, text string) []int {
	conn := dial(c, s)
	_, err := io.WriteString(conn, text)
	c.Assert(err, qt.IsNil)
	c.Assert(conn.(*net.TCPConn).CloseWrite(), qt.IsNil)
	reader := bufio.NewReader(conn)
	var all []int
	for {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			return all
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		all = append(all, response.StatusCode)
	}
}

func TestRequestFramingAndLimits(t *testing.T) {
	big := strings.Repeat("x", 5_000)
	for _, test := range []struct {
		name   string
		text   string
		status []int
	}{
		{"a valid request", "GET /a HTTP/1.1\r\nHost: h\r\n\r\n", []int{200}},
		{"two pipelined requests", "GET /a HTTP/1.1\r\nHost: h\r\n\r\nGET /b HTTP/1.1\r\nHost: h\r\n\r\n", []int{200, 200}},
		{"a chunked body", "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", []int{200}},
		{"Content-Length and chunked", "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n", []int{400}},
		{"two lengths", "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", []int{400}},
		{"the same length twice", "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\nabc", []int{400}},
		{"a signed length", "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: +3\r\n\r\nabc", []int{400}},
		{"an unknown transfer coding", "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", []int{400}},
		{"a space before the colon", "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length : 3\r\n\r\nabc", []int{400}},
		{"a folded header line", "GET /a HTTP/1.1\r\nHost: h\r\nX: a\r\n b\r\n\r\n", []int{400}},
		{"a bad chunk", "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n0\r\n\r\n", []int{400}},
		{"a header over the limit", "GET /a HTTP/1.1\r\nHost: h\r\nX: " + big + "\r\n\r\n", []int{431}},
		{"a body over the limit", "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5000\r\n\r\n" + big, []int{413}},
		{"a chunked body over the limit", "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1388\r\n" + big + "\r\n0\r\n\r\n", []int{413}},
		{"not HTTP", "hello\r\n\r\n", []int{400}},
		{"a truncated header", "GET /a HTTP/1.1\r\nHos", nil},
		{"a truncated body", "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nabc", nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			s, set := start(c, echo, httpd.Limits{HeaderBytes: 4_096, BodyBytes: 4_096, HeaderTime: 5_000})
			c.Assert(statuses(c, s, test.text), qt.DeepEquals, test.status)
			s.Wait()
			c.Assert(s.Connections(), qt.Equals, 0)
			bad := len(test.status) == 1 && test.status[0] != 200
			var out strings.Builder
			c.Assert(set.WritePrometheus(&out), qt.IsNil)
			c.Assert(strings.Contains(out.String(), "bad_requests"), qt.Equals, bad)
		})
	}
}

func TestHeaderUpToTheLimitIsAccepted(t *testing.T) {
	c := qt.New(t)
	s, _ := start(c, echo, httpd.Limits{HeaderBytes: 16_384})
	text := "GET /a HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 16_000) + "\r\n\r\n"
	c.Assert(statuses(c, s, text), qt.DeepEquals, []int{200})
}

func TestSlowSenderIsRefused(t *testing.T) {
	c := qt.New(t)
	s, _ := start(c, echo, httpd.Limits{HeaderTime: 50})
	conn := dial(c, s)
	_, err := io.WriteString(conn, "GET /a HTTP/1.1\r\nHost:")
	c.Assert(err, qt.IsNil)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	c.Assert(err, qt.IsNil)
	c.Assert(response.StatusCode, qt.Equals, 408)
	_ = response.Body.Close()
}

// The caller disconnects while its request is handled: the request's context must
// end.
func TestDisconnectCancelsRequest(t *testing.T) {
	c := qt.New(t)
	began := make(chan bool, 1)
	gone := make(chan bool, 1)
	s, _ := start(c, func(ctx context.Context, _ *httpd.Request, _ *httpd.ResponseWriter) {
		began <- true
		<-ctx.Done() // blocks forever if the close is not detected
		gone <- true
	}, httpd.Limits{})
	conn := dial(c, s)
	_, err := io.WriteString(conn, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
	c.Assert(err, qt.IsNil)
	<-began
	c.Assert(conn.Close(), qt.IsNil)
	<-gone
	s.Wait()
}

func TestShutdownFinishesOpenRequestsAndClosesIdleConnections(t *testing.T) {
	c := qt.New(t)
	began := make(chan bool, 1)
	release := make(chan bool)
	s, _ := start(c, func(_ context.Context, _ *httpd.Request, w *httpd.ResponseWriter) {
		began <- true
		<-release
		w.Whole(200, nil, []byte("done"))
	}, httpd.Limits{})
	idle := dial(c, s)
	busy := dial(c, s)
	_, err := io.WriteString(busy, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
	c.Assert(err, qt.IsNil)
	<-began
	s.Stopping()
	for s.Connections() < 2 {
		time.Sleep(time.Millisecond)
	}
	s.CloseIdle()
	_, err = idle.Read(make([]byte, 1))
	c.Assert(err, qt.Equals, io.EOF)
	close(release)
	response, err := http.ReadResponse(bufio.NewReader(busy), nil)
	c.Assert(err, qt.IsNil)
	c.Assert(response.StatusCode, qt.Equals, 200)
	c.Assert(response.Close, qt.IsTrue)
	_ = response.Body.Close()
	s.Wait()
}

func TestHandlerPanicEndsOnlyItsConnection(t *testing.T) {
	c := qt.New(t)
	var calls atomic.Int64
	s, set := start(c, func(ctx context.Context, r *httpd.Request, w *httpd.ResponseWriter) {
		if calls.Add(1) == 1 {
			panic("handler failed")
		}
		echo(ctx, r, w)
	}, httpd.Limits{})
	c.Assert(statuses(c, s, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n"), qt.HasLen, 0)
	c.Assert(statuses(c, s, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n"), qt.DeepEquals, []int{200})
	c.Assert(set.Count("siskinsaddle_panics_total"), qt.Equals, int64(1))
}

// The response to HEAD carries the Content-Length of the omitted body.
func TestHeadResponseHasContentLength(t *testing.T) {
	c := qt.New(t)
	s, _ := start(c, echo, httpd.Limits{})
	conn := dial(c, s)
	_, err := io.WriteString(conn, "HEAD /a HTTP/1.1\r\nHost: h\r\n\r\n")
	c.Assert(err, qt.IsNil)
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: "HEAD"})
	c.Assert(err, qt.IsNil)
	c.Assert(response.ContentLength, qt.Equals, int64(len("HEAD h /a 0")))
	_ = response.Body.Close()
}

func TestHTTP10CallerGetsUnchunkedStream(t *testing.T) {
	c := qt.New(t)
	s, _ := start(c, func(_ context.Context, _ *httpd.Request, w *httpd.ResponseWriter) {
		w.Begin(200, nil, []byte("one"))
		w.Piece([]byte("two"))
		w.End([]byte("three"))
	}, httpd.Limits{})
	conn := dial(c, s)
	_, err := io.WriteString(conn, "GET /a HTTP/1.0\r\nHost: h\r\n\r\n")
	c.Assert(err, qt.IsNil)
	text, err := io.ReadAll(conn)
	c.Assert(err, qt.IsNil)
	c.Assert(strings.HasSuffix(string(text), "\r\n\r\nonetwothree"), qt.IsTrue)
}

const longBody = 256 << 10

// startWithMemory starts a server with memory for some long bodies whose handler waits until
// the test ends it.
func startWithMemory(c *qt.C, bodies int64) (s *httpd.Server, handled *atomic.Int64, end func()) {
	handled = &atomic.Int64{}
	ended := make(chan struct{})
	s = &httpd.Server{
		Address: "127.0.0.1:0", Clock: clock.System(), MaxBodies: bodies * longBody,
		Handle: func(_ context.Context, r *httpd.Request, w *httpd.ResponseWriter) {
			if len(r.Body) == longBody {
				handled.Add(1)
				<-ended
			}
			w.Whole(200, nil, nil)
		},
		Limits: func() httpd.Limits { return httpd.Limits{} },
		Log:    logs.Limit(logs.Discard(), clock.System(), nil),
	}
	c.Assert(s.Start(), qt.IsNil)
	end = sync.OnceFunc(func() { close(ended) })
	c.Cleanup(func() { end(); _ = s.Close() })
	return s, handled, end
}

// post sends a request and returns the status of its response, 0 if there is none.
func post(c *qt.C, s *httpd.Server, framing, body string) int {
	response, err := http.ReadResponse(bufio.NewReader(sendOnly(c, s, framing, body)), &http.Request{Method: "POST"})
	if err != nil {
		return 0
	}
	_ = response.Body.Close() // the connection is not used again
	return response.StatusCode
}

// sendOnly sends a request and reads no response. A refusal may cut the request off.
func sendOnly(c *qt.C, s *httpd.Server, framing, body string) net.Conn {
	conn := dial(c, s)
	go func() { _, _ = io.WriteString(conn, "POST /x HTTP/1.1\r\nHost: h\r\n"+framing+"\r\n\r\n"+body) }()
	return conn
}

// A burst of long requests takes no more than the memory for bodies, and small requests do not
// wait behind them.
func TestLongBodiesShareTheMemoryForThem(t *testing.T) {
	framings := map[string]string{
		fmt.Sprintf("Content-Length: %d", longBody): strings.Repeat("x", longBody),
		"Transfer-Encoding: chunked":                fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", longBody, strings.Repeat("x", longBody)),
	}
	for framing, body := range framings {
		t.Run(framing, func(t *testing.T) {
			const fit, burst = 4, 12
			c := qt.New(t)
			s, handled, end := startWithMemory(c, fit)
			statuses := make(chan int, burst)
			for range burst {
				go func() { statuses <- post(c, s, framing, body) }()
			}
			for handled.Load() == 0 {
				time.Sleep(time.Millisecond)
			}
			began := time.Now()
			c.Check(post(c, s, "Content-Length: 5", "small"), qt.Equals, 200)
			c.Check(post(c, s, "Transfer-Encoding: chunked", "5\r\nsmall\r\n0\r\n\r\n"), qt.Equals, 200)
			c.Check(time.Since(began) < 500*time.Millisecond, qt.IsTrue)
			for range burst - fit {
				select {
				case status := <-statuses:
					c.Check(status, qt.Equals, 503)
				case <-time.After(3 * time.Second):
					c.Fatalf("%d bodies are held", handled.Load())
				}
			}
			c.Check(handled.Load() <= fit, qt.IsTrue, qt.Commentf("%d bodies are held", handled.Load()))
			end()
			c.Check(post(c, s, framing, body), qt.Equals, 200)
		})
	}
}

func TestRefusalForMemoryHasRetryAfter(t *testing.T) {
	c := qt.New(t)
	s, handled, _ := startWithMemory(c, 1)
	framing, body := fmt.Sprintf("Content-Length: %d", longBody), strings.Repeat("x", longBody)
	sendOnly(c, s, framing, body)
	for handled.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	// The caller sends slowly, and reads when it has sent all.
	conn := dial(c, s)
	_, err := io.WriteString(conn, "POST /x HTTP/1.1\r\nHost: h\r\n"+framing+"\r\n\r\n")
	c.Assert(err, qt.IsNil)
	for part := range 20 {
		_, err := io.WriteString(conn, body[part*longBody/20:(part+1)*longBody/20])
		c.Assert(err, qt.IsNil)
		time.Sleep(100 * time.Millisecond)
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: "POST"})
	c.Assert(err, qt.IsNil)
	defer func() { _ = response.Body.Close() }()
	c.Check(response.StatusCode, qt.Equals, 503)
	c.Check(response.Header.Get("Retry-After"), qt.Equals, "2")
	text, err := io.ReadAll(response.Body)
	c.Assert(err, qt.IsNil)
	c.Check(string(text), qt.Contains, `"Ran":"No"`)
}

// A caller that sends a byte now and then would hold the memory for a long body until the time
// for the whole body is over.
func TestTricklingBodyReleasesItsMemory(t *testing.T) {
	c := qt.New(t)
	s, handled, _ := startWithMemory(c, 1)
	s.Limits = func() httpd.Limits { return httpd.Limits{HeaderTime: 200} }
	framing, body := fmt.Sprintf("Content-Length: %d", longBody), strings.Repeat("x", longBody)
	slow := dial(c, s)
	_, err := io.WriteString(slow, "POST /x HTTP/1.1\r\nHost: h\r\n"+framing+"\r\n\r\n")
	c.Assert(err, qt.IsNil)
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(20 * time.Millisecond):
			}
			if _, err := slow.Write([]byte("x")); err != nil {
				return
			}
		}
	}()
	time.Sleep(50 * time.Millisecond)
	sendOnly(c, s, framing, body)
	for began := time.Now(); handled.Load() == 0; time.Sleep(time.Millisecond) {
		c.Assert(time.Since(began) < time.Second, qt.IsTrue)
	}
	response, err := http.ReadResponse(bufio.NewReader(slow), nil)
	c.Assert(err, qt.IsNil)
	defer func() { _ = response.Body.Close() }()
	c.Check(response.StatusCode, qt.Equals, 408)
}

func TestChunkedBodiesKeepTheConnection(t *testing.T) {
	c := qt.New(t)
	s, _ := start(c, echo, httpd.Limits{BodyBytes: 100_000})
	one := "POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
	long := strings.Repeat("y", 70_000)
	c.Check(statuses(c, s, one+"3\r\nabc\r\n0\r\n\r\n"+one+"0\r\nX-Trailer: y\r\n\r\n"+one+fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(long), long)),
		qt.DeepEquals, []int{200, 200, 200})
	tooLong := strings.Repeat("y", 100_001)
	c.Check(statuses(c, s, one+fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(tooLong), tooLong)), qt.DeepEquals, []int{413})
	c.Check(statuses(c, s, one+"zz\r\n"), qt.DeepEquals, []int{400})
}
