// Package origin is a stand-in for a backend server behind a host that proxies
// requests. It answers with a plain response or a stream of server-sent events,
// and treats each request as a test chooses: it answers, fails, refuses, resets
// the connection or breaks HTTP framing. It counts how often each request ran.
//
// The behavior for a request is chosen in this order: Moved, if the request names
// another server; what SetResumeBehavior sets, if the request resumes a stream; the script that is set with SetScript; the next behavior in the
// queue that Enqueue fills; the default that is set with SetDefault.
//
// # Usage
//
//	o := &origin.Origin{ID: "i-1", Fields: fields}
//	err := o.Start()
//	defer o.Stop()
//	o.Enqueue(origin.Reset)     // for the next request
//	o.SetDefault(origin.Answer) // for all later requests
//	runs := o.Runs("request-1")
package origin

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"siskinsaddle/internal/serve/proxy"
)

// Behavior is how the stand-in treats one request.
type Behavior string

// The behaviors. All of them except Moved and those that begin with NotRun run the request.
const (
	// Answer answers 200.
	Answer Behavior = "Answer"
	// Fail answers 500 after the request ran.
	Fail Behavior = "Fail"
	// NotRun refuses with 503 and the not-run header field, as a full server does.
	NotRun Behavior = "NotRun"
	// NotRunLimited, NotRunTimedOut and NotRunMoved refuse with 429, 408 and 421 and the
	// not-run header field.
	NotRunLimited  Behavior = "NotRunLimited"
	NotRunTimedOut Behavior = "NotRunTimedOut"
	NotRunMoved    Behavior = "NotRunMoved"
	// RanUnavailable, RanLimited and RanTimedOut run the request and answer with the status of
	// a refusal, 503, 429 or 408, without that field. RanEarly does so with 503 before it has
	// read the request body. UnnamedUnavailable sends such a response without an id before the
	// right one.
	RanUnavailable     Behavior = "RanUnavailable"
	RanLimited         Behavior = "RanLimited"
	RanTimedOut        Behavior = "RanTimedOut"
	RanEarly           Behavior = "RanEarly"
	UnnamedUnavailable Behavior = "UnnamedUnavailable"
	// Moved refuses with 421, as a server that the request is not addressed to.
	Moved Behavior = "Moved"
	// Reset resets the connection before the response.
	Reset Behavior = "Reset"
	// Tear resets the connection in the middle of the response.
	Tear Behavior = "Tear"
	// Silent never answers and keeps the connection open.
	Silent Behavior = "Silent"
	// Stray sends a response with another request's id before the right one.
	Stray Behavior = "Stray"
	// Extra sends a response with another request's id after the right one.
	Extra Behavior = "Extra"
	// StrayRefusal sends the refusal of another request before the right response, and
	// UnnamedRefusal one without an id. LateCopy sends the right response once more a
	// little later. Informational sends a response of class 1xx before the right one.
	StrayRefusal   Behavior = "StrayRefusal"
	UnnamedRefusal Behavior = "UnnamedRefusal"
	LateCopy       Behavior = "LateCopy"
	Informational  Behavior = "Informational"
	// UnnamedSuccess, UnnamedFailure and UnnamedEmpty send a response without an id or a stamp
	// before the right one. LateUnnamed sends such a success a little after the right one.
	// Unstamped sends the right response without a stamp, and Unnamed without an id or a stamp.
	UnnamedSuccess Behavior = "UnnamedSuccess"
	UnnamedFailure Behavior = "UnnamedFailure"
	UnnamedEmpty   Behavior = "UnnamedEmpty"
	LateUnnamed    Behavior = "LateUnnamed"
	Unstamped      Behavior = "Unstamped"
	Unnamed        Behavior = "Unnamed"
	// Unframed sends a response without a Content-Length, delimited by the close of
	// the connection.
	Unframed Behavior = "Unframed"
	// Early answers before it has read the request body.
	Early Behavior = "Early"
	// EndlessHeader, EndlessBody and EndlessChunks send a header, a body without a
	// length or a chunked body that go on until the caller closes the connection.
	EndlessHeader Behavior = "EndlessHeader"
	EndlessBody   Behavior = "EndlessBody"
	EndlessChunks Behavior = "EndlessChunks"
	// EndlessEvent sends the first half of the events of a stream and then an event
	// that does not end. Trickle sends a stream without any event, a byte at a time.
	EndlessEvent Behavior = "EndlessEvent"
	Trickle      Behavior = "Trickle"
	// TrickleLate sends the first half of the events and then a byte now and then, without
	// an end. Slow pauses in the middle of a stream for SlowPause.
	TrickleLate Behavior = "TrickleLate"
	Slow        Behavior = "Slow"
	// LongEvent sends LongEventBytes of an event that does not end, and then nothing until the
	// caller closes the connection.
	LongEvent Behavior = "LongEvent"
	// HalfEvent and HalfEventChunks end a stream inside its last event as if it were
	// complete: with the connection, or with a last chunk. NoEvent ends it with the
	// connection before its first event.
	HalfEvent       Behavior = "HalfEvent"
	HalfEventChunks Behavior = "HalfEventChunks"
	NoEvent         Behavior = "NoEvent"
	// UnframedStream and CutStream send a stream that ends with its connection: all its
	// events, or the first half of them.
	UnframedStream Behavior = "UnframedStream"
	CutStream      Behavior = "CutStream"
	// LengthStream sends a stream with a Content-Length, an event at a time. LengthStreamAtOnce
	// sends it with its header in one write. CutLengthStream ends the connection after half of
	// the events that the length announces.
	LengthStream       Behavior = "LengthStream"
	LengthStreamAtOnce Behavior = "LengthStreamAtOnce"
	CutLengthStream    Behavior = "CutLengthStream"
	// ErrorAsSuccess, ErrorHead, NoContent and EmptySuccess answer a request that resumes a
	// stream with a success that is none: an error in JSON, the whole head of an error as text,
	// or nothing. NoEvents answers it with a stream without events that ends in order, and
	// StartOver with all events from the first on.
	ErrorAsSuccess Behavior = "ErrorAsSuccess"
	ErrorHead      Behavior = "ErrorHead"
	NoContent      Behavior = "NoContent"
	EmptySuccess   Behavior = "EmptySuccess"
	NoEvents       Behavior = "NoEvents"
	StartOver      Behavior = "StartOver"
	// ZeroStatus, BlankInName, ControlInName, FoldedLine and CutHeader send the right answer with
	// a header that package spoil breaks. MalformedChunk sends half of the events of a stream and
	// then a chunk without a size.
	ZeroStatus     Behavior = "ZeroStatus"
	BlankInName    Behavior = "BlankInName"
	ControlInName  Behavior = "ControlInName"
	FoldedLine     Behavior = "FoldedLine"
	CutHeader      Behavior = "CutHeader"
	MalformedChunk Behavior = "MalformedChunk"
	// EarlyCut sends a success without a length and a part of its body before it has read the
	// request body, and resets the connection.
	EarlyCut Behavior = "EarlyCut"
	// crashAtSegment crashes the server inside its first event. SetCrashSegments causes it.
	crashAtSegment Behavior = "CrashAtSegment"
)

