// Package proxy forwards requests to backend servers and their answers to
// callers, as the manifest's routes say. It is the one layer that sends a
// request a second time.
//
// What a failed attempt is followed by is decided by policy/retry from four
// facts: may the request run again, can it have reached the server, has the
// caller part of the answer, can a stream be resumed. A server's own word that
// it did not run a request counts as nothing sent.
//
// A refusal with status 503 says that the request has not run and will not run;
// where that is not certain, the status is 502, or 504 after the time limit.
//
// # Usage
//
//	p := &proxy.Pass{
//		Fields: proxy.Fields{RequestID: "X-Request-Id"},
//		Clock:  clock.System(),
//		View:   news.View,
//		Age:    news.Age,
//		Client: &wire.Client{},
//		Placer: place.New(place.Defaults()),
//		Hosts:  func() int { return 7 },
//		Log:    logger,
//		Count:  count.NewSet(),
//	}
//	p.Apply(proxy.Bounds{RepeatRatio: 0.2, RepeatSlack: 54, RepeatWindow: 10 * clock.Second})
//	p.Prepare()
//	i := &httpd.Server{Handle: p.Handle}
package proxy

import (
	"context"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/base/count"
	"siskinsaddle/internal/base/logs"
	"siskinsaddle/internal/base/meter"
	"siskinsaddle/internal/policy/fleet"
	"siskinsaddle/internal/policy/place"
	"siskinsaddle/internal/policy/retry"
	"siskinsaddle/internal/policy/route"
	"siskinsaddle/internal/serve/httpd"
	"siskinsaddle/internal/serve/refuse"
	"siskinsaddle/internal/serve/wire"
	"siskinsaddle/internal/share/broker"
	"siskinsaddle/internal/share/watch"
)

// Fields are the names of the header fields that are read or set. A field whose
// name is empty is neither.
type Fields struct {
	// RequestID is the caller's name for one request, which servers echo.
	RequestID string
	// TimeLeft is how long the sender waits, in milliseconds.
	TimeLeft string
	// Key is the caller's secret. Workspace is what servers get instead.
	Key       string
	Workspace string
	// Server names the server that is meant; any other refuses.
	Server string
	// Urgency ranks requests at a server, 0 to 9, 0 first.
	Urgency string
	// LastEvent is the last event of a stream that the caller has.
	LastEvent string
	// NotRun marks an answer whose request was not run.
	NotRun string
	// ServerStamp marks answers of servers.
	ServerStamp string
	// PromptParts lists NAME:TOKENS with commas, TokenCounts the tokens of the
	// prompt and the most that may be made.
	PromptParts string
	TokenCounts string
	// OnlyTheSystem are fields that callers may not set.
	OnlyTheSystem []string
}

// Pass forwards requests. Its fields are set before the first Handle.
type Pass struct {
	Fields Fields
	Clock  clock.Clock
	View   func() watch.View
	// Age is how old the manifest's confirmation is at a reading of Clock.Boot.
	Age    func(now clock.Millis) clock.Millis
	Client *wire.Client
	Placer *place.Placer
	// Repeats is made by Apply.
	Repeats *retry.Window
	// Hosts is the number of live hosts.
	Hosts func() int
	// Clerk asks the keepers of engines; nil where this host decides alone.
	Clerk *broker.Clerk
	Log   *logs.Limited
	Count *count.Set

	// keyAge is the oldest confirmation under which keys are let through, in
	// milliseconds, 0 for any.
	keyAge atomic.Int64
	// handOff ends when requests that wait for a server are to go elsewhere.
	handOff context.Context
	begin   context.CancelFunc
	mu      sync.Mutex
	// dropped are the fields of a caller that are not passed on.
	dropped map[string]bool
}

// Prepare makes the tables that depend on Fields. It is called once, before
// Handle.
func (p *Pass) Prepare() {
	p.handOff, p.begin = context.WithCancel(context.Background())
	p.dropped = map[string]bool{}
	own := append([]string{p.Fields.Key, p.Fields.Workspace, p.Fields.Server, p.Fields.Urgency, p.Fields.TimeLeft, p.Fields.NotRun}, p.Fields.OnlyTheSystem...)
	for _, f := range own {
		if f != "" {
			p.dropped[strings.ToLower(f)] = true
		}
	}
}

// Bounds are the promises that the forwarding keeps to. They may change while
// it runs.
type Bounds struct {
	// KeyAge is the oldest confirmation of the manifest under which keys are let
	// through, in milliseconds, 0 for any.
	KeyAge clock.Millis
	// RepeatRatio and RepeatSlack bound the repeats of all hosts in
	// RepeatWindow milliseconds.
	RepeatRatio  float64
	RepeatSlack  float64
	RepeatWindow clock.Millis
}

// Apply puts bounds in force. Repeats are counted anew if theirs changed.
func (p *Pass) Apply(b Bounds) {
	p.keyAge.Store(int64(b.KeyAge))
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.Repeats == nil || !p.Repeats.HasLimits(b.RepeatRatio, b.RepeatSlack, b.RepeatWindow) {
		p.Repeats = retry.NewWindow(b.RepeatRatio, b.RepeatSlack, b.RepeatWindow)
	}
}

// HandOff refuses the requests that wait for a server, now and from now on: a
// host that stops could not see them to their end. They have not run.
func (p *Pass) HandOff() { p.begin() }

