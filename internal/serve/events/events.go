// Package events reads the server-sent events of a completion from a backend
// server, one token per event, and writes them to a caller.
//
// # Usage
//
//	r := events.NewReader(body)
//	for {
//		e, err := r.Next() // io.EOF after "[DONE]", ErrBroken if the body ends before it
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

// ErrBroken is returned if the body ends before the [DONE] event.
var ErrBroken = errors.New("the event stream ended before [DONE]")

const (
	initialLineBytes = 4 << 10
	maxLineBytes     = 1 << 20
)

// Usage holds the token counts that the backend server reports.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// Event is one chunk of a streamed completion.
type Event struct {
	// Raw is the JSON of the event as received.
	Raw []byte
	// Text is the generated text, empty in the first and last events.
	Text string
	// Finish is the finish reason, empty until the completion ends.
	Finish string
	// Usage is nil if the event carries none.
	Usage *Usage
	// Tokens is the number of tokens in the event.
	Tokens int
	// ID is the completion ID that the backend server assigned.
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

// hasOutput reports whether a choice carries model output rather than only the
// role or the finish reason.
func (c wireChoice) hasOutput() bool {
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
	doneData   = []byte("[DONE]")
)

// Next returns the next event. It returns io.EOF at the [DONE] event. If the body
// ends before it, Next returns ErrBroken or the read error.
func (r *Reader) Next() (Event, error) {
	for r.lines.Scan() {
		line := bytes.TrimSpace(r.lines.Bytes())
		if !bytes.HasPrefix(line, dataPrefix) {
			continue
		}
		data := bytes.TrimSpace(line[len(dataPrefix):])
		if bytes.Equal(data, doneData) {
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
		return Event{}, errors.Wrap(err, "decode a completion event")
	}
	e := Event{Raw: append([]byte(nil), data...), Usage: chunk.Usage, ID: chunk.ID}
	if len(chunk.Choices) == 0 {
		return e, nil
	}
	first := chunk.Choices[0]
	e.Text = first.Text + first.Delta.Content
	e.Finish = first.Finish
	if first.hasOutput() {
		e.Tokens = 1
	}
	return e, nil
}

// Write writes one event. It does not flush w.
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

// WriteDone writes the [DONE] event.
func WriteDone(w io.Writer) error {
	return Write(w, doneData)
}