// Events is the number of events in a complete stream.
const Events = 8

// LongEventBytes is the length of what LongEvent sends.
const LongEventBytes = 200 << 10

// SlowPause is the pause of a slow stream.
const SlowPause = 600 * time.Millisecond

// eventInterval is the time between two events of a stream.
const eventInterval = 5 * time.Millisecond

// Origin is the stand-in server. The exported fields must be set before Start.
type Origin struct {
	// ID is the server's id, which requests name in the Server field.
	ID string
	// Fields are the names of the header fields that requests and responses carry.
	Fields proxy.Fields
	// Address is the listen address as "IP:port", 127.0.0.1 with a free port by default.
	Address string
	// Stream answers every request with a stream of events instead of a plain response.
	Stream bool
	// OnRequest, if set, is called for each request with whether it runs. It is called
	// with a lock held and must not call Origin's methods.
	OnRequest func(r *http.Request, runs bool)
	// OnCrash, if set, is called when the server has crashed, with the prompt segment that
	// crashed it, "" after Crash. It must not call Stop.
	OnCrash func(segment string)

	listener        net.Listener
	crashOnce       sync.Once
	crashSegments   []string
	rateLimit       string
	leaving         bool
	holdOff         string
	mu              sync.Mutex
	queue           []Behavior
	defaultBehavior Behavior
	resumeBehavior  Behavior
	script          func() (Behavior, bool)
	runCounts       map[string]int
	requests        []*http.Request
	open            map[net.Conn]bool
	handlers        sync.WaitGroup
}

