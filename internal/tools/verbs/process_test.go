package verbs

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"siskinsaddle/internal/base/reply"
	"siskinsaddle/internal/fakes/origin"
	"siskinsaddle/internal/fakes/spoil"
	"siskinsaddle/platform"
)

// runAsProgram is the environment variable that makes the test binary run as siskinsaddle.
const runAsProgram = "SISKINSADDLE_TEST_PROGRAM"

func TestMain(m *testing.M) {
	if os.Getenv(runAsProgram) != "" {
		os.Exit(Main(os.Args[1:], os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

// startProcess runs a host as a process of its own, and stops it at the end of the test.
func (s *harness) startProcess(ip string) *frontHost {
	c := s.c
	h := s.writeSettings(ip)
	command := exec.Command(os.Args[0], "front", "--platform-settings", h.file)
	command.Env = append(os.Environ(), runAsProgram+"=1")
	command.Stdout, command.Stderr = h.log, h.log
	c.Assert(command.Start(), qt.IsNil)
	h.stop = func() {
		c.Check(command.Process.Signal(syscall.SIGTERM), qt.IsNil)
		c.Check(command.Wait(), qt.IsNil, qt.Commentf("%s", h.log))
	}
	c.Cleanup(h.stop)
	h.await(c, "readiness", func() bool { return s.isReady(h) })
	s.hosts = append(s.hosts, h)
	return h
}

// await fails the test if a condition does not hold within a minute.
func (h *frontHost) await(c *qt.C, name string, holds func() bool) {
	for end := time.Now().Add(time.Minute); !holds(); {
		c.Assert(time.Now().Before(end), qt.IsTrue, qt.Commentf("%s: %s", name, h.log))
		time.Sleep(time.Millisecond)
	}
}

// awaitLine fails the test if the host does not log a text.
func (h *frontHost) awaitLine(c *qt.C, text string) {
	h.await(c, text, func() bool { return strings.Contains(h.log.String(), text) })
}

func (s *harness) isReady(h *frontHost) bool {
	response, err := http.Get("http://" + h.settings.ReadyAddress + "/readiness")
	if err != nil {
		return false
	}
	return response.Body.Close() == nil && response.StatusCode == http.StatusOK
}

func (s *harness) metrics(h *frontHost) string {
	response, err := http.Get(fmt.Sprintf("http://%s:%d/metrics", h.settings.IP, metricsPort))
	s.c.Assert(err, qt.IsNil)
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	s.c.Assert(err, qt.IsNil)
	return string(text)
}

func TestProcessForwardsNoBrokenAnswer(t *testing.T) {
	c := qt.New(t)
	s := newHarness(c, 0)
	h := s.startProcess("127.0.0.31")
	for behavior, fault := range map[origin.Behavior]reply.Fault{
		origin.ZeroStatus:    reply.FaultStatus,
		origin.BlankInName:   reply.FaultFieldName,
		origin.ControlInName: reply.FaultFieldName,
		origin.FoldedLine:    reply.FaultFieldName,
		origin.CutHeader:     reply.FaultCutHeader,
		origin.EarlyCut:      reply.FaultCutBody,
	} {
		for path, server := range map[string]*origin.Origin{"/booking/": s.app, "/chat/": s.chat} {
			c.Run(string(behavior)+path, func(c *qt.C) {
				id := "p-" + string(behavior) + path[1:4]
				server.Enqueue(behavior)
				status, body, whole := s.send(0, path, id, "")
				c.Check(status, qt.Equals, 502)
				c.Check(whole, qt.IsTrue)
				c.Check(body, qt.Contains, `"BackendFailed"`)
				c.Check(server.Runs(id), qt.Equals, 1)
				h.awaitLine(c, fmt.Sprintf(`msg="A server's response is broken." server=%s fault=%s id=%s`, server.ID, string(fault), id))
				c.Check(s.metrics(h), qt.Contains, fmt.Sprintf(`siskinsaddle_broken_responses_total{fault="%s",server="%s"} `, string(fault), server.ID))
			})
		}
	}
	status, body, _ := s.send(0, "/booking/", "after", "")
	c.Check(status, qt.Equals, 200)
	c.Check(body, qt.Equals, "answer of i-app")
}

// The store breaks its responses for a while: the host goes on with what it knows, until it
// can no longer tell which keys are withdrawn.
func TestProcessOutlivesBrokenStore(t *testing.T) {
	c := qt.New(t)
	s := newHarness(c, 0)
	var broken atomic.Value
	broken.Store(spoil.Kind(""))
	s.serveStore(spoil.Handler(platform.ServeStore(s.store.For("any")), func() spoil.Kind { return broken.Load().(spoil.Kind) }))
	h := s.startProcess("127.0.0.32")
	for n, kind := range []spoil.Kind{spoil.ZeroStatus, spoil.BlankInName} {
		lost, found := "The store does not answer.", "The store answers again."
		logged := func(text string) bool { return strings.Count(h.log.String(), text) > n }
		broken.Store(kind)
		h.await(c, lost, func() bool { return logged(lost) })
		h.awaitLine(c, `msg="A server's response is broken." server=`+s.storeAddress)
		status, _, _ := s.send(0, "/booking/", fmt.Sprint("during", n), "")
		c.Check(status == 200 || status == 503, qt.IsTrue, qt.Commentf("%d", status))
		broken.Store(spoil.Kind(""))
		h.await(c, found, func() bool { return logged(found) })
		h.await(c, "a request is served", func() bool {
			status, _, _ := s.send(0, "/booking/", fmt.Sprint("after", time.Now().UnixNano()), "")
			return status == 200
		})
	}
}
