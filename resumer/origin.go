// Package resumer knows what began the streams of a fleet, so that a stream that a caller resumes at
// any router goes on at endpoints of the same software version.
package resumer

import (
	"crypto/sha256"
	"encoding/binary"
	"time"

	"github.com/ansel1/merry/v2"

	"rattanhoist.example/rattanhoist/enroller"
	"rattanhoist.example/rattanhoist/quarantiner"
)

// Errors of a search. Compare with errors.Is.
var (
	// ErrUnknown means that no router knows the stream.
	ErrUnknown = merry.Sentinel("nobody knows what began the stream")
	// ErrUnreachable means that the routers that may know the stream did not answer.
	ErrUnreachable = merry.Sentinel("routers that may know what began the stream do not answer")
)

const (
	// retentionSlack is how much longer than its request may last a stream is known.
	retentionSlack = 10 * time.Second
	maxRetention   = 5 * time.Minute
)

// Retention returns how long the origin of a stream is kept whose request may last for a time.
func Retention(duration time.Duration) time.Duration {
	return min(duration+retentionSlack, maxRetention)
}

// keyBytes is the length of a key.
const keyBytes = 16

// Key identifies a stream: by the attempt of a caller that brought its first event, or by the content
// of its request.
type Key [keyBytes]byte

// NewKey returns the key of an attempt of a workspace to request a path of a host. Nobody finds the
// streams of another workspace, or learns of them.
func NewKey(workspace, host, path, attempt string) Key {
	h := sha256.New()
	for _, s := range []string{workspace, host, path, attempt} {
		_, _ = h.Write(binary.BigEndian.AppendUint64(nil, uint64(len(s))))
		_, _ = h.Write([]byte(s))
	}
	return Key(h.Sum(nil)[:keyBytes])
}

// NewContentKey returns the key of a request by what all attempts for a stream have in common, for
// callers that do not name the attempt which brought the first event.
func NewContentKey(f quarantiner.Fingerprint) Key {
	h := sha256.New()
	_, _ = h.Write(binary.BigEndian.AppendUint64(nil, f.Sum))
	_, _ = h.Write([]byte(f.Workspace))
	return Key(h.Sum(nil)[:keyBytes])
}

// KeyFromBytes returns the key with the given bytes, and false if they are no key.
func KeyFromBytes(b []byte) (Key, bool) {
	if len(b) != keyBytes {
		return Key{}, false
	}
	return Key(b), true
}

// Origin is what made the first event of a stream.
type Origin struct {
	Service string
	// Version is "" if unknown, or if the key belongs to several streams.
	Version enroller.Version
}

// Entry is the origin of one stream and how much longer it is kept.
type Entry struct {
	Key
	Origin
	Remaining time.Duration
}
