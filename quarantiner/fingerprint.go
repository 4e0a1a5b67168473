// Package quarantiner finds requests that end the endpoints that run them, from which
// requests were under way at which endpoints that ended. It is pure: time comes in
// as an argument.
package quarantiner

import (
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// Fingerprint stands for all requests of one workspace that are equal: the same
// method, host, target and body, whatever their ids. The workspace is kept beside the
// hash, so that nobody can build a request that is taken for one of another workspace.
type Fingerprint struct {
	// Workspace is "" where the route asks for no key.
	Workspace string
	Sum       uint64
}

// Request is what makes two requests equal.
type Request struct {
	Workspace string
	Method    string
	Host      string
	// Target is path and query, as sent.
	Target string
	Body   []byte
}

// Fingerprint returns what stands for the request.
func (r Request) Fingerprint() Fingerprint {
	d := xxhash.New()
	var length [8]byte
	for _, part := range []string{r.Method, r.Host, r.Target} {
		// Without lengths, two requests whose parts divide otherwise would be one.
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		// Writes to a digest never fail.
		_, _ = d.Write(length[:])
		_, _ = d.WriteString(part)
	}
	_, _ = d.Write(r.Body)
	return Fingerprint{Workspace: r.Workspace, Sum: d.Sum64()}
}

// String returns the hash as it stands in log lines.
func (f Fingerprint) String() string { return fmt.Sprintf("%016x", f.Sum) }
