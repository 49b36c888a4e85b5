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

// FuzzRequest sends any bytes. Whatever the host understands as a request, the
// standard library must understand alike: where the two differ, a request could
// be smuggled past one of them. The connection ends in any case.
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
		var understood [][]byte
		i := &httpd.Inlet{
			Clock: clock.System(),
			Handle: func(_ context.Context, r *httpd.Request, a *httpd.Answer) {
				understood = append(understood, r.Body)
				a.Whole(200, nil, nil)
			},
			Limits: func() httpd.Limits { return httpd.Limits{HeaderBytes: 4_096, BodyBytes: 4_096} },
			Log:    logs.Limit(logs.Discard(), clock.System(), nil),
		}
		i.Serve(&script{text: bytes.NewReader(text)})
		c.Assert(i.Connections(), qt.Equals, 0)
		reader := bufio.NewReader(bytes.NewReader(text))
		for n, body := range understood {
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

// script is a connection whose caller sends a text and closes.
type script struct {
	net.TCPConn
	text *bytes.Reader
}

func (s *script) Read(p []byte) (int, error)       { return s.text.Read(p) }
func (s *script) Write(p []byte) (int, error)      { return len(p), nil }
func (s *script) Close() error                     { return nil }
func (s *script) CloseWrite() error                { return nil }
func (s *script) SetReadDeadline(time.Time) error  { return nil }
func (s *script) SetWriteDeadline(time.Time) error { return nil }
