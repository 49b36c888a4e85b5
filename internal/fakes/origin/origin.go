// Package origin is a stand-in of a backend server behind a host that passes
// requests through. It answers plain calls and streams of events, and does to
// each request what a test wants of it. It counts how often each request ran.
//
// # Usage
//
//	o := &origin.Origin{ID: "i-1", Fields: fields}
//	err := o.Start()
//	defer o.Stop()
//	o.Next(origin.Reset)      // for the next request
//	o.Always(origin.Answer)   // for those that follow
//	runs := o.Runs("request-1")
package origin

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"siskinsaddle/internal/serve/proxy"
)

// Act is what is done to one request.
type Act string

// The acts. All but NotRun, Moved and Refuse run the request.
const (
	Answer Act = "Answer"
	// Fail answers 500.
	Fail Act = "Fail"
	// NotRun refuses as full, Moved as another server.
	NotRun Act = "NotRun"
	Moved  Act = "Moved"
	// Reset resets the connection before an answer, Tear in its middle.
	Reset Act = "Reset"
	Tear  Act = "Tear"
	// Silent never answers.
	Silent Act = "Silent"
	// Stray sends another request's answer first, Extra one more behind it.
	Stray Act = "Stray"
	Extra Act = "Extra"
	// Unframed gives the answer no length and ends it with the connection.
	Unframed Act = "Unframed"
	// Early answers before the body is in.
	Early Act = "Early"
)

// Events is how many events a stream has.
const Events = 8

// eventPause is the time between two events of a stream.
const eventPause = 5 * time.Millisecond

// Origin is the server. Its fields are set before Start.
type Origin struct {
	ID string
	// Fields are the header fields that requests and answers carry.
	Fields proxy.Fields
	// Address is "IP:port", any free one where it is empty.
	Address string
	// Stream has every request answered by events.
	Stream bool
	// Heard, where set, is told of each request that arrives and whether it runs.
	Heard func(r *http.Request, runs bool)

	listener net.Listener
	mu       sync.Mutex
	next     []Act
	always   Act
	script   func() (Act, bool)
	runs     map[string]int
	seen     []*http.Request
	open     map[net.Conn]bool
	all      sync.WaitGroup
}

// Start listens.
func (o *Origin) Start() error {
	address := o.Address
	if address == "" {
		address = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrap(err, "the stand-in of a backend server listens")
	}
	o.listener = l
	o.runs = map[string]int{}
	o.open = map[net.Conn]bool{}
	if o.always == "" {
		o.always = Answer
	}
	go o.accept()
	return nil
}

// Bound is the "IP:port" that is listened on.
func (o *Origin) Bound() string { return o.listener.Addr().String() }

// Stop closes the listener and every connection.
func (o *Origin) Stop() {
	_ = o.listener.Close() // it is given up either way
	o.mu.Lock()
	for c := range o.open {
		_ = c.Close()
	}
	o.mu.Unlock()
	o.all.Wait()
}

// Next has the next requests met by these acts, one each.
func (o *Origin) Next(acts ...Act) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.next = append(o.next, acts...)
}

// Direct has a function decide on each request first; where it returns false,
// Next and Always do.
func (o *Origin) Direct(script func() (Act, bool)) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.script = script
}

// Always has all further requests met by the act.
func (o *Origin) Always(a Act) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.always = a
}

// Runs is how often a request ran here.
func (o *Origin) Runs(id string) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.runs[id]
}

// Seen are the requests that arrived here, none where Heard is set.
func (o *Origin) Seen() []*http.Request {
	o.mu.Lock()
	defer o.mu.Unlock()
	return append([]*http.Request(nil), o.seen...)
}

// Connections is how many connections are open.
func (o *Origin) Connections() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.open)
}

func (o *Origin) accept() {
	for {
		c, err := o.listener.Accept()
		if err != nil {
			return
		}
		o.mu.Lock()
		o.open[c] = true
		o.mu.Unlock()
		o.all.Go(func() {
			o.serve(c)
			_ = c.Close()
			o.mu.Lock()
			delete(o.open, c)
			o.mu.Unlock()
		})
	}
}

