package verbs

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"
)

// BenchmarkStreamedRequest measures a streamed prompt through one host: the keeper's
// grant, eight events, the log lines and counters. The caller and the server's
// stand-in run in the same process.
func BenchmarkStreamedRequest(b *testing.B) {
	c := qt.New(b)
	s := newHarness(c, 1)
	var connection atomic.Int64
	// Many callers at once, since the server's events are 5 ms apart.
	b.SetParallelism(callersPerProcessor)
	b.ResetTimer()
	b.RunParallel(func(work *testing.PB) {
		name := connection.Add(1)
		conn, err := net.Dial("tcp", s.hosts[0].settings.CallerAddress)
		c.Check(err, qt.IsNil)
		defer func() { _ = conn.Close() }()
		reader := bufio.NewReader(conn)
		for n := 0; work.Next(); n++ {
			_, err = fmt.Fprintf(conn, "POST /chat/x HTTP/1.1\r\nHost: a.example\r\nRequest-Id: b%d-%d\r\nX-Api-Key: right\r\nDeadline-Ms: 4000\r\nToken-Counts: 900,80\r\nPrompt-Prefix: a:600,own%d:300\r\nContent-Length: 0\r\n\r\n", name, n, name)
			c.Check(err, qt.IsNil)
			response, err := http.ReadResponse(reader, &http.Request{Method: "POST"})
			c.Check(err, qt.IsNil)
			_, err = io.Copy(io.Discard, response.Body)
			c.Check(err, qt.IsNil)
			c.Check(response.Body.Close(), qt.IsNil)
		}
	})
}

const callersPerProcessor = 8
