package router

import (
	"crypto/sha256"
	"fmt"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/onsi/gomega"
	"go.uber.org/zap"

	"rattanhoist.example/rattanhoist/comparer"
	"rattanhoist.example/rattanhoist/configurer"
	"rattanhoist.example/rattanhoist/loader"
	"rattanhoist.example/rattanhoist/messenger"
)

const (
	testKey      = "rh-test"
	testSecret   = "a key of a test deployment"
	testSettings = `[deployment]
name = test
key_file = a.key
operator_key_file = a.key
endpoint_key_file = a.key
[policy]
max_body_bytes = 1000
max_timeout = 10m
[router r]
zone = a
http = 127.0.0.1:1
rpc = 127.0.0.1:2
[keeper k]
zone = a
rpc = 127.0.0.1:3
data_dir = d
`
)

// newTestRouter returns a router that has a configuration but no listeners. The
// strings in more are appended to its settings, for example to add routers of
// the same zone.
func newTestRouter(t *testing.T, more ...string) *Router {
	t.Helper()
	dir := t.TempDir()
	for name, text := range map[string]string{"rattanhoist.ini": testSettings + strings.Join(more, ""), "a.key": testSecret} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	s, err := loader.Load(filepath.Join(dir, "rattanhoist.ini"))
	if err != nil {
		t.Fatal(err)
	}
	r, cleanUp, err := New(s, s.Processes(loader.KindRouter)[0], zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(cleanUp)
	hash := sha256.Sum256([]byte(testKey))
	r.snapshot.Store(configurer.Compile(&messenger.Configuration{
		Version:    1,
		Workspaces: []*messenger.Workspace{{Name: "w", KeyHashes: [][]byte{hash[:]}}},
		Services: []*messenger.Service{
			{Name: "llm", Kind: messenger.ServiceKind_SERVICE_KIND_MODEL, Models: []string{"m"}, PromptPrice: 1, AnswerPrice: 1, MaxAnswerTokens: 100},
			{Name: "portal", Kind: messenger.ServiceKind_SERVICE_KIND_PLAIN, CallPrice: 5},
			{Name: "dear", Kind: messenger.ServiceKind_SERVICE_KIND_MODEL, Models: []string{"dear"}, PromptPrice: 1 << 60, AnswerPrice: 1 << 60, MaxAnswerTokens: 100},
		},
	}))
	return r
}

// TestBadInput compares the responses to invalid input with a golden file and
// checks that no endpoint was registered and no budget stays reserved.
func TestBadInput(t *testing.T) {
	const chat, good = "POST /v1/chat/completions", `{"model": "m", "messages": [{"role": "user", "content": "x"}]`
	bearer := "Authorization: Bearer " + testKey
	endpoints := "Authorization: Bearer " + testSecret
	r := newTestRouter(t)
	var got strings.Builder
	for _, c := range []struct{ name, target, headers, body string }{
		{"no key", chat, "", good + "}"},
		{"another scheme", chat, "Authorization: Basic eDp5", good + "}"},
		{"wrong key", chat, "Authorization: Bearer rh-wrong", good + "}"},
		{"malformed JSON", chat, bearer, `{"model": "m",`},
		{"JSON that is no object", chat, bearer, `[1]`},
		{"wrong type", chat, bearer, `{"model": 7, "messages": []}`},
		{"wrong type within", chat, bearer, good + `, "max_tokens": "8k"}`},
		{"unknown fields", chat, bearer, good + `, "max_tokns": 8, "Stream": true}`},
		{"several answers", chat, bearer, good + `, "n": 2}`},
		{"no model", chat, bearer, `{"messages": []}`},
		{"unknown model", chat, bearer, `{"model": "none", "messages": []}`},
		{"no messages", chat, bearer, `{"model": "m"}`},
		{"negative answer", chat, bearer, good + `, "max_tokens": -1}`},
		{"price that does not fit", chat, bearer, `{"model": "dear", "messages": [{"role": "user"}]}`},
		{"over-long body", chat, bearer, good + `, "user": "` + strings.Repeat("x", 1000) + `"}`},
		{"timeout without a unit", chat, bearer + "\nRequest-Timeout: 30", good + "}"},
		{"timeout too long", chat, bearer + "\nRequest-Timeout: 11m", good + "}"},
		{"repeatable", chat, bearer + "\nRequest-Repeatable: perhaps", good + "}"},
		{"priority", chat, bearer + "\nRequest-Priority: 10", good + "}"},
		{"over-long id", chat, bearer + "\nIdempotency-Key: " + strings.Repeat("k", 201), good + "}"},
		{"unknown service", "GET /v1/services/none/status", bearer, ""},
		{"plain call of a model service", "GET /v1/services/llm/status", bearer, ""},
		{"announcement with a caller's key", "POST /v1/endpoints", bearer, "{}"},
		{"malformed announcement", "POST /v1/endpoints", endpoints, "{"},
		{"unknown field of an announcement", "POST /v1/endpoints", endpoints, `{"name": "e", "colour": "red"}`},
		{"wrong type in an announcement", "POST /v1/endpoints", endpoints, `{"name": "e", "capacity": "8"}`},
	} {
		fmt.Fprintf(&got, "# %s\n%s", c.name, send(r, c.target, c.headers, c.body))
	}
	comparer.Golden(t, "bad_input.golden", got.String())
	g := gomega.NewWithT(t)
	g.Expect(r.tracker.Table().All()).To(gomega.BeEmpty())
	g.Expect(r.treasurer.Held()).To(gomega.BeZero())
}

// send passes a request to the router's HTTP handler and returns the status,
// the content type and the body.
func send(r *Router, target, headers, body string) string {
	method, path, _ := strings.Cut(target, " ")
	q := httptest.NewRequest(method, path, strings.NewReader(body))
	for _, h := range strings.Split(headers, "\n") {
		if k, v, ok := strings.Cut(h, ": "); ok {
			q.Header.Set(k, v)
		}
	}
	w := httptest.NewRecorder()
	r.handler().ServeHTTP(w, q)
	return fmt.Sprintf("%d %s\n%s\n", w.Code, w.Header().Get("Content-Type"), w.Body.String())
}
