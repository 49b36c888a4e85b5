// Package events reads the server-sent events of a completion from a backend
// server, one token an event, and writes them towards a caller.
//
// # Usage
//
//	r := events.NewReader(body)
//	for {
//		e, err := r.Next() // io.EOF after "[DONE]", ErrBroken where the text ends before it
//		...
//	}
package events

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"

	"github.com/cockroachdb/errors"
)

// ErrBroken tells that the stream ended before its closing event.
var ErrBroken = errors.New("the stream ended before its closing event")

const (
	initialLineBytes = 4 << 10
	maxLineBytes     = 1 << 20
)

// Usage is the token count that the backend server reports.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// Event is one part of a completion.
type Event struct {
	// Raw is the JSON of the event as it came.
	Raw []byte
	// Text is the generated text, empty in the opening and closing events.
	Text string
	// Finish is why the answer ended, empty before its end.
	Finish string
	// Usage is set where the event carries it.
	Usage *Usage
	// Tokens is how many tokens the event carries.
	Tokens int
	// ID is the completion's id as the backend server gave it.
	ID string
}

type wireChunk struct {
	ID      string       `json:"id"`
	Choices []wireChoice `json:"choices"`
	Usage   *Usage       `json:"usage"`
}

type wireChoice struct {
	Text   string    `json:"text"`
	Delta  wireDelta `json:"delta"`
	Finish string    `json:"finish_reason"`
}

type wireDelta struct {
	Content   string            `json:"content"`
	Reasoning string            `json:"reasoning_content"`
	Refusal   string            `json:"refusal"`
	ToolCalls []json.RawMessage `json:"tool_calls"`
}

// generated tells whether a choice carries output of the model, and not only
// its role or its end.
func (c wireChoice) generated() bool {
	d := c.Delta
	return c.Text != "" || d.Content != "" || d.Reasoning != "" || d.Refusal != "" || len(d.ToolCalls) > 0
}

// Reader reads events. It is not safe for concurrent use.
type Reader struct {
	lines *bufio.Scanner
}

// NewReader returns a Reader on a response body.
func NewReader(body io.Reader) *Reader {
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 0, initialLineBytes), maxLineBytes)
	return &Reader{lines: lines}
}

var (
	dataPrefix = []byte("data:")
	doneMark   = []byte("[DONE]")
)

// Next returns the next event. After the closing mark it returns io.EOF; where
// the text ends before the mark, ErrBroken or the connection's error.
func (r *Reader) Next() (Event, error) {
	for r.lines.Scan() {
		line := bytes.TrimSpace(r.lines.Bytes())
		if !bytes.HasPrefix(line, dataPrefix) {
			continue
		}
		data := bytes.TrimSpace(line[len(dataPrefix):])
		if bytes.Equal(data, doneMark) {
			return Event{}, io.EOF
		}
		return parse(data)
	}
	if err := r.lines.Err(); err != nil {
		return Event{}, err
	}
	return Event{}, ErrBroken
}

func parse(data []byte) (Event, error) {
	var chunk wireChunk
	if err := json.Unmarshal(data, &chunk); err != nil {
		return Event{}, errors.Wrap(err, "event of a completion")
	}
	e := Event{Raw: append([]byte(nil), data...), Usage: chunk.Usage, ID: chunk.ID}
	if len(chunk.Choices) == 0 {
		return e, nil
	}
	first := chunk.Choices[0]
	e.Text = first.Text + first.Delta.Content
	e.Finish = first.Finish
	if first.generated() {
		e.Tokens = 1
	}
	return e, nil
}

// Write writes one event and leaves flushing to the caller.
func Write(w io.Writer, raw []byte) error {
	if _, err := w.Write([]byte("data: ")); err != nil {
		return err
	}
	if _, err := w.Write(raw); err != nil {
		return err
	}
	_, err := w.Write([]byte("\n\n"))
	return err
}

// WriteDone writes the closing mark.
func WriteDone(w io.Writer) error {
	return Write(w, doneMark)
}
