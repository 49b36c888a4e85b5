package wire_test

import (
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"

	"siskinsaddle/internal/fakes/hangup"
	"siskinsaddle/internal/serve/wire"
)

const (
	longBody          = 4 << 20
	chunked           = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n"
	shortTimeout      = 60
	longTimeout       = 10_000
	connections       = 8
	requestsPerWorker = 40
)

var methods = []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS", "TRACE", "CONNECT", "QUERY"}

func start(c *qt.C) *hangup.Server {
	s := &hangup.Server{}
	c.Assert(s.Start(), qt.IsNil)
	c.Cleanup(s.Stop)
	return s
}

func do(client *wire.Client, s *hangup.Server, method, id string) (wire.Sent, string, error) {
	response, sent, err := client.Do(context.Background(), wire.Request{
		Address: s.Address(),
		Method:  method,
		Path:    "/bookings",
		Headers: []wire.Header{{Name: hangup.IDHeader, Value: id}},
		Body:    []byte(`{"visit":1}`),
	})
	if err != nil {
		return sent, "", err
	}
	body, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	return sent, string(body), err
}

// Guards against resending: for every method, on new and on kept-alive connections,
// closed and reset at every point, the server gets a request at most once, and gets
// no byte of a request that the client reports as SentNothing.
func TestNothingIsSentTwice(t *testing.T) {
	for _, at := range hangup.Points {
		for _, method := range methods {
			for _, kept := range []bool{false, true} {
				for _, mode := range []hangup.CutMode{hangup.Close, hangup.Reset} {
					t.Run(fmt.Sprint(at, "/", method, "/kept=", kept, "/", mode), func(t *testing.T) {
						checkInterruption(qt.New(t), at, mode, method, kept)
					})
				}
			}
		}
	}
}

func checkInterruption(c *qt.C, at hangup.Point, mode hangup.CutMode, method string, kept bool) {
	s := start(c)
	client := &wire.Client{ProgressTimeout: longTimeout}
	if kept {
		_, _, err := do(client, s, "GET", "first")
		c.Assert(err, qt.IsNil)
	}
	before := s.Started()
	s.SetCut(at, mode)
	sent, body, err := do(client, s, method, "second")
	// The counts are final once the server has seen the end of each connection.
	client.Forget(s.Address())
	s.Wait()
	c.Assert(s.Runs("second") <= 1, qt.IsTrue, qt.Commentf("runs: %d", s.Runs("second")))
	c.Assert(s.Started()-before <= 1, qt.IsTrue, qt.Commentf("requests begun: %d", s.Started()-before))
	if sent == wire.SentNothing {
		c.Assert(err, qt.IsNotNil)
		c.Assert(s.Started(), qt.Equals, before)
	}
	if err == nil {
		c.Assert(s.Runs("second"), qt.Equals, 1)
		c.Assert(body == hangup.ResponseBody || method == "HEAD", qt.IsTrue)
	}
}

// fasthttp's own round trip does resend, which shows that the test above can fail.
func TestFasthttpClientResends(t *testing.T) {
	c := qt.New(t)
	s := start(c)
	s.SetCut(hangup.AfterRequest, hangup.Close)
	request := fasthttp.AcquireRequest()
	request.SetRequestURI("http://" + s.Address() + "/bookings")
	request.Header.Set(hangup.IDHeader, "plain")
	c.Assert((&fasthttp.Client{}).Do(request, fasthttp.AcquireResponse()), qt.IsNotNil)
	c.Assert(s.Runs("plain") > 1, qt.IsTrue)
}

