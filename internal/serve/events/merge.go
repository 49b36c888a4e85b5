package events

import (
	"encoding/json"
	"strings"
)

// Merge assembles the events of one streamed completion into a single response.
type Merge struct {
	chat        bool
	id          string
	model       string
	created     int64
	fingerprint string
	text        strings.Builder
	reasoning   strings.Builder
	refusal     strings.Builder
	toolCalls   []toolCall
	logProbs    LogProbs
	finish      string
	usage       *Usage
}

// LogProbs maps a field of a logprobs object, such as "content" of a chat
// completion or "token_logprobs" of a text completion, to its list. The entries
// are passed through undecoded.
type LogProbs map[string][]json.RawMessage

// NewMerge returns an empty Merge for a chat completion, or for a text completion
// if chat is false.
func NewMerge(chat bool) *Merge {
	return &Merge{chat: chat}
}

type mergeChunk struct {
	ID          string        `json:"id"`
	Created     int64         `json:"created"`
	Model       string        `json:"model"`
	Fingerprint string        `json:"system_fingerprint"`
	Choices     []mergeChoice `json:"choices"`
}

type mergeChoice struct {
	Delta    mergeDelta `json:"delta"`
	LogProbs LogProbs   `json:"logprobs"`
}

type mergeDelta struct {
	Reasoning string      `json:"reasoning_content"`
	Refusal   string      `json:"refusal"`
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

// Add appends the next event.
func (m *Merge) Add(e Event) error {
	var chunk mergeChunk
	if err := json.Unmarshal(e.Raw, &chunk); err != nil {
		return err
	}
	m.id, m.model, m.created = chunk.ID, chunk.Model, chunk.Created
	m.fingerprint = chunk.Fingerprint
	m.text.WriteString(e.Text)
	if e.Finish != "" {
		m.finish = e.Finish
	}
	if e.Usage != nil {
		m.usage = e.Usage
	}
	for _, choice := range chunk.Choices {
		m.addChoice(choice)
	}
	return nil
}

func (m *Merge) addChoice(c mergeChoice) {
	m.reasoning.WriteString(c.Delta.Reasoning)
	m.refusal.WriteString(c.Delta.Refusal)
	for _, t := range c.Delta.ToolCalls {
		m.addToolCall(t)
	}
	for field, entries := range c.LogProbs {
		if m.logProbs == nil {
			m.logProbs = LogProbs{}
		}
		m.logProbs[field] = append(m.logProbs[field], entries...)
	}
}

const maxToolCalls = 128

// addToolCall appends a fragment of a tool call. The first fragment of an index
// names the function; every fragment carries a piece of the arguments.
func (m *Merge) addToolCall(t toolDelta) {
	if t.Index < 0 || t.Index >= maxToolCalls {
		return
	}
	for len(m.toolCalls) <= t.Index {
		m.toolCalls = append(m.toolCalls, toolCall{Type: "function"})
	}
	call := &m.toolCalls[t.Index]
	if t.ID != "" {
		call.ID = t.ID
	}
	call.Function.Name += t.Function.Name
	call.Function.Arguments += t.Function.Arguments
}

// Answer is a complete, non-streamed completion in the OpenAI format.
type Answer struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
	// Fingerprint identifies the configuration of the backend server.
	Fingerprint string `json:"system_fingerprint,omitempty"`
}

// Choice is the only choice of an Answer.
type Choice struct {
	Index    int      `json:"index"`
	Text     *string  `json:"text,omitempty"`
	Message  *Message `json:"message,omitempty"`
	LogProbs LogProbs `json:"logprobs,omitempty"`
	Finish   string   `json:"finish_reason"`
}

// Message is the message of a chat completion.
type Message struct {
	Role string `json:"role"`
	// Content is null if the model called tools or refused and generated no text.
	Content   *string    `json:"content"`
	Reasoning string     `json:"reasoning_content,omitempty"`
	Refusal   string     `json:"refusal,omitempty"`
	ToolCalls []toolCall `json:"tool_calls,omitempty"`
}

// Answer returns the completion assembled from the events so far.
func (m *Merge) Answer() Answer {
	text := m.text.String()
	choice := Choice{Finish: m.finish, LogProbs: m.logProbs}
	object := "text_completion"
	if m.chat {
		object = "chat.completion"
		choice.Message = m.message()
	} else {
		choice.Text = &text
	}
	return Answer{
		ID:          m.id,
		Object:      object,
		Created:     m.created,
		Model:       m.model,
		Choices:     []Choice{choice},
		Usage:       m.usage,
		Fingerprint: m.fingerprint,
	}
}

func (m *Merge) message() *Message {
	text := m.text.String()
	message := &Message{
		Role:      "assistant",
		Content:   &text,
		Reasoning: m.reasoning.String(),
		Refusal:   m.refusal.String(),
		ToolCalls: m.toolCalls,
	}
	if text == "" && (len(m.toolCalls) > 0 || message.Refusal != "") {
		message.Content = nil
	}
	return message
}
