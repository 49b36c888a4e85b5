// Package learn predicts the number of tokens in a request's answer from earlier
// answers for the same workspace, class, model and prompt size.
//
// Each key has a small histogram of lengths with exponential decay; each bucket is
// 1.25 times as wide as the one before. A key with too few answers falls back to
// broader ones: prompt size, class and model over all workspaces, then without
// the prompt size, then the model alone. The number of keys is bounded, with LRU
// eviction.
//
// # Usage
//
//	l := learn.New(20_000)
//	key := learn.Key{Workspace: "fountains", Class: "chat", Model: "m1", Prompt: learn.PromptSize(900)}
//	l.Observe(key, 180)
//	tokens := l.Quantile(key, 0.5) // 0 while nothing is known
package learn

import "container/list"

// Key identifies a group of similar requests. An empty field matches any value.
type Key struct {
	Workspace string
	Class     string
	Model     string
	// Prompt is the prompt's length as PromptSize gives it.
	Prompt Size
}

// Size is a coarse prompt length. It separates short questions from whole chat
// histories of the same workspace.
type Size string

// Prompt sizes.
const (
	SizeAny    Size = ""
	SizeSmall  Size = "Small"
	SizeMedium Size = "Medium"
	SizeLarge  Size = "Large"
)

// Lower bounds of the medium and large sizes, in tokens.
const (
	mediumPrompt = 512
	largePrompt  = 2_048
)

// PromptSize returns the size of a prompt of this many tokens.
func PromptSize(tokens int) Size {
	switch {
	case tokens >= largePrompt:
		return SizeLarge
	case tokens >= mediumPrompt:
		return SizeMedium
	}
	return SizeSmall
}

// minAnswers is the number of answers from which a key is used without fallback.
const minAnswers = 12

// Lengths predicts output lengths.
// Create one with New; it is not safe for concurrent use.
type Lengths struct {
	maxKeys int
	keys    map[Key]*list.Element
	order   *list.List
}

type known struct {
	key       Key
	histogram histogram
}

// New returns a Lengths that holds at most this many keys.
func New(maxKeys int) *Lengths {
	return &Lengths{maxKeys: max(1, maxKeys), keys: map[Key]*list.Element{}, order: list.New()}
}

// Observe records the length, in tokens, of a complete answer.
func (l *Lengths) Observe(k Key, tokens int) {
	for _, b := range fallbacks(k) {
		l.at(b).add(tokens)
	}
}

// Grown records the current length of an unfinished answer, so that long answers
// are counted before they end. before is the length passed in the previous call
// for the same answer, 0 in the first.
func (l *Lengths) Grown(k Key, before, tokens int) {
	for _, b := range fallbacks(k) {
		h := l.at(b)
		if before > 0 {
			h.remove(before)
		}
		h.add(tokens)
	}
}

// Quantile returns the q-quantile of the answer lengths, in tokens, or 0 if there
// are no answers for the key or a broader one.
func (l *Lengths) Quantile(k Key, q float64) int {
	best := 0
	for _, b := range fallbacks(k) {
		e, ok := l.keys[b]
		if !ok {
			continue
		}
		h := &e.Value.(*known).histogram
		if best == 0 {
			best = h.quantile(q)
		}
		if h.total >= minAnswers {
			l.order.MoveToFront(e)
			return h.quantile(q)
		}
	}
	return best
}

// Over returns the share of answers longer than the given number of tokens, and
// false if there are too few answers.
func (l *Lengths) Over(k Key, tokens int) (float64, bool) {
	for _, b := range fallbacks(k) {
		e, ok := l.keys[b]
		if ok && e.Value.(*known).histogram.total >= minAnswers {
			return e.Value.(*known).histogram.over(tokens), true
		}
	}
	return 0, false
}

// Len returns the number of keys.
func (l *Lengths) Len() int { return l.order.Len() }

// fallbacks returns the key and the broader keys that it falls back to.
func fallbacks(k Key) [4]Key {
	return [4]Key{k, {Class: k.Class, Model: k.Model, Prompt: k.Prompt}, {Class: k.Class, Model: k.Model}, {Model: k.Model}}
}

func (l *Lengths) at(k Key) *histogram {
	if e, ok := l.keys[k]; ok {
		l.order.MoveToFront(e)
		return &e.Value.(*known).histogram
	}
	if l.order.Len() >= l.maxKeys {
		oldest := l.order.Back()
		delete(l.keys, oldest.Value.(*known).key)
		l.order.Remove(oldest)
	}
	n := &known{key: k}
	l.keys[k] = l.order.PushFront(n)
	return &n.histogram
}