// SetServers hands a new list of servers to the placing.
func (p *Pass) SetServers(all []fleet.Server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.Placer.SetServers(all)
	if p.Clerk != nil {
		p.Clerk.SetServers(all)
	}
}

// Gauges writes how servers and repeats stand into the counters.
func (p *Pass) Gauges() {
	now := p.Clock.Now()
	view := p.View()
	services := map[string]bool{}
	leaving, avoided := 0, 0
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range view.Servers {
		services[s.Service] = true
		if s.Leaving {
			leaving++
		}
	}
	for service := range services {
		avoided += len(p.Placer.AvoidedServers(now, service))
		p.Count.Set(meter.RepeatsLeft, int64(p.Repeats.Remaining(now, service, p.Hosts())), meter.Label("service", service))
	}
	state := func(name string, n int) { p.Count.Set(meter.Servers, int64(n), meter.Label("state", name)) }
	state("Leaving", leaving)
	state("Avoided", avoided)
	state("Usable", len(view.Servers)-leaving-avoided)
}

// Handle answers one request. It is an inlet's Handle.
func (p *Pass) Handle(ctx context.Context, r *httpd.Request, a *httpd.ResponseWriter) {
	j, refusal := p.admit(r)
	j.answer = a
	if refusal != nil {
		j.refuse(refusal)
		return
	}
	limited, cancel := context.WithTimeout(ctx, (j.until - j.arrived).Duration())
	defer cancel()
	j.caller = ctx
	j.run(limited)
}

// The waits that refusals ask for, in milliseconds.
const (
	// notReadyWait is about the time of a lost store's return to one host.
	notReadyWait = 300 * clock.Millis(1)
	// fullWait is about the time in which an engine ends a request in ten.
	fullWait = 250 * clock.Millis(1)
	// noServerWait is about the time until a restarted server's record is back.
	noServerWait = 500 * clock.Millis(1)
)

// admit finds the route and the workspace of a request. A job is returned
// also with a refusal, for the log.
func (p *Pass) admit(r *httpd.Request) (*job, *refuse.Refusal) {
	j := &job{
		pass:    p,
		request: r,
		id:      r.Header(p.Fields.RequestID),
		arrived: p.Clock.Now(),
	}
	view := p.View()
	j.age = p.Age(p.Clock.Boot())
	if view.Manifest == nil || !view.ServersKnown {
		return j, refuse.New(refuse.ReasonNotReady).WithRetryAfter(notReadyWait)
	}
	m := view.Manifest
	j.manifest = m.Version()
	keyAge := clock.Millis(p.keyAge.Load())
	confirmed := keyAge == 0 || j.age <= keyAge
	found, ok := m.Find(r.Host, r.Path)
	if !ok {
		if !confirmed {
			return j, refuse.New(refuse.ReasonUnconfirmed).WithRetryAfter(notReadyWait)
		}
		return j, refuse.New(refuse.ReasonUnknownPath)
	}
	j.route = found
	j.tier = found.Tier
	if refusal := p.authenticate(j, m, confirmed); refusal != nil {
		return j, refusal
	}
	j.service = found.PickService(rand.Float64())
	j.until = j.arrived + found.TimeLimit
	if left, err := strconv.ParseInt(r.Header(p.Fields.TimeLeft), 10, 64); err == nil {
		j.until = min(j.until, j.arrived+clock.Millis(left))
	}
	j.place = p.describe(j)
	return j, nil
}

// tiersOfRoutes is how many tiers of routes are told apart within one of a
// workspace: the users' sheets have three, and servers know ten ranks.
const tiersOfRoutes = 3

// authenticate checks the key of a request. A host that cannot confirm its
// manifest does not know which keys were withdrawn meanwhile.
func (p *Pass) authenticate(j *job, m *route.Manifest, confirmed bool) *refuse.Refusal {
	if !m.Keyed() || j.route.Public {
		return nil
	}
	if !confirmed {
		return refuse.New(refuse.ReasonUnconfirmed).WithRetryAfter(notReadyWait)
	}
	w, ok := m.Workspace(j.request.Header(p.Fields.Key))
	if !ok {
		return refuse.New(refuse.ReasonWrongKey)
	}
	j.workspace = w.Name
	if w.HasTier {
		j.tier = w.Tier*tiersOfRoutes + min(j.route.Tier, tiersOfRoutes-1)
	}
	return nil
}

// describe reads from the request what placing needs to know.
func (p *Pass) describe(j *job) place.Job {
	d := place.Job{Service: j.service, Random: rand.Float64()}
	if !j.route.Prompts {
		return d
	}
	d.Segments = parseParts(j.request.Header(p.Fields.PromptParts))
	in, out, _ := strings.Cut(j.request.Header(p.Fields.TokenCounts), ",")
	d.Tokens, d.Output = number(in), number(out)
	return d
}

// parseParts reads NAME:TOKENS entries; one that cannot be read is passed over,
// since the list is a hint.
func parseParts(text string) []place.Segment {
	var parts []place.Segment
	for entry := range strings.SplitSeq(text, ",") {
		name, tokens, ok := strings.Cut(strings.TrimSpace(entry), ":")
		if ok && name != "" {
			parts = append(parts, place.Segment{Name: name, Tokens: number(tokens)})
		}
	}
	return parts
}

// number reads a count out of a hint, 0 where it is none.
func number(text string) int {
	n, err := strconv.Atoi(strings.TrimSpace(text))
	if err != nil || n < 0 {
		return 0
	}
	return n
}
