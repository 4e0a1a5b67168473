package router

import (
	"crypto/sha256"
	"encoding/binary"
	"net/http"
	"slices"
	"strings"

	"rattanhoist.example/rattanhoist/joiner"
)

// requestHeaders are those of a plain call that reach the service.
var requestHeaders = []string{
	"Accept", "Accept-Encoding", "Accept-Language", "Content-Encoding", "Content-Language", "Content-Type",
	"If-Match", "If-Modified-Since", "If-None-Match", "If-Unmodified-Since", "Prefer", "Range",
}

// answerHeaders are those of a plain service's answer that reach the caller.
var answerHeaders = []string{
	"Accept-Ranges", "Allow", "Cache-Control", "Content-Disposition", "Content-Encoding", "Content-Language",
	"Content-Range", "Content-Type", "Etag", "Expires", "Last-Modified", "Link", "Location", "Retry-After", "Vary",
}

// bearerKey returns the key of a request, "" for none. The scheme's case does
// not matter (RFC 9110).
func bearerKey(r *http.Request) string {
	scheme, key, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return key
}

// only returns the headers on the list.
func only(h http.Header, list []string) http.Header {
	out := http.Header{}
	for _, name := range list {
		if v := h.Values(name); len(v) > 0 {
			out[name] = v
		}
	}
	return out
}

// digestOf sums up what a request asks for: an id that comes back with
// another digest belongs to another request.
func digestOf(q *request) joiner.Digest {
	d := sha256.New()
	part := func(b []byte) {
		var n [8]byte
		binary.BigEndian.PutUint64(n[:], uint64(len(b)))
		d.Write(n[:])
		d.Write(b)
	}
	for _, s := range []string{q.service.Name, q.method, q.path, q.rawQuery} {
		part([]byte(s))
	}
	if q.repeatable {
		part([]byte("repeatable"))
	}
	part(q.body)
	for _, name := range requestHeaders {
		values := slices.Clone(q.header[name])
		slices.Sort(values)
		for _, v := range values {
			part([]byte(name + ": " + v))
		}
	}
	return joiner.Digest(d.Sum(nil))
}
