package router

import (
	"crypto/sha256"
	"encoding/binary"
	"net/http"
	"slices"
	"strings"

	"rattanhoist.example/rattanhoist/joiner"
)

// forwardedRequestHeaders are the headers that a request passes to a plain
// service.
var forwardedRequestHeaders = []string{
	"Accept", "Accept-Encoding", "Accept-Language", "Content-Encoding", "Content-Language", "Content-Type",
	"If-Match", "If-Modified-Since", "If-None-Match", "If-Unmodified-Since", "Prefer", "Range",
}

// forwardedAnswerHeaders are the headers that a plain service's answer passes
// to the caller.
var forwardedAnswerHeaders = []string{
	"Accept-Ranges", "Allow", "Cache-Control", "Content-Disposition", "Content-Encoding", "Content-Language",
	"Content-Range", "Content-Type", "Etag", "Expires", "Last-Modified", "Link", "Location", "Retry-After", "Vary",
}

// bearerKey returns the bearer key of a request, or "". The scheme is
// case-insensitive (RFC 9110).
func bearerKey(r *http.Request) string {
	scheme, key, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return key
}

// filterHeader returns the headers whose names are in list.
func filterHeader(h http.Header, list []string) http.Header {
	out := http.Header{}
	for _, name := range list {
		if v := h.Values(name); len(v) > 0 {
			out[name] = v
		}
	}
	return out
}

// requestDigest hashes the content of a request. An id that is used again with
// another digest belongs to another request.
func requestDigest(q *request) joiner.Digest {
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
	for _, name := range forwardedRequestHeaders {
		values := slices.Clone(q.header[name])
		slices.Sort(values)
		for _, v := range values {
			part([]byte(name + ": " + v))
		}
	}
	return joiner.Digest(d.Sum(nil))
}