// Start opens the listener and serves in background goroutines.
func (o *Origin) Start() error {
	address := o.Address
	if address == "" {
		address = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrap(err, "listen for the stand-in backend server")
	}
	o.listener = l
	o.runCounts = map[string]int{}
	o.open = map[net.Conn]bool{}
	if o.defaultBehavior == "" {
		o.defaultBehavior = Answer
	}
	go o.acceptConnections()
	return nil
}

// ListenAddress returns the address of the listener as "IP:port". It is valid after Start.
func (o *Origin) ListenAddress() string { return o.listener.Addr().String() }

// Stop closes the listener and every connection, and waits for their handlers.
func (o *Origin) Stop() {
	_ = o.listener.Close() // the listener is not used again either way
	o.mu.Lock()
	for c := range o.open {
		_ = c.Close()
	}
	o.mu.Unlock()
	o.handlers.Wait()
}

// Enqueue queues behaviors for the next requests, one behavior for each request.
func (o *Origin) Enqueue(behaviors ...Behavior) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.queue = append(o.queue, behaviors...)
}

// SetScript sets a function that chooses the behavior for each request. If it returns
// false, the behavior comes from the queue or is the default. A request uses up a
// queued behavior either way.
func (o *Origin) SetScript(script func() (Behavior, bool)) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.script = script
}

// SetDefault sets the behavior for requests that neither the script nor the queue
// decides.
func (o *Origin) SetDefault(b Behavior) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.defaultBehavior = b
}

// SetResumeBehavior sets the behavior for requests that resume a stream, "" for that of all
// others.
func (o *Origin) SetResumeBehavior(b Behavior) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.resumeBehavior = b
}

// SetRateLimit sets the rate limit that responses name, "" for none.
func (o *Origin) SetRateLimit(text string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.rateLimit = text
}

// SetLeaving makes all responses say that the server is leaving, or none.
func (o *Origin) SetLeaving(leaving bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.leaving = leaving
}

// SetHoldOff makes the server refuse all requests without running them and name a time in
// seconds for which it wants none. An empty text ends that.
func (o *Origin) SetHoldOff(text string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.holdOff = text
}

// statementFields returns the header lines of the rate limit, and of whether the server is
// leaving, if there are any.
func (o *Origin) statementFields() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	lines := ""
	if o.rateLimit != "" && o.Fields.RateLimit != "" {
		lines += o.Fields.RateLimit + ": " + o.rateLimit + "\r\n"
	}
	if o.leaving && o.Fields.Leaving != "" {
		lines += o.Fields.Leaving + ": 1\r\n"
	}
	return lines
}

// holdOffField returns the header line of a refusal that names a hold-off, if it does.
func (o *Origin) holdOffField() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.holdOff == "" || o.Fields.HoldOff == "" {
		return ""
	}
	return o.Fields.HoldOff + ": " + o.holdOff + "\r\n"
}

// SetCrashSegments sets the names of prompt segments. The server crashes when it begins to
// answer a prompt with one of them before its last segment.
func (o *Origin) SetCrashSegments(names ...string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.crashSegments = names
}

