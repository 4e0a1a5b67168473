package imitator

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"math/rand/v2"
	"strings"
)

var words = strings.Fields("roof beam joist damp crack tile gutter render sill hinge paint drain wall slab vent pipe")

// Expected is the one whole answer that every engine generates for a request.
type Expected struct {
	// Tokens are the answer's pieces in order.
	Tokens []string
	// PromptTokens is the size of the prompt as every engine counts it.
	PromptTokens int64
}

// Text returns the whole answer.
func (e Expected) Text() string { return strings.Join(e.Tokens, "") }

// Digest returns the SHA-256 sum of the whole answer in hex.
func (e Expected) Digest() string {
	sum := sha256.Sum256([]byte(e.Text()))
	return hex.EncodeToString(sum[:])
}

// Expect is the oracle for answers: requestID is "workspace/id" as a router
// sends it, messages is the JSON list of the request and maxTokens the bound
// on the answer. Spacing and escapes of the JSON do not matter, since a
// router may write it anew.
func Expect(requestID string, messages json.RawMessage, maxTokens int64) (Expected, error) {
	body, err := canonical(messages)
	if err != nil {
		return Expected{}, err
	}
	return Expected{
		Tokens:       Answer(requestID, body, answerLength(requestID, maxTokens)),
		PromptTokens: promptTokens(body),
	}, nil
}

// Answer returns the n words that every engine generates for a request: it
// depends on the request's identity and body alone, so anyone can tell the
// whole answer from a fragment or another's.
func Answer(requestID string, body []byte, n int64) []string {
	sum := sha256.Sum256(append([]byte(requestID+"\x00"), body...))
	r := rand.New(rand.NewChaCha8(sum))
	out := make([]string, 0, n)
	for range n {
		out = append(out, words[r.IntN(len(words))]+" ")
	}
	return out
}

// canonical writes JSON in one way, never longer than the caller's way times
// four, so that a prompt never has more tokens than the caller sent bytes.
func canonical(messages json.RawMessage) ([]byte, error) {
	d := json.NewDecoder(bytes.NewReader(messages))
	d.UseNumber()
	var v any
	if err := d.Decode(&v); err != nil {
		return nil, err
	}
	var b bytes.Buffer
	e := json.NewEncoder(&b)
	e.SetEscapeHTML(false)
	if err := e.Encode(v); err != nil {
		return nil, err
	}
	return bytes.TrimSpace(b.Bytes()), nil
}

// answerLength varies the answers between half and all of the bound.
func answerLength(id string, most int64) int64 {
	sum := sha256.Sum256([]byte(id))
	half := most / 2
	return half + int64(sum[0])%max(most-half, 1) + 1
}

// promptTokens counts about four bytes to a token, as engines do.
func promptTokens(messages []byte) int64 { return int64(len(messages)+3) / 4 }
