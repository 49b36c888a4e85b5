package entry

import (
	"strings"

	"github.com/valyala/fasthttp"

	"siskinsaddle/internal/serve/calls"
	"siskinsaddle/internal/serve/refuse"
	"siskinsaddle/internal/serve/wire"
	"siskinsaddle/internal/share/mfest"
)

const servicesPath = "/services/"

// maxKeyBytes bounds an Idempotency-Key.
const maxKeyBytes = 255

// safeMethods holds the HTTP methods without side effects. Calls with them may run
// more than once unless the manifest declares otherwise.
var safeMethods = map[string]bool{
	"GET":     true,
	"HEAD":    true,
	"OPTIONS": true,
}

// service proxies a call to a plain service. "/services/yard-app/bookings?day=1"
// is sent to the service yard-app as "/bookings?day=1".
func (e *Entry) service(c *fasthttp.RequestCtx) *refuse.Refusal {
	adm, refusal := e.admit(c)
	if refusal != nil {
		return refusal
	}
	defer adm.release()
	call, refusal := e.call(c, adm)
	if refusal != nil {
		return refusal
	}
	answer, refusal := e.Calls.Do(adm.ctx, call)
	if refusal != nil {
		return refusal
	}
	e.countServed(adm.class.Name)
	c.SetStatusCode(answer.Status)
	for _, h := range answer.Headers {
		c.Response.Header.Add(h.Name, h.Value)
	}
	if answer.Replayed {
		c.Response.Header.Set("Idempotent-Replayed", "true")
	}
	c.SetBody(answer.Body)
	return nil
}

// call builds the call of a request.
func (e *Entry) call(c *fasthttp.RequestCtx, adm admission) (calls.Call, *refuse.Refusal) {
	name, path := splitService(string(c.URI().PathOriginal()), string(c.URI().QueryString()))
	service, ok := adm.view.Index.Service(name)
	if !ok || service.Kind != mfest.KindPlain {
		return calls.Call{}, adm.view.notFound(refuse.ReasonUnknownService)
	}
	key, refusal := idempotencyKey(c)
	if refusal != nil {
		return calls.Call{}, refusal
	}
	method := string(c.Method())
	request := e.request(adm, service)
	request.PredictedTokens = 1
	return calls.Call{
		Request:    request,
		Method:     method,
		Path:       path,
		Headers:    callerHeaders(c),
		Body:       append([]byte(nil), c.PostBody()...),
		Key:        key,
		Repeatable: safeMethods[method] && !adm.view.Index.NotRepeatable(name, method, path),
		Allowed:    func() *refuse.Refusal { return e.allowed(adm, name) },
	}, nil
}

// idempotencyKey returns the caller's Idempotency-Key, empty for none. A header that
// is present without exactly one valid key is refused, because its sender relies on
// the call running at most once.
func idempotencyKey(c *fasthttp.RequestCtx) (string, *refuse.Refusal) {
	keys := c.Request.Header.PeekAll(calls.HeaderIdempotencyKey)
	if len(keys) == 0 {
		return "", nil
	}
	key := string(keys[0])
	if len(keys) > 1 || key == "" || len(key) > maxKeyBytes {
		return "", refuse.New(refuse.ReasonBadRequest).WithText("one Idempotency-Key of 1 to %d bytes is wanted", maxKeyBytes)
	}
	return key, nil
}

// splitService splits a path into the service name and the path at the service. The
// latter keeps its percent-encoding and its query.
func splitService(original, query string) (service, path string) {
	service, rest, _ := strings.Cut(strings.TrimPrefix(original, servicesPath), "/")
	path = "/" + rest
	if query != "" {
		path += "?" + query
	}
	return service, path
}

func callerHeaders(c *fasthttp.RequestCtx) []wire.Header {
	var headers []wire.Header
	for name, value := range c.Request.Header.All() {
		if calls.Forwarded(string(name)) {
			headers = append(headers, wire.Header{Name: string(name), Value: string(value)})
		}
	}
	return headers
}
