package rig

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Ver     int64  `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

type rowKey struct{ table, part, key string }

// Store is a stand-in for the platform's store, with the calls for rows.
type Store struct {
	Address string
	// Before, if set, is called before each call is performed.
	Before func(r *http.Request)

	mu      sync.Mutex
	rows    map[rowKey]row
	history []row
	ver     int64
	changed chan struct{}
	began   time.Time
	server  *http.Server
}

// StartStore listens on a free loopback port.
func StartStore() (*Store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Store{Address: l.Addr().String(), rows: map[rowKey]row{}, changed: make(chan struct{}), began: time.Now()}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /rows-get", s.get)
	mux.HandleFunc("GET /rows-feed", s.feed)
	mux.HandleFunc("POST /rows-tx", s.tx)
	s.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.Before != nil {
			s.Before(r)
		}
		mux.ServeHTTP(w, r)
	})}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

// Stop ends the store.
func (s *Store) Stop() { _ = s.server.Close() }

// Put writes a row as the operator or a server does. Its return is the ack.
func (s *Store) Put(table, key string, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply([]row{{Table: table, Key: key, Value: text}})
}

// Remove drops a row.
func (s *Store) Remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply([]row{{Table: table, Key: key, Deleted: true}})
}

func (s *Store) apply(changes []row) {
	s.ver++
	for _, r := range changes {
		r.Ver = s.ver
		k := rowKey{r.Table, r.Part, r.Key}
		if r.Deleted {
			delete(s.rows, k)
		} else {
			s.rows[k] = r
		}
		s.history = append(s.history, r)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) reply(w http.ResponseWriter, status int, rows []row) {
	if rows == nil {
		rows = []row{}
	}
	body, _ := json.Marshal(map[string]any{
		"rows": rows, "has_more": false, "ver": s.ver, "now_ms": time.Since(s.began).Milliseconds(),
	})
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []row
	for k, v := range s.rows {
		if k.table == q.Get("table") && k.part == q.Get("part") && k.key >= q.Get("from") && (q.Get("to") == "" || k.key < q.Get("to")) {
			found = append(found, v)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	s.reply(w, http.StatusOK, found)
}

func (s *Store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		var found []row
		for _, v := range s.history {
			if v.Table == q.Get("table") && v.Ver > after {
				found = append(found, v)
			}
		}
		changed := s.changed
		if len(found) > 0 {
			s.reply(w, http.StatusOK, found)
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-timeout:
			s.mu.Lock()
			s.reply(w, http.StatusOK, nil)
			s.mu.Unlock()
			return
		}
	}
}

func (s *Store) tx(w http.ResponseWriter, r *http.Request) {
	var change struct {
		Expect []row `json:"expect_rev"`
		Writes []row `json:"writes"`
		Remove []row `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&change); err != nil {
		http.Error(w, "", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var current []row
	held := true
	for _, e := range change.Expect {
		now := s.rows[rowKey{e.Table, e.Part, e.Key}]
		if now.Ver != e.Ver {
			held = false
		}
		if now.Ver > 0 {
			current = append(current, now)
		}
	}
	if !held {
		s.reply(w, http.StatusPreconditionFailed, current)
		return
	}
	changes := change.Writes
	for _, d := range change.Remove {
		d.Deleted = true
		changes = append(changes, d)
	}
	s.apply(changes)
	s.reply(w, http.StatusOK, nil)
}
