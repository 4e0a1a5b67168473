package matcher

import "slices"

// Satisfiable reports whether any set of labels matches the selector. For
// example, "a=x,!a" is unsatisfiable.
func (s Selector) Satisfiable() bool {
	for _, t := range s.terms {
		if !s.keySatisfiable(t.key) {
			return false
		}
	}
	return true
}

// keySatisfiable reports whether the terms for a key don't contradict each other.
func (s Selector) keySatisfiable(key string) bool {
	var absent, exists, listed bool
	var allowed, denied []string
	for _, t := range s.terms {
		if t.key != key {
			continue
		}
		switch t.op {
		case opAbsent:
			absent = true
		case opExists:
			exists = true
		case opNotEqual, opNotIn:
			denied = append(denied, t.values...)
		default:
			allowed = intersect(allowed, t.values, listed)
			listed, exists = true, true
		}
	}
	if absent && exists {
		return false
	}
	left := func(v string) bool { return !slices.Contains(denied, v) }
	return !listed || slices.ContainsFunc(allowed, left)
}

// intersect returns the values in both a and b, or b if a is not known.
func intersect(a, b []string, known bool) []string {
	if !known {
		return b
	}
	return slices.DeleteFunc(slices.Clone(a), func(v string) bool { return !slices.Contains(b, v) })
}
