// Uploads sends bursts of the longest requests that the config allows, to hosts whose
// memory is limited as the settings say.
package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"siskinsaddle-review/rig"
)

const (
	hosts     = 2
	bodyBytes = 4_194_304
	// calm callers of a host send at a time, and burst10 tenths of that in a burst.
	calm    = 24
	burst10 = 23
	waves   = 6
	// linkBytes is the rate of a host's link, 1,000 Mbit/s, for all its callers together.
	linkBytes = 125_000_000
	chunk     = 32 << 10
	memoryKB  = 284 << 10
	maxKills  = 2
	restart   = 300 * time.Millisecond
	slots     = 6
	workTime  = 60 * time.Millisecond
)

func main() { rig.Script(play) }

// platform kills a process whose memory exceeds the limit of its settings, and starts it again.
func platform(w *rig.World, h *rig.Host, kills *int, mu *sync.Mutex, stop <-chan struct{}) {
	peak := 0
	for {
		select {
		case <-stop:
			w.Record.Logf("%s: peak %d kB of resident memory", h.Name, peak)
			return
		case <-time.After(5 * time.Millisecond):
		}
		used := residentKB(h.Process.Process.Pid)
		peak = max(peak, used)
		if used <= memoryKB {
			continue
		}
		w.Record.Logf("%s exceeds its memory: %d kB of %d; it is killed", h.Name, used, memoryKB)
		h.Kill()
		mu.Lock()
		*kills++
		mu.Unlock()
		time.Sleep(restart)
		if err := h.Start(); err != nil {
			return
		}
	}
}

func residentKB(pid int) int {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for line := range strings.SplitSeq(string(text), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			n, _ := strconv.Atoi(strings.Fields(rest)[0])
			return n
		}
	}
	return 0
}

// upload sends one request at its share of the link.
func upload(w *rig.World, h *rig.Host, id string, senders int) rig.Answer {
	c, err := net.DialTimeout("tcp", h.Front, time.Second)
	if err != nil {
		return rig.Answer{Err: err}
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(9 * time.Second))
	call := rig.Call{ID: id, Method: http.MethodPost, Path: "/documents/x", Key: "key-1", Wait: 8 * time.Second}
	head := strings.Replace(call.Text("shop.example"), "Content-Length: 0", fmt.Sprintf("Content-Length: %d", bodyBytes), 1)
	if _, err := io.WriteString(c, head); err != nil {
		return rig.Answer{Err: err}
	}
	part := make([]byte, chunk)
	began, rate := time.Now(), float64(linkBytes)/float64(senders)
	for sent := 0; sent < bodyBytes; sent += chunk {
		time.Sleep(time.Until(began.Add(time.Duration(float64(sent) / rate * float64(time.Second)))))
		if _, err := c.Write(part); err != nil {
			return rig.Answer{Err: err}
		}
	}
	return rig.ReadAnswer(c)
}

func play(w *rig.World) ([]string, error) {
	for i := range 3 {
		s := &rig.Server{ID: fmt.Sprintf("i-%d", i), Service: "yard", Zone: "prairie-a", DropBodies: true}
		free := make(chan struct{}, slots)
		s.Handle = func(r *rig.Request) bool {
			free <- struct{}{}
			s.Ran(r)
			time.Sleep(workTime)
			<-free
			s.Answer(r, http.StatusOK, "{}")
			return true
		}
		if err := w.AddServer(s); err != nil {
			return nil, err
		}
	}
	w.Store.Put("op", "config", rig.Config(7, []rig.Route{
		{Prefix: "/documents/", Kind: "unsafe", Service: "yard", TimeoutMs: 8000, Attempts: 1},
	}, []map[string]any{{"name": "farm", "api_keys": []string{"key-1"}}}))
	for i := range hosts {
		if _, err := w.AddHost(fmt.Sprintf("front-prairie-a-%d", i+1), "prairie-a"); err != nil {
			return nil, err
		}
	}
	senders := calm
	if rig.Trouble() {
		senders = calm * burst10 / 10
	}
	var mu sync.Mutex
	kills := make([]int, hosts)
	stop := make(chan struct{})
	var watching sync.WaitGroup
	for i, h := range w.Hosts {
		if err := h.AwaitReady(10 * time.Second); err != nil {
			return nil, err
		}
		watching.Go(func() { platform(w, h, &kills[i], &mu, stop) })
	}
	for n := range waves {
		var all sync.WaitGroup
		for i, h := range w.Hosts {
			for c := range senders {
				all.Go(func() {
					id := fmt.Sprintf("u-%d-%d-%d", n, i, c)
					a := upload(w, h, id, senders)
					w.Record.Logf("%s: caller got for %s: status %d err %v, ran %d times", h.Name, id, a.Status, a.Err, w.Runs(id))
				})
			}
		}
		all.Wait()
		time.Sleep(2 * time.Second)
	}
	close(stop)
	watching.Wait()
	var breaches []string
	for i, h := range w.Hosts {
		if kills[i] > maxKills {
			breaches = append(breaches, fmt.Sprintf("the process of %s ended %d times over its memory limit", h.Name, kills[i]))
		}
	}
	if len(breaches) < hosts {
		breaches = nil
	}
	return breaches, nil
}
