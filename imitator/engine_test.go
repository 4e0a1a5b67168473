package imitator_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rattanhoist.example/rattanhoist/imitator"
)

const messages = `[{"role":"user","content":"damp under the rear gutter"}]`

// engineAt is an engine behind a real HTTP server, with its run log's file.
func engineAt(t *testing.T, o imitator.EngineOptions) (base, runs string) {
	t.Helper()
	runs = filepath.Join(t.TempDir(), "runs")
	log, closeLog, err := imitator.NewRunLog("e", runs)
	if err != nil {
		t.Fatal(err)
	}
	s := httptest.NewServer(imitator.NewEngine(o, log))
	t.Cleanup(func() { s.CloseClientConnections(); s.Close(); _ = closeLog() })
	return s.URL, runs
}

func send(t *testing.T, base, id string) *http.Response {
	t.Helper()
	body := fmt.Sprintf(`{"max_tokens":24,"messages":%s}`, messages)
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, base+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("Request-Id", id)
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	return resp
}

type event struct {
	ID      string
	Offset  int
	Choices []struct{ Delta struct{ Content string } }
	Length  int
	Digest  string
}

// readAll returns the text and the last event; err tells a broken connection.
func readAll(body io.Reader) (text string, last event, ids map[string]bool, err error) {
	ids = map[string]bool{}
	sc := bufio.NewScanner(body)
	for sc.Scan() {
		data, ok := strings.CutPrefix(sc.Text(), "data: ")
		if !ok || data == "[DONE]" {
			continue
		}
		last = event{}
		if err := json.Unmarshal([]byte(data), &last); err != nil {
			return text, last, ids, err
		}
		ids[last.ID] = true
		text += last.Choices[0].Delta.Content
	}
	return text, last, ids, sc.Err()
}

