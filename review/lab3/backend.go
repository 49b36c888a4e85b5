package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// The names on the wire of the platform's pages.
const (
	fieldID       = "Request-Id"
	fieldStamp    = "Response-Stamp"
	fieldExpected = "Expect-Instance"
	fieldInstance = "Instance-Id"
	fieldLeaving  = "Server-Leaving"
	fieldKey      = "X-Api-Key"
	fieldDeadline = "Deadline-Ms"
	fieldLast     = "Last-Event-Id"
)

// lostShare is the share of its streams that a losing server breaks off.
const lostShare = 0.4

// failedShare is the share of its requests that a failing server fails.
const failedShare = 0.45

// workTime is the time that a server takes for a call.
const workTime = 60 * time.Millisecond

// arrival is a request that reached a server and was run there.
type arrival struct {
	id     string
	server string
	at     time.Time
}

// backend is a stand-in for a server of a plain service. It does what the pages say of a
// sound one.
type backend struct {
	id      string
	addr    string
	zone    string
	born    int64
	lab     *lab
	server  *http.Server
	leaving atomic.Bool
	// failing is set while the server fails part of its requests after it has run them.
	failing atomic.Bool
	// losing is set while the server breaks off part of its streams behind the last event.
	losing atomic.Bool
	// endsEmpty makes the server answer a stream that is resumed behind its last event with
	// an empty stream instead of 204.
	endsEmpty bool

	mu       sync.Mutex
	arrivals []arrival
}

func newBackend(l *lab, id, zone string) (*backend, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	b := &backend{id: id, addr: listener.Addr().String(), zone: zone, born: time.Now().UnixMilli(), lab: l}
	b.server = &http.Server{Handler: http.HandlerFunc(b.handle), ReadHeaderTimeout: time.Minute}
	go func() { _ = b.server.Serve(listener) }() // ends with the process
	return b, nil
}

func (b *backend) handle(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(fieldID)
	w.Header().Set(fieldID, id)
	if b.leaving.Load() {
		w.Header().Set(fieldLeaving, "1")
	}
	if expected := r.Header.Get(fieldExpected); expected != "" && expected != b.id {
		w.Header().Set(fieldInstance, b.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	a := arrival{id: id, server: b.id, at: time.Now()}
	b.mu.Lock()
	b.arrivals = append(b.arrivals, a)
	b.mu.Unlock()
	b.lab.log("server %s runs %s", b.id, id)
	if strings.HasPrefix(r.URL.Path, streamPrefix) {
		b.stream(w, r, id)
		return
	}
	time.Sleep(workTime)
	w.Header().Set(fieldStamp, "stamp."+id)
	if b.failing.Load() && rand.Float64() < failedShare {
		b.lab.log("server %s has run %s and answers 503, without saying that it did not run", b.id, id)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	_, _ = fmt.Fprintf(w, "answer to %s\n", id) // a broken connection ends the answer either way
}

// The stand-in's streams.
const (
	streamEvents  = 8
	eventInterval = 40 * time.Millisecond
	// lastPause is the time between the last event of a stream and its end.
	lastPause = 400 * time.Millisecond
)

// stream answers with the events after the last one that the request names. If there are
// none left it answers 204, which in the standard of event streams tells the client that
// there is nothing more to come, or with an empty stream if endsEmpty is set.
func (b *backend) stream(w http.ResponseWriter, r *http.Request, id string) {
	last, err := strconv.Atoi(r.Header.Get(fieldLast))
	if err != nil {
		last = 0
	}
	w.Header().Set(fieldStamp, "stamp."+id)
	if last >= streamEvents && !b.endsEmpty {
		b.lab.log("server %s answers 204 to %s: no event after %d", b.id, id, last)
		w.WriteHeader(http.StatusNoContent)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	for event := last + 1; event <= streamEvents; event++ {
		time.Sleep(eventInterval)
		_, err := fmt.Fprintf(w, "id: %d\ndata: part %d\n\n", event, event)
		if err == nil {
			err = control.Flush()
		}
		if err != nil {
			return
		}
	}
	if b.losing.Load() && rand.Float64() < lostShare {
		b.lab.log("server %s has run %s and loses the end of its answer", b.id, id)
		panic(http.ErrAbortHandler)
	}
	if b.endsEmpty {
		_ = control.Flush() // an empty stream has its header
		return
	}
	time.Sleep(lastPause)
}

// entry returns the server's entry in the store.
func (b *backend) entry(state string, sequence int) map[string]any {
	return map[string]any{
		"service": serviceName, "address": b.addr, "zone": b.zone, "version": "v1", "slots": 6, "state": state,
		"cold_left_ms": 0, "sequence": sequence, "born": b.born,
	}
}

// runs returns the requests that the server ran.
func (b *backend) runs() []arrival {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]arrival(nil), b.arrivals...)
}

// register writes the entry of a ready server.
func (b *backend) register() error {
	b.lab.log("store accepts: %s is ready at %s", b.id, b.addr)
	return b.lab.store.put(registry, b.id, b.entry("ready", 1))
}

// end ends the server at once.
func (b *backend) end() {
	_ = b.server.Close() // nothing is expected of it any more
}