// crashSegment returns the segment of a request's prompt at which the server crashes, or
// "". The caller holds the lock.
func (o *Origin) crashSegment(r *http.Request) string {
	if len(o.crashSegments) == 0 {
		return ""
	}
	segments := strings.Split(r.Header.Get(o.Fields.PromptSegments), ",")
	for _, s := range segments[:len(segments)-1] {
		name, _, _ := strings.Cut(s, ":")
		if slices.Contains(o.crashSegments, name) {
			return name
		}
	}
	return ""
}

// Crash closes the listener and resets all connections.
func (o *Origin) Crash() { o.crash("") }

func (o *Origin) crash(segment string) {
	o.crashOnce.Do(func() {
		_ = o.listener.Close() // the listener is not used again either way
		o.mu.Lock()
		for c := range o.open {
			reset(c)
			_ = c.Close()
		}
		o.mu.Unlock()
		if o.OnCrash != nil {
			o.OnCrash(segment)
		}
	})
}

// Runs returns how often the request with this id ran.
func (o *Origin) Runs(id string) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.runCounts[id]
}

// Requests returns the requests that arrived. It stays empty if OnRequest is set.
func (o *Origin) Requests() []*http.Request {
	o.mu.Lock()
	defer o.mu.Unlock()
	return append([]*http.Request(nil), o.requests...)
}

// Connections returns how many connections are open.
func (o *Origin) Connections() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.open)
}

func (o *Origin) acceptConnections() {
	for {
		c, err := o.listener.Accept()
		if err != nil {
			return
		}
		o.mu.Lock()
		o.open[c] = true
		o.mu.Unlock()
		o.handlers.Go(func() {
			o.serveConnection(c)
			_ = c.Close()
			o.mu.Lock()
			delete(o.open, c)
			o.mu.Unlock()
		})
	}
}

func (o *Origin) serveConnection(c net.Conn) {
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if r.Header.Get(o.Fields.RequestID) == "" {
			// Requests without an id ask about the server itself; the stand-in has no
			// such endpoint.
			if !o.writePlain(c, 404, "", "", "") {
				return
			}
			continue
		}
		behavior := o.chooseBehavior(r)
		if behavior != Early && behavior != EarlyCut && behavior != RanEarly {
			var body bytes.Buffer
			if _, err := body.ReadFrom(r.Body); err != nil {
				return
			}
		}
		if !o.perform(c, r, behavior) {
			return
		}
		if behavior == Early || behavior == RanEarly {
			var body bytes.Buffer
			if _, err := body.ReadFrom(r.Body); err != nil {
				return
			}
		}
	}
}

// chooseBehavior chooses the behavior for a request and counts the request.
func (o *Origin) chooseBehavior(r *http.Request) Behavior {
	o.mu.Lock()
	defer o.mu.Unlock()
	behavior := o.defaultBehavior
	if len(o.queue) > 0 {
		behavior, o.queue = o.queue[0], o.queue[1:]
	}
	if o.script != nil {
		if b, ok := o.script(); ok {
			behavior = b
		}
	}
	if o.resumeBehavior != "" && r.Header.Get(o.Fields.LastEvent) != "" {
		behavior = o.resumeBehavior
	}
	if o.holdOff != "" {
		behavior = NotRun
	}
	if o.crashSegment(r) != "" {
		behavior = crashAtSegment
	}
	if want := r.Header.Get(o.Fields.Server); want != "" && want != o.ID {
		behavior = Moved
	}
	runs := behavior != Moved && !refusals[behavior].marked
	if o.OnRequest != nil {
		o.OnRequest(r, runs)
	} else {
		o.requests = append(o.requests, r)
	}
	if runs {
		o.runCounts[r.Header.Get(o.Fields.RequestID)]++
	}
	return behavior
}

