// Package learn predicts how many tokens a request's answer will have, from
// the answers that its workspace, class, model and size of prompt have had
// before.
//
// Each key keeps a small histogram of lengths whose buckets grow by a quarter,
// and whose older answers fade. A key with too few answers borrows from
// broader ones: prompt size, class and model over all workspaces, then without
// the prompt size, then the model alone. The
// number of keys is bounded; the one unused for the longest time is forgotten
// first.
//
// # Usage
//
//	l := learn.New(20_000)
//	key := learn.Key{Workspace: "fountains", Class: "chat", Model: "m1", Prompt: learn.PromptSize(900)}
//	l.Observe(key, 180)
//	tokens := l.Quantile(key, 0.5) // 0 while nothing is known
package learn

import "container/list"

// Key names what a prediction is made for. Empty fields stand for all.
type Key struct {
	Workspace string
	Class     string
	Model     string
	// Prompt is the prompt's length as PromptSize gives it.
	Prompt Size
}

// Size is a rough length of a prompt. Questions and whole histories of the same
// workspace are told apart by it.
type Size string

// The sizes of a prompt.
const (
	SizeAny    Size = ""
	SizeSmall  Size = "Small"
	SizeMedium Size = "Medium"
	SizeLarge  Size = "Large"
)

// The lengths in tokens from which a prompt is medium and large.
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

// enoughAnswers is how many answers a key needs before it is believed alone.
const enoughAnswers = 12

// Lengths predicts output lengths. Take New; it is not safe for concurrent use.
type Lengths struct {
	most  int
	keys  map[Key]*list.Element
	order *list.List
}

type known struct {
	key       Key
	histogram histogram
}

// New returns a Lengths that keeps at most this many keys.
func New(most int) *Lengths {
	return &Lengths{most: max(1, most), keys: map[Key]*list.Element{}, order: list.New()}
}

// Observe takes the length in tokens of an answer that came to its end.
func (l *Lengths) Observe(k Key, tokens int) {
	for _, b := range broader(k) {
		l.at(b).add(tokens)
	}
}

// Grown takes the length so far of an answer that has not ended, so that long
// work is known before it is over. before is the length of the last call for
// the same answer, 0 at the first.
func (l *Lengths) Grown(k Key, before, tokens int) {
	for _, b := range broader(k) {
		h := l.at(b)
		if before > 0 {
			h.take(before)
		}
		h.add(tokens)
	}
}

// Quantile returns the length in tokens that the share q of answers does not
// exceed, 0 while nothing is known of the key nor of broader ones.
func (l *Lengths) Quantile(k Key, q float64) int {
	best := 0
	for _, b := range broader(k) {
		e, ok := l.keys[b]
		if !ok {
			continue
		}
		h := &e.Value.(*known).histogram
		if best == 0 {
			best = h.quantile(q)
		}
		if h.total >= enoughAnswers {
			l.order.MoveToFront(e)
			return h.quantile(q)
		}
	}
	return best
}

// Over returns the share of answers longer than the given number of tokens,
// and whether enough answers are known to say so.
func (l *Lengths) Over(k Key, tokens int) (float64, bool) {
	for _, b := range broader(k) {
		e, ok := l.keys[b]
		if ok && e.Value.(*known).histogram.total >= enoughAnswers {
			return e.Value.(*known).histogram.over(tokens), true
		}
	}
	return 0, false
}

// Len returns the number of keys.
func (l *Lengths) Len() int { return l.order.Len() }

// broader lists the key and those it falls back to.
func broader(k Key) [4]Key {
	return [4]Key{k, {Class: k.Class, Model: k.Model, Prompt: k.Prompt}, {Class: k.Class, Model: k.Model}, {Model: k.Model}}
}

func (l *Lengths) at(k Key) *histogram {
	if e, ok := l.keys[k]; ok {
		l.order.MoveToFront(e)
		return &e.Value.(*known).histogram
	}
	if l.order.Len() >= l.most {
		oldest := l.order.Back()
		delete(l.keys, oldest.Value.(*known).key)
		l.order.Remove(oldest)
	}
	n := &known{key: k}
	l.keys[k] = l.order.PushFront(n)
	return &n.histogram
}
