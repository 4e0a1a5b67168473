package matcher

// ValidWord reports whether a key or a value can stand in a selector: letters,
// digits and "-_./", at least one.
func ValidWord(w string) bool { return validWord(w) }