func (o *Origin) serve(c net.Conn) {
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if r.Header.Get(o.Fields.RequestID) == "" {
			// A question about the server itself, which this one does not answer.
			if !o.plain(c, 404, "", "", "") {
				return
			}
			continue
		}
		act := o.take(r)
		if act != Early {
			var body bytes.Buffer
			if _, err := body.ReadFrom(r.Body); err != nil {
				return
			}
		}
		if !o.act(c, r, act) {
			return
		}
		if act == Early {
			var body bytes.Buffer
			if _, err := body.ReadFrom(r.Body); err != nil {
				return
			}
		}
	}
}

// take picks the act for a request and counts it.
func (o *Origin) take(r *http.Request) Act {
	o.mu.Lock()
	defer o.mu.Unlock()
	act := o.always
	if len(o.next) > 0 {
		act, o.next = o.next[0], o.next[1:]
	}
	if o.script != nil {
		if a, ok := o.script(); ok {
			act = a
		}
	}
	if want := r.Header.Get(o.Fields.Server); want != "" && want != o.ID {
		act = Moved
	}
	runs := act != NotRun && act != Moved
	if o.Heard != nil {
		o.Heard(r, runs)
	} else {
		o.seen = append(o.seen, r)
	}
	if runs {
		o.runs[r.Header.Get(o.Fields.RequestID)]++
	}
	return act
}

// act answers. It returns whether the connection goes on.
func (o *Origin) act(c net.Conn, r *http.Request, act Act) bool {
	id := r.Header.Get(o.Fields.RequestID)
	switch act {
	case Fail:
		return o.plain(c, 500, id, "failed", "")
	case NotRun:
		return o.plain(c, 503, id, "full", o.Fields.NotRun+": 1\r\n")
	case Moved:
		return o.plain(c, 421, id, "moved", "")
	case Reset:
		return reset(c)
	case Silent:
		var one [1]byte
		_, _ = c.Read(one[:]) // until the other side closes
		return false
	case Stray:
		return o.plain(c, 200, "another-request", "stray", "") && o.answer(c, r, act)
	case Extra:
		return o.answer(c, r, act) && o.plain(c, 200, "another-request", "extra", "")
	case Unframed:
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: stamp-%s\r\n\r\nunframed from %s", o.Fields.RequestID, id, o.Fields.ServerStamp, o.ID, o.ID)
		return false
	case Tear:
		if !o.Stream {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n%s: %s\r\n\r\nhalf", o.Fields.RequestID, id)
			return reset(c)
		}
	}
	return o.answer(c, r, act)
}

func reset(c net.Conn) bool {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // without it the connection is closed instead
	}
	return false
}

func (o *Origin) answer(c net.Conn, r *http.Request, act Act) bool {
	if o.Stream {
		return o.stream(c, r, act)
	}
	return o.plain(c, 200, r.Header.Get(o.Fields.RequestID), "answer of "+o.ID, "")
}

func (o *Origin) plain(c net.Conn, status int, id, body, more string) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 %d Status\r\nContent-Length: %d\r\n%s: %s\r\n%s: stamp-%s\r\n%s\r\n%s",
		status, len(body), o.Fields.RequestID, id, o.Fields.ServerStamp, o.ID, more, body)
	return err == nil
}

// stream sends events after the last one that the request names. Tear breaks
// off in the middle of the one half-way.
func (o *Origin) stream(c net.Conn, r *http.Request, act Act) bool {
	first := 1
	if last := r.Header.Get(o.Fields.LastEvent); last != "" {
		n, err := strconv.Atoi(last)
		if err != nil {
			return false
		}
		first = n + 1
	}
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n%s: %s\r\n%s: stamp-%s\r\n\r\n",
		o.Fields.RequestID, r.Header.Get(o.Fields.RequestID), o.Fields.ServerStamp, o.ID)
	for n := first; n <= Events && err == nil; n++ {
		event := Event(n)
		if act == Tear && n == Events/2 {
			half := event[:len(event)/2]
			_, _ = fmt.Fprintf(c, "%x\r\n%s\r\n", len(half), half)
			time.Sleep(eventPause)
			return reset(c)
		}
		_, err = fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event)
		time.Sleep(eventPause)
	}
	if err == nil {
		_, err = fmt.Fprint(c, "0\r\n\r\n")
	}
	return err == nil
}

// Event is the text of an event.
func Event(n int) string { return fmt.Sprintf("id: %d\ndata: token %d\n\n", n, n) }

// Whole is the text of a complete stream.
func Whole() string {
	var b strings.Builder
	for n := 1; n <= Events; n++ {
		b.WriteString(Event(n))
	}
	return b.String()
}
