package entry

import (
	"encoding/json"
	"hash/fnv"

	"siskinsaddle/internal/serve/refuse"
)

const (
	// bytesPerToken turns the length of a prompt's JSON into tokens.
	bytesPerToken = 4
	// prefixBytes is how much of a prompt names its prefix.
	prefixBytes = 1024
)

// asked is what the router reads of a completion request. All other fields go
// to the backend server as they are.
type asked struct {
	Model               string          `json:"model"`
	Stream              bool            `json:"stream"`
	MaxTokens           int             `json:"max_tokens"`
	MaxCompletionTokens int             `json:"max_completion_tokens"`
	N                   *int            `json:"n"`
	Messages            json.RawMessage `json:"messages"`
	Prompt              json.RawMessage `json:"prompt"`
	StreamOptions       streamOptions   `json:"stream_options"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// parseAsked reads the body of a completion request.
func parseAsked(body []byte, chat bool) (asked, *refuse.Refusal) {
	var a asked
	if err := json.Unmarshal(body, &a); err != nil {
		return a, refuse.New(refuse.ReasonBadJSON).WithText("the body is not valid: %v", err)
	}
	if a.Model == "" {
		return a, refuse.New(refuse.ReasonBadRequest).WithText("field \"model\" is missing")
	}
	if a.N != nil && *a.N != 1 {
		return a, refuse.New(refuse.ReasonBadRequest).WithText("field \"n\" is %d; only 1 is served", *a.N)
	}
	if chat && empty(a.Messages) {
		return a, refuse.New(refuse.ReasonBadRequest).WithText("field \"messages\" is missing")
	}
	if !chat && empty(a.Prompt) {
		return a, refuse.New(refuse.ReasonBadRequest).WithText("field \"prompt\" is missing")
	}
	if !chat && severalPrompts(a.Prompt) {
		return a, refuse.New(refuse.ReasonBadRequest).WithText("field \"prompt\" holds several prompts; only 1 is served")
	}
	return a, nil
}

func empty(field json.RawMessage) bool {
	return len(field) == 0 || string(field) == "null"
}

// severalPrompts tells a list of prompts from one prompt, which is a text or a
// list of token numbers.
func severalPrompts(prompt json.RawMessage) bool {
	var list []json.RawMessage
	if json.Unmarshal(prompt, &list) != nil || len(list) < 2 {
		return false
	}
	return list[0][0] == '"' || list[0][0] == '['
}

// limit is the longest answer that the caller asks for, 0 for no limit.
func (a asked) limit() int {
	return max(a.MaxTokens, a.MaxCompletionTokens)
}

// text is the prompt as JSON.
func (a asked) text() []byte {
	if len(a.Messages) > 0 {
		return a.Messages
	}
	return a.Prompt
}

func (a asked) promptTokens() int {
	return len(a.text())/bytesPerToken + 1
}

// prefix names the beginning of the prompt. The workspace is part of the name,
// so that no workspace learns from timing what another has asked.
func (a asked) prefix(workspace string) uint64 {
	text := a.text()
	h := fnv.New64a()
	_, _ = h.Write([]byte(workspace))
	_, _ = h.Write(text[:min(len(text), prefixBytes)])
	return h.Sum64()
}

// upstreamBody is the caller's body with streaming and usage switched on: the
// router always reads tokens one by one, whatever the caller wants, so that it
// can time, resume and cancel.
func upstreamBody(body []byte) ([]byte, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, err
	}
	fields["stream"] = json.RawMessage("true")
	fields["stream_options"] = json.RawMessage(`{"include_usage":true}`)
	return json.Marshal(fields)
}
