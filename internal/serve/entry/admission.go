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

// admission is the state of an admitted request. Call release once, when the
// request ends.
type admission struct {
	ctx       context.Context
	view      View
	key       string
	workspace mfest.Workspace
	class     mfest.Class
	arrived   clock.Millis
	release   func()
}

// admit checks the manifest view, the size limits, the key, the class and the limit
// of open requests.
func (e *Entry) admit(c *fasthttp.RequestCtx) (admission, *refuse.Refusal) {
	arrived := e.Clock.Now()
	if e.draining.Load() {
		return admission{}, refuse.New(refuse.ReasonStopping).WithRetryAfter(clock.Second)
	}
	view := e.View()
	if view.Index == nil {
		return admission{}, refuse.New(refuse.ReasonNotReady).WithRetryAfter(clock.Second)
	}
	if refusal := checkSize(c, view.Index.Manifest.Limits); refusal != nil {
		return admission{}, refusal
	}
	key, workspace, refusal := authenticate(c, view)
	if refusal != nil {
		return admission{}, refusal
	}
	class, ok := view.Index.ClassFor(workspace, string(c.Request.Header.Peek("X-Class")))
	if !ok {
		return admission{}, view.notFound(refuse.ReasonUnknownClass)
	}
	c.SetUserValue(classKey, class.Name)
	if !e.openRequests.acquire(workspace.Name, workspace.MaxOpen, view.Index.Manifest.Limits.MaxOpenRequests) {
		return admission{}, refuse.New(refuse.ReasonTooManyOpen).WithRetryAfter(clock.Second)
	}
	ctx, cancel := context.WithCancel(context.Background())
	go cancelOnDisconnect(ctx, c.Conn(), cancel)
	return admission{
		ctx:       ctx,
		view:      view,
		key:       key,
		workspace: workspace,
		class:     class,
		arrived:   arrived,
		release: func() {
			cancel()
			e.openRequests.release(workspace.Name)
		},
	}, nil
}

// notFound returns the refusal for a name that is not in the view. While the outcome
// of a manifest change is unknown, the name may exist in one of the two generations,
// so the reason is Uncertain.
func (v View) notFound(reason refuse.Reason) *refuse.Refusal {
	if v.Uncertain {
		return refuse.New(refuse.ReasonManifestUncertain).WithRetryAfter(clock.Second)
	}
	return refuse.New(reason)
}

// checkSize checks a request against the size limits of the manifest. The HTTP
// server has already enforced those of the settings.
func checkSize(c *fasthttp.RequestCtx, l mfest.Limits) *refuse.Refusal {
	switch {
	case l.MaxHeaderBytes > 0 && len(c.Request.Header.RawHeaders()) > l.MaxHeaderBytes:
		return refuse.New(refuse.ReasonHeaderTooLarge)
	case l.MaxBodyBytes > 0 && len(c.PostBody()) > l.MaxBodyBytes:
		return refuse.New(refuse.ReasonBodyTooLarge)
	}
	return nil
}

// allowed returns a refusal if an admitted request may no longer be sent: the host
// must know its manifest, and if the view has changed since admission, the new one
// must contain the workspace, the class and the service.
func (e *Entry) allowed(adm admission, service string) *refuse.Refusal {
	now := e.View()
	if now.Index == nil {
		return refuse.New(refuse.ReasonNotReady).WithRetryAfter(clock.Second)
	}
	if now == adm.view {
		return nil
	}
	workspace, ok := now.Index.WorkspaceByKey(adm.key)
	if !ok || workspace.Name != adm.workspace.Name {
		return now.notFound(refuse.ReasonWrongKey)
	}
	if _, ok := now.Index.ClassFor(workspace, adm.class.Name); !ok {
		return now.notFound(refuse.ReasonUnknownClass)
	}
	if _, ok := now.Index.Service(service); !ok {
		return now.notFound(refuse.ReasonUnknownService)
	}
	return nil
}

const bearer = "Bearer"

// authenticate returns the key of a request and the workspace that it belongs to.
func authenticate(c *fasthttp.RequestCtx, view View) (string, mfest.Workspace, *refuse.Refusal) {
	header := string(c.Request.Header.Peek("Authorization"))
	scheme, key, _ := strings.Cut(header, " ")
	if !strings.EqualFold(scheme, bearer) || key == "" {
		return "", mfest.Workspace{}, refuse.New(refuse.ReasonNoKey)
	}
	workspace, ok := view.Index.WorkspaceByKey(key)
	if !ok {
		return "", mfest.Workspace{}, view.notFound(refuse.ReasonWrongKey)
	}
	return key, workspace, nil
}

// countServed counts a completed request of a class.
func (e *Entry) countServed(class string) {
	e.Count.Add("siskinsaddle_served_total", 1, count.Label{Key: "class", Value: class})
}
