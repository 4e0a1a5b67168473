// Package matcher parses label selectors and matches them against labels.
//
// A selector is a comma-separated list of terms, all of which must match:
// key=value, key!=value, key in (a, b), key notin (a, b), key (exists) and
// !key (does not exist). The empty selector matches everything.
package matcher

import (
	"slices"
	"strings"

	"github.com/ansel1/merry/v2"
)

// ErrSyntax is returned for selectors that can't be parsed.
var ErrSyntax = merry.Sentinel("selector syntax error")

type operator int

const (
	opEqual operator = iota
	opNotEqual
	opIn
	opNotIn
	opExists
	opAbsent
)

type term struct {
	key    string
	op     operator
	values []string
}

// Selector is an immutable parsed selector.
type Selector struct {
	// terms must all match.
	terms []term
}

// Parse parses a selector or returns an error that wraps ErrSyntax.
func Parse(text string) (Selector, error) {
	var s Selector
	for _, part := range splitTerms(text) {
		t, err := parseTerm(part)
		if err != nil {
			return Selector{}, err
		}
		s.terms = append(s.terms, t)
	}
	return s, nil
}

// Matches reports whether every term matches the labels.
func (s Selector) Matches(labels map[string]string) bool {
	for _, t := range s.terms {
		if !t.holds(labels) {
			return false
		}
	}
	return true
}

func (t term) holds(labels map[string]string) bool {
	v, ok := labels[t.key]
	switch t.op {
	case opEqual, opIn:
		return ok && slices.Contains(t.values, v)
	case opNotEqual, opNotIn:
		return !ok || !slices.Contains(t.values, v)
	case opExists:
		return ok
	default:
		return !ok
	}
}

// splitTerms splits a selector at commas outside parentheses.
func splitTerms(text string) []string {
	var parts []string
	depth, start := 0, 0
	for i, r := range text {
		switch {
		case r == '(':
			depth++
		case r == ')':
			depth--
		case r == ',' && depth == 0:
			parts = append(parts, text[start:i])
			start = i + 1
		}
	}
	if rest := strings.TrimSpace(text[start:]); rest != "" || len(parts) > 0 {
		parts = append(parts, text[start:])
	}
	return parts
}

func parseTerm(text string) (term, error) {
	text = strings.TrimSpace(text)
	if key, value, ok := strings.Cut(text, "!="); ok {
		return newTerm(text, key, opNotEqual, value)
	}
	if key, value, ok := strings.Cut(text, "="); ok {
		return newTerm(text, key, opEqual, strings.TrimPrefix(value, "="))
	}
	if head, list, ok := strings.Cut(text, "("); ok {
		return parseSet(text, head, list)
	}
	if key, ok := strings.CutPrefix(text, "!"); ok {
		return newTerm(text, key, opAbsent)
	}
	return newTerm(text, text, opExists)
}

func parseSet(text, head, list string) (term, error) {
	words := strings.Fields(head)
	list, ok := strings.CutSuffix(list, ")")
	if !ok || len(words) != 2 {
		return term{}, syntaxError(text)
	}
	values := strings.Split(list, ",")
	switch words[1] {
	case "in":
		return newTerm(text, words[0], opIn, values...)
	case "notin":
		return newTerm(text, words[0], opNotIn, values...)
	default:
		return term{}, syntaxError(text)
	}
}

func newTerm(text, key string, op operator, values ...string) (term, error) {
	key = strings.TrimSpace(key)
	if !ValidWord(key) {
		return term{}, syntaxError(text)
	}
	t := term{key: key, op: op}
	for _, v := range values {
		v = strings.TrimSpace(v)
		if !ValidWord(v) {
			return term{}, syntaxError(text)
		}
		t.values = append(t.values, v)
	}
	return t, nil
}

// ValidWord reports whether w is valid as a key or value in a selector: one or
// more letters, digits or characters of "-_./".
func ValidWord(w string) bool {
	ok := func(r rune) bool {
		return r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || strings.ContainsRune("-_./", r)
	}
	return w != "" && strings.IndexFunc(w, func(r rune) bool { return !ok(r) }) < 0
}

func syntaxError(text string) error {
	return merry.Errorf("%w: term %q: want key=value, key!=value, key in (a, b), key notin (a, b), key or !key", ErrSyntax, text)
}
