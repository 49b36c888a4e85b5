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

// safeMethods may run more than once by their meaning, unless the manifest
// declares otherwise.
var safeMethods = map[string]bool{
	"GET":     true,
	"HEAD":    true,
	"OPTIONS": true,
}

// service passes a call to a plain service. "/services/yard-app/bookings?day=1"
// is the call "/bookings?day=1" of the service yard-app.
func (e *Entry) service(c *fasthttp.RequestCtx) *refuse.Refusal {
	v, refusal := e.admit(c)
	if refusal != nil {
		return refusal
	}
	defer v.leave()
	call, refusal := e.call(c, v)
	if refusal != nil {
		return refusal
	}
	answer, refusal := e.Calls.Do(v.ctx, call)
	if refusal != nil {
		return refusal
	}
	e.countServed(v.class.Name)
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

// call makes the call out of a request.
func (e *Entry) call(c *fasthttp.RequestCtx, v visit) (calls.Call, *refuse.Refusal) {
	name, path := splitService(string(c.URI().PathOriginal()), string(c.URI().QueryString()))
	service, ok := v.view.Index.Service(name)
	if !ok || service.Kind != mfest.KindPlain {
		return calls.Call{}, v.view.missing(refuse.ReasonUnknownService)
	}
	key, refusal := idempotencyKey(c)
	if refusal != nil {
		return calls.Call{}, refusal
	}
	method := string(c.Method())
	request := e.request(v, service)
	request.PredictedTokens = 1
	return calls.Call{
		Request:    request,
		Method:     method,
		Path:       path,
		Headers:    callerHeaders(c),
		Body:       append([]byte(nil), c.PostBody()...),
		Key:        key,
		Repeatable: safeMethods[method] && !v.view.Index.NotRepeatable(name, method, path),
		Allowed:    func() *refuse.Refusal { return e.allowed(v, name) },
	}, nil
}

// idempotencyKey reads the caller's key, empty for none. A header that is there
// but names no single key is refused: its sender counts on the call running
// once.
func idempotencyKey(c *fasthttp.RequestCtx) (string, *refuse.Refusal) {
	given := c.Request.Header.PeekAll(calls.HeaderIdempotencyKey)
	if len(given) == 0 {
		return "", nil
	}
	key := string(given[0])
	if len(given) > 1 || key == "" || len(key) > maxKeyBytes {
		return "", refuse.New(refuse.ReasonBadRequest).WithText("one Idempotency-Key of 1 to %d bytes is wanted", maxKeyBytes)
	}
	return key, nil
}

// splitService takes a path apart. The rest keeps its escapes and its query,
// as the service is to see them.
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
