package httpd

import (
	"bufio"
	"bytes"
	"io"
	"os"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"siskinsaddle/internal/serve/refuse"
	"siskinsaddle/internal/serve/wire"
)

// Request is one request as its caller sent it.
type Request struct {
	Method string
	// Host is the Host field and Path the path with its query, both unchanged.
	Host string
	Path string
	// Headers are all other fields except consumedFields and those that the Connection
	// field names.
	Headers []wire.Header
	Body    []byte

	close  bool
	http10 bool
	// held is the number of bytes that are reserved for the body in bodies.
	held   int64
	bodies *bodies
}

// Header returns the first field of that name, or "" if there is none.
func (r *Request) Header(name string) string {
	for _, h := range r.Headers {
		if strings.EqualFold(h.Name, name) {
			return h.Value
		}
	}
	return ""
}

// consumedFields are the fields that are left out of Request.Headers: the hop-by-hop
// ones, Expect, which this server answers, and Host and Content-Length, whose values
// are in Request.Host and Request.Body.
var consumedFields = map[string]bool{
	"Connection":          true,
	"Content-Length":      true,
	"Expect":              true,
	"Host":                true,
	"Keep-Alive":          true,
	"Proxy-Authenticate":  true,
	"Proxy-Authorization": true,
	"Proxy-Connection":    true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
}

// errDisconnected reports a connection that broke before the whole request was read.
var errDisconnected = errors.New("the caller closed the connection")

// read reads one request whose first byte has arrived. A refusal is returned for a
// request that is malformed, too large or too slow, an error for a broken connection.
func (c *conn) read(l Limits) (*Request, *refuse.Refusal, error) {
	if err := c.deadline(l.HeaderTime); err != nil {
		return nil, nil, err
	}
	q := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(q)
	if refusal, err := c.readHeader(q, l); refusal != nil || err != nil {
		return nil, refusal, err
	}
	if refusal := checkFraming(&q.Header); refusal != nil {
		return nil, refusal, nil
	}
	r := newRequest(q)
	if refusal, err := c.readBody(q, l, r); refusal != nil || err != nil {
		r.release()
		return nil, refusal, err
	}
	return r, nil, nil
}

// readHeader reads the header. The read buffer grows once, to the limit.
func (c *conn) readHeader(q *fasthttp.Request, l Limits) (*refuse.Refusal, error) {
	q.Header.SetNoDefaultContentType(true)
	err := q.Header.Read(c.reader)
	var tooSmall *fasthttp.ErrSmallBuffer
	if errors.As(err, &tooSmall) && c.reader.Size() < l.HeaderBytes {
		c.reader = bufio.NewReaderSize(c.reader, l.HeaderBytes)
		err = q.Header.Read(c.reader)
	}
	switch {
	case err == nil:
		return nil, nil
	case errors.As(err, &tooSmall):
		return refuse.New(refuse.ReasonHeaderTooLarge), nil
	case errors.Is(err, os.ErrDeadlineExceeded):
		return refuse.New(refuse.ReasonSlowSender), nil
	case isConnError(err):
		return nil, errDisconnected
	default:
		return refuse.New(refuse.ReasonBadRequest).WithText("the header cannot be read"), nil
	}
}

// isConnError reports whether err means that the connection ended, as opposed to a
// malformed request.
func isConnError(err error) bool {
	var op interface{ Timeout() bool }
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &op)
}

// checkFraming refuses a request whose end is ambiguous, which would allow request
// smuggling.
func checkFraming(h *fasthttp.RequestHeader) *refuse.Refusal {
	lengths, codings := 0, 0
	for line := range bytes.SplitSeq(h.RawHeaders(), []byte("\r\n")) {
		if len(line) == 0 {
			continue
		}
		if line[0] == ' ' || line[0] == '\t' || bytes.ContainsAny(line, "\r\n\x00") {
			return badFraming("a header line is folded or holds a control character")
		}
		name, value, ok := bytes.Cut(line, []byte(":"))
		if !ok || len(bytes.TrimRight(name, " \t")) != len(name) {
			return badFraming("a header line has no proper name")
		}
		switch strings.ToLower(string(name)) {
		case "content-length":
			lengths++
			if !isDigits(bytes.TrimSpace(value)) {
				return badFraming("the length is not a number")
			}
		case "transfer-encoding":
			codings++
			if !bytes.EqualFold(bytes.TrimSpace(value), []byte("chunked")) {
				return badFraming("the transfer coding is not supported")
			}
		}
	}
	if lengths+codings > 1 {
		return badFraming("the body's length is given more than once")
	}
	return nil
}

func badFraming(text string) *refuse.Refusal {
	return refuse.New(refuse.ReasonBadRequest).WithText("%s", text)
}

func isDigits(text []byte) bool {
	for _, b := range text {
		if b < '0' || b > '9' {
			return false
		}
	}
	return len(text) > 0
}

func newRequest(q *fasthttp.Request) *Request {
	r := &Request{
		Method:  string(q.Header.Method()),
		Host:    string(q.Header.Host()),
		Path:    string(q.Header.RequestURI()),
		Headers: make([]wire.Header, 0, q.Header.Len()),
		close:   q.Header.ConnectionClose(),
		http10:  !q.Header.IsHTTP11(),
	}
	named := connectionFields(string(q.Header.Peek("Connection")))
	for name, value := range q.Header.All() {
		field := string(name)
		if !consumedFields[field] && !named[strings.ToLower(field)] {
			r.Headers = append(r.Headers, wire.Header{Name: field, Value: string(value)})
		}
	}
	return r
}

// connectionFields returns the lower-case names of the fields that the Connection
// field declares as hop-by-hop.
func connectionFields(value string) map[string]bool {
	if value == "" || strings.EqualFold(value, "close") || strings.EqualFold(value, "keep-alive") {
		return nil
	}
	named := map[string]bool{}
	for name := range strings.SplitSeq(value, ",") {
		named[strings.ToLower(strings.TrimSpace(name))] = true
	}
	return named
}
