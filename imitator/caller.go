package imitator

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/ansel1/merry/v2"
)

// ErrNotWhole says that an answer does not fit its completion mark.
var ErrNotWhole = merry.Sentinel("answer is not whole")

// Call is one request of a caller.
type Call struct {
	Router    string
	Key       string
	RequestID string
	Model     string
	Prompt    string
	MaxTokens int64
	Stream    bool
}

// Reply is a whole answer, checked against its mark.
type Reply struct {
	RequestID     string
	Endpoint      string
	Text          string
	ChargedTokens int64
	Chunks        int
}

type replyMark struct {
	RequestID     string `json:"request_id"`
	Offset        int64  `json:"offset"`
	Complete      bool   `json:"complete"`
	Length        int64  `json:"length"`
	Digest        string `json:"digest"`
	Endpoint      string `json:"endpoint"`
	ChargedTokens int64  `json:"charged_tokens"`
}

type replyBody struct {
	Choices []struct {
		Delta   struct{ Content string } `json:"delta"`
		Message struct{ Content string } `json:"message"`
	} `json:"choices"`
	Rattanhoist replyMark `json:"rattanhoist"`
}

// Do sends the call and checks the answer.
func (c Call) Do(ctx context.Context) (*Reply, error) {
	body, err := json.Marshal(map[string]any{
		"model": c.Model, "stream": c.Stream, "max_tokens": c.MaxTokens,
		"messages": []map[string]string{{"role": "user", "content": c.Prompt}},
	})
	if err != nil {
		return nil, err
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.Router+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	r.Header.Set("Authorization", "Bearer "+c.Key)
	r.Header.Set("Idempotency-Key", c.RequestID)
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		b, _ := io.ReadAll(resp.Body)
		return nil, merry.Errorf("status %d: %s", resp.StatusCode, strings.TrimSpace(string(b)))
	}
	if c.Stream {
		return readStream(resp.Body)
	}
	var b replyBody
	if err := json.NewDecoder(resp.Body).Decode(&b); err != nil {
		return nil, err
	}
	return check(b.Choices[0].Message.Content, 1, b.Rattanhoist)
}

func readStream(body io.Reader) (*Reply, error) {
	var text strings.Builder
	chunks := 0
	sc := bufio.NewScanner(body)
	for sc.Scan() {
		data, ok := strings.CutPrefix(sc.Text(), "data: ")
		if !ok {
			continue
		}
		var b replyBody
		if err := json.Unmarshal([]byte(data), &b); err != nil || len(b.Choices) == 0 {
			return nil, fmt.Errorf("%w: %s", ErrNotWhole, data)
		}
		if b.Rattanhoist.Complete {
			return check(text.String(), chunks, b.Rattanhoist)
		}
		if b.Rattanhoist.Offset != int64(text.Len()) {
			return nil, ErrNotWhole
		}
		text.WriteString(b.Choices[0].Delta.Content)
		chunks++
	}
	return nil, ErrNotWhole
}

func check(text string, chunks int, m replyMark) (*Reply, error) {
	sum := sha256.Sum256([]byte(text))
	if !m.Complete || m.Length != int64(len(text)) || m.Digest != hex.EncodeToString(sum[:]) {
		return nil, ErrNotWhole
	}
	return &Reply{RequestID: m.RequestID, Endpoint: m.Endpoint, Text: text, ChargedTokens: m.ChargedTokens, Chunks: chunks}, nil
}
