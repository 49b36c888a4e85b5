package engine

import (
	"encoding/binary"
	"hash/fnv"
	"strings"
)

var words = strings.Fields(`the canvas frame holds when wind rises check each
	joint first then tighten rope and pin before dusk warranty covers seam
	patch on awning filter change due at north fountain valve leaks note crew
	visit set quote follows market opens early bring spare pole clip and tape`)

const (
	minDefaultTokens    = 8
	spreadDefaultTokens = 56
	charactersPerToken  = 4
	prefixCharacters    = 1024
)

// Text names what a prompt's answer is made from.
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

// Word returns the answer's token at an index. It depends on nothing but the
// text and the index.
func (t Text) Word(index int) string {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], t.hash())
	binary.LittleEndian.PutUint64(b[8:], uint64(index))
	h := fnv.New64a()
	_, _ = h.Write(b[:])
	word := words[h.Sum64()%uint64(len(words))]
	if index == 0 {
		return word
	}
	return " " + word
}

// Words returns a whole answer of this many tokens.
func (t Text) Words(tokens int) string {
	var b strings.Builder
	for i := range tokens {
		b.WriteString(t.Word(i))
	}
	return b.String()
}

// DefaultTokens is the length of the answer where the request sets none.
func (t Text) DefaultTokens() int {
	return minDefaultTokens + int(t.hash()%spreadDefaultTokens)
}

// PromptTokens is the prompt's length in tokens.
func (t Text) PromptTokens() int { return len(t.Prompt)/charactersPerToken + 1 }

// Prefix names the first kilobyte of the prompt, and gives its length in
// tokens. Prompts that begin alike share it.
func (t Text) Prefix() (prefix uint64, tokens int) {
	start := t.Prompt[:min(len(t.Prompt), prefixCharacters)]
	return Text{Model: t.Model, Prompt: start}.hash() | 1, len(start) / charactersPerToken
}
