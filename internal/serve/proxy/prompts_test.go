package proxy_test

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"siskinsaddle/internal/fakes/origin"
)

func TestSegmentsOfBrokenPromptAreLogged(t *testing.T) {
	c, r := start(t, 1, true)
	r.servers[0].Enqueue(origin.Reset)
	prompt := fields.PromptSegments + ": shared:350,topic:140,own:1110\r\n"
	c.Assert(r.send("POST", "/chat/x", "broken", prompt).status, qt.Equals, 502)
	c.Assert(r.lastLine("broken"), qt.Matches, `.*segments=\"?shared,topic\b.*`)
	r.send("POST", "/chat/x", "served", prompt)
	c.Assert(r.lastLine("served"), qt.Not(qt.Matches), `.*segments=.*`)
}

// lastLine waits for the last log line of a request, which is written after the response.
func (r *harness) lastLine(id string) string {
	for began := time.Now(); time.Since(began) < 10*time.Second; time.Sleep(time.Millisecond) {
		for line := range strings.Lines(r.log.String()) {
			if strings.Contains(line, "Request ended.") && strings.Contains(line, "id="+id+" ") {
				return strings.TrimSpace(line)
			}
		}
	}
	r.c.Fatalf("no last line of request %s", id)
	return ""
}

// addCrashing starts a server that crashes on the segment "poison" and is back under
// another ID after a while.
func (r *harness) addCrashing(crashes *atomic.Int64, restarts *sync.WaitGroup, down time.Duration) {
	o := &origin.Origin{Stream: true}
	o.OnCrash = func(string) {
		crashes.Add(1)
		restarts.Go(func() {
			r.removeServer(o.ID)
			r.forwarder.SetServers(r.serverList())
			time.Sleep(down)
			r.addCrashing(crashes, restarts, down)
			r.forwarder.SetServers(r.serverList())
		})
	}
	o.SetCrashSegments("poison")
	r.addServer(o)
}

// Prompts with the segment arrive all the time, no two alike, among sound ones that share
// their first segment.
func TestPoisonedSegmentCrashesFewServers(t *testing.T) {
	for _, keeper := range []bool{false, true} {
		t.Run(fmt.Sprint("keeper ", keeper), func(t *testing.T) { testPoisonedSegment(t, keeper) })
	}
}

func testPoisonedSegment(t *testing.T, keeper bool) {
	const (
		servers  = 24
		senders  = 4
		length   = 4 * time.Second
		interval = 25 * time.Millisecond
		down     = 300 * time.Millisecond
		// The users allow three more requests after the fifth crash.
		maxCrashes = 8
	)
	c, r := start(t, 0, true)
	var crashes atomic.Int64
	var restarts sync.WaitGroup
	for range servers {
		r.addCrashing(&crashes, &restarts, down)
	}
	r.forwarder.SetServers(r.serverList())
	if keeper {
		r.withBroker()
	}
	var mu sync.Mutex
	var sound []bool
	var all sync.WaitGroup
	began := time.Now()
	for n := range senders {
		all.Go(func() {
			for i := 0; time.Since(began) < length; i++ {
				id := fmt.Sprintf("p-%d-%d", n, i)
				if n == 0 {
					r.send("POST", "/chat/x", id, fmt.Sprintf("%s: shared:350,poison:140,own-%s:900\r\n", fields.PromptSegments, id))
				} else {
					got := r.send("POST", "/chat/x", id, fmt.Sprintf("%s: shared:350,topic-%d:140,own-%s:900\r\n", fields.PromptSegments, i%9, id))
					mu.Lock()
					sound = append(sound, got.status == 200 && got.whole && got.body == origin.FullStream())
					mu.Unlock()
				}
				time.Sleep(interval)
			}
		})
	}
	all.Wait()
	restarts.Wait()
	c.Logf("%d crashes", crashes.Load())
	c.Check(crashes.Load() >= 3, qt.IsTrue)
	c.Check(crashes.Load() <= maxCrashes, qt.IsTrue, qt.Commentf("%d crashes", crashes.Load()))
	late := sound[len(sound)/2:]
	c.Check(slices.Contains(late, false), qt.IsFalse, qt.Commentf("sound prompts not served in the second half"))
}
