package forwarder

import (
	"strings"

	"rattanhoist.example/rattanhoist/publisher"
)

// maxLoggedBytes bounds what is logged of a header that a caller sends.
const maxLoggedBytes = 64

// resumesStream reports whether the caller resumes a stream that an earlier attempt began.
func (j *job) resumesStream() bool {
	return j.route != nil && j.route.Kind == publisher.Stream && (j.caller.LastEventID != "" || len(j.caller.Resumes) > 0)
}

// logged returns the values of a header as far as they are logged.
func logged(values []string) string {
	text := strings.Join(values, ",")
	return text[:min(len(text), maxLoggedBytes)]
}
