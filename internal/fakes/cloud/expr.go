package cloud

import (
	"cmp"
	"regexp"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// condition evaluates a condition expression on an item, which is nil where
// there is none.
type condition struct {
	names  map[string]string
	values item
	item   item
}

// reader walks through an expression's words.
type reader struct {
	condition
	words []string
	err   error
}

var wordPattern = regexp.MustCompile(`[#:]?[A-Za-z0-9_.\-]+|<>|<=|>=|[=<>(),]`)

func (c condition) holds(expression string) (bool, error) {
	r := &reader{condition: c, words: wordPattern.FindAllString(expression, -1)}
	holds := r.or()
	if r.err == nil && len(r.words) > 0 {
		r.fail()
	}
	return holds, r.err
}

func (r *reader) peek() string {
	if len(r.words) == 0 {
		return ""
	}
	return r.words[0]
}

func (r *reader) take() string {
	word := r.peek()
	if len(r.words) > 0 {
		r.words = r.words[1:]
	}
	return word
}

func (r *reader) skip(word string) bool {
	if !strings.EqualFold(r.peek(), word) {
		return false
	}
	r.take()
	return true
}

func (r *reader) want(word string) {
	if !r.skip(word) {
		r.fail()
	}
}

func (r *reader) fail() {
	if r.err == nil {
		r.err = errors.Newf("Invalid expression at %q", strings.Join(r.words, " "))
	}
	r.words = nil
}

func (r *reader) or() bool {
	holds := r.and()
	for r.skip("OR") {
		other := r.and()
		holds = holds || other
	}
	return holds
}

func (r *reader) and() bool {
	holds := r.not()
	for r.skip("AND") {
		other := r.not()
		holds = holds && other
	}
	return holds
}

func (r *reader) not() bool {
	if r.skip("NOT") {
		return !r.not()
	}
	if r.skip("(") {
		holds := r.or()
		r.want(")")
		return holds
	}
	if call, ok := calls[r.peek()]; ok {
		r.take()
		r.want("(")
		holds := call(r)
		r.want(")")
		return holds
	}
	return r.comparison()
}

var calls = map[string]func(r *reader) bool{
	"attribute_exists":     func(r *reader) bool { return r.operand() != nil },
	"attribute_not_exists": func(r *reader) bool { return r.operand() == nil },
	"begins_with": func(r *reader) bool {
		whole := r.operand()
		r.want(",")
		start := r.operand()
		return whole != nil && start != nil && strings.HasPrefix(scalar(*whole), scalar(*start))
	},
}

// operand returns the value that a word names, nil where the item lacks it.
func (r *reader) operand() *attribute {
	word := r.take()
	if word == "" {
		r.fail()
		return nil
	}
	from, name := r.item, word
	switch word[0] {
	case ':':
		from = r.values
	case '#':
		name = r.names[word]
	}
	if a, ok := from[name]; ok {
		return &a
	}
	return nil
}

var comparisons = map[string]func(order int) bool{
	"=":  func(order int) bool { return order == 0 },
	"<>": func(order int) bool { return order != 0 },
	"<":  func(order int) bool { return order < 0 },
	"<=": func(order int) bool { return order <= 0 },
	">":  func(order int) bool { return order > 0 },
	">=": func(order int) bool { return order >= 0 },
}

// comparison compares two operands. One that is missing equals nothing.
func (r *reader) comparison() bool {
	left := r.operand()
	sign := r.take()
	compare, ok := comparisons[sign]
	if !ok {
		r.fail()
		return false
	}
	right := r.operand()
	if left == nil || right == nil {
		return sign == "<>"
	}
	return compare(order(*left, *right))
}

func order(a, b attribute) int {
	if a.N != nil && b.N != nil {
		x, _ := strconv.ParseFloat(*a.N, 64)
		y, _ := strconv.ParseFloat(*b.N, 64)
		return cmp.Compare(x, y)
	}
	return cmp.Compare(scalar(a), scalar(b))
}
