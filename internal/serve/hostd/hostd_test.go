package hostd_test

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	openai "github.com/sashabaranov/go-openai"
	"github.com/valyala/fasthttp"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/base/config"
	"siskinsaddle/internal/base/count"
	"siskinsaddle/internal/base/logs"
	"siskinsaddle/internal/fakes/suite"
	"siskinsaddle/internal/plat/amazon"
	"siskinsaddle/internal/plat/disco"
	"siskinsaddle/internal/serve/hostd"
	"siskinsaddle/internal/share/accept"
	"siskinsaddle/internal/share/mfest"
)

// testbed runs hosts against the embedded stand-ins.
type testbed struct {
	c        *qt.C
	standIns *suite.Suite
	// host is the first of hosts.
	host  *hostd.Host
	hosts []*hostd.Host
	// aborts stop the loops and links of each host without a graceful stop.
	aborts []context.CancelFunc
}

// newTestbed starts one host in each named failure domain, prairie-a by default,
// and brings a manifest with those domains into force.
func newTestbed(t *testing.T, domains ...string) *testbed {
	c := qt.New(t)
	b := &testbed{c: c, standIns: &suite.Suite{Settings: suite.Embedded()}}
	c.Assert(b.standIns.Start(), qt.IsNil)
	c.Cleanup(b.standIns.Stop)
	if len(domains) == 0 {
		domains = []string{"prairie-a"}
	}
	for i, domain := range domains {
		b.start(fmt.Sprintf("host-%d", i+1), domain)
	}
	b.host = b.hosts[0]
	b.push(withDomains(mfest.Default(), domains))
	for _, h := range b.hosts {
		b.awaitReady(h)
	}
	return b
}

func (b *testbed) start(name, domain string) {
	platform := b.standIns.Platform().Address()
	s := config.Default()
	s.HostName = name
	s.FailureDomain = domain
	s.Callers.Address = "127.0.0.1:0"
	s.Callers.OperatorAddress = "127.0.0.1:0"
	s.Links.Address = "127.0.0.1:0"
	s.Stop.BalancerMilliseconds = 1
	s.Callers.SendTimeoutMilliseconds = 300
	s.Backend.ProgressTimeoutMilliseconds = 300
	s.Platform.ListPeriodMilliseconds = 200
	s.Orders.LoadPeriodMilliseconds = 200
	a := amazon.Settings{
		TableEndpoint:  "http://" + platform,
		ObjectEndpoint: "http://" + platform,
		Region:         "local",
		AccessKey:      "key",
		SecretKey:      "secret",
		Table:          "siskinsaddle",
		Bucket:         "siskinsaddle",
		DialTimeout:    clock.Second,
		Timeout:        clock.Second,
	}
	h := &hostd.Host{
		Settings: s,
		List:     disco.NewHTTP(platform, clock.Second, nil),
		Table:    amazon.NewTable(a),
		Objects:  amazon.NewObjects(a),
		Clock:    clock.System(),
		Count:    count.NewSet(),
		Log:      logs.Discard(),
	}
	ctx, abort := context.WithCancel(context.Background())
	b.c.Cleanup(abort)
	b.c.Assert(h.Start(ctx), qt.IsNil)
	b.standIns.Platform().SetEntry(disco.Entry{
		Name:          name,
		Kind:          disco.KindHost,
		Region:        s.Region,
		FailureDomain: domain,
		Address:       h.LinkAddress(),
		State:         disco.StateLive,
	})
	b.hosts = append(b.hosts, h)
	b.aborts = append(b.aborts, abort)
}

func (b *testbed) awaitReady(h *hostd.Host) {
	b.waitUntil(func() bool {
		code, _, err := fasthttp.Get(nil, "http://"+h.Address()+"/readyz")
		return err == nil && code == fasthttp.StatusOK
	})
}

