package entry

import (
	"context"
	"strings"

	"github.com/valyala/fasthttp"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/base/count"
	"siskinsaddle/internal/serve/refuse"
	"siskinsaddle/internal/share/mfest"
)

// visit is one admitted request. leave must be called once, at its end.
type visit struct {
	ctx       context.Context
	view      View
	key       string
	workspace mfest.Workspace
	class     mfest.Class
	arrived   clock.Millis
	leave     func()
}

// admit checks the manifest view, the key, the class and the open limit.
func (e *Entry) admit(c *fasthttp.RequestCtx) (visit, *refuse.Refusal) {
	arrived := e.Clock.Now()
	if e.draining.Load() {
		return visit{}, refuse.New(refuse.ReasonStopping).WithRetryAfter(clock.Second)
	}
	view := e.View()
	if view.Index == nil {
		return visit{}, refuse.New(refuse.ReasonNotReady).WithRetryAfter(clock.Second)
	}
	if refusal := withinLimits(c, view.Index.Manifest.Limits); refusal != nil {
		return visit{}, refusal
	}
	key, workspace, refusal := authenticate(c, view)
	if refusal != nil {
		return visit{}, refusal
	}
	class, ok := view.Index.ClassFor(workspace, string(c.Request.Header.Peek("X-Class")))
	if !ok {
		return visit{}, view.missing(refuse.ReasonUnknownClass)
	}
	c.SetUserValue(classValue, class.Name)
	if !e.opens.enter(workspace.Name, workspace.MaxOpen, view.Index.Manifest.Limits.MaxOpenRequests) {
		return visit{}, refuse.New(refuse.ReasonTooManyOpen).WithRetryAfter(clock.Second)
	}
	ctx, cancel := context.WithCancel(context.Background())
	go watchGone(ctx, c.Conn(), cancel)
	return visit{
		ctx:       ctx,
		view:      view,
		key:       key,
		workspace: workspace,
		class:     class,
		arrived:   arrived,
		leave: func() {
			cancel()
			e.opens.leave(workspace.Name)
		},
	}, nil
}

// missing refuses for a name that the manifest lacks. While two generations
// are possible the name may stand in one of them, so the refusal says so.
func (v View) missing(reason refuse.Reason) *refuse.Refusal {
	if v.Uncertain {
		return refuse.New(refuse.ReasonUncertain).WithRetryAfter(clock.Second)
	}
	return refuse.New(reason)
}

// withinLimits holds a request against the manifest's limits. The settings'
// limits have been kept by the HTTP server.
func withinLimits(c *fasthttp.RequestCtx, l mfest.Limits) *refuse.Refusal {
	switch {
	case l.MaxHeaderBytes > 0 && len(c.Request.Header.RawHeaders()) > l.MaxHeaderBytes:
		return refuse.New(refuse.ReasonHeaderTooLarge)
	case l.MaxBodyBytes > 0 && len(c.PostBody()) > l.MaxBodyBytes:
		return refuse.New(refuse.ReasonBodyTooLarge)
	}
	return nil
}

// allowed tells whether what a visit was admitted for may still be sent: the
// host serves, and where another generation is in force by now, the workspace,
// the class and the service stand in it too.
func (e *Entry) allowed(v visit, service string) *refuse.Refusal {
	now := e.View()
	if now.Index == nil {
		return refuse.New(refuse.ReasonNotReady).WithRetryAfter(clock.Second)
	}
	if now == v.view {
		return nil
	}
	workspace, ok := now.Index.WorkspaceByKey(v.key)
	if !ok || workspace.Name != v.workspace.Name {
		return now.missing(refuse.ReasonWrongKey)
	}
	if _, ok := now.Index.ClassFor(workspace, v.class.Name); !ok {
		return now.missing(refuse.ReasonUnknownClass)
	}
	if _, ok := now.Index.Service(service); !ok {
		return now.missing(refuse.ReasonUnknownService)
	}
	return nil
}

const bearer = "Bearer"

// authenticate finds the workspace of the request's key.
func authenticate(c *fasthttp.RequestCtx, view View) (string, mfest.Workspace, *refuse.Refusal) {
	header := string(c.Request.Header.Peek("Authorization"))
	scheme, key, _ := strings.Cut(header, " ")
	if !strings.EqualFold(scheme, bearer) || key == "" {
		return "", mfest.Workspace{}, refuse.New(refuse.ReasonNoKey)
	}
	workspace, ok := view.Index.WorkspaceByKey(key)
	if !ok {
		return "", mfest.Workspace{}, view.missing(refuse.ReasonWrongKey)
	}
	return key, workspace, nil
}

// countServed counts a completed request of a class.
func (e *Entry) countServed(class string) {
	e.Count.Add("siskinsaddle_served_total", 1, count.Label{Key: "class", Value: class})
}
