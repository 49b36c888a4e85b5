package events_test

import (
	"encoding/json"
	"io"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	openai "github.com/sashabaranov/go-openai"

	"siskinsaddle/internal/serve/events"
)

// merge reads a stream to its end and returns the merged completion, its JSON and
// the number of tokens.
func merge(c *qt.C, chat bool, lines ...string) (openai.ChatCompletionResponse, string, int) {
	r := events.NewReader(strings.NewReader("data: " + strings.Join(lines, "\n\ndata:") + "\n\n: comment\n\ndata: [DONE]\n\n"))
	m := events.NewMerge(chat)
	tokens := 0
	for {
		e, err := r.Next()
		if err == io.EOF {
			break
		}
		c.Assert(err, qt.IsNil)
		c.Assert(m.Add(e), qt.IsNil)
		tokens += e.Tokens
	}
	text, err := json.Marshal(m.Answer())
	c.Assert(err, qt.IsNil)
	var answer openai.ChatCompletionResponse
	c.Assert(json.Unmarshal(text, &answer), qt.IsNil)
	return answer, string(text), tokens
}

// The fragments of two tool calls arrive interleaved and are merged by index.
func TestMergeInterleavedToolCalls(t *testing.T) {
	c := qt.New(t)
	answer, text, tokens := merge(c, true,
		`{"id":"c1","model":"m","choices":[{"delta":{"role":"assistant","content":null}}]}`,
		`{"id":"c1","model":"m","choices":[{"delta":{"tool_calls":[{"index":0,"id":"t0","type":"function","function":{"name":"book","arguments":""}}]}}]}`,
		`{"id":"c1","model":"m","choices":[{"delta":{"tool_calls":[{"index":1,"id":"t1","type":"function","function":{"name":"order","arguments":"{"}}]}}]}`,
		`{"id":"c1","model":"m","choices":[{"delta":{"tool_calls":[{"index":0,"function":{"arguments":"{}"}},{"index":1,"function":{"arguments":"}"}}]}}]}`,
		`{"id":"c1","model":"m","choices":[{"delta":{},"finish_reason":"tool_calls"}]}`,
		`{"id":"c1","model":"m","choices":[],"usage":{"prompt_tokens":1,"completion_tokens":3,"total_tokens":4}}`,
	)
	c.Assert(tokens, qt.Equals, 3)
	c.Assert(text, qt.Contains, `"content":null`)
	choice := answer.Choices[0]
	c.Assert(choice.FinishReason, qt.Equals, openai.FinishReasonToolCalls)
	c.Assert(choice.Message.ToolCalls, qt.DeepEquals, []openai.ToolCall{
		{ID: "t0", Type: "function", Function: openai.FunctionCall{Name: "book", Arguments: "{}"}},
		{ID: "t1", Type: "function", Function: openai.FunctionCall{Name: "order", Arguments: "{}"}},
	})
	c.Assert(answer.Usage.TotalTokens, qt.Equals, 4)
}

// The merged completion also has the reasoning, the log probabilities, the system
// fingerprint and the creation time.
func TestMergeKeepsOptionalFields(t *testing.T) {
	c := qt.New(t)
	answer, _, tokens := merge(c, true,
		`{"id":"c1","created":5,"system_fingerprint":"f","choices":[{"delta":{"reasoning_content":"hm"}}]}`,
		`{"id":"c1","created":5,"system_fingerprint":"f","choices":[{"delta":{"content":"a"},"logprobs":{"content":[{"token":"a","logprob":-1}]}}]}`,
		`{"id":"c1","created":5,"system_fingerprint":"f","choices":[{"delta":{"content":"b"},"logprobs":{"content":[{"token":"b","logprob":-2}]},"finish_reason":"stop"}]}`,
	)
	c.Assert(tokens, qt.Equals, 3)
	c.Assert(answer.ID, qt.Equals, "c1")
	c.Assert(answer.Created, qt.Equals, int64(5))
	c.Assert(answer.SystemFingerprint, qt.Equals, "f")
	choice := answer.Choices[0]
	c.Assert(choice.Message.Content, qt.Equals, "ab")
	c.Assert(choice.Message.ReasoningContent, qt.Equals, "hm")
	c.Assert(choice.LogProbs.Content, qt.HasLen, 2)

	_, text, _ := merge(c, false, `{"choices":[{"text":"a","logprobs":{"tokens":["a"],"text_offset":[0]},"finish_reason":"length"}]}`)
	c.Assert(text, qt.Contains, `"logprobs":{"text_offset":[0],"tokens":["a"]},"finish_reason":"length"`)
}

// A stream that ends without [DONE] returns ErrBroken, even after a finish reason.
func TestStreamWithoutDoneIsBroken(t *testing.T) {
	c := qt.New(t)
	for _, text := range []string{"", "data: {\"choices\":[{\"text\":\"a\",\"finish_reason\":\"stop\"}]}\n\n"} {
		r := events.NewReader(strings.NewReader(text))
		_, err := r.Next()
		for err == nil {
			_, err = r.Next()
		}
		c.Assert(err, qt.ErrorIs, events.ErrBroken)
	}
	_, err := events.NewReader(strings.NewReader("data: {\n\n")).Next()
	c.Assert(err, qt.ErrorMatches, "decode a completion event: .*")
}
