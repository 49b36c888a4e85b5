// Streams replaces servers by a release that sends its streams with a length.
package main

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"siskinsaddle-review/rig"
)

const (
	servers = 4
	// replaced of the servers are replaced, one each replaceGap.
	replaced   = 2
	replaceGap = time.Second
	drain      = 2 * time.Second
	events     = 6
	eventGap   = 40 * time.Millisecond
	callers    = 6
	length     = 15 * time.Second
	// maxCut is the number of channels that may be closed without an answer.
	maxCut = 3
)

func main() { rig.Script(play) }

func event(id string, n int) string { return fmt.Sprintf("id: %d\ndata: %s piece %d\n\n", n, id, n) }

func whole(id string) string {
	var b strings.Builder
	for n := range events {
		b.WriteString(event(id, n+1))
	}
	return b.String()
}

// newServer returns a sound server, whose streams have a length or come in chunks.
func newServer(id string, withLength bool) *rig.Server {
	s := &rig.Server{ID: id, Service: "assistant", Zone: "prairie-a"}
	s.Handle = func(r *rig.Request) bool {
		s.Ran(r)
		framing := "Transfer-Encoding: chunked"
		if withLength {
			framing = "Content-Length: " + strconv.Itoa(len(whole(r.ID)))
		}
		_, _ = fmt.Fprintf(r.Conn, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Stamp: %s\r\nContent-Type: text/event-stream\r\n%s\r\n\r\n", r.ID, s.Stamp(r.ID), framing)
		for n := range events {
			time.Sleep(eventGap)
			text := event(r.ID, n+1)
			if !withLength {
				text = fmt.Sprintf("%x\r\n%s\r\n", len(text), text)
			}
			if _, err := r.Conn.Write([]byte(text)); err != nil {
				s.Record.Logf("server %s cannot send event %d of %s: %v", s.ID, n+1, r.ID, err)
				return false
			}
		}
		if !withLength {
			_, _ = r.Conn.Write([]byte("0\r\n\r\n"))
		}
		s.Record.Logf("server %s has sent all %d events of %s", s.ID, events, r.ID)
		return true
	}
	return s
}

// release replaces servers: the new one starts first, the old one drains and ends.
func release(w *rig.World, old []*rig.Server) error {
	for i, s := range old {
		if err := w.AddServer(newServer(fmt.Sprintf("i-new-%d", i), true)); err != nil {
			return err
		}
		w.Store.Put("servers", s.ID, s.Row("draining"))
		w.Record.Logf("i-new-%d replaces %s, which drains", i, s.ID)
		go func() {
			time.Sleep(2 * drain)
			w.Store.Remove("servers", s.ID)
			s.Stop()
		}()
		time.Sleep(replaceGap)
	}
	return nil
}

func play(w *rig.World) ([]string, error) {
	for i := range servers {
		if err := w.AddServer(newServer(fmt.Sprintf("i-old-%d", i), false)); err != nil {
			return nil, err
		}
	}
	w.Store.Put("op", "config", rig.Config(7, []rig.Route{
		{Prefix: "/chats/", Kind: "streaming", Service: "assistant", TimeoutMs: 8000, Attempts: 1},
	}, []map[string]any{{"name": "farm", "api_keys": []string{"key-1"}}}))
	h, err := w.AddHost("front-prairie-a-1", "prairie-a")
	if err != nil {
		return nil, err
	}
	if err := h.AwaitReady(10 * time.Second); err != nil {
		return nil, err
	}
	end := time.Now().Add(length)
	var cut, odd []string
	asked, served := 0, 0
	var mu sync.Mutex
	var all sync.WaitGroup
	for c := range callers {
		all.Go(func() {
			var channel *rig.Caller
			for n := 0; time.Now().Before(end); n++ {
				if channel == nil {
					if channel, err = rig.Dial(h.Front); err != nil {
						return
					}
				}
				id := fmt.Sprintf("c%d-%d", c, n)
				a := channel.Do(rig.Call{ID: id, Method: http.MethodPost, Path: "/chats/x", Key: "key-1", Wait: 5 * time.Second, Body: "{}"})
				w.Record.Logf("caller got for %s: status %d, %d of %d events, stamp %q, err %v", id, a.Status, strings.Count(a.Body, "\n\n"), events, a.Header.Get("Response-Stamp"), a.Err)
				mu.Lock()
				asked++
				switch {
				case a.Err != nil && w.Runs(id) > 0:
					cut = append(cut, fmt.Sprintf("%s ran, and its channel was closed after %d of %d events: %v", id, strings.Count(a.Body, "\n\n"), events, a.Err))
				case a.Status == http.StatusOK && a.Body == whole(id):
					served++
				default:
					odd = append(odd, id)
				}
				mu.Unlock()
				if a.Err != nil {
					channel.Close()
					channel = nil
				}
			}
		})
	}
	time.Sleep(3 * time.Second)
	if rig.Trouble() {
		if err := release(w, w.Servers[:replaced]); err != nil {
			return nil, err
		}
	}
	all.Wait()
	w.Record.Logf("%d asked, %d served whole, %d cut, %d otherwise %v", asked, served, len(cut), len(odd), odd)
	if served == 0 {
		return nil, fmt.Errorf("nothing was served")
	}
	if len(cut) <= maxCut {
		return nil, nil
	}
	return cut, nil
}