// perform treats a request as the behavior says. It reports whether the connection
// stays open.
func (o *Origin) perform(c net.Conn, r *http.Request, behavior Behavior) bool {
	id := r.Header.Get(o.Fields.RequestID)
	if open, ok := o.performOdd(c, r, behavior); ok {
		return open
	}
	if write, ok := strayResponses[behavior]; ok {
		return write(o, c) && o.writeAnswer(c, r, behavior)
	}
	if write, ok := extraResponses[behavior]; ok {
		return o.writeAnswer(c, r, behavior) && write(o, c, id)
	}
	if refusal, ok := refusals[behavior]; ok {
		return o.writeRefusal(c, id, refusal)
	}
	switch behavior {
	case Fail:
		return o.writePlain(c, 500, id, "failed", "")
	case crashAtSegment:
		o.writeCrash(c, r)
		return false
	case Moved:
		return o.writePlain(c, 421, id, "moved", "")
	case Reset:
		return reset(c)
	case Silent:
		return awaitClose(c)
	case Unframed:
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: stamp-%s\r\n\r\nunframed from %s", o.Fields.RequestID, id, o.Fields.ServerStamp, o.ID, o.ID)
		return false
	case Tear:
		if !o.Stream {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n%s: %s\r\n%s\r\nhalf", o.Fields.RequestID, id, o.statementFields())
			return reset(c)
		}
	}
	return o.writeAnswer(c, r, behavior)
}

// performOdd performs the behaviors that send bytes without end, a broken response, an odd
// stream or a response that does not identify itself. It reports whether the connection stays open, and whether the behavior is one of them.
func (o *Origin) performOdd(c net.Conn, r *http.Request, behavior Behavior) (open, ok bool) {
	id := r.Header.Get(o.Fields.RequestID)
	if _, ok := spoiledHeaders[behavior]; ok || behavior == MalformedChunk {
		return o.writeAnswer(&spoiledConn{Conn: c, behavior: behavior}, r, behavior), true
	}
	if e, ok := endlessResponses[behavior]; ok {
		return o.writeEndless(c, id, e), true
	}
	if odd, ok := oddSuccesses[behavior]; ok && o.Stream && r.Header.Get(o.Fields.LastEvent) != "" {
		return o.writeOddSuccess(c, id, odd), true
	}
	switch behavior {
	case EarlyCut:
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: stamp-%s\r\n\r\nhalf", o.Fields.RequestID, id, o.Fields.ServerStamp, o.ID)
		return reset(c), true
	case LengthStream, LengthStreamAtOnce, CutLengthStream:
		return o.writeLengthStream(c, r, behavior), true
	case LongEvent:
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n%s: %s\r\n%s: stamp-%s\r\n%s%s",
			o.Fields.RequestID, id, o.Fields.ServerStamp, o.ID, chunkedBody, chunk("data: "+strings.Repeat("x", LongEventBytes)))
		return awaitClose(c), true
	case Unstamped:
		_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n%s: %s\r\n\r\nbare", o.Fields.RequestID, id)
		return err == nil, true
	case Unnamed:
		return writeUnnamed(c, 200, "bare"), true
	}
	if half, ok := halfStreams[behavior]; ok {
		return o.writeHalf(c, id, half), true
	}
	return false, false
}

// awaitClose waits until the caller closes the connection. It returns false, so that the
// connection is closed.
func awaitClose(c net.Conn) bool {
	var one [1]byte
	_, _ = c.Read(one[:]) // returns when the peer closes
	return false
}

