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

type body struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

// form knows how an answer reads: as a chat or as a plain text completion.
type form struct {
	id    string
	model string
	chat  bool
}

func formFor(path, id, model string) form {
	return form{id: id, model: model, chat: strings.HasSuffix(path, "/chat/completions")}
}

func (f form) body(object string, c choice, u *usage) body {
	return body{ID: f.id, Object: object, Model: f.model, Choices: []choice{c}, Usage: u}
}

func (f form) object(chat, text string) string {
	if f.chat {
		return chat
	}
	return text
}

func (f form) token(word string) body {
	object := f.object("chat.completion.chunk", "text_completion")
	if f.chat {
		return f.body(object, choice{Delta: &delta{Content: word}}, nil)
	}
	return f.body(object, choice{Text: word}, nil)
}

func (f form) end(finish string, u usage) body {
	c := choice{FinishReason: &finish}
	if f.chat {
		c.Delta = &delta{}
	}
	return f.body(f.object("chat.completion.chunk", "text_completion"), c, &u)
}

func (f form) whole(text, finish string, u usage) body {
	c := choice{FinishReason: &finish, Text: text}
	if f.chat {
		c.Text = ""
		c.Message = &message{Role: "assistant", Content: text}
	}
	return f.body(f.object("chat.completion", "text_completion"), c, &u)
}

func (e *Engine) newID() string { return "own-" + table.NewToken() }
