// Stops restarts hosts in turn with SIGTERM, under load and while configs change.
package main

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"siskinsaddle-review/rig"
)

const (
	hosts    = 6
	length   = 95 * time.Second
	callers  = 4
	restart  = 300 * time.Millisecond
	stagger  = 400 * time.Millisecond
	changes  = 185 * time.Millisecond
	grace    = 8 * time.Second
	workTime = 20 * time.Millisecond
	// The rule counts machines on which processes end by themselves three times, two at least.
	maxCrashes  = 2
	maxMachines = 1
)

func main() { rig.Script(play) }

func play(w *rig.World) ([]string, error) {
	for i := range 3 {
		s := &rig.Server{ID: fmt.Sprintf("i-%d", i), Service: "yard", Zone: "prairie-a"}
		s.Handle = func(r *rig.Request) bool {
			time.Sleep(workTime)
			s.Answer(r, http.StatusOK, "{}")
			return true
		}
		if err := w.AddServer(s); err != nil {
			return nil, err
		}
	}
	config := rig.Config(1, []rig.Route{
		{Prefix: "/bookings/", Kind: "unsafe", Service: "yard", TimeoutMs: 4000, Attempts: 1},
	}, []map[string]any{{"name": "farm", "api_keys": []string{"key-1"}}})
	w.Store.Put("op", "config", config)
	for i := range hosts {
		if _, err := w.AddHost(fmt.Sprintf("front-%d", i), "prairie-a"); err != nil {
			return nil, err
		}
	}
	for _, h := range w.Hosts {
		if err := h.AwaitReady(10 * time.Second); err != nil {
			return nil, err
		}
	}
	end := time.Now().Add(length)
	var mu sync.Mutex
	crashes, stops := map[string][]string{}, 0
	var all sync.WaitGroup
	for i, h := range w.Hosts {
		for c := range callers {
			all.Go(func() {
				for n := 0; time.Now().Before(end); n++ {
					rig.Once(h.Front, rig.Call{ID: fmt.Sprintf("q-%d-%d-%d", i, c, n), Method: http.MethodPost, Path: "/bookings/x", Key: "key-1", Wait: 2 * time.Second, Body: "{}"})
					time.Sleep(10 * time.Millisecond)
				}
			})
		}
		all.Go(func() {
			time.Sleep(time.Duration(i) * stagger)
			for time.Now().Before(end) {
				if rig.Trouble() {
					_ = h.Process.Process.Signal(syscall.SIGTERM)
				} else {
					time.Sleep(time.Until(end))
					return
				}
				select {
				case <-h.Ended():
				case <-time.After(grace):
					h.Kill()
				}
				state := h.Process.ProcessState
				w.Record.Logf("%s ended after SIGTERM: %v", h.Name, state)
				mu.Lock()
				stops++
				if state.Exited() && state.ExitCode() != 0 {
					crashes[h.Name] = append(crashes[h.Name], state.String())
				}
				mu.Unlock()
				time.Sleep(restart)
				if err := h.Start(); err != nil {
					return
				}
				time.Sleep(restart)
			}
		})
	}
	all.Go(func() {
		for v := 2; time.Now().Before(end); v++ {
			config["version"] = v
			w.Store.Put("op", "config", config)
			time.Sleep(changes)
		}
	})
	all.Wait()
	var breaches []string
	for name, list := range crashes {
		w.Record.Logf("%s crashed %d times in %d stops of all hosts", name, len(list), stops)
		if len(list) > maxCrashes {
			breaches = append(breaches, fmt.Sprintf("the process of %s crashed %d times: %v", name, len(list), list))
		}
	}
	if len(breaches) <= maxMachines {
		breaches = nil
	}
	for _, h := range w.Hosts {
		text, _ := os.ReadFile(w.Folder + "/" + h.Name + ".log")
		lines := strings.Split(string(text), "\n")
		for i, l := range lines {
			if strings.HasPrefix(l, "panic: ") {
				w.Record.Logf("%s log: %s", h.Name, strings.Join(lines[max(i-2, 0):min(i+30, len(lines))], " | "))
			}
		}
	}
	w.Record.Logf("%d stops, %d hosts crashed", stops, len(crashes))
	return breaches, nil
}