// strayResponses write what comes before the right response, extraResponses what comes after
// it.
var strayResponses = map[Behavior]func(o *Origin, c net.Conn) bool{
	Stray: func(o *Origin, c net.Conn) bool {
		return o.writePlain(c, 200, "another-request", "stray", "")
	},
	StrayRefusal:       func(o *Origin, c net.Conn) bool { return o.writeRefusal(c, "another-request", refusals[NotRun]) },
	UnnamedRefusal:     func(o *Origin, c net.Conn) bool { return o.writeRefusal(c, "", refusals[NotRun]) },
	UnnamedUnavailable: func(_ *Origin, c net.Conn) bool { return writeUnnamed(c, 503, "") },
	UnnamedSuccess:     func(_ *Origin, c net.Conn) bool { return writeUnnamed(c, 200, "stray") },
	UnnamedFailure:     func(_ *Origin, c net.Conn) bool { return writeUnnamed(c, 500, "stray") },
	UnnamedEmpty:       func(_ *Origin, c net.Conn) bool { return writeUnnamed(c, 200, "") },
	Informational: func(_ *Origin, c net.Conn) bool {
		_, err := io.WriteString(c, "HTTP/1.1 103 Early Hints\r\nLink: </style.css>\r\n\r\n")
		return err == nil
	},
}

var extraResponses = map[Behavior]func(o *Origin, c net.Conn, id string) bool{
	Extra: func(o *Origin, c net.Conn, _ string) bool {
		return o.writePlain(c, 200, "another-request", "extra", "")
	},
	LateCopy: func(o *Origin, c net.Conn, id string) bool {
		return writeLate(func() { o.writePlain(c, 200, id, "copy of "+o.ID, "") })
	},
	LateUnnamed: func(_ *Origin, c net.Conn, _ string) bool {
		return writeLate(func() { writeUnnamed(c, 200, "stray") })
	},
}

// writeUnnamed writes a response without an id or a stamp.
func writeUnnamed(c net.Conn, status int, body string) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 %d Status\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
	return err == nil
}

// writeLate calls a function after at most maxCopyDelay. It returns true, so that the
// connection stays open.
func writeLate(write func()) bool {
	time.AfterFunc(time.Duration(rand.Int64N(int64(maxCopyDelay))), write)
	return true
}

// maxCopyDelay is the longest delay of a late response: about the time until the connection is used
// again under load.
const maxCopyDelay = 3 * time.Millisecond

// refusal is a response with the status of a refusal. marked is set if it states that the
// request did not run.
type refusal struct {
	status int
	marked bool
}

var refusals = map[Behavior]refusal{
	NotRun:         {http.StatusServiceUnavailable, true},
	NotRunLimited:  {http.StatusTooManyRequests, true},
	NotRunTimedOut: {http.StatusRequestTimeout, true},
	NotRunMoved:    {http.StatusMisdirectedRequest, true},
	RanUnavailable: {http.StatusServiceUnavailable, false},
	RanLimited:     {http.StatusTooManyRequests, false},
	RanTimedOut:    {http.StatusRequestTimeout, false},
	RanEarly:       {http.StatusServiceUnavailable, false},
}

// writeRefusal reports whether the connection stays open.
func (o *Origin) writeRefusal(c net.Conn, id string, r refusal) bool {
	fields := ""
	if r.marked {
		fields = o.Fields.NotRun + ": 1\r\n" + o.holdOffField()
	}
	return o.writePlain(c, r.status, id, "", fields)
}

// endlessBytes is the length of the text that endless bodies repeat.
const endlessBytes = 4_000

const chunkedBody = "Transfer-Encoding: chunked\r\n\r\n"

// endlessResponse goes on with begin after the status line and the IDs, and then repeats
// a text, with a pause in between, until the caller closes the connection.
type endlessResponse struct {
	begin, repeated string
	pause           time.Duration
}

var endlessResponses = map[Behavior]endlessResponse{
	EndlessHeader: {"", "X-More: more\r\n", 0},
	EndlessBody:   {"\r\n", strings.Repeat("x", endlessBytes), 0},
	EndlessChunks: {chunkedBody, chunk(strings.Repeat("x", endlessBytes)), 0},
	Trickle:       {chunkedBody, chunk(":"), eventInterval},
}

func (o *Origin) writeEndless(c net.Conn, id string, e endlessResponse) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: stamp-%s\r\n%s",
		o.Fields.RequestID, id, o.Fields.ServerStamp, o.ID, e.begin)
	for err == nil {
		time.Sleep(e.pause)
		_, err = fmt.Fprint(c, e.repeated)
	}
	return false
}

