// Answers checks what callers get while servers send additional bytes after their answers.
package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"siskinsaddle-review/rig"
)

const (
	// faultyServers of the servers send additional bytes after extraShare of their answers.
	servers       = 3
	faultyServers = 1
	extraShare    = 0.03
	callers       = 8
	requests      = 120
	work          = 20 * time.Millisecond
)

// extra is sent late, where the next answer of the channel is expected. It has neither the
// id of a request nor a server's stamp.
const extra = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 21\r\n\r\n{\"Booked\":\"stall 99\"}"

func main() { rig.Script(play) }

func play(w *rig.World) ([]string, error) {
	for i := range servers {
		s := &rig.Server{ID: fmt.Sprintf("i-%d", i), Service: "yard", Zone: "prairie-a"}
		var mu sync.Mutex
		owed := map[any]bool{}
		s.Handle = func(r *rig.Request) bool {
			mu.Lock()
			owes := owed[r.Conn]
			owed[r.Conn] = rig.Trouble() && i < faultyServers && rand.Float64() < extraShare
			mu.Unlock()
			if owes {
				w.Record.Logf("server %s sends additional bytes on a kept channel, before the answer to %s", s.ID, r.ID)
				_, _ = r.Conn.Write([]byte(extra))
			}
			s.Ran(r)
			time.Sleep(work)
			s.Answer(r, http.StatusOK, booked(r.ID))
			return true
		}
		if err := w.AddServer(s); err != nil {
			return nil, err
		}
	}
	w.Store.Put("op", "config", rig.Config(1, []rig.Route{
		{Prefix: "/bookings/", Kind: "unsafe", Service: "yard", TimeoutMs: 4000, Attempts: 1},
	}, []map[string]any{{"name": "farm", "api_keys": []string{"key-1"}}}))
	h, err := w.AddHost("front-prairie-a-1", "prairie-a")
	if err != nil {
		return nil, err
	}
	if err := h.AwaitReady(10 * time.Second); err != nil {
		return nil, err
	}
	var breaches []string
	served := 0
	var mu sync.Mutex
	var all sync.WaitGroup
	for c := range callers {
		all.Go(func() {
			for n := range requests {
				id := fmt.Sprintf("c%d-%d", c, n)
				a := rig.Once(h.Front, rig.Call{ID: id, Method: http.MethodPost, Path: "/bookings/x", Key: "key-1", Wait: 4 * time.Second, Body: "{}"})
				stamp := a.Header.Get("Response-Stamp")
				w.Record.Logf("caller got for %s: status %d stamp %q body %q err %v", id, a.Status, stamp, a.Body, a.Err)
				if a.Err != nil || a.Status/100 != 2 {
					continue
				}
				mu.Lock()
				served++
				if stamp == "" || a.Body != booked(id) {
					breaches = append(breaches, fmt.Sprintf("%s got status %d with stamp %q and body %q, ran %d times", id, a.Status, stamp, a.Body, w.Runs(id)))
				}
				mu.Unlock()
			}
		})
	}
	all.Wait()
	if served < callers*requests/2 {
		return nil, fmt.Errorf("only %d requests were served", served)
	}
	return breaches, nil
}

func booked(id string) string { return fmt.Sprintf("{\"Booked\":%q}", id) }