func fault(t *testing.T, base, body string) (int, string) {
	t.Helper()
	resp, err := http.Post(base+"/faults", "application/json", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	b, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(b)
}

func expect(t *testing.T, id string) imitator.Expected {
	t.Helper()
	e, err := imitator.Expect(id, json.RawMessage(messages), 24)
	if err != nil {
		t.Fatal(err)
	}
	return e
}

// TestAnswerIgnoresSpacing holds the oracle and the engine together where a
// router writes the JSON anew.
func TestAnswerIgnoresSpacing(t *testing.T) {
	g := gomega.NewWithT(t)
	a, err := imitator.Expect("w/1", json.RawMessage(`[ {"content":"a<b", "role":"user"} ]`), 20)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	b, err := imitator.Expect("w/1", json.RawMessage(`[{"role":"user","content":"a\u003cb"}]`), 20)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(a).To(gomega.Equal(b))
}

func TestResumeGivesTheSameRun(t *testing.T) {
	g := gomega.NewWithT(t)
	base, runs := engineAt(t, imitator.EngineOptions{TokenTime: time.Millisecond})
	resp := send(t, base, "w/1")
	id := resp.Header.Get(imitator.HeaderStreamID)
	text, last, _, err := readAll(resp.Body)
	want := expect(t, "w/1")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(text).To(gomega.Equal(want.Text()))
	g.Expect(last.Digest).To(gomega.Equal(want.Digest()))
	const from = 7
	resumed, err := http.Get(fmt.Sprintf("%s/v1/streams/%s?offset=%d", base, id, from))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	rest, last, _, err := readAll(resumed.Body)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(rest).To(gomega.Equal(text[from:]))
	g.Expect(last.Length).To(gomega.Equal(len(text)))
	g.Expect(events(t, runs, "begin")).To(gomega.Equal(1))
}

func TestDroppedConnectionIsResumed(t *testing.T) {
	g := gomega.NewWithT(t)
	base, runs := engineAt(t, imitator.EngineOptions{TokenTime: time.Millisecond})
	code, _ := fault(t, base, `{"kind":"drop"}`)
	g.Expect(code).To(gomega.Equal(http.StatusNoContent))
	resp := send(t, base, "w/1")
	head, _, _, err := readAll(resp.Body)
	g.Expect(err).To(gomega.HaveOccurred())
	resumed, err := http.Get(fmt.Sprintf("%s/v1/streams/%s?offset=%d", base, resp.Header.Get(imitator.HeaderStreamID), len(head)))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	rest, _, _, err := readAll(resumed.Body)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(head + rest).To(gomega.Equal(expect(t, "w/1").Text()))
	g.Expect(events(t, runs, "begin")).To(gomega.Equal(1))
}

func TestCancelAndLostCallerEndTheRun(t *testing.T) {
	g := gomega.NewWithT(t)
	base, runs := engineAt(t, imitator.EngineOptions{TokenTime: 100 * time.Millisecond, Grace: 20 * time.Millisecond})
	resp := send(t, base, "w/1")
	r, err := http.NewRequest(http.MethodDelete, base+"/v1/streams/"+resp.Header.Get(imitator.HeaderStreamID), nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	out, err := http.DefaultClient.Do(r)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(out.StatusCode).To(gomega.Equal(http.StatusNoContent))
	_, _, _, err = readAll(resp.Body)
	g.Expect(err).To(gomega.HaveOccurred())
	gone := send(t, base, "w/2")
	_ = gone.Body.Close()
	g.Eventually(func() int { return events(t, runs, "broken") }).Should(gomega.Equal(2))
}

func TestFaultsStrike(t *testing.T) {
	want := expect(t, "w/1")
	for _, c := range []struct {
		fault string
		check func(g *gomega.WithT, text string, last event, ids map[string]bool, err error)
	}{
		{`{"kind":"die_mid_stream"}`, func(g *gomega.WithT, text string, _ event, _ map[string]bool, err error) {
			g.Expect(err).To(gomega.HaveOccurred())
			g.Expect(want.Text()).To(gomega.HavePrefix(text))
		}},
		{`{"kind":"short"}`, func(g *gomega.WithT, text string, last event, _ map[string]bool, err error) {
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(len(text)).To(gomega.BeNumerically("<", last.Length))
		}},
		{`{"kind":"unmarked"}`, func(g *gomega.WithT, text string, last event, _ map[string]bool, err error) {
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(last.Digest).To(gomega.BeEmpty())
			g.Expect(len(text)).To(gomega.BeNumerically("<", len(want.Text())))
		}},
		{`{"kind":"crossed"}`, func(g *gomega.WithT, _ string, _ event, ids map[string]bool, _ error) {
			g.Expect(ids).NotTo(gomega.HaveKey("w/1"))
		}},
		{`{"kind":"crossed_piece"}`, func(g *gomega.WithT, _ string, _ event, ids map[string]bool, _ error) {
			g.Expect(ids).To(gomega.HaveLen(2))
		}},
	} {
		t.Run(c.fault, func(t *testing.T) {
			g := gomega.NewWithT(t)
			base, _ := engineAt(t, imitator.EngineOptions{TokenTime: 100 * time.Microsecond})
			code, _ := fault(t, base, c.fault)
			g.Expect(code).To(gomega.Equal(http.StatusNoContent))
			text, last, ids, err := readAll(send(t, base, "w/1").Body)
			c.check(g, text, last, ids, err)
			text, _, _, err = readAll(send(t, base, "w/1").Body)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(text).To(gomega.Equal(want.Text()), "one count, one fault")
		})
	}
}

func TestFaultyFaultsNameTheField(t *testing.T) {
	g := gomega.NewWithT(t)
	base, _ := engineAt(t, imitator.EngineOptions{})
	for body, field := range map[string]string{
		`{"kind":"stall","cuont":2}`:         "cuont",
		`{"kind":"sleep"}`:                   "kind",
		`{"kind":"stall","for":"2"}`:         "for",
		`{"kind":"stall","count":-1}`:        "count",
		`{"kind":"late","delay":"-2s"}`:      "delay",
		`{"kind":"slow","factor":-3}`:        "factor",
		`{"kind":"slow","for":"1s","count":`: "body",
	} {
		code, text := fault(t, base, body)
		g.Expect(code).To(gomega.Equal(http.StatusBadRequest), body)
		g.Expect(text).To(gomega.ContainSubstring(`"field":"`+field+`"`), body)
	}
}

func TestStallEndsByCancelOnly(t *testing.T) {
	g := gomega.NewWithT(t)
	base, runs := engineAt(t, imitator.EngineOptions{TokenTime: 100 * time.Microsecond, Grace: 10 * time.Millisecond})
	fault(t, base, `{"kind":"stall"}`)
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, base+"/v1/chat/completions", strings.NewReader(`{"max_tokens":24,"messages":`+messages+`}`))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	resp, err := http.DefaultClient.Do(r)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, _, _, err = readAll(resp.Body)
	g.Expect(err).To(gomega.MatchError(context.DeadlineExceeded))
	g.Eventually(func() int { return events(t, runs, "broken") }).Should(gomega.Equal(1))
}