// chunk returns a text as a chunk of a chunked body.
func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// reset makes the close of the connection send a TCP reset. It returns false, so that
// the connection is closed.
func reset(c net.Conn) bool {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // otherwise Close would end the connection cleanly
	}
	return false
}

// writeAnswer writes a complete answer, as a stream or as a plain response.
func (o *Origin) writeAnswer(c net.Conn, r *http.Request, behavior Behavior) bool {
	if o.Stream {
		return o.writeStream(c, r, behavior)
	}
	return o.writePlain(c, 200, r.Header.Get(o.Fields.RequestID), "answer of "+o.ID, "")
}

// writePlain writes a response with a Content-Length. extraFields are header lines,
// each ending in CRLF.
func (o *Origin) writePlain(c net.Conn, status int, id, body, extraFields string) bool {
	named := ""
	if id != "" {
		named = o.Fields.RequestID + ": " + id + "\r\n"
	}
	_, err := fmt.Fprintf(c, "HTTP/1.1 %d Status\r\nContent-Length: %d\r\n%s%s: stamp-%s\r\n%s\r\n%s",
		status, len(body), named, o.Fields.ServerStamp, o.ID, extraFields+o.statementFields(), body)
	return err == nil
}

// writeStream writes the events after the one that the request's LastEvent field
// names, all of them without that field. Tear resets the connection in the middle
// of event Events/2; EndlessEvent makes that event endless.
func (o *Origin) writeStream(c net.Conn, r *http.Request, behavior Behavior) bool {
	first, ok := o.firstEvent(r)
	if !ok {
		return false
	}
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n%s: %s\r\n%s: stamp-%s\r\n%s\r\n",
		o.Fields.RequestID, r.Header.Get(o.Fields.RequestID), o.Fields.ServerStamp, o.ID, o.statementFields())
	for n := first; n <= Events && err == nil; n++ {
		if n == Events/2 && !o.misbehaveInStream(c, behavior) {
			return false
		}
		_, err = fmt.Fprint(c, chunk(Event(n)))
		time.Sleep(eventInterval)
	}
	if err == nil {
		_, err = fmt.Fprint(c, "0\r\n\r\n")
	}
	return err == nil
}

// misbehaveInStream does what a behavior does before event Events/2 of a stream. It reports
// whether the stream goes on.
func (o *Origin) misbehaveInStream(c net.Conn, behavior Behavior) bool {
	event := Event(Events / 2)
	var err error
	switch behavior {
	case Tear:
		_, _ = fmt.Fprint(c, chunk(event[:len(event)/2]))
		time.Sleep(eventInterval)
		return reset(c)
	case EndlessEvent:
		for err == nil {
			_, err = fmt.Fprint(c, chunk("data: "+strings.Repeat("x", endlessBytes)))
		}
		return false
	case TrickleLate:
		for err == nil {
			_, err = fmt.Fprint(c, chunk(":"))
			time.Sleep(eventInterval)
		}
		return false
	case Slow:
		time.Sleep(SlowPause)
	}
	return true
}

// halfStream is a stream that ends inside an event, before any, or with its connection.
type halfStream struct {
	text      string
	keepsOpen bool
}

var (
	halfText    = FullStream()[:strings.Index(FullStream(), Event(Events/2))+len(Event(Events/2))/2]
	halfStreams = map[Behavior]halfStream{
		HalfEvent:       {"\r\n" + halfText, false},
		HalfEventChunks: {chunkedBody + chunk(halfText) + "0\r\n\r\n", true},
		NoEvent:         {"\r\n", false},
		UnframedStream:  {"\r\n" + FullStream(), false},
		CutStream:       {"\r\n" + FullStream()[:strings.Index(FullStream(), Event(Events/2))], false},
	}
)

// writeHalf writes one of halfStreams. It reports whether the
// connection stays open.
func (o *Origin) writeHalf(c net.Conn, id string, half halfStream) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n%s: %s\r\n%s: stamp-%s\r\n%s",
		o.Fields.RequestID, id, o.Fields.ServerStamp, o.ID, half.text)
	return err == nil && half.keepsOpen
}

