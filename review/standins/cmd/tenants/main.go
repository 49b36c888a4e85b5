// Tenants withdraws the only tenant of a deployment.
package main

import (
	"fmt"
	"net/http"
	"time"

	"siskinsaddle-review/rig"
)

const (
	revokeMs    = 5_000
	lastRequest = 15 * time.Second
	hosts       = 2
)

func main() { rig.Script(play) }

func play(w *rig.World) ([]string, error) {
	s := &rig.Server{ID: "i-yard", Service: "yard", Zone: "prairie-a"}
	s.Handle = func(r *rig.Request) bool {
		s.Ran(r)
		s.Answer(r, http.StatusOK, "{}")
		return true
	}
	if err := w.AddServer(s); err != nil {
		return nil, err
	}
	routes := []rig.Route{{Prefix: "/bookings/", Kind: "unsafe", Service: "yard", TimeoutMs: 4000, Attempts: 1}}
	w.Store.Put("op", "config", rig.Config(7, routes, []map[string]any{{"name": "farm", "api_keys": []string{"key-1"}}}))
	for i := range hosts {
		h, err := w.AddHost(fmt.Sprintf("front-prairie-a-%d", i+1), "prairie-a")
		if err != nil {
			return nil, err
		}
		if err := h.AwaitReady(10 * time.Second); err != nil {
			return nil, err
		}
	}
	call := func(h *rig.Host, id, key string) int {
		a := rig.Once(h.Front, rig.Call{ID: id, Method: http.MethodPost, Path: "/bookings/x", Key: key, Wait: 2 * time.Second, Body: "{}"})
		w.Record.Logf("%s: caller got for %s with key %q: status %d %.80q err %v", h.Name, id, key, a.Status, a.Body, a.Err)
		return a.Status
	}
	for _, h := range w.Hosts {
		if status := call(h, "before-"+h.Name, "key-1"); status != http.StatusOK {
			return nil, fmt.Errorf("the key is not accepted before it is withdrawn: %d", status)
		}
	}
	began := time.Now()
	if rig.Trouble() {
		w.Store.Put("op", "config", rig.Config(9, routes, []map[string]any{}))
		w.Record.Logf("config 9 is acknowledged: its list of tenants is empty")
	}
	var breaches []string
	for n := 0; time.Since(began) < lastRequest; n++ {
		time.Sleep(500 * time.Millisecond)
		for _, h := range w.Hosts {
			sent := time.Since(began).Milliseconds()
			never := fmt.Sprintf("never-%d-%s", n, h.Name)
			call(h, never, "key-of-nobody")
			if w.Runs(never) > 0 {
				breaches = append(breaches, fmt.Sprintf("ROUTE: %s ran, with a key that no config ever held", never))
			}
			gone := fmt.Sprintf("gone-%d-%s", n, h.Name)
			call(h, gone, "key-1")
			if rig.Trouble() && sent > revokeMs && w.Runs(gone) > 0 {
				breaches = append(breaches, fmt.Sprintf("CONFIG: %s, sent %d ms after the ack with the withdrawn key, ran", gone, sent))
			}
		}
	}
	return breaches, nil
}
