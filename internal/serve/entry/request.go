package entry

import (
	"encoding/json"
	"hash/fnv"

	"siskinsaddle/internal/serve/refuse"
)

const (
	// bytesPerToken estimates the number of prompt tokens from the length of the
	// prompt's JSON.
	bytesPerToken = 4
	// prefixHashBytes is the length of the part of a prompt that is hashed.
	prefixHashBytes = 1024
)

// completionRequest holds the fields of a completion request that the router
// reads. All other fields are forwarded unchanged.
type completionRequest struct {
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

// parseCompletion decodes and validates the body of a completion request.
func parseCompletion(body []byte, chat bool) (completionRequest, *refuse.Refusal) {
	var r completionRequest
	if err := json.Unmarshal(body, &r); err != nil {
		return r, refuse.New(refuse.ReasonBadJSON).WithText("the body is not valid: %v", err)
	}
	if r.Model == "" {
		return r, refuse.New(refuse.ReasonBadRequest).WithText("field \"model\" is missing")
	}
	if r.N != nil && *r.N != 1 {
		return r, refuse.New(refuse.ReasonBadRequest).WithText("field \"n\" is %d; only 1 is served", *r.N)
	}
	if chat && isNull(r.Messages) {
		return r, refuse.New(refuse.ReasonBadRequest).WithText("field \"messages\" is missing")
	}
	if !chat && isNull(r.Prompt) {
		return r, refuse.New(refuse.ReasonBadRequest).WithText("field \"prompt\" is missing")
	}
	if !chat && hasSeveralPrompts(r.Prompt) {
		return r, refuse.New(refuse.ReasonBadRequest).WithText("field \"prompt\" holds several prompts; only 1 is served")
	}
	return r, nil
}

func isNull(field json.RawMessage) bool {
	return len(field) == 0 || string(field) == "null"
}

// hasSeveralPrompts reports whether the prompt field is a list of at least two
// prompts. A single prompt is a string or a list of token IDs.
func hasSeveralPrompts(prompt json.RawMessage) bool {
	var list []json.RawMessage
	if json.Unmarshal(prompt, &list) != nil || len(list) < 2 {
		return false
	}
	return list[0][0] == '"' || list[0][0] == '['
}

// outputLimit returns the maximum number of output tokens that the caller allows, 0
// for no limit.
func (r completionRequest) outputLimit() int {
	return max(r.MaxTokens, r.MaxCompletionTokens)
}

// promptJSON returns the chat messages or the prompt as JSON.
func (r completionRequest) promptJSON() []byte {
	if len(r.Messages) > 0 {
		return r.Messages
	}
	return r.Prompt
}

func (r completionRequest) promptTokens() int {
	return len(r.promptJSON())/bytesPerToken + 1
}

// prefixHash returns a hash of the workspace and the start of the prompt, which
// identifies its prefix segment. The workspace is part of the hash, so that no
// workspace can infer the prompts of another from response times.
func (r completionRequest) prefixHash(workspace string) uint64 {
	promptJSON := r.promptJSON()
	h := fnv.New64a()
	_, _ = h.Write([]byte(workspace))
	_, _ = h.Write(promptJSON[:min(len(promptJSON), prefixHashBytes)])
	return h.Sum64()
}

// upstreamBody returns the caller's body with streaming and usage enabled. The
// router always reads a stream of tokens, even for a caller that wants a single
// response, so that it can measure, resume and cancel the request.
func upstreamBody(body []byte) ([]byte, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, err
	}
	fields["stream"] = json.RawMessage("true")
	fields["stream_options"] = json.RawMessage(`{"include_usage":true}`)
	return json.Marshal(fields)
}
