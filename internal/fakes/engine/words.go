package engine

import (
	"encoding/binary"
	"hash/fnv"
	"strings"
)

// vocabulary holds the tokens that answers are made of.
var vocabulary = strings.Fields(`the canvas frame holds when wind rises check each
	joint first then tighten rope and pin before dusk warranty covers seam
	patch on awning filter change due at north fountain valve leaks note crew
	visit set quote follows market opens early bring spare pole clip and tape`)

const (
	// The default length of an answer is minDefaultTokens plus a value below
	// defaultTokensRange that is derived from the prompt.
	minDefaultTokens   = 8
	defaultTokensRange = 56
	bytesPerToken      = 4
	// prefixBytes is how much of the start of a prompt is cached as its prefix.
	prefixBytes = 1024
)

// Text is the model and prompt from which an answer is derived.
type Text struct {
	Model  string
	Prompt string
}

func (t Text) hash() uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(t.Model))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(t.Prompt))
	return h.Sum64()
}

// Token returns the token at an index of the answer. It is a function of the text
// and the index alone.
func (t Text) Token(index int) string {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], t.hash())
	binary.LittleEndian.PutUint64(b[8:], uint64(index))
	h := fnv.New64a()
	_, _ = h.Write(b[:])
	token := vocabulary[h.Sum64()%uint64(len(vocabulary))]
	if index == 0 {
		return token
	}
	return " " + token
}

// Tokens returns the first tokens of the answer as one string.
func (t Text) Tokens(tokens int) string {
	var b strings.Builder
	for i := range tokens {
		b.WriteString(t.Token(i))
	}
	return b.String()
}

// DefaultTokens is the length of the answer in tokens if the request sets none.
func (t Text) DefaultTokens() int {
	return minDefaultTokens + int(t.hash()%defaultTokensRange)
}

// PromptTokens is the prompt's length in tokens.
func (t Text) PromptTokens() int { return len(t.Prompt)/bytesPerToken + 1 }

// Prefix returns a hash of the first kilobyte of the prompt, and its length in
// tokens. Prompts with the same first kilobyte and model have the same prefix.
func (t Text) Prefix() (prefix uint64, tokens int) {
	start := t.Prompt[:min(len(t.Prompt), prefixBytes)]
	return Text{Model: t.Model, Prompt: start}.hash() | 1, len(start) / bytesPerToken
}
