package websvc

import (
	"encoding/json"
	"io"
	"strconv"

	"github.com/valyala/fasthttp"

	"siskinsaddle/internal/fakes/front"
)

// The headers that the service reads and writes.
const (
	HeaderKey     = "Idempotency-Key"
	HeaderFencing = "X-Fencing-Number"
	HeaderRequest = "X-Request-Id"
	HeaderLeaving = "X-Leaving"
)

type route struct {
	method string
	path   string
	handle func(s *Service, ctx *fasthttp.RequestCtx)
}

var routes = []route{
	{"POST", "/bookings", (*Service).book},
	{"GET", "/bookings/lookup", (*Service).lookUp},
	{"GET", "/counts", (*Service).getCounts},
	{"GET", "/faults", (*Service).getFaults},
	{"POST", "/faults", (*Service).postFaults},
}

func (s *Service) handle(ctx *fasthttp.RequestCtx) {
	front.Spoil(ctx, s.Faults().BreakAnswers)
	if id := ctx.Request.Header.Peek(HeaderRequest); len(id) > 0 {
		ctx.Response.Header.SetBytesV(HeaderRequest, id)
	}
	for _, r := range routes {
		if r.path == string(ctx.Path()) && r.method == string(ctx.Method()) {
			r.handle(s, ctx)
			return
		}
	}
	s.serveCall(ctx, s.echo)
}

// Refusal is the JSON body of a refused call.
type Refusal struct {
	Reason string
}

// Echo is the JSON response to a request for an unknown path.
type Echo struct {
	Server string
	Method string
	Path   string
	Body   string
}

func reply(ctx *fasthttp.RequestCtx, status int, body any) {
	text, err := json.Marshal(body)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	front.WriteJSON(ctx, status, text)
}

// serveCall runs handler with the faults in force: it refuses, delays or drops the
// call at the configured points.
func (s *Service) serveCall(ctx *fasthttp.RequestCtx, handler func(ctx *fasthttp.RequestCtx)) {
	f := s.Faults()
	if f.Leaving {
		ctx.Response.Header.Set(HeaderLeaving, "true")
		reply(ctx, fasthttp.StatusServiceUnavailable, Refusal{Reason: "Leaving"})
		return
	}
	at := s.consumeDrop()
	if at == DropBeforeRequest || at == DropDuringRequest {
		dropRequest(ctx, at)
		return
	}
	if f.SlowMilliseconds > 0 {
		<-s.Clock.After(f.SlowMilliseconds)
	}
	handler(ctx)
	if f.SlowAnswerMilliseconds > 0 {
		<-s.Clock.After(f.SlowAnswerMilliseconds)
	}
	dropResponse(ctx, at)
}

// dropResponse drops the connection at a point after the call has run.
func dropResponse(ctx *fasthttp.RequestCtx, at DropPoint) {
	switch at {
	case DropAfterRequest:
		front.ConnOf(ctx).Reset()
	case DropDuringResponse:
		dropDuringResponse(ctx)
	case DropAfterResponse:
		ctx.SetConnectionClose()
	default:
	}
}

// dropDuringResponse sends the headers with the full content length and half of
// the body, then closes the connection.
func dropDuringResponse(ctx *fasthttp.RequestCtx) {
	body := ctx.Response.Body()
	ctx.Response.Header.SetContentLength(len(body))
	c := front.ConnOf(ctx)
	_, _ = c.Write(ctx.Response.Header.Header())
	_, _ = c.Write(body[:len(body)/2])
	_ = c.Close()
}

// dropRequest resets the connection, after half of the request's body is read for
// DropDuringRequest.
func dropRequest(ctx *fasthttp.RequestCtx, at DropPoint) {
	if at == DropDuringRequest {
		half := int64(ctx.Request.Header.ContentLength() / 2)
		_, _ = io.CopyN(io.Discard, ctx.RequestBodyStream(), half)
	}
	front.ConnOf(ctx).Reset()
}

// fencingNumber returns the request's fencing number, or 0 if it is missing or
// malformed.
func fencingNumber(ctx *fasthttp.RequestCtx) uint64 {
	n, err := strconv.ParseUint(string(ctx.Request.Header.Peek(HeaderFencing)), 10, 64)
	if err != nil {
		return 0
	}
	return n
}

func (s *Service) book(ctx *fasthttp.RequestCtx) {
	s.serveCall(ctx, func(ctx *fasthttp.RequestCtx) {
		key := string(ctx.Request.Header.Peek(HeaderKey))
		o, ok := s.Book.run(key, s.Name, fencingNumber(ctx), s.Faults().ChecksFencing)
		if !ok {
			reply(ctx, fasthttp.StatusConflict, Refusal{Reason: "StaleFence"})
			return
		}
		reply(ctx, fasthttp.StatusOK, o)
	})
}

func (s *Service) lookUp(ctx *fasthttp.RequestCtx) {
	s.serveCall(ctx, func(ctx *fasthttp.RequestCtx) {
		key := string(ctx.QueryArgs().Peek("key"))
		reply(ctx, fasthttp.StatusOK, s.Book.lookUp(key, fencingNumber(ctx)))
	})
}

func (s *Service) echo(ctx *fasthttp.RequestCtx) {
	e := Echo{
		Server: s.Name,
		Method: string(ctx.Method()),
		Path:   string(ctx.RequestURI()),
		Body:   string(ctx.PostBody()),
	}
	reply(ctx, fasthttp.StatusOK, e)
}

func (s *Service) getCounts(ctx *fasthttp.RequestCtx) {
	reply(ctx, fasthttp.StatusOK, s.Runs())
}

func (s *Service) getFaults(ctx *fasthttp.RequestCtx) {
	reply(ctx, fasthttp.StatusOK, s.Faults())
}

func (s *Service) postFaults(ctx *fasthttp.RequestCtx) {
	if err := s.PatchFaults(ctx.PostBody()); err != nil {
		reply(ctx, fasthttp.StatusBadRequest, Refusal{Reason: err.Error()})
		return
	}
	reply(ctx, fasthttp.StatusOK, s.Faults())
}