// A connection stalls during or after the request or in the middle of the response:
// the request times out, all connections to the server are closed, and the next
// request gets a new one.
func TestStalledConnectionIsClosed(t *testing.T) {
	for _, at := range []hangup.Point{hangup.DuringRequest, hangup.AfterRequest, hangup.DuringHeader, hangup.DuringBody} {
		t.Run(string(at), func(t *testing.T) {
			c := qt.New(t)
			s := start(c)
			client := &wire.Client{ProgressTimeout: shortTimeout}
			s.SetCut(at, hangup.Silent)
			sent, _, err := do(client, s, "POST", "silent")
			c.Assert(err, qt.ErrorIs, wire.ErrUnresponsive)
			c.Assert(sent, qt.Equals, wire.SentAll)
			c.Assert(client.Connections(s.Address()), qt.Equals, 0)
			s.SetCut(hangup.Never, hangup.Close)
			client.ProgressTimeout = longTimeout
			_, body, err := do(client, s, "POST", "next")
			c.Assert(err, qt.IsNil)
			c.Assert(body, qt.Equals, hangup.ResponseBody)
		})
	}
}

func TestRefusedConnectionSendsNothing(t *testing.T) {
	c := qt.New(t)
	s := start(c)
	s.Stop()
	sent, _, err := do(&wire.Client{}, s, "POST", "refused")
	c.Assert(err, qt.ErrorIs, wire.ErrDial)
	c.Assert(sent, qt.Equals, wire.SentNothing)
}

// A server sends a second, unsolicited response: it must not be taken for the
// response to the next request on that connection.
func TestUnsolicitedResponseIsDiscarded(t *testing.T) {
	c := qt.New(t)
	s := start(c)
	client := &wire.Client{ProgressTimeout: longTimeout}
	s.SetResponse(hangup.Response + strings.Replace(hangup.Response, hangup.ResponseBody, "else", 1))
	for _, id := range []string{"one", "two"} {
		_, body, err := do(client, s, "GET", id)
		c.Assert(err, qt.IsNil)
		c.Assert(body, qt.Equals, hangup.ResponseBody)
	}
}

func TestCancelInterruptsBlockedRead(t *testing.T) {
	c := qt.New(t)
	s := start(c)
	s.SetCut(hangup.DuringBody, hangup.Silent)
	client := &wire.Client{ProgressTimeout: longTimeout}
	ctx, cancel := context.WithCancel(context.Background())
	response, _, err := client.Do(ctx, wire.Request{Address: s.Address(), Method: "GET", Path: "/"})
	c.Assert(err, qt.IsNil)
	c.Assert(response.Status, qt.Equals, 200)
	c.Assert(response.Header("x-kind"), qt.Equals, "test")
	cancel()
	_, err = io.ReadAll(response.Body)
	c.Assert(err, qt.ErrorIs, context.Canceled)
	c.Assert(response.Body.Close(), qt.IsNil)
	c.Assert(client.Connections(s.Address()), qt.Equals, 0)
}

func TestConnectionReuseAndBodyLimit(t *testing.T) {
	c := qt.New(t)
	s := start(c)
	s.SetResponse(chunked)
	client := &wire.Client{MaxBodyBytes: longBody}
	var workers sync.WaitGroup
	for w := range connections {
		workers.Go(func() {
			for i := range requestsPerWorker {
				_, body, err := do(client, s, "POST", fmt.Sprint(w, "-", i))
				c.Check(err, qt.IsNil)
				c.Check(body, qt.Equals, hangup.ResponseBody)
			}
		})
	}
	workers.Wait()
	c.Check(s.Accepted() <= connections, qt.IsTrue)
	s.SetResponse(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", longBody+1, strings.Repeat("x", longBody+1)))
	_, _, err := do(client, s, "GET", "long")
	c.Assert(err, qt.ErrorIs, wire.ErrTooLarge)
}

// BenchmarkDo measures a request on a kept-alive connection, with the server in
// the same process.
func BenchmarkDo(b *testing.B) {
	c := qt.New(b)
	s := start(c)
	client := &wire.Client{}
	b.ReportAllocs()
	for b.Loop() {
		_, _, err := do(client, s, "POST", "same")
		c.Assert(err, qt.IsNil)
	}
}
