package enroller

import (
	"crypto/sha256"
	"encoding/hex"
	"unicode/utf8"
)

const (
	// maxVersionBytes is the length up to which a version is kept as the endpoint states it.
	maxVersionBytes = 64
	// versionPrefixBytes and versionHashBytes are the parts of a longer one that are kept: its
	// beginning, for operators, and a hash of the whole.
	versionPrefixBytes = 28
	versionHashBytes   = 16
)

// Version identifies the software version of an endpoint: two endpoints of a service have the same
// version only if their versions are equal. It is "" if unknown, and an unknown version equals none.
type Version string

// NewVersion returns the version that an endpoint states. The result has at most maxVersionBytes and
// differs for different texts.
func NewVersion(text string) Version {
	if len(text) <= maxVersionBytes && utf8.ValidString(text) {
		return Version(text)
	}
	sum := sha256.Sum256([]byte(text))
	prefix := text[:min(len(text), versionPrefixBytes)]
	for len(prefix) > 0 && !utf8.ValidString(prefix) {
		prefix = prefix[:len(prefix)-1]
	}
	return Version(prefix + "#" + hex.EncodeToString(sum[:versionHashBytes]))
}

// Same reports whether both versions are known and equal.
func (v Version) Same(w Version) bool { return v != "" && v == w }
