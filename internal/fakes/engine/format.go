package engine

import (
	"strings"

	"siskinsaddle/internal/plat/table"
)

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

type choice struct {
	Index        int      `json:"index"`
	Message      *message `json:"message,omitempty"`
	Delta        *delta   `json:"delta,omitempty"`
	Text         string   `json:"text,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

type delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

// completionBody is a response, or one event of a stream.
type completionBody struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

// format builds the response bodies of one request, as a chat completion or a text
// completion.
type format struct {
	id    string
	model string
	chat  bool
}

func formatFor(path, id, model string) format {
	return format{id: id, model: model, chat: strings.HasSuffix(path, "/chat/completions")}
}

func (f format) body(object string, c choice, u *usage) completionBody {
	return completionBody{ID: f.id, Object: object, Model: f.model, Choices: []choice{c}, Usage: u}
}

// object returns the value of the body's object field for this kind of completion.
func (f format) object(chat, text string) string {
	if f.chat {
		return chat
	}
	return text
}

// tokenEvent is the stream event of one token.
func (f format) tokenEvent(token string) completionBody {
	object := f.object("chat.completion.chunk", "text_completion")
	if f.chat {
		return f.body(object, choice{Delta: &delta{Content: token}}, nil)
	}
	return f.body(object, choice{Text: token}, nil)
}

// finalEvent is the event after the last token, with the finish reason and the usage.
func (f format) finalEvent(finishReason string, u usage) completionBody {
	c := choice{FinishReason: &finishReason}
	if f.chat {
		c.Delta = &delta{}
	}
	return f.body(f.object("chat.completion.chunk", "text_completion"), c, &u)
}

// wholeAnswer is the response without streaming.
func (f format) wholeAnswer(text, finishReason string, u usage) completionBody {
	c := choice{FinishReason: &finishReason, Text: text}
	if f.chat {
		c.Text = ""
		c.Message = &message{Role: "assistant", Content: text}
	}
	return f.body(f.object("chat.completion", "text_completion"), c, &u)
}

func (e *Engine) newID() string { return "own-" + table.NewToken() }
