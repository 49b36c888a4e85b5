package engine

import (
	"encoding/json"
	"strconv"
	"strings"

	"github.com/valyala/fasthttp"

	"siskinsaddle/internal/fakes/front"
)

type route struct {
	method string
	path   string
	handle func(e *Engine, ctx *fasthttp.RequestCtx)
}

var routes = []route{
	{"POST", "/v1/chat/completions", (*Engine).postCompletion},
	{"POST", "/v1/completions", (*Engine).postCompletion},
	{"GET", "/v1/models", (*Engine).listModels},
	{"GET", "/load", (*Engine).getLoad},
	{"GET", "/cache/events", (*Engine).getCacheEvents},
	{"GET", "/state", (*Engine).getState},
	{"GET", "/counts", (*Engine).getCounts},
	{"POST", "/orders", (*Engine).postOrder},
	{"GET", "/faults", (*Engine).getFaults},
	{"POST", "/faults", (*Engine).postFaults},
}

const requestsPath = "/v1/requests/"

func (e *Engine) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	front.Spoil(ctx, e.Faults().BreakAnswers)
	if id, ok := strings.CutPrefix(path, requestsPath); ok && ctx.IsDelete() {
		e.deleteRequest(ctx, id)
		return
	}
	for _, r := range routes {
		if r.path == path && r.method == string(ctx.Method()) {
			r.handle(e, ctx)
			return
		}
	}
	replyError(ctx, fasthttp.StatusNotFound, "not_found", "no such path")
}

// reply writes a JSON response with status 200.
func reply(ctx *fasthttp.RequestCtx, body any) {
	text, err := json.Marshal(body)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	front.WriteJSON(ctx, fasthttp.StatusOK, text)
}

type errorResponse struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
}

// replyError replies with an error in the format of the OpenAI API.
func replyError(ctx *fasthttp.RequestCtx, status int, code, message string) {
	reply(ctx, errorResponse{Error: errorDetail{Message: message, Type: "invalid_request_error", Code: code}})
	ctx.SetStatusCode(status)
}

func (e *Engine) deleteRequest(ctx *fasthttp.RequestCtx, id string) {
	if !e.cancel(id) {
		replyError(ctx, fasthttp.StatusNotFound, "unknown_request", "no such request")
		return
	}
	ctx.SetStatusCode(fasthttp.StatusNoContent)
}

type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

func (e *Engine) listModels(ctx *fasthttp.RequestCtx) {
	list := modelList{Object: "list", Data: []modelItem{}}
	for _, m := range e.State().Models {
		list.Data = append(list.Data, modelItem{ID: m.Name, Object: "model", OwnedBy: e.Name})
	}
	reply(ctx, list)
}

func (e *Engine) getLoad(ctx *fasthttp.RequestCtx) {
	e.mu.Lock()
	load := e.batch.Load(e.Clock.Now())
	e.mu.Unlock()
	reply(ctx, load)
}

func (e *Engine) getState(ctx *fasthttp.RequestCtx) { reply(ctx, e.State()) }

func (e *Engine) getCounts(ctx *fasthttp.RequestCtx) { reply(ctx, e.Counts()) }

func (e *Engine) getFaults(ctx *fasthttp.RequestCtx) { reply(ctx, e.Faults()) }

func (e *Engine) postFaults(ctx *fasthttp.RequestCtx) {
	if err := e.PatchFaults(ctx.PostBody()); err != nil {
		replyError(ctx, fasthttp.StatusBadRequest, "bad_json", err.Error())
		return
	}
	reply(ctx, e.Faults())
}

// intOrZero parses a header or query value. It returns 0 if the value is missing or
// not an integer.
func intOrZero(text []byte) int {
	n, err := strconv.Atoi(string(text))
	if err != nil {
		return 0
	}
	return n
}
