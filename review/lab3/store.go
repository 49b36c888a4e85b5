package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// row is a row of the store. Deleted rows are kept for the feed.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Ver     int64  `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

type rowKey struct{ table, part, key string }

// transaction is the body of a write call.
type transaction struct {
	Expect []row `json:"expect_rev"`
	Writes []row `json:"writes"`
	Remove []row `json:"remove"`
}

const (
	// storeDelay is the time that the store takes for an answer.
	storeDelay = 4 * time.Millisecond
	operator   = "op"
	registry   = "servers"
)

// store is a stand-in for the platform's store, with the calls on rows.
type store struct {
	server *http.Server
	addr   string
	began  time.Time

	mu      sync.Mutex
	rows    map[rowKey]row
	version int64
	changed chan struct{}
	// down are the tables whose calls are refused with 503.
	down map[string]bool
}

func newStore() (*store, error) {
	s := &store{rows: map[rowKey]row{}, changed: make(chan struct{}), down: map[string]bool{}, began: time.Now()}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.addr = l.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /rows-get", s.get)
	mux.HandleFunc("GET /rows-feed", s.feed)
	mux.HandleFunc("POST /rows-tx", s.commit)
	s.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.server.Serve(l) }() // ends with the process
	return s, nil
}

// wake wakes all waiting feeds. The caller holds the lock.
func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// setDown refuses the calls on a table, the waiting ones too, or serves them again.
func (s *store) setDown(table string, down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down[table] = down
	s.wake()
}

// put writes a row as the operator or a server does. The row is in force on return.
func (s *store) put(table, key string, value any) error {
	text, err := json.Marshal(value)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(transaction{Writes: []row{{Table: table, Key: key, Value: text}}})
	return nil
}

// remove removes a row.
func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(transaction{Remove: []row{{Table: table, Key: key}}})
}

// apply applies a transaction. The caller holds the lock.
func (s *store) apply(t transaction) {
	s.version++
	for _, r := range t.Writes {
		r.Ver, r.Deleted = s.version, false
		s.rows[rowKey{r.Table, r.Part, r.Key}] = r
	}
	for _, r := range t.Remove {
		r.Ver, r.Deleted, r.Value = s.version, true, nil
		s.rows[rowKey{r.Table, r.Part, r.Key}] = r
	}
	s.wake()
}

func (s *store) isDown(table string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down[table]
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	q := r.URL.Query()
	if s.isDown(q.Get("table")) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	found := []row{}
	for k, one := range s.rows {
		in := k.table == q.Get("table") && k.part == q.Get("part") && !one.Deleted
		if in && k.key >= q.Get("from") && (q.Get("to") == "" || k.key < q.Get("to")) {
			found = append(found, one)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	s.reply(w, http.StatusOK, found)
}

// feed answers as soon as there are changes, or without rows at the end of the wait.
func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	q := r.URL.Query()
	table := q.Get("table")
	after, err := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, waitErr := strconv.Atoi(q.Get("wait_ms"))
	if err != nil || waitErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	end := time.After(time.Duration(wait) * time.Millisecond)
	for done := false; ; {
		s.mu.Lock()
		changed := s.changed
		if s.down[table] {
			s.mu.Unlock()
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		found := s.changesOf(table, after)
		if len(found) > 0 || done {
			s.reply(w, http.StatusOK, found)
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-end:
			done = true
		case <-r.Context().Done():
			return
		}
	}
}

// changesOf returns the rows of a table that changed after a version. The caller holds the
// lock.
func (s *store) changesOf(table string, after int64) []row {
	found := []row{}
	for k, one := range s.rows {
		if k.table == table && one.Ver > after {
			found = append(found, one)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Ver < found[j].Ver })
	return found
}

// commit applies a transaction of the system.
func (s *store) commit(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	var t transaction
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, one := range append(append([]row{}, t.Writes...), t.Remove...) {
		if one.Table == operator || one.Table == registry {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	for _, e := range t.Expect {
		current := s.rows[rowKey{e.Table, e.Part, e.Key}]
		if current.Deleted {
			current.Ver = 0
		}
		if current.Ver != e.Ver {
			s.reply(w, http.StatusPreconditionFailed, []row{current})
			return
		}
	}
	s.apply(t)
	s.reply(w, http.StatusOK, []row{})
}

// reply writes an answer. The caller holds the lock.
func (s *store) reply(w http.ResponseWriter, status int, found []row) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]any{ // a broken connection ends the call either way
		"rows": found, "ver": s.version, "now_ms": time.Since(s.began).Milliseconds(), "has_more": false,
	})
}

// serverKey returns the key of a server's entry.
func serverKey(n int) string { return fmt.Sprintf("i-%08x", n) }
