// Package learn predicts how many tokens a request's answer will have, from
// the answers that its workspace, class and model have had before.
//
// Each key keeps a small histogram of lengths whose buckets grow by a quarter,
// and whose older answers fade. A key with too few answers borrows from
// broader ones: class and model over all workspaces, then model alone. The
// number of keys is bounded; the one unused for the longest time is forgotten
// first.
//
// # Usage
//
//	l := learn.New(20_000)
//	l.Observe(learn.Key{Workspace: "fountains", Class: "chat", Model: "m1"}, 180)
//	tokens := l.Quantile(key, 0.5) // 0 while nothing is known
package learn

import "container/list"

// Key names what a prediction is made for. Empty fields stand for all.
type Key struct {
	Workspace string
	Class     string
	Model     string
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
func broader(k Key) [3]Key {
	return [3]Key{k, {Class: k.Class, Model: k.Model}, {Model: k.Model}}
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
