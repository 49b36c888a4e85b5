package wire

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"regexp"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"siskinsaddle/internal/base/reply"
	"siskinsaddle/internal/fakes/hangup"
)

// scriptedConn is a connection whose server sends a text in pieces of a size and closes.
type scriptedConn struct {
	net.Conn
	text  []byte
	piece int
}

func (s *scriptedConn) Read(p []byte) (int, error) {
	if len(s.text) == 0 {
		return 0, io.EOF
	}
	n := copy(p, s.text[:min(s.piece, len(s.text))])
	s.text = s.text[n:]
	return n, nil
}

func (s *scriptedConn) SetReadDeadline(time.Time) error { return nil }

// received is the outcome of one request to a scripted server.
type received struct {
	Accepted, Reused bool
	Fault            reply.Fault
	Status           int
	Headers          []Header
	Body             string
}

// receiveScripted reads the response to a request from a text that arrives in pieces.
func receiveScripted(text []byte, piece int) received {
	client := &Client{}
	r := Request{Address: "server", Method: "POST"}
	t := &roundTrip{client: client, pool: client.pool(r.Address), request: r}
	t.conn = &conn{Conn: reply.Wrap(&scriptedConn{text: text, piece: piece}, r.Address, nil)}
	t.ctx, t.cancel = context.WithCancel(context.Background())
	t.unwatch = func() bool { return true }
	var got received
	t.release, t.discard = func() { got.Reused = true }, func() {}
	open := t.conn
	open.prepare(r, client.maxResponseBytes())
	response, err := t.receive()
	if err != nil {
		t.abandon()
		return received{Fault: open.Fault()}
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return received{Fault: open.Fault()}
	}
	got.Accepted, got.Status, got.Headers, got.Body = true, response.Status, response.Headers, string(body)
	return got
}

// pieces are the sizes of the pieces in which texts arrive: whole, and split everywhere.
func pieces(text string) []int {
	sizes := []int{len(text) + 1}
	for n := range len(text) {
		sizes = append(sizes, n+1)
	}
	return sizes
}

func TestSentencesOverSplitReads(t *testing.T) {
	for _, test := range Malformed {
		t.Run(test.Name, func(t *testing.T) {
			c := qt.New(t)
			whole := receiveScripted([]byte(test.Text), len(test.Text))
			c.Assert(whole.Fault, qt.Not(qt.Equals), reply.Fault(""))
			for _, n := range pieces(test.Text) {
				c.Assert(receiveScripted([]byte(test.Text), n), qt.DeepEquals, received{Fault: whole.Fault}, qt.Commentf("pieces of %d", n))
			}
		})
	}
	for _, test := range Whole {
		t.Run(test.Name, func(t *testing.T) {
			c := qt.New(t)
			for _, n := range pieces(test.Text) {
				got := receiveScripted([]byte(test.Text), n)
				c.Assert(got.Accepted, qt.IsTrue, qt.Commentf("pieces of %d: %s", n, got.Fault))
				c.Assert(got.Body, qt.Equals, hangup.ResponseBody)
				c.Assert(got.Reused && test.ToClose, qt.IsFalse)
			}
			end := len(test.Text)
			if test.ToClose {
				end -= len(hangup.ResponseBody)
			}
			for n := 1; n < end; n++ {
				fault := receiveScripted([]byte(test.Text[:n]), n).Fault
				c.Assert(fault == reply.FaultCutHeader || fault == reply.FaultCutBody, qt.IsTrue, qt.Commentf("%q: %q", test.Text[:n], fault))
			}
		})
	}
}

// Bytes behind a whole response do not spoil it, but its connection.
func TestBytesBehindResponseEndTheConnection(t *testing.T) {
	for _, behind := range []string{"\r\n", "x", "\x00", "HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 000 OK\r\n\r\n"} {
		text := hangup.Response + behind
		c := qt.New(t)
		got := receiveScripted([]byte(text), len(text))
		c.Check(got.Body, qt.Equals, hangup.ResponseBody)
		c.Check(got.Reused, qt.IsFalse, qt.Commentf("%q", behind))
	}
}

const (
	reasonOrValue = `[\t -~\x{80}-\x{ff}]*`
	fieldLines    = "([!#$%&'*+.^_`|~0-9A-Za-z-]+:" + reasonOrValue + `\r\n)*\r\n`
)

// grammar matches the headers of a response, whose bytes stand for the code points of the same
// number.
var grammar = regexp.MustCompile(`^(HTTP/1\.[01] 1[0-9]{2} ` + reasonOrValue + `\r\n` + fieldLines + `)*` +
	`HTTP/1\.[01] [2-5][0-9]{2} ` + reasonOrValue + `\r\n` + fieldLines)

// FuzzResponse guards against broken responses: what is accepted follows the grammar, is the
// same for net/http, and does not depend on how its bytes arrive.
func FuzzResponse(f *testing.F) {
	for _, test := range Malformed {
		f.Add([]byte(test.Text), uint16(3))
	}
	for _, test := range Whole {
		f.Add([]byte(test.Text), uint16(1))
		f.Add([]byte(test.Text[:len(test.Text)/2]), uint16(7))
		f.Add([]byte(test.Text+test.Text), uint16(50))
	}
	f.Fuzz(func(t *testing.T, text []byte, piece uint16) {
		c := qt.New(t)
		if len(text) > 4_000 {
			return // net/http bounds the length of lines
		}
		whole := receiveScripted(text, len(text)+1)
		split := receiveScripted(text, int(piece)+1)
		// Bytes behind the response may not have arrived when its connection is returned.
		split.Reused = whole.Reused
		if split.Fault == "" {
			// The parser has rejected a proper line before a later one that is broken arrived.
			whole.Fault = ""
		}
		c.Assert(split, qt.DeepEquals, whole)
		if !whole.Accepted {
			return
		}
		latin1 := make([]rune, len(text))
		for i, b := range text {
			latin1[i] = rune(b)
		}
		c.Assert(grammar.MatchString(string(latin1)), qt.IsTrue)
		status, body, err := readStandard(text)
		c.Assert(err, qt.IsNil)
		c.Assert(status, qt.Equals, whole.Status)
		c.Assert(body, qt.Equals, whole.Body)
	})
}

// readStandard reads the final response in a text with net/http.
func readStandard(text []byte) (status int, body string, err error) {
	reader := bufio.NewReader(bytes.NewReader(text))
	for {
		response, err := http.ReadResponse(reader, &http.Request{Method: "POST"})
		if err != nil {
			return 0, "", err
		}
		content, err := io.ReadAll(response.Body)
		_ = response.Body.Close() // its end was read
		if err != nil || response.StatusCode >= http.StatusOK {
			return response.StatusCode, string(content), err
		}
	}
}
