package suite_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"

	"siskinsaddle/internal/fakes/spoil"
	"siskinsaddle/internal/fakes/suite"
	"siskinsaddle/internal/plat/disco"
)

func call(c *qt.C, method, url, body string) (int, string) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI(url)
	request.Header.SetMethod(method)
	request.Header.Set("Idempotency-Key", "k1")
	request.SetBodyString(body)
	c.Assert(new(fasthttp.Client).Do(request, response), qt.IsNil)
	return response.StatusCode(), string(response.Body())
}

func TestFaultsAreSetPerPart(t *testing.T) {
	c := qt.New(t)
	s := &suite.Suite{Settings: suite.Embedded()}
	c.Assert(s.Start(), qt.IsNil)
	defer s.Stop()
	faults := "http://" + s.Address() + "/faults"

	entries := s.Platform().Entries()
	c.Assert(entries, qt.HasLen, 3)
	c.Assert(disco.Servers(entries, "canvas-llm", "prairie-a"), qt.HasLen, 2)

	status, _ := call(c, "POST", faults+"/canvas-llm-1", `{"Slowdown": 4}`)
	c.Assert(status, qt.Equals, fasthttp.StatusOK)
	call(c, "POST", faults+"/yard-app-1", `{"Leaving": true}`)
	call(c, "POST", faults+"/Platform", `{"Throttle": true}`)
	c.Assert(s.Engine("canvas-llm-1").Faults().Slowdown, qt.Equals, 4.0)
	c.Assert(s.Plain("yard-app-1").Faults().Leaving, qt.IsTrue)
	c.Assert(s.Platform().Faults().Throttle, qt.IsTrue)
	_, body := call(c, "GET", faults, "")
	c.Assert(body, qt.Contains, `"Slowdown":4`)
	status, _ = call(c, "POST", faults+"/nobody", `{}`)
	c.Assert(status, qt.Equals, fasthttp.StatusNotFound)

	call(c, "POST", faults+"/yard-app-1", `{"Leaving": false}`)
	call(c, "POST", "http://"+s.Plain("yard-app-1").Address()+"/bookings", `{}`)
	c.Assert(s.Runs("yard-app"), qt.DeepEquals, map[string]int{"k1": 1})
}

func TestBrokenAnswersAreSetPerPart(t *testing.T) {
	c := qt.New(t)
	s := &suite.Suite{Settings: suite.Embedded()}
	c.Assert(s.Start(), qt.IsNil)
	defer s.Stop()
	for name, address := range map[string]string{
		"canvas-llm-1":     s.Engine("canvas-llm-1").Address(),
		"yard-app-1":       s.Plain("yard-app-1").Address(),
		suite.PlatformName: s.Platform().Address(),
	} {
		for _, kind := range append(spoil.Kinds, "") {
			call(c, "POST", "http://"+s.Address()+"/faults/"+name, fmt.Sprintf(`{"BreakAnswers": %q}`, kind))
			conn, err := net.Dial("tcp", address)
			c.Assert(err, qt.IsNil)
			_, err = io.WriteString(conn, "GET /state HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
			c.Assert(err, qt.IsNil)
			text, err := io.ReadAll(conn)
			c.Assert(err, qt.IsNil)
			c.Assert(strings.Contains(string(text), spoil.Field+": "+string(kind)), qt.Equals, kind != "", qt.Commentf("%s: %q", name, text))
			c.Assert(strings.HasPrefix(string(text), "HTTP/1.1 000 "), qt.Equals, kind == spoil.ZeroStatus)
			c.Assert(conn.Close(), qt.IsNil)
		}
	}
}

func TestRunStopsWhenContextIsCanceled(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	s := &suite.Suite{Settings: suite.Bukal()}
	c.Assert(s.Run(ctx), qt.IsNil)
}

func TestParseReportsAllFindings(t *testing.T) {
	c := qt.New(t)
	_, err := suite.Parse("s.hujson", []byte("{\"Regin\": 1,\n\"Services\": [{\"Kind\": \"Web\"}]}"))
	c.Assert(err, qt.ErrorMatches, `(?s)s.hujson:1:2: .*s.hujson:2:.*kind "Web" does not exist.*`)
	s := suite.Kestrel().WithPorts(7400)
	c.Assert(s.Services[1].Servers[2].ListenAddress, qt.Equals, "127.0.0.1:7414")
}
