package cloud

import (
	"cmp"
	"regexp"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// condition evaluates condition expressions on an item; a nil item has no
// attributes.
type condition struct {
	names  map[string]string
	values item
	item   item
}

// parser is a recursive-descent parser that evaluates an expression while it parses.
// It keeps the first error.
type parser struct {
	condition
	tokens []string
	err    error
}

// tokenPattern matches names, placeholders (#name, :value), operators and punctuation.
var tokenPattern = regexp.MustCompile(`[#:]?[A-Za-z0-9_.\-]+|<>|<=|>=|[=<>(),]`)

// holds reports whether an expression holds on the item. It fails on a syntax error.
func (c condition) holds(expression string) (bool, error) {
	p := &parser{condition: c, tokens: tokenPattern.FindAllString(expression, -1)}
	holds := p.or()
	if p.err == nil && len(p.tokens) > 0 {
		p.fail()
	}
	return holds, p.err
}

// peek returns the next token, or "" at the end.
func (p *parser) peek() string {
	if len(p.tokens) == 0 {
		return ""
	}
	return p.tokens[0]
}

// next consumes and returns the next token, or "" at the end.
func (p *parser) next() string {
	token := p.peek()
	if len(p.tokens) > 0 {
		p.tokens = p.tokens[1:]
	}
	return token
}

// accept consumes the next token if it equals token, ignoring case, and reports
// whether it did.
func (p *parser) accept(token string) bool {
	if !strings.EqualFold(p.peek(), token) {
		return false
	}
	p.next()
	return true
}

// expect consumes the next token, which must equal token.
func (p *parser) expect(token string) {
	if !p.accept(token) {
		p.fail()
	}
}

// fail records a syntax error at the next token and ends the parse.
func (p *parser) fail() {
	if p.err == nil {
		p.err = errors.Newf("Invalid expression at %q", strings.Join(p.tokens, " "))
	}
	p.tokens = nil
}

func (p *parser) or() bool {
	holds := p.and()
	for p.accept("OR") {
		right := p.and()
		holds = holds || right
	}
	return holds
}

func (p *parser) and() bool {
	holds := p.not()
	for p.accept("AND") {
		right := p.not()
		holds = holds && right
	}
	return holds
}

func (p *parser) not() bool {
	if p.accept("NOT") {
		return !p.not()
	}
	if p.accept("(") {
		holds := p.or()
		p.expect(")")
		return holds
	}
	if function, ok := functions[p.peek()]; ok {
		p.next()
		p.expect("(")
		holds := function(p)
		p.expect(")")
		return holds
	}
	return p.comparison()
}

var functions = map[string]func(p *parser) bool{
	"attribute_exists":     func(p *parser) bool { return p.operand() != nil },
	"attribute_not_exists": func(p *parser) bool { return p.operand() == nil },
	"begins_with": func(p *parser) bool {
		value := p.operand()
		p.expect(",")
		prefix := p.operand()
		return value != nil && prefix != nil && strings.HasPrefix(scalar(*value), scalar(*prefix))
	},
}

// operand returns the value that the next token refers to, or nil if there is none.
func (p *parser) operand() *attribute {
	token := p.next()
	if token == "" {
		p.fail()
		return nil
	}
	attributes, name := p.item, token
	switch token[0] {
	case ':':
		attributes = p.values
	case '#':
		name = p.names[token]
	}
	if a, ok := attributes[name]; ok {
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

// comparison compares two operands. A missing operand is unequal to any other, also to
// a missing one.
func (p *parser) comparison() bool {
	left := p.operand()
	operator := p.next()
	matches, ok := comparisons[operator]
	if !ok {
		p.fail()
		return false
	}
	right := p.operand()
	if left == nil || right == nil {
		return operator == "<>"
	}
	return matches(compareAttributes(*left, *right))
}

// compareAttributes compares two numbers by value and other attributes as strings.
func compareAttributes(a, b attribute) int {
	if a.N != nil && b.N != nil {
		x, _ := strconv.ParseFloat(*a.N, 64)
		y, _ := strconv.ParseFloat(*b.N, 64)
		return cmp.Compare(x, y)
	}
	return cmp.Compare(scalar(a), scalar(b))
}
