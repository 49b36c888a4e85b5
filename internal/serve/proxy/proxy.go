// Package proxy forwards requests to backend servers and their responses to
// callers, according to the routes of the manifest. It is the only layer that sends
// a request a second time.
//
// After a failed attempt, policy/retry decides between another attempt and a
// refusal by four facts: whether the request may run again, whether it can have
// reached the server, whether the caller has part of the response, and whether the
// stream can be resumed. If a server states that it did not run a request, the
// request counts as not sent.
//
// A refusal with status 503 guarantees that the request has not run and will not
// run. If that is not certain, the status is 502, or 504 after the time limit. Callers
// take the status of a server for the same promise. So a server's 408, 429 or 503 is not
// forwarded: with the NotRun field the request is sent elsewhere or refused, without it
// the attempt has failed like one that ended with 500.
//
// # Usage
//
//	p := &proxy.Proxy{
//		Fields: proxy.Fields{RequestID: "X-Request-Id"},
//		Clock:  clock.System(),
//		View:   watcher.View,
//		Age:    watcher.Age,
//		Client: &wire.Client{},
//		Placer: place.New(place.Defaults()),
//		Hosts:  func() int { return 7 },
//		Log:    logger,
//		Count:  count.NewSet(),
//	}
//	p.Apply(proxy.Limits{RepeatRatio: 0.2, RepeatSlack: 54, RepeatWindow: 10 * clock.Second})
//	p.Prepare()
//	s := &httpd.Server{Handle: p.Handle}
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
	"siskinsaddle/internal/policy/limit"
	"siskinsaddle/internal/policy/notice"
	"siskinsaddle/internal/policy/place"
	"siskinsaddle/internal/policy/retry"
	"siskinsaddle/internal/policy/route"
	"siskinsaddle/internal/serve/httpd"
	"siskinsaddle/internal/serve/refuse"
	"siskinsaddle/internal/serve/wire"
	"siskinsaddle/internal/share/broker"
	"siskinsaddle/internal/share/guard"
	"siskinsaddle/internal/share/watch"
)

// Fields are the names of the header fields that are read or set. An empty name
// disables the field.
type Fields struct {
	// RequestID identifies one request. The caller chooses it, and servers echo it.
	RequestID string
	// Timeout is the time that the sender still waits, in milliseconds.
	Timeout string
	// Key is the caller's secret. Servers get the Workspace field instead.
	Key       string
	Workspace string
	// Server is the ID of the intended server; any other server refuses.
	Server string
	// Urgency is the priority of a request at a server, from 0 (first) to 9.
	Urgency string
	// LastEvent is the ID of the last stream event that the caller received.
	LastEvent string
	// NotRun marks a response whose request was not run.
	NotRun string
	// RateLimit is the rate that a server takes from all hosts together, in requests a
	// second. A server in need sets it in its responses.
	RateLimit string
	// Leaving is 1 in all responses of a server that is leaving.
	Leaving string
	// HoldOff is the time for which a server that refuses a request wants no more from
	// this host, in seconds with an optional fraction.
	HoldOff string
	// ServerStamp marks responses that come from a server. It is the server's for each
	// success.
	ServerStamp string
	// PromptSegments lists the segments of the prompt as NAME:TOKENS, separated by
	// commas. TokenCounts is the number of prompt tokens, a comma and the maximum
	// number of output tokens.
	PromptSegments string
	TokenCounts    string
	// Reserved lists the platform's reserved fields, which are removed from
	// callers' requests.
	Reserved []string
}

// Proxy forwards requests. Its exported fields are set before the first Handle.
type Proxy struct {
	Fields Fields
	Clock  clock.Clock
	View   func() watch.View
	// Age returns the time since the manifest was last confirmed, in milliseconds.
	// now is a reading of Clock.Boot.
	Age    func(now clock.Millis) clock.Millis
	Client *wire.Client
	// ServersIdentify is set if servers name the request in all their responses and stamp each
	// success, as on the platform. Responses that do not are not forwarded then.
	ServersIdentify bool
	Placer          *place.Placer
	// Repeats is the budget of repeated attempts. Apply sets it.
	Repeats *retry.Window
	// Hosts returns the number of live hosts.
	Hosts func() int
	// Broker sends grant requests to the keepers of engines. It is nil if this host
	// decides alone.
	Broker *broker.Broker
	// Guard has the quarantined prompt segments. It is nil if prompts are not checked for
	// them.
	Guard *guard.Guard
	// ShareLeaving, if set, tells the other hosts of a server that says it is leaving.
	ShareLeaving func(e notice.Entry)
	Log          *logs.Limited
	Count        *count.Set

	// maxKeyAge is Limits.MaxKeyAge.
	maxKeyAge atomic.Int64
	// draining is cancelled by startDrain when waiting requests are to be refused.
	draining   context.Context
	startDrain context.CancelFunc
	// ending is cancelled by endRequests when open requests are to be answered at once.
	ending      context.Context
	endRequests context.CancelFunc
	buffers     buffers
	// mu guards Placer, Repeats, servers, notices and limits.
	mu sync.Mutex
	// servers is the list from the servers' records. notices is what servers have said
	// to this host or others; its times are of Clock.Boot.
	servers []fleet.Server
	notices *notice.Table
	// limits are the rates that servers have named to this host.
	limits *limit.Table
	// buckets limit this host's share of the requests to a server while it decides alone,
	// by server.
	buckets map[string]*limit.Bucket
	// droppedRequestFields are the lower-case names of request fields that are not forwarded.
	droppedRequestFields map[string]bool
}

