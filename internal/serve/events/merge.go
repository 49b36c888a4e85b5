package events

import (
	"encoding/json"
	"strings"
)

// Merge collects the events of one completion into one answer.
type Merge struct {
	chat    bool
	id      string
	model   string
	created int64
	text    strings.Builder
	tools   []toolCall
	finish  string
	usage   *Usage
}

// NewMerge returns an empty Merge, for a chat or a text completion.
func NewMerge(chat bool) *Merge {
	return &Merge{chat: chat}
}

type mergeChunk struct {
	ID      string        `json:"id"`
	Created int64         `json:"created"`
	Model   string        `json:"model"`
	Choices []mergeChoice `json:"choices"`
}

type mergeChoice struct {
	Delta mergeDelta `json:"delta"`
}

type mergeDelta struct {
	ToolCalls []toolDelta `json:"tool_calls"`
}

type toolDelta struct {
	Index    int          `json:"index"`
	ID       string       `json:"id"`
	Function toolFunction `json:"function"`
}

type toolFunction struct {
	Name      string `json:"name"`
	Arguments string `json:"arguments"`
}

type toolCall struct {
	ID       string       `json:"id"`
	Type     string       `json:"type"`
	Function toolFunction `json:"function"`
}

// Add takes the next event.
func (m *Merge) Add(e Event) error {
	var chunk mergeChunk
	if err := json.Unmarshal(e.Raw, &chunk); err != nil {
		return err
	}
	m.id, m.model, m.created = chunk.ID, chunk.Model, chunk.Created
	m.text.WriteString(e.Text)
	if e.Finish != "" {
		m.finish = e.Finish
	}
	if e.Usage != nil {
		m.usage = e.Usage
	}
	for _, choice := range chunk.Choices {
		for _, t := range choice.Delta.ToolCalls {
			m.addTool(t)
		}
	}
	return nil
}

const maxToolCalls = 128

// addTool appends a part of a tool call: the first part of an index names the
// function, all parts carry a piece of its arguments.
func (m *Merge) addTool(t toolDelta) {
	if t.Index < 0 || t.Index >= maxToolCalls {
		return
	}
	for len(m.tools) <= t.Index {
		m.tools = append(m.tools, toolCall{Type: "function"})
	}
	call := &m.tools[t.Index]
	if t.ID != "" {
		call.ID = t.ID
	}
	call.Function.Name += t.Function.Name
	call.Function.Arguments += t.Function.Arguments
}

// Answer is a whole completion as OpenAI clients expect it.
type Answer struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

// Choice is the one choice of an Answer.
type Choice struct {
	Index   int      `json:"index"`
	Text    *string  `json:"text,omitempty"`
	Message *Message `json:"message,omitempty"`
	Finish  string   `json:"finish_reason"`
}

// Message is the message of a chat completion.
type Message struct {
	Role      string     `json:"role"`
	Content   string     `json:"content"`
	ToolCalls []toolCall `json:"tool_calls,omitempty"`
}

// Answer returns what was collected.
func (m *Merge) Answer() Answer {
	text := m.text.String()
	choice := Choice{Finish: m.finish}
	object := "text_completion"
	if m.chat {
		object = "chat.completion"
		choice.Message = &Message{Role: "assistant", Content: text, ToolCalls: m.tools}
	} else {
		choice.Text = &text
	}
	return Answer{
		ID:      m.id,
		Object:  object,
		Created: m.created,
		Model:   m.model,
		Choices: []Choice{choice},
		Usage:   m.usage,
	}
}
