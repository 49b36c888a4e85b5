package proxy_test

import (
	"io"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"siskinsaddle/internal/fakes/origin"
)

// rawResponse returns the header and the rest of a response as they were sent, up to the
// end of the connection.
func (r *harness) rawResponse(method, path, id string) (header, rest string, err error) {
	conn := r.dial()
	r.c.Assert(conn.SetDeadline(time.Now().Add(3*time.Second)), qt.IsNil)
	_, err = io.WriteString(conn, request(method, path, id, "Content-Length: 0\r\n"))
	r.c.Assert(err, qt.IsNil)
	all, err := io.ReadAll(conn)
	header, rest, _ = strings.Cut(string(all), "\r\n\r\n")
	return strings.ToLower(header), rest, err
}

func TestResponseWithoutFramingIsNotForwardedAsComplete(t *testing.T) {
	cut := origin.FullStream()[:strings.Index(origin.FullStream(), origin.Event(origin.Events/2))]
	for _, test := range []struct {
		behavior origin.Behavior
		path     string
		body     string
	}{
		{origin.CutStream, "/once/", cut},
		{origin.CutStream, "/resumed/", cut},
		{origin.UnframedStream, "/once/", origin.FullStream()},
		{origin.Unframed, "/booking/", "unframed from i-0"},
		{origin.Unframed, "/lookup/", "unframed from i-0"},
	} {
		t.Run(string(test.behavior)+test.path, func(t *testing.T) {
			c, r := start(t, 1, test.behavior != origin.Unframed)
			r.servers[0].Enqueue(test.behavior)
			header, rest, err := r.rawResponse("POST", test.path, "u1")
			c.Assert(err, qt.IsNil)
			c.Check(strings.HasPrefix(header, "http/1.1 200"), qt.IsTrue)
			c.Check(header, qt.Not(qt.Contains), "transfer-encoding")
			c.Check(header, qt.Not(qt.Contains), "content-length")
			c.Check(header, qt.Contains, "connection: close")
			c.Check(rest, qt.Equals, test.body)
		})
	}
}

// A caller that was promised chunks gets no last chunk from a resumed stream whose end is
// not marked.
func TestResumedStreamWithoutFramingIsNotForwardedAsComplete(t *testing.T) {
	c, r := start(t, 2, true)
	setActs(r, []origin.Behavior{origin.Tear, origin.CutStream})
	got := r.send("POST", "/resumed/", "u2", "Content-Length: 0\r\n")
	c.Check(got.status, qt.Equals, 200)
	c.Check(got.whole, qt.IsFalse)
	c.Check(r.runs("u2"), qt.Equals, 2)
}

// A stream that began without framing is reset if it breaks off, since the end of the
// connection alone would look complete.
func TestBrokenStreamWithoutFramingIsReset(t *testing.T) {
	c, r := start(t, 1, true)
	r.servers[0].Enqueue(origin.HalfEvent)
	_, _, err := r.rawResponse("POST", "/once/", "u3")
	c.Check(err, qt.IsNotNil)
}
