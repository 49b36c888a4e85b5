// Unread withdraws a key after the config has grown by many routes.
package main

import (
	"fmt"
	"net/http"
	"time"

	"siskinsaddle-review/rig"
)

const (
	revokeMs = 5_000
	// lastRequest is the time after the ack at which the last request is sent.
	lastRequest = 20 * time.Second
	hosts       = 2
	// growths times the config grows by growth routes.
	growths = 18
	growth  = 350
)

func main() { rig.Script(play) }

func config(version, grown int, keys ...string) map[string]any {
	routes := []rig.Route{{Prefix: "/bookings/", Kind: "unsafe", Service: "yard", TimeoutMs: 4000, Attempts: 1}}
	for i := range grown {
		routes = append(routes, rig.Route{Prefix: fmt.Sprintf("/grown%05d/", i), Kind: "safe", Service: "yard", TimeoutMs: 4000, Attempts: 2})
	}
	return rig.Config(version, routes, []map[string]any{{"name": "farm", "api_keys": keys}})
}

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
	w.Store.Put("op", "config", config(7, 0, "key-kept", "key-gone"))
	for i := range hosts {
		h, err := w.AddHost(fmt.Sprintf("front-prairie-a-%d", i+1), "prairie-a")
		if err != nil {
			return nil, err
		}
		if err := h.AwaitReady(10 * time.Second); err != nil {
			return nil, err
		}
	}
	call := func(h *rig.Host, id, key string) rig.Answer {
		a := rig.Once(h.Front, rig.Call{ID: id, Method: http.MethodPost, Path: "/bookings/x", Key: key, Wait: 2 * time.Second, Body: "{}"})
		w.Record.Logf("%s: caller got for %s with %s: status %d %.80q err %v", h.Name, id, key, a.Status, a.Body, a.Err)
		return a
	}
	for _, h := range w.Hosts {
		if a := call(h, "before-"+h.Name, "key-gone"); a.Status != http.StatusOK {
			return nil, fmt.Errorf("the key is not accepted before it is withdrawn: %d", a.Status)
		}
	}
	grown := 0
	if rig.Trouble() {
		for n := range growths {
			grown += growth
			w.Store.Put("op", "config", config(8+n, grown, "key-kept", "key-gone"))
			w.Record.Logf("config %d is acknowledged: %d routes more", 8+n, growth)
			time.Sleep(time.Second)
		}
	}
	w.Store.Put("op", "config", config(100, grown, "key-kept"))
	acked := time.Now()
	w.Record.Logf("config 100 is acknowledged: key-gone is withdrawn")
	var breaches []string
	for n := 0; time.Since(acked) < lastRequest; n++ {
		time.Sleep(500 * time.Millisecond)
		for _, h := range w.Hosts {
			id := fmt.Sprintf("after-%d-%s", n, h.Name)
			sent := time.Since(acked)
			call(h, id, "key-gone")
			if sent.Milliseconds() > revokeMs && w.Runs(id) > 0 {
				breaches = append(breaches, fmt.Sprintf("%s, sent %d ms after the ack with the withdrawn key, ran", id, sent.Milliseconds()))
			}
		}
	}
	return breaches, nil
}
