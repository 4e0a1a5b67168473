// Package quarantiner finds requests that crash the endpoints that run them. It infers them from
// the requests that were in progress at endpoints that crashed. It reads no clock: times are
// arguments.
package quarantiner

import (
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// Fingerprint identifies all equal requests of one workspace: those with the same method, host,
// target and body, whatever their ids. The workspace is kept next to the hash, so that nobody can
// construct a request that collides with one of another workspace.
type Fingerprint struct {
	// Workspace is empty if the route requires no key.
	Workspace string
	Sum       uint64
}

// Request holds the parts of a request that its fingerprint depends on.
type Request struct {
	Workspace string
	Method    string
	Host      string
	// Target is the path and query as sent.
	Target string
	Body   []byte
}

// Fingerprint returns the fingerprint of the request.
func (r Request) Fingerprint() Fingerprint {
	d := xxhash.New()
	var length [8]byte
	for _, part := range []string{r.Method, r.Host, r.Target} {
		// Without the lengths, two requests with the same bytes divided differently would be
		// equal.
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		// Writes to a digest never fail.
		_, _ = d.Write(length[:])
		_, _ = d.WriteString(part)
	}
	_, _ = d.Write(r.Body)
	return Fingerprint{Workspace: r.Workspace, Sum: d.Sum64()}
}

// String returns the hash as it appears in log lines.
func (f Fingerprint) String() string { return fmt.Sprintf("%016x", f.Sum) }