func withDomains(m mfest.Manifest, domains []string) mfest.Manifest {
	m.FailureDomains = nil
	for _, name := range domains {
		d := mfest.FailureDomain{Name: name, Region: "prairie"}
		if !slices.Contains(m.FailureDomains, d) {
			m.FailureDomains = append(m.FailureDomains, d)
		}
	}
	return m
}

// push brings a manifest into force.
func (b *testbed) push(m mfest.Manifest) {
	p := &accept.Pusher{
		Platform:      accept.Platform{Table: b.host.Table, Objects: b.host.Objects, Clock: b.host.Clock},
		Registrations: b.host.Registrations,
		Log:           logs.Discard(),
		By:            "test",
	}
	answer := p.Push(context.Background(), m)
	b.c.Assert(answer.Outcome, qt.Equals, accept.Accepted, qt.Commentf("%+v", answer))
}

func (b *testbed) client() *openai.Client {
	config := openai.DefaultConfig("demo-key")
	config.BaseURL = "http://" + b.host.Address() + "/v1"
	return openai.NewClientWithConfig(config)
}

func chatRequest(words int) openai.ChatCompletionRequest {
	return openai.ChatCompletionRequest{
		Model:               "canvas-small",
		MaxCompletionTokens: words,
		Messages:            []openai.ChatCompletionMessage{{Role: "user", Content: "The awning frame is bent. What now?"}},
	}
}

// An OpenAI client gets the same completion streamed and unstreamed.
func TestOpenAIClient(t *testing.T) {
	b := newTestbed(t)
	ctx := context.Background()
	whole, err := b.client().CreateChatCompletion(ctx, chatRequest(12))
	b.c.Assert(err, qt.IsNil)
	b.c.Assert(whole.Usage.CompletionTokens, qt.Equals, 12)
	stream, err := b.client().CreateChatCompletionStream(ctx, chatRequest(12))
	b.c.Assert(err, qt.IsNil)
	var text strings.Builder
	for {
		chunk, err := stream.Recv()
		if err == io.EOF {
			break
		}
		b.c.Assert(err, qt.IsNil)
		text.WriteString(chunk.Choices[0].Delta.Content)
	}
	b.c.Assert(text.String(), qt.Equals, whole.Choices[0].Message.Content)
	alone := b.host.Count.Count("siskinsaddle_keep_events_total", count.Label{Key: "event", Value: "Alone"})
	b.c.Assert(alone, qt.Equals, int64(0), qt.Commentf("the only host is the keeper of its groups"))
	b.c.Assert(b.host.Stop(ctx), qt.IsNil)
}

// A booking that is sent twice with one idempotency key runs once, and the second
// call gets the recorded response. Another body with the same key is refused.
func TestBookingRunsOnce(t *testing.T) {
	b := newTestbed(t)
	request, answer := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	request.SetRequestURI("http://" + b.host.Address() + "/services/yard-app/bookings")
	request.Header.SetMethod("POST")
	request.Header.Set("Authorization", "Bearer demo-key")
	request.Header.Set("Idempotency-Key", "k1")
	request.SetBodyString(`{"Stall": "12"}`)
	b.c.Assert(fasthttp.Do(request, answer), qt.IsNil)
	b.c.Assert(answer.StatusCode(), qt.Equals, 200)
	first := string(answer.Body())
	b.c.Assert(fasthttp.Do(request, answer), qt.IsNil)
	b.c.Assert(string(answer.Body()), qt.Equals, first)
	b.c.Assert(string(answer.Header.Peek("Idempotent-Replayed")), qt.Equals, "true")
	b.c.Assert(b.standIns.Runs("yard-app")["k1"], qt.Equals, 1)
	request.SetBodyString(`{"Stall": "13"}`)
	b.c.Assert(fasthttp.Do(request, answer), qt.IsNil)
	b.c.Assert(answer.StatusCode(), qt.Equals, 422)
	b.c.Assert(b.host.Stop(context.Background()), qt.IsNil)
}
