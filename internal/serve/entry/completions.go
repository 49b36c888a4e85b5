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

// completion serves a chat or text completion, as a stream or a single response.
func (e *Entry) completion(c *fasthttp.RequestCtx) *refuse.Refusal {
	adm, refusal := e.admit(c)
	if refusal != nil {
		return refusal
	}
	job, cr, refusal := e.job(c, adm)
	if refusal != nil {
		adm.release()
		return refusal
	}
	s := e.Relay.Start(adm.ctx, job)
	first := s.Next()
	if done, refusal := e.writeFailure(c, first); done {
		s.Close()
		adm.release()
		return refusal
	}
	if cr.Stream {
		e.writeStream(c, adm, cr, s, first)
		return nil
	}
	defer adm.release()
	defer s.Close()
	return e.writeWhole(c, adm, s, first)
}

// writeFailure handles a completion that failed before its first event. It returns
// whether it handled the first step.
func (e *Entry) writeFailure(c *fasthttp.RequestCtx, first relay.Step) (bool, *refuse.Refusal) {
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

// job builds the relay job of a completion request.
func (e *Entry) job(
	c *fasthttp.RequestCtx, adm admission,
) (relay.Job, completionRequest, *refuse.Refusal) {
	path := string(c.Path())
	cr, refusal := parseCompletion(c.PostBody(), path == chatPath)
	if refusal != nil {
		return relay.Job{}, cr, refusal
	}
	service, ok := adm.view.Index.ServiceByModel(cr.Model)
	if !ok {
		return relay.Job{}, cr, adm.view.notFound(refuse.ReasonUnknownModel)
	}
	body, err := upstreamBody(c.PostBody())
	if err != nil {
		return relay.Job{}, cr, refuse.New(refuse.ReasonBadJSON)
	}
	request := e.request(adm, service)
	request.Model = cr.Model
	request.PromptTokens = cr.promptTokens()
	request.MaxTokens = cr.outputLimit()
	request.Prefix = cr.prefixHash(adm.workspace.Name)
	return relay.Job{
		Request: request,
		Tier:    adm.class.Tier,
		Path:    path,
		Body:    body,
		Allowed: func() *refuse.Refusal { return e.allowed(adm, service.Name) },
	}, cr, nil
}

// request builds the scheduler's view of an admitted request.
func (e *Entry) request(adm admission, service mfest.Service) sched.Request {
	return sched.Request{
		ID:        newID(),
		Service:   service.Name,
		Class:     adm.class.Name,
		Workspace: adm.workspace.Name,
		Arrived:   adm.arrived,
		Deadline:  adm.arrived + adm.class.FirstTokenMilliseconds,
		GiveUp:    adm.arrived + adm.class.MaxWaitMilliseconds,
	}
}

const idBytes = 12

func newID() string {
	var b [idBytes]byte
	_, _ = rand.Read(b[:]) // documented never to return an error
	return hex.EncodeToString(b[:])
}

// writeStream responds with an event stream. It returns immediately; the HTTP
// server then calls the writer, which runs until the stream ends.
func (e *Entry) writeStream(
	c *fasthttp.RequestCtx, adm admission, cr completionRequest, s *relay.Stream, step relay.Step,
) {
	c.SetContentType("text/event-stream")
	c.Response.Header.Set("Cache-Control", "no-cache")
	stream(c, func(w *bufio.Writer) {
		defer adm.release()
		defer s.Close()
		for ; !step.End; step = s.Next() {
			if step.Refusal != nil {
				e.abortStream(w, step.Refusal, adm.class.Name)
				return
			}
			if isUsageOnly(step.Event) && !cr.StreamOptions.IncludeUsage {
				continue
			}
			if events.Write(w, step.Event.Raw) != nil || w.Flush() != nil {
				e.countRefusal(refuse.New(refuse.ReasonCallerGone), adm.class.Name)
				return
			}
		}
		e.countServed(adm.class.Name)
		if events.WriteDone(w) == nil {
			_ = w.Flush() // on an error the caller disconnected after its last token
		}
	})
}

// isUsageOnly reports whether an event is the final one that only carries token
// counts.
func isUsageOnly(e events.Event) bool {
	return e.Usage != nil && e.Text == "" && e.Finish == "" && e.Tokens == 0
}

// abortStream ends a stream that cannot be completed with an error event and
// without [DONE], so that no client mistakes the partial response for a complete
// one.
func (e *Entry) abortStream(w *bufio.Writer, r *refuse.Refusal, class string) {
	e.countRefusal(r, class)
	if events.Write(w, r.Body()) == nil {
		_ = w.Flush() // the connection is closed next, with or without an error
	}
}

// writeWhole merges all events and responds with a single body.
func (e *Entry) writeWhole(c *fasthttp.RequestCtx, adm admission, s *relay.Stream, step relay.Step) *refuse.Refusal {
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
	e.countServed(adm.class.Name)
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
		for _, name := range s.ModelNames() {
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
