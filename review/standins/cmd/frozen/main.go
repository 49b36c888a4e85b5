// Frozen suspends the host that reads the store for the others while a server leaves.
package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"siskinsaddle-review/rig"
)

const (
	hosts   = 6
	callers = 3
	rounds  = 8
	drainMs = 2_000
	// Times within a round, from its begin. The server ends last.
	drainsAt  = 300 * time.Millisecond
	removedAt = 2_800 * time.Millisecond
	wakesAt   = 5 * time.Second
	endsAt    = 9 * time.Second
	roundTime = 12 * time.Second
	workTime  = 20 * time.Millisecond
)

func main() { rig.Script(play) }

// state is what the servers judge by.
type state struct {
	mu       sync.Mutex
	sent     map[string]time.Time
	host     map[string]string
	acked    map[string]time.Time
	frozen   map[string]bool
	breaches []string
}

// arrived judges a request that reached a server. A host that was ever suspended is left out.
func (s *state) arrived(server, id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	acked, leaving := s.acked[server]
	if !leaving || s.frozen[s.host[id]] {
		return
	}
	if late := s.sent[id].Sub(acked).Milliseconds(); late > drainMs {
		s.breaches = append(s.breaches, fmt.Sprintf("%s, sent %d ms after the ack that %s is draining, reached it from %s", id, late, server, s.host[id]))
	}
}

// reader returns the host that reads the store, from the metrics that the deploy file names.
func reader(w *rig.World) *rig.Host {
	var found *rig.Host
	for _, h := range w.Hosts {
		resp, err := http.Get("http://" + h.IP + ":9464/metrics")
		if err != nil {
			continue
		}
		text, _ := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		for line := range strings.SplitSeq(string(text), "\n") {
			if strings.Contains(line, "reads_store") && !strings.HasPrefix(line, "#") && strings.HasSuffix(line, " 1") {
				if found != nil {
					return nil
				}
				found = h
			}
		}
	}
	return found
}

func awaitReader(w *rig.World) *rig.Host {
	for range 40 {
		if h := reader(w); h != nil {
			return h
		}
		time.Sleep(250 * time.Millisecond)
	}
	return nil
}

func play(w *rig.World) ([]string, error) {
	st := &state{sent: map[string]time.Time{}, host: map[string]string{}, acked: map[string]time.Time{}, frozen: map[string]bool{}}
	count := 0
	add := func() (*rig.Server, error) {
		count++
		s := &rig.Server{ID: fmt.Sprintf("i-%d", count), Service: "yard", Zone: "prairie-a"}
		s.Handle = func(r *rig.Request) bool {
			st.arrived(s.ID, r.ID)
			s.Ran(r)
			time.Sleep(workTime)
			s.Answer(r, http.StatusOK, "{}")
			return true
		}
		return s, w.AddServer(s)
	}
	var current []*rig.Server
	for range 3 {
		s, err := add()
		if err != nil {
			return nil, err
		}
		current = append(current, s)
	}
	w.Store.Put("op", "config", rig.Config(7, []rig.Route{
		{Prefix: "/bookings/", Kind: "unsafe", Service: "yard", TimeoutMs: 4000, Attempts: 1},
	}, []map[string]any{{"name": "farm", "api_keys": []string{"key-1"}}}))
	for i := range hosts {
		if _, err := w.AddHost(fmt.Sprintf("front-prairie-a-%d", i+1), "prairie-a"); err != nil {
			return nil, err
		}
	}
	for _, h := range w.Hosts {
		if err := h.AwaitReady(10 * time.Second); err != nil {
			return nil, err
		}
	}
	stop := make(chan struct{})
	var all sync.WaitGroup
	for i, h := range w.Hosts {
		for c := range callers {
			all.Go(func() {
				for n := 0; ; n++ {
					select {
					case <-stop:
						return
					case <-time.After(15 * time.Millisecond):
					}
					id := fmt.Sprintf("q-%d-%d-%d", i+1, c, n)
					st.mu.Lock()
					st.sent[id], st.host[id] = time.Now(), h.Name
					st.mu.Unlock()
					rig.Once(h.Front, rig.Call{ID: id, Method: http.MethodPost, Path: "/bookings/x", Key: "key-1", Wait: 2 * time.Second, Body: "{}"})
				}
			})
		}
	}
	var err error
	for n := 0; n < rounds && err == nil; n++ {
		var h *rig.Host
		if h = awaitReader(w); h == nil {
			err = fmt.Errorf("no single host reads the store")
			break
		}
		began := time.Now()
		at := func(d time.Duration) { time.Sleep(time.Until(began.Add(d))) }
		if rig.Trouble() {
			st.mu.Lock()
			st.frozen[h.Name] = true
			st.mu.Unlock()
			_ = h.Process.Process.Signal(syscall.SIGSTOP)
			w.Record.Logf("%s, which reads the store, is suspended", h.Name)
		}
		var next *rig.Server
		if next, err = add(); err != nil {
			break
		}
		leaves := current[0]
		current = append(current[1:], next)
		at(drainsAt)
		w.Store.Put("servers", leaves.ID, leaves.Row("draining"))
		st.mu.Lock()
		st.acked[leaves.ID] = time.Now()
		st.mu.Unlock()
		w.Record.Logf("the store has accepted that %s is draining", leaves.ID)
		at(removedAt)
		w.Store.Remove("servers", leaves.ID)
		w.Record.Logf("the record of %s is removed", leaves.ID)
		at(wakesAt)
		if rig.Trouble() {
			_ = h.Process.Process.Signal(syscall.SIGCONT)
			w.Record.Logf("%s goes on", h.Name)
		}
		at(endsAt)
		leaves.Stop()
		at(roundTime)
	}
	close(stop)
	all.Wait()
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.breaches, err
}