// Prepare builds the tables that depend on Fields. It is called once, before
// Handle.
func (p *Proxy) Prepare() {
	p.notices = notice.NewTable()
	p.limits, p.buckets = limit.NewTable(), map[string]*limit.Bucket{}
	p.draining, p.startDrain = context.WithCancel(context.Background())
	p.ending, p.endRequests = context.WithCancel(context.Background())
	p.droppedRequestFields = map[string]bool{}
	reserved := append([]string{p.Fields.Key, p.Fields.Workspace, p.Fields.Server, p.Fields.Urgency, p.Fields.Timeout, p.Fields.NotRun}, p.Fields.Reserved...)
	for _, f := range reserved {
		if f != "" {
			p.droppedRequestFields[strings.ToLower(f)] = true
		}
	}
}

// Limits are the limits on key checks and repeats. They may change at run time.
type Limits struct {
	// MaxKeyAge is the maximum age of the manifest's confirmation with which keys are
	// accepted, in milliseconds; 0 means any age.
	MaxKeyAge clock.Millis
	// All hosts together may repeat RepeatRatio times the requests within
	// RepeatWindow milliseconds, plus RepeatSlack.
	RepeatRatio  float64
	RepeatSlack  float64
	RepeatWindow clock.Millis
	// MaxBuffered is the limit for all responses that are read whole before they are
	// forwarded, and for long events of streams, in bytes; 0 means 64 MiB.
	MaxBuffered int64
}

// Apply sets the limits. The count of repeats starts anew if its limits changed.
func (p *Proxy) Apply(l Limits) {
	p.maxKeyAge.Store(int64(l.MaxKeyAge))
	p.buffers.setLimit(l.MaxBuffered)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.Repeats == nil || !p.Repeats.HasLimits(l.RepeatRatio, l.RepeatSlack, l.RepeatWindow) {
		p.Repeats = retry.NewWindow(l.RepeatRatio, l.RepeatSlack, l.RepeatWindow)
	}
}

// Drain refuses all requests that wait for a grant or arrive from now on, because a
// stopping host could not finish them. They have not run.
func (p *Proxy) Drain() { p.startDrain() }

// EndRequests ends the attempts of all open requests because the host's process is about to
// end. Callers without a part of a response get a refusal; other responses break off.
func (p *Proxy) EndRequests() { p.endRequests() }

// SetServers replaces the list of servers that requests are placed on.
func (p *Proxy) SetServers(all []fleet.Server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.servers = all
	p.notices.Retain(p.Clock.Boot(), all)
	p.applyServers()
}

// UpdateGauges updates the gauges of servers and of remaining repeats.
func (p *Proxy) UpdateGauges() {
	now := p.Clock.Now()
	view := p.View()
	services := map[string]bool{}
	leaving, avoided := 0, 0
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.notices.Mark(view.Servers) {
		services[s.Service] = true
		if s.Leaving {
			leaving++
		}
	}
	for service := range services {
		avoided += len(p.Placer.AvoidedServers(now, service))
		p.Count.Set(meter.RepeatsLeft, int64(p.Repeats.Remaining(now, service, p.Hosts())), meter.Label("service", service))
	}
	p.Count.Set(meter.BufferedBytes, p.buffers.used.Load())
	state := func(name string, n int) { p.Count.Set(meter.Servers, int64(n), meter.Label("state", name)) }
	state("Leaving", leaving)
	state("Avoided", avoided)
	state("Limited", p.limits.Count())
	state("HeldOff", p.notices.HoldOffs(p.Clock.Boot()))
	state("Usable", len(view.Servers)-leaving-avoided)
}

