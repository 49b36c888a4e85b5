package entry

import (
	"bufio"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"

	"github.com/valyala/fasthttp"

	"siskinsaddle/internal/policy/sched"
	"siskinsaddle/internal/serve/events"
	"siskinsaddle/internal/serve/refuse"
	"siskinsaddle/internal/serve/relay"
	"siskinsaddle/internal/share/mfest"
)

const chatPath = "/v1/chat/completions"

// completion serves a chat or text completion, streamed or whole.
func (e *Entry) completion(c *fasthttp.RequestCtx) *refuse.Refusal {
	v, refusal := e.admit(c)
	if refusal != nil {
		return refusal
	}
	job, a, refusal := e.job(c, v)
	if refusal != nil {
		v.leave()
		return refusal
	}
	s := e.Relay.Start(v.ctx, job)
	first := s.Next()
	if done, refusal := e.ended(c, first); done {
		s.Close()
		v.leave()
		return refusal
	}
	if a.Stream {
		e.streamed(c, v, a, s, first)
		return nil
	}
	defer v.leave()
	defer s.Close()
	return e.whole(c, v, s, first)
}

// ended answers a completion that brings no token at all.
func (e *Entry) ended(c *fasthttp.RequestCtx, first relay.Step) (bool, *refuse.Refusal) {
	if first.Refusal != nil {
		return true, first.Refusal
	}
	if first.Final != nil {
		c.SetStatusCode(first.Final.Status)
		c.SetContentType("application/json")
		c.SetBody(first.Final.Body)
		return true, nil
	}
	return false, nil
}

// job makes the relay's job out of a request.
func (e *Entry) job(c *fasthttp.RequestCtx, v visit) (relay.Job, asked, *refuse.Refusal) {
	path := string(c.Path())
	a, refusal := parseAsked(c.PostBody(), path == chatPath)
	if refusal != nil {
		return relay.Job{}, a, refusal
	}
	service, ok := v.view.Index.ServiceByModel(a.Model)
	if !ok {
		return relay.Job{}, a, v.view.missing(refuse.ReasonUnknownModel)
	}
	body, err := upstreamBody(c.PostBody())
	if err != nil {
		return relay.Job{}, a, refuse.New(refuse.ReasonBadJSON)
	}
	request := e.request(v, service)
	request.Model = a.Model
	request.PromptTokens = a.promptTokens()
	request.MaxTokens = a.limit()
	request.Prefix = a.prefix(v.workspace.Name)
	return relay.Job{
		Request: request,
		Tier:    v.class.Tier,
		Path:    path,
		Body:    body,
		Allowed: func() *refuse.Refusal { return e.allowed(v, service.Name) },
	}, a, nil
}

// request is what every request of a visit tells the scheduler.
func (e *Entry) request(v visit, service mfest.Service) sched.Request {
	return sched.Request{
		ID:        newID(),
		Service:   service.Name,
		Class:     v.class.Name,
		Workspace: v.workspace.Name,
		Arrived:   v.arrived,
		Deadline:  v.arrived + v.class.FirstTokenMilliseconds,
		GiveUp:    v.arrived + v.class.MaxWaitMilliseconds,
	}
}

const idBytes = 12

func newID() string {
	var b [idBytes]byte
	_, _ = rand.Read(b[:]) // never fails, by the standard library's promise
	return hex.EncodeToString(b[:])
}

// streamed answers event by event. It returns at once; the HTTP server calls
// the writer until the stream ends.
func (e *Entry) streamed(c *fasthttp.RequestCtx, v visit, a asked, s *relay.Stream, step relay.Step) {
	c.SetContentType("text/event-stream")
	c.Response.Header.Set("Cache-Control", "no-cache")
	stream(c, func(w *bufio.Writer) {
		defer v.leave()
		defer s.Close()
		for ; !step.End; step = s.Next() {
			if step.Refusal != nil {
				e.breakOff(w, step.Refusal, v.class.Name)
				return
			}
			if usageOnly(step.Event) && !a.StreamOptions.IncludeUsage {
				continue
			}
			if events.Write(w, step.Event.Raw) != nil || w.Flush() != nil {
				e.countRefusal(refuse.New(refuse.ReasonCallerGone), v.class.Name)
				return
			}
		}
		e.countServed(v.class.Name)
		if events.WriteDone(w) == nil {
			_ = w.Flush() // the caller has left after its last token
		}
	})
}

// usageOnly tells the closing event that only carries token counts.
func usageOnly(e events.Event) bool {
	return e.Usage != nil && e.Text == "" && e.Finish == "" && e.Tokens == 0
}

// breakOff ends a stream that cannot be completed with an error event and no
// closing mark, so that no client takes the part for the whole.
func (e *Entry) breakOff(w *bufio.Writer, r *refuse.Refusal, class string) {
	e.countRefusal(r, class)
	if events.Write(w, r.Body()) == nil {
		_ = w.Flush() // the connection is closed next, in either case
	}
}

// whole collects all events and answers with one body.
func (e *Entry) whole(c *fasthttp.RequestCtx, v visit, s *relay.Stream, step relay.Step) *refuse.Refusal {
	merged := events.NewMerge(string(c.Path()) == chatPath)
	for ; !step.End; step = s.Next() {
		if step.Refusal != nil {
			return step.Refusal
		}
		if err := merged.Add(step.Event); err != nil {
			return refuse.New(refuse.ReasonBackendFailed).WithText("the answer is not valid: %v", err)
		}
	}
	body, err := json.Marshal(merged.Answer())
	if err != nil {
		return refuse.New(refuse.ReasonBackendFailed).WithText("the answer is not valid: %v", err)
	}
	e.countServed(v.class.Name)
	c.SetContentType("application/json")
	c.SetBody(body)
	return nil
}

type wireModel struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

type wireModels struct {
	Object string      `json:"object"`
	Data   []wireModel `json:"data"`
}

// models lists the models that the manifest offers.
func (e *Entry) models(c *fasthttp.RequestCtx) *refuse.Refusal {
	view := e.View()
	if view.Index == nil {
		return refuse.New(refuse.ReasonNotReady)
	}
	if _, _, refusal := authenticate(c, view); refusal != nil {
		return refusal
	}
	list := wireModels{Object: "list", Data: []wireModel{}}
	for _, s := range view.Index.Manifest.Services {
		for _, name := range s.Offered() {
			list.Data = append(list.Data, wireModel{ID: name, Object: "model", OwnedBy: s.Name})
		}
	}
	body, err := json.Marshal(list)
	if err != nil {
		return refuse.New(refuse.ReasonBadRequest)
	}
	c.SetContentType("application/json")
	c.SetBody(body)
	return nil
}
