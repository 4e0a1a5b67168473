package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"time"
)

// answer is what a requester got.
type answer struct {
	id, path string
	status   int
	signed   bool
	body     string
	// err is set if there was no complete answer.
	err error
}

func (a answer) String() string {
	return fmt.Sprintf("request %s %s: status %d, signed %v, %d of %d bytes, complete %v", a.id, a.path, a.status, a.signed, len(a.body), len(wholeBody(a.path, a.id)), a.err == nil)
}

// request sends one request on a new connection.
func request(router *machine, path, id string, within time.Duration) answer {
	out := answer{id: id, path: path}
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+router.frontAddress()+path+"x", bytes.NewReader([]byte("notes")))
	if err != nil {
		out.err = err
		return out
	}
	q.Host = host
	q.Header.Set("Rattanhoist-Request-Id", id)
	q.Header.Set("Rattanhoist-Deadline-Ms", fmt.Sprint(within.Milliseconds()))
	q.Header.Set("Api-Key", "key-1")
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	defer transport.CloseIdleConnections()
	a, err := transport.RoundTrip(q)
	if err != nil {
		out.err = err
		return out
	}
	defer a.Body.Close()
	out.status, out.signed = a.StatusCode, a.Header.Get("Rattanhoist-Response-Signature") != ""
	b, err := io.ReadAll(a.Body)
	out.body, out.err = string(b), err
	return out
}