// Handle answers one request. It implements httpd.Server.Handle.
func (p *Proxy) Handle(ctx context.Context, r *httpd.Request, w *httpd.ResponseWriter) {
	j, refusal := p.admit(r)
	j.writer = w
	if refusal != nil {
		j.refuse(refusal)
		return
	}
	limited, cancel := context.WithTimeout(ctx, (j.deadline - j.arrived).Duration())
	defer cancel()
	defer context.AfterFunc(p.ending, cancel)()
	j.callerCtx = ctx
	defer func() { p.buffers.release(j.buffered) }()
	j.run(limited)
}

// The retry delays given with refusals, in milliseconds.
const (
	// notReadyWait is about the time in which one host reconnects to the store.
	notReadyWait = 300 * clock.Millis(1)
	// fullWait is about the time in which an engine finishes a tenth of its
	// requests.
	fullWait = 250 * clock.Millis(1)
	// noServerWait is about the time until a restarted server is listed again.
	noServerWait = 500 * clock.Millis(1)
)

// admit checks a request and determines its route, workspace and deadline. With a
// refusal it returns the job too, for the log.
func (p *Proxy) admit(r *httpd.Request) (*job, *refuse.Refusal) {
	j := &job{
		proxy:   p,
		request: r,
		id:      r.Header(p.Fields.RequestID),
		arrived: p.Clock.Now(),
	}
	view := p.View()
	j.manifestAge = p.Age(p.Clock.Boot())
	if view.Manifest == nil || !view.ServersKnown {
		return j, refuse.New(refuse.ReasonNotReady).WithRetryAfter(notReadyWait)
	}
	m := view.Manifest
	j.manifestVersion = m.Version()
	maxKeyAge := clock.Millis(p.maxKeyAge.Load())
	confirmed := maxKeyAge == 0 || j.manifestAge <= maxKeyAge
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
	j.deadline = j.arrived + found.TimeLimit
	if left, err := strconv.ParseInt(r.Header(p.Fields.Timeout), 10, 64); err == nil {
		j.deadline = min(j.deadline, j.arrived+clock.Millis(left))
	}
	j.place = p.placement(j)
	return j, nil
}

// routeTiers is the number of route tiers, 0 to 2, within each workspace tier. Three
// workspace tiers then fit into the ten urgency values 0 to 9.
const routeTiers = 3

// authenticate checks the key of a request and sets its workspace and tier. Without
// a recent confirmation of the manifest it refuses all keys, because some may have
// been revoked. A manifest without workspaces requires no key, but accepts none: a key may be
// one of a workspace that an earlier manifest had.
func (p *Proxy) authenticate(j *job, m *route.Manifest, confirmed bool) *refuse.Refusal {
	key := j.request.Header(p.Fields.Key)
	if j.route.Public || (!m.Keyed() && key == "") {
		return nil
	}
	if !confirmed {
		return refuse.New(refuse.ReasonUnconfirmed).WithRetryAfter(notReadyWait)
	}
	w, ok := m.Workspace(key)
	if !ok {
		return refuse.New(refuse.ReasonWrongKey)
	}
	j.workspace = w.Name
	if w.HasTier {
		j.tier = w.Tier*routeTiers + min(j.route.Tier, routeTiers-1)
	}
	return nil
}

// placement returns the properties of the request by which a server is chosen.
func (p *Proxy) placement(j *job) place.Job {
	d := place.Job{Service: j.service, Random: rand.Float64()}
	if !j.route.Prompts {
		return d
	}
	d.Segments = parseSegments(j.request.Header(p.Fields.PromptSegments))
	in, out, _ := strings.Cut(j.request.Header(p.Fields.TokenCounts), ",")
	d.Tokens, d.Output = parseCount(in), parseCount(out)
	return d
}

// parseSegments parses NAME:TOKENS entries. It skips malformed ones, because the
// list is only a hint.
func parseSegments(text string) []place.Segment {
	var segments []place.Segment
	for entry := range strings.SplitSeq(text, ",") {
		name, tokens, ok := strings.Cut(strings.TrimSpace(entry), ":")
		if ok && name != "" {
			segments = append(segments, place.Segment{Name: name, Tokens: parseCount(tokens)})
		}
	}
	return segments
}

// parseCount parses a non-negative count. It returns 0 for anything else, because
// the text is only a hint.
func parseCount(text string) int {
	n, err := strconv.Atoi(strings.TrimSpace(text))
	if err != nil || n < 0 {
		return 0
	}
	return n
}
