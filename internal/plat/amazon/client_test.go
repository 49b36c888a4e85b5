package amazon

import (
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	qt "github.com/frankban/quicktest"
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