// oddSuccess is a success that is no stream of events.
type oddSuccess struct {
	status            int
	contentType, body string
}

var oddSuccesses = map[Behavior]oddSuccess{
	ErrorAsSuccess: {http.StatusOK, "application/json", "{\"error\": \"overloaded\"}\n\n"},
	ErrorHead:      {http.StatusOK, "text/plain", "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 6\r\n\r\nfailed\n\n"},
	NoContent:      {http.StatusNoContent, "", ""},
	EmptySuccess:   {http.StatusOK, "", ""},
	NoEvents:       {http.StatusOK, "text/event-stream", ""},
	StartOver:      {http.StatusOK, "text/event-stream", FullStream()},
}

// writeOddSuccess reports whether the connection stays open.
func (o *Origin) writeOddSuccess(c net.Conn, id string, odd oddSuccess) bool {
	fields := ""
	if odd.contentType != "" {
		fields += "Content-Type: " + odd.contentType + "\r\n"
	}
	if odd.status != http.StatusNoContent {
		fields += fmt.Sprintf("Content-Length: %d\r\n", len(odd.body))
	}
	_, err := fmt.Fprintf(c, "HTTP/1.1 %d Status\r\n%s%s: %s\r\n%s: stamp-%s\r\n\r\n%s",
		odd.status, fields, o.Fields.RequestID, id, o.Fields.ServerStamp, o.ID, odd.body)
	return err == nil
}

// writeLengthStream sends a stream with a Content-Length. It reports whether the connection stays open.
func (o *Origin) writeLengthStream(c net.Conn, r *http.Request, behavior Behavior) bool {
	first, ok := o.firstEvent(r)
	if !ok {
		return false
	}
	var events []string
	for n := first; n <= Events; n++ {
		events = append(events, Event(n))
	}
	whole := strings.Join(events, "")
	if behavior == LengthStreamAtOnce {
		events = []string{whole}
	}
	text := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nContent-Length: %d\r\n%s: %s\r\n%s: stamp-%s\r\n\r\n",
		len(whole), o.Fields.RequestID, r.Header.Get(o.Fields.RequestID), o.Fields.ServerStamp, o.ID)
	for i, event := range events {
		if behavior == CutLengthStream && i == len(events)/2 {
			return false
		}
		text += event
		if _, err := io.WriteString(c, text); err != nil {
			return false
		}
		text = ""
		time.Sleep(eventInterval)
	}
	return true
}

// firstEvent returns the number of the first event that a request wants.
func (o *Origin) firstEvent(r *http.Request) (int, bool) {
	last := r.Header.Get(o.Fields.LastEvent)
	if last == "" {
		return 1, true
	}
	n, err := strconv.Atoi(last)
	return n + 1, err == nil
}

// crashDelay is the time from the begin of an answer to the crash.
const crashDelay = 20 * time.Millisecond

// writeCrash begins an answer, without a length or chunks, and crashes inside its first
// event.
func (o *Origin) writeCrash(c net.Conn, r *http.Request) {
	event := Event(1)
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n%s: %s\r\n%s: stamp-%s\r\n\r\n%s",
		o.Fields.RequestID, r.Header.Get(o.Fields.RequestID), o.Fields.ServerStamp, o.ID, event[:len(event)/2])
	time.Sleep(crashDelay)
	o.mu.Lock()
	segment := o.crashSegment(r)
	o.mu.Unlock()
	o.crash(segment)
}

// Event returns the text of the event with number n, counted from 1.
func Event(n int) string { return fmt.Sprintf("id: %d\ndata: token %d\n\n", n, n) }

// FullStream returns the text of a complete stream.
func FullStream() string {
	var b strings.Builder
	for n := 1; n <= Events; n++ {
		b.WriteString(Event(n))
	}
	return b.String()
}
