package wire_test

import (
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"siskinsaddle/internal/fakes/hangup"
	"siskinsaddle/internal/serve/wire"
)

const status = "HTTP/1.1 200 OK\r\n"

// endless lists responses that go on until the client closes the connection: what comes
// first, and what is repeated.
var endless = []struct {
	name, begin, repeated string
}{
	{"bytes that are no response", "", strings.Repeat("\x00\xff", 2_000)},
	{"empty lines", "", strings.Repeat("\r\n", 2_000)},
	{"a status line", "HTTP/1.1 200 ", strings.Repeat("O", 4_000)},
	{"a field of the header", status + "X-Long: ", strings.Repeat("x", 4_000)},
	{"fields of the header", status, "X-More: x\r\n"},
	{"interim responses", "", strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 100)},
	{"a body without a length", status + "\r\n", strings.Repeat("x", 4_000)},
	{"a body with a huge length", status + "Content-Length: 1099511627776\r\n\r\n", strings.Repeat("x", 4_000)},
	{"a body of chunks", status + "Transfer-Encoding: chunked\r\n\r\n", "4\r\ndone\r\n"},
	{"the size of a chunk", status + "Transfer-Encoding: chunked\r\n\r\n", strings.Repeat("0", 4_000)},
	{"the extension of a chunk", status + "Transfer-Encoding: chunked\r\n\r\n4;", strings.Repeat("x", 4_000)},
	{"fields of the trailer", status + "Transfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n", "X-More: x\r\n"},
	{"a field of the trailer", status + "Transfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\nX-Long: ", strings.Repeat("x", 4_000)},
}

func TestEndlessResponseIsCutOff(t *testing.T) {
	for _, test := range endless {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			s := start(c)
			s.SetResponse(test.begin)
			s.SetEndless(test.repeated, 0)
			client := &wire.Client{ProgressTimeout: longTimeout, MaxBodyBytes: 256 << 10}
			began := time.Now()
			_, _, err := do(client, s, "POST", "endless")
			c.Assert(err, qt.IsNotNil)
			c.Assert(client.Connections(s.Address()), qt.Equals, 0)
			s.Wait() // until the client has closed the connection
			c.Assert(time.Since(began) < longTimeout*time.Millisecond/2, qt.IsTrue)
		})
	}
}

// A header that arrives a byte at a time makes progress forever.
func TestTricklingHeaderIsUnresponsive(t *testing.T) {
	c := qt.New(t)
	s := start(c)
	s.SetResponse(status + "X-Long: ")
	s.SetEndless("x", 5*time.Millisecond)
	client := &wire.Client{ProgressTimeout: longTimeout}
	began := time.Now()
	_, sent, err := client.Do(t.Context(), wire.Request{Address: s.Address(), Method: "GET", Path: "/", HeaderTimeout: shortTimeout})
	c.Assert(err, qt.ErrorIs, wire.ErrUnresponsive)
	c.Assert(sent, qt.Equals, wire.SentAll)
	c.Assert(client.Connections(s.Address()), qt.Equals, 0)
	s.Wait()
	c.Assert(time.Since(began) < longTimeout*time.Millisecond/2, qt.IsTrue)
}

func TestBytesAfterResponseCloseConnection(t *testing.T) {
	c := qt.New(t)
	s := start(c)
	s.SetEndless(strings.Repeat("x", 4_000), 0)
	client := &wire.Client{ProgressTimeout: longTimeout}
	for _, id := range []string{"one", "two", "three"} {
		_, body, err := do(client, s, "POST", id)
		c.Assert(err, qt.IsNil)
		c.Assert(body, qt.Equals, hangup.ResponseBody)
		c.Assert(s.Runs(id), qt.Equals, 1)
	}
	client.Forget(s.Address())
	s.Wait()
}
