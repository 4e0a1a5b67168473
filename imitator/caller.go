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
	"strconv"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
)

// Errors of a caller. Compare with errors.Is.
var (
	// ErrNotWhole says that an answer does not fit its completion mark.
	ErrNotWhole = merry.Sentinel("answer is not whole")
	// ErrWrong says that a whole answer is not the one of this request.
	ErrWrong = merry.Sentinel("answer is not that of the request")
)

// Refusal is a problem that the router answered with, also in the middle of a
// stream.
type Refusal struct {
	Status  int    `json:"status"`
	Code    string `json:"code"`
	Outcome string `json:"outcome"`
	Detail  string `json:"detail"`
	Field   string `json:"field"`
	// RetryAfter is when to come back; 0 where that does not help.
	RetryAfter time.Duration `json:"-"`
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("status %d: %s (%s): %s", r.Status, r.Code, r.Outcome, r.Detail)
}

// Call is one request of a caller.
type Call struct {
	Router    string
	Key       string
	RequestID string
	Model     string
	Prompt    string
	MaxTokens int64
	Stream    bool
	// Workspace has the answer checked against the oracle; "" does not.
	Workspace string
	// Timeout is the deadline that is sent; 0 leaves it to the router.
	Timeout time.Duration
	// NotRepeatable marks the request so.
	NotRepeatable bool
	// Priority is 0 (first) to 9.
	Priority int
	// Service and Path are those of a plain call; Model is unused then.
	Service, Path string
}

// Reply is a whole answer, checked against its mark.
type Reply struct {
	RequestID     string
	Endpoint      string
	Text          string
	ChargedTokens int64
	Chunks        int
	// FirstToken is the time from the call to the first text.
	FirstToken time.Duration
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
	Error       *Refusal  `json:"error"`
}

const maxConnsPerRouter = 512

// callers is the client of all calls: it keeps connections and never resends
// by itself.
var callers = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxConnsPerRouter}}

func (c Call) messages() []map[string]string {
	return []map[string]string{{"role": "user", "content": c.Prompt}}
}

// Expect returns the answer that every engine gives to the call.
func (c Call) Expect() (Expected, error) {
	b, err := json.Marshal(c.messages())
	if err != nil {
		return Expected{}, err
	}
	return Expect(c.Workspace+"/"+c.RequestID, b, c.MaxTokens)
}

// Do sends the call and checks the answer. A refusal is a *Refusal.
func (c Call) Do(ctx context.Context) (*Reply, error) {
	start := time.Now()
	r, err := c.request(ctx)
	if err != nil {
		return nil, err
	}
	resp, err := callers.Do(r)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, refusal(resp)
	}
	reply, err := c.read(resp, start)
	if err != nil {
		return nil, err
	}
	return reply, c.verify(reply)
}

