package verbs

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/base/count"
	"siskinsaddle/internal/base/logs"
	"siskinsaddle/internal/fakes/origin"
	"siskinsaddle/platform"
)

func TestSiteCheck(t *testing.T) {
	c := qt.New(t)
	file := filepath.Join(c.TempDir(), "shop.site.hujson")
	var shown, out, errOut bytes.Buffer
	c.Assert(Main([]string{"site", "show"}, &shown, &errOut), qt.Equals, ExitOK)
	c.Assert(os.WriteFile(file, shown.Bytes(), 0o600), qt.IsNil)
	c.Assert(Main([]string{"site", "check", file}, &out, &errOut), qt.Equals, ExitOK)
	c.Assert(out.String(), qt.Contains, "3 routes, 2 services")
	c.Assert(os.WriteFile(file, []byte(strings.Replace(shown.String(), `"Unsafe"`, `"Twice"`, 1)), 0o600), qt.IsNil)
	c.Assert(Main([]string{"site", "check", file}, &out, &errOut), qt.Equals, ExitFailed)
	c.Assert(errOut.String(), qt.Contains, `Routes[0].Kind: "Twice" is none of`)
}

// A host with a site file serves its routes, applies a changed file as a whole, and
// rejects a faulty one as a whole.
func TestSiteHostServesAndReloadsFile(t *testing.T) {
	c := qt.New(t)
	booking := &origin.Origin{ID: "booking-1", Fields: platform.Headers}
	assistant := &origin.Origin{ID: "assistant-1", Fields: platform.Headers, Stream: true}
	for _, o := range []*origin.Origin{booking, assistant} {
		c.Assert(o.Start(), qt.IsNil)
		c.Cleanup(o.Stop)
	}
	embedded, err := readSite("")
	c.Assert(err, qt.IsNil)
	text := string(embedded.text)
	callers := fmt.Sprintf("127.0.0.1:%d", freePort(c, "127.0.0.1"))
	text = strings.NewReplacer(
		"127.0.0.1:8380", callers,
		"127.0.0.1:8381", fmt.Sprintf("127.0.0.1:%d", freePort(c, "127.0.0.1")),
		`"127.0.0.1:9464"`, `""`,
		"127.0.0.1:8390", booking.ListenAddress(),
		"127.0.0.1:8391", assistant.ListenAddress(),
	).Replace(text)
	file := filepath.Join(c.TempDir(), "shop.site.hujson")
	write := func(text string) { c.Assert(os.WriteFile(file, []byte(text), 0o600), qt.IsNil) }
	write(text)

	log := &logBuffer{}
	clk, set := clock.System(), count.NewSet()
	h, err := newSiteHost(file, clk, logs.Limit(logs.NewPlain(log, logs.LevelInfo), clk, set), set)
	c.Assert(err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	c.Cleanup(cancel)
	c.Assert(h.host.Start(ctx), qt.IsNil)
	c.Cleanup(h.host.Stop)
	for !h.host.Ready() {
		time.Sleep(time.Millisecond) // hangs if the host never becomes ready
	}
	status := func(path string) int {
		r, err := http.NewRequest(http.MethodPost, "http://"+callers+path, nil)
		c.Assert(err, qt.IsNil)
		r.Host = "shop.example"
		r.Header.Set("X-Api-Key", "change-this-key")
		r.Header.Set("Request-Id", "r"+fmt.Sprint(len(path)))
		r.Header.Set("Deadline-Ms", "4000")
		response, err := http.DefaultClient.Do(r)
		c.Assert(err, qt.IsNil)
		c.Assert(response.Body.Close(), qt.IsNil)
		return response.StatusCode
	}
	c.Assert(status("/book/a"), qt.Equals, http.StatusOK)
	c.Assert(status("/ask/ab"), qt.Equals, http.StatusOK)
	c.Assert(status("/new/abc"), qt.Equals, http.StatusNotFound)

	changed := strings.NewReplacer(`"Version": 1`, `"Version": 2`, `"/jobs/"`, `"/new/"`).Replace(text)
	write(strings.Replace(changed, `"Safe"`, `"Often"`, 1))
	h.reload("Test")
	c.Assert(log.String(), qt.Contains, "Site reload rejected; the previous version stays in force.")
	c.Assert(status("/new/abcd"), qt.Equals, http.StatusNotFound)
	write(changed)
	h.reload("Test")
	for status("/new/abcde") != http.StatusOK {
		time.Sleep(time.Millisecond)
	}
}
