package amazon

import (
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"

	"siskinsaddle/internal/plat/table"
)

// Over TLS the responses are checked, not the records that carry them.
func TestResponsesOverTLSAreChecked(t *testing.T) {
	for _, test := range []struct {
		text  string
		whole bool
	}{
		{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}", true},
		{"HTTP/1.1 200 OK\r\nX-Note: odd\r\n folded\r\nContent-Length: 2\r\n\r\n{}", false},
	} {
		c := qt.New(t)
		s := httptest.NewTLSServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			conn, _, err := w.(http.Hijacker).Hijack()
			c.Check(err, qt.IsNil)
			_, _ = io.WriteString(conn, test.text)
			_ = conn.Close()
		}))
		defer s.Close()
		config := s.Client().Transport.(*http.Transport).TLSClientConfig
		dial := checked(dialTLS(&net.Dialer{}, &tls.Config{RootCAs: config.RootCAs}), nil)
		client := &http.Client{Transport: &http.Transport{DialTLSContext: dial}}
		response, err := client.Get(s.URL)
		c.Assert(err == nil, qt.Equals, test.whole, qt.Commentf("%v", err))
		if err == nil {
			body, err := io.ReadAll(response.Body)
			c.Assert(err, qt.IsNil)
			c.Assert(string(body), qt.Equals, "{}")
			c.Assert(response.Body.Close(), qt.IsNil)
		}
	}
}

// The text of the response is complete, and what breaks it arrives later.
func TestResponseThatBreaksBehindItsTextIsAnError(t *testing.T) {
	for _, test := range []struct {
		end   string
		whole bool
	}{{"0\r\n\r\n", true}, {"0 \r\n\r\n", false}, {"", false}} {
		c := qt.New(t)
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			conn, _, err := w.(http.Hijacker).Hijack()
			c.Check(err, qt.IsNil)
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n")
			time.Sleep(20 * time.Millisecond)
			_, _ = io.WriteString(conn, test.end)
			_ = conn.Close()
		}))
		defer s.Close()
		store := NewTable(Settings{TableEndpoint: s.URL, Region: "local", AccessKey: "k", SecretKey: "s", Table: "t", DialTimeout: 1_000, Timeout: 5_000})
		_, err := store.Get(t.Context(), "K", "n")
		c.Check(errors.Is(err, table.ErrNotFound), qt.Equals, test.whole, qt.Commentf("%q: %v", test.end, err))
	}
}