func (c Call) request(ctx context.Context) (*http.Request, error) {
	path, body := "/v1/services/"+c.Service+c.Path, []byte(c.Prompt)
	if c.Service == "" {
		var err error
		path = "/v1/chat/completions"
		body, err = json.Marshal(map[string]any{
			"model": c.Model, "stream": c.Stream, "max_tokens": c.MaxTokens, "messages": c.messages(),
		})
		if err != nil {
			return nil, err
		}
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.Router+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	// Go's client would resend by itself and hide an attempt.
	r.GetBody = nil
	r.Header.Set("Authorization", "Bearer "+c.Key)
	r.Header.Set("Idempotency-Key", c.RequestID)
	if c.Timeout > 0 {
		r.Header.Set("Request-Timeout", c.Timeout.String())
	}
	if c.NotRepeatable {
		r.Header.Set("Request-Repeatable", "false")
	}
	if c.Priority > 0 {
		r.Header.Set(headerPriority, strconv.Itoa(c.Priority))
	}
	return r, nil
}

func refusal(resp *http.Response) error {
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	out := &Refusal{}
	if json.Unmarshal(b, out) != nil || out.Code == "" {
		return merry.Errorf("status %d: %s", resp.StatusCode, strings.TrimSpace(string(b)))
	}
	out.Status = resp.StatusCode
	s, _ := strconv.Atoi(resp.Header.Get("Retry-After"))
	out.RetryAfter = time.Duration(s) * time.Second
	return out
}

func (c Call) read(resp *http.Response, start time.Time) (*Reply, error) {
	switch {
	case c.Service != "":
		return c.readPlain(resp, start)
	case c.Stream:
		return readStream(resp.Body, start)
	default:
		return readWhole(resp.Body, start)
	}
}

func readWhole(body io.Reader, start time.Time) (*Reply, error) {
	var b replyBody
	if err := json.NewDecoder(body).Decode(&b); err != nil {
		return nil, err
	}
	if len(b.Choices) == 0 {
		return nil, ErrNotWhole
	}
	return check(b.Choices[0].Message.Content, 1, b.Rattanhoist, time.Since(start))
}

func readStream(body io.Reader, start time.Time) (*Reply, error) {
	var text strings.Builder
	var first time.Duration
	chunks := 0
	sc := bufio.NewScanner(body)
	for sc.Scan() {
		data, ok := strings.CutPrefix(sc.Text(), "data: ")
		if !ok {
			continue
		}
		var b replyBody
		if err := json.Unmarshal([]byte(data), &b); err != nil {
			return nil, fmt.Errorf("%w: %s", ErrNotWhole, data)
		}
		if b.Error != nil {
			return nil, b.Error
		}
		if len(b.Choices) == 0 {
			return nil, fmt.Errorf("%w: %s", ErrNotWhole, data)
		}
		if b.Rattanhoist.Complete {
			return check(text.String(), chunks, b.Rattanhoist, first)
		}
		if b.Rattanhoist.Offset != int64(text.Len()) {
			return nil, ErrNotWhole
		}
		if chunks == 0 {
			first = time.Since(start)
		}
		text.WriteString(b.Choices[0].Delta.Content)
		chunks++
	}
	return nil, ErrNotWhole
}

func check(text string, chunks int, m replyMark, first time.Duration) (*Reply, error) {
	sum := sha256.Sum256([]byte(text))
	if !m.Complete || m.Length != int64(len(text)) || m.Digest != hex.EncodeToString(sum[:]) {
		return nil, ErrNotWhole
	}
	return &Reply{
		RequestID: m.RequestID, Endpoint: m.Endpoint, Text: text, ChargedTokens: m.ChargedTokens,
		Chunks: chunks, FirstToken: first,
	}, nil
}

func (c Call) readPlain(resp *http.Response, start time.Time) (*Reply, error) {
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, err
	}
	sum := sha256.Sum256(b)
	if resp.Header.Get("Answer-Digest") != hex.EncodeToString(sum[:]) {
		return nil, ErrNotWhole
	}
	charged, _ := strconv.ParseInt(resp.Header.Get("Charged-Tokens"), 10, 64)
	return &Reply{
		RequestID: c.RequestID, Endpoint: resp.Header.Get("Answer-Endpoint"), Text: string(b),
		ChargedTokens: charged, Chunks: 1, FirstToken: time.Since(start),
	}, nil
}

// verify compares a whole answer with the oracle's.
func (c Call) verify(r *Reply) error {
	if r.RequestID != c.RequestID {
		return merry.Errorf("%w: it names request %s", ErrWrong, r.RequestID)
	}
	if c.Workspace == "" {
		return nil
	}
	if c.Service != "" {
		return c.verifyPlain(r)
	}
	want, err := c.Expect()
	if err != nil {
		return err
	}
	if want.Text() != r.Text {
		return merry.Errorf("%w: %d bytes, want %d", ErrWrong, len(r.Text), len(want.Text()))
	}
	return nil
}

func (c Call) verifyPlain(r *Reply) error {
	var a PlainAnswer
	if err := json.Unmarshal([]byte(r.Text), &a); err != nil {
		return merry.Errorf("%w: %s", ErrWrong, err.Error())
	}
	if a.RequestID != c.Workspace+"/"+c.RequestID || a.Path != c.Path {
		return merry.Errorf("%w: it names request %s, path %s", ErrWrong, a.RequestID, a.Path)
	}
	return nil
}
