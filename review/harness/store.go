package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// rowKey names one row of the store.
type rowKey struct{ Table, Part, Key string }

// row is one row as the store's calls carry it.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Ver     int64  `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

// store is a stand-in for the platform's metadata store. Its replies are
// linearizable and nothing that was acknowledged is lost.
type store struct {
	mu      sync.Mutex
	rows    map[rowKey]row
	history []row
	ver     int64
	changed chan struct{}
	start   time.Time
}

func newStore() *store {
	return &store{rows: map[rowKey]row{}, changed: make(chan struct{}), start: time.Now()}
}

func (s *store) apply(writes, removes []row) int64 {
	s.ver++
	for _, r := range writes {
		r.Ver, r.Deleted = s.ver, false
		s.rows[rowKey{r.Table, r.Part, r.Key}] = r
		s.history = append(s.history, r)
	}
	for _, r := range removes {
		k := rowKey{r.Table, r.Part, r.Key}
		if _, ok := s.rows[k]; !ok {
			continue
		}
		delete(s.rows, k)
		r.Ver, r.Deleted, r.Value = s.ver, true, nil
		s.history = append(s.history, r)
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return s.ver
}

// put writes one row, as the operator or a server does.
func (s *store) put(table, key string, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply([]row{{Table: table, Key: key, Value: text}}, nil)
}

// drop removes one row.
func (s *store) drop(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(nil, []row{{Table: table, Key: key}})
}

func (s *store) reply(w http.ResponseWriter, status int, rows []row, more bool) {
	if rows == nil {
		rows = []row{}
	}
	body, _ := json.Marshal(map[string]any{"rows": rows, "ver": s.ver, "now_ms": time.Since(s.start).Milliseconds(), "has_more": more})
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

// ServeHTTP serves the calls that the pages describe.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	switch r.URL.Path {
	case "/rows-get":
		time.Sleep(4 * time.Millisecond)
		s.mu.Lock()
		defer s.mu.Unlock()
		var all []row
		for k, v := range s.rows {
			if k.Table == q.Get("table") && k.Part == q.Get("part") && k.Key >= q.Get("from") && (q.Get("to") == "" || k.Key < q.Get("to")) {
				all = append(all, v)
			}
		}
		sort.Slice(all, func(i, j int) bool { return all[i].Key < all[j].Key })
		s.reply(w, 200, all, false)
	case "/rows-feed":
		after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("wait_ms"))
		timeout := time.After(time.Duration(wait) * time.Millisecond)
		for {
			s.mu.Lock()
			var all []row
			for _, v := range s.history {
				if v.Table == q.Get("table") && v.Ver > after {
					all = append(all, v)
				}
			}
			changed := s.changed
			if len(all) > 0 {
				s.reply(w, 200, all, false)
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
				s.reply(w, 200, nil, false)
				s.mu.Unlock()
				return
			}
		}
	case "/rows-tx":
		text, _ := io.ReadAll(r.Body)
		var tx struct {
			Expect []row `json:"expect_rev"`
			Writes []row `json:"writes"`
			Remove []row `json:"remove"`
		}
		if json.Unmarshal(text, &tx) != nil {
			w.WriteHeader(400)
			return
		}
		time.Sleep(5 * time.Millisecond)
		s.mu.Lock()
		defer s.mu.Unlock()
		var conflicts []row
		failed := false
		for _, e := range tx.Expect {
			now := s.rows[rowKey{e.Table, e.Part, e.Key}]
			if now.Ver != e.Ver {
				failed = true
			}
			if now.Ver != 0 {
				conflicts = append(conflicts, now)
			}
		}
		if failed {
			s.reply(w, 412, conflicts, false)
			return
		}
		s.apply(tx.Writes, tx.Remove)
		s.reply(w, 200, nil, false)
	default:
		w.WriteHeader(404)
	}
}

func serveHTTP(address string, h http.Handler) net.Listener {
	l, err := net.Listen("tcp", address)
	if err != nil {
		fail("listen: %v", err)
	}
	go func() { _ = (&http.Server{Handler: h}).Serve(l) }()
	return l
}
