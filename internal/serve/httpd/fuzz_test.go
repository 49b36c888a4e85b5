package httpd_test

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/base/logs"
	"siskinsaddle/internal/serve/httpd"
)

// FuzzRequest guards against request smuggling: for any input, a request that the
// server accepts must have the same body in net/http, or be refused there. The
// connection must end in any case.
func FuzzRequest(f *testing.F) {
	for _, seed := range []string{
		"GET /a HTTP/1.1\r\nHost: h\r\n\r\n",
		"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabcGET /b HTTP/1.1\r\nHost: h\r\n\r\n",
		"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
		"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"GET /a HTTP/1.1\r\nHost: h\r\nX: a\r\n b\r\n\r\n",
		"GET /a HTTP/1.1\nHost: h\n\n",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		c := qt.New(t)
		var accepted [][]byte
		s := &httpd.Server{
			Clock: clock.System(),
			Handle: func(_ context.Context, r *httpd.Request, w *httpd.ResponseWriter) {
				accepted = append(accepted, r.Body)
				w.Whole(200, nil, nil)
			},
			Limits: func() httpd.Limits { return httpd.Limits{HeaderBytes: 4_096, BodyBytes: 4_096} },
			Log:    logs.Limit(logs.Discard(), clock.System(), nil),
		}
		s.Serve(&scriptedConn{text: bytes.NewReader(text)})
		c.Assert(s.Connections(), qt.Equals, 0)
		reader := bufio.NewReader(bytes.NewReader(text))
		for n, body := range accepted {
			r, err := http.ReadRequest(reader)
			if err != nil {
				return // the standard library is stricter here
			}
			want, err := io.ReadAll(r.Body)
			if err != nil {
				return
			}
			c.Assert(body, qt.DeepEquals, append([]byte(nil), want...), qt.Commentf("request %d", n))
		}
	})
}

// scriptedConn is a connection whose caller sends a fixed text and closes.
type scriptedConn struct {
	net.TCPConn
	text *bytes.Reader
}

func (s *scriptedConn) Read(p []byte) (int, error)       { return s.text.Read(p) }
func (s *scriptedConn) Write(p []byte) (int, error)      { return len(p), nil }
func (s *scriptedConn) Close() error                     { return nil }
func (s *scriptedConn) CloseWrite() error                { return nil }
func (s *scriptedConn) SetReadDeadline(time.Time) error  { return nil }
func (s *scriptedConn) SetWriteDeadline(time.Time) error { return nil }
