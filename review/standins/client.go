package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// request is one attempt of a requester.
type request struct {
	id, router, path, key, body string
	input, output               int
	deadline                    time.Duration
	lastEvent                   int
	prefix                      string
}

// answer is what the requester has received.
type answer struct {
	Request  request `json:"-"`
	ID       string  `json:"id"`
	SentMS   int64   `json:"sent_ms"`
	DoneMS   int64   `json:"done_ms"`
	Status   int     `json:"status"`
	Signed   string  `json:"signed,omitempty"`
	Body     string  `json:"-"`
	Events   []int   `json:"-"`
	Complete bool    `json:"complete"`
	Error    string  `json:"error,omitempty"`
}

var lastRequest atomic.Int64

func newID() string { return fmt.Sprintf("q%d", lastRequest.Add(1)) }

var clients = &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}

// send sends a request and reads its answer to the end.
func send(ctx context.Context, r request) *answer {
	ctx, cancel := context.WithTimeout(ctx, r.deadline+300*time.Millisecond)
	defer cancel()
	method := http.MethodPost
	var body io.Reader = strings.NewReader(r.body)
	q, err := http.NewRequestWithContext(ctx, method, "http://"+r.router+r.path, body)
	must(err)
	q.Host = host
	q.Header.Set("Rattanhoist-Request-Id", r.id)
	q.Header.Set("Rattanhoist-Deadline-Ms", strconv.Itoa(int(r.deadline.Milliseconds())))
	q.Header.Set("Api-Key", r.key)
	if r.input > 0 {
		q.Header.Set("Rattanhoist-Model", "m")
		q.Header.Set("Rattanhoist-Token-Usage", fmt.Sprintf("%d,%d", r.input, r.output))
		q.Header.Set("Rattanhoist-Prompt-Prefix", r.prefix)
	}
	if r.lastEvent > 0 {
		q.Header.Set("Last-Event-Id", strconv.Itoa(r.lastEvent))
	}
	a := &answer{Request: r, ID: r.id, SentMS: time.Now().UnixMilli()}
	defer func() { a.DoneMS = time.Now().UnixMilli() }()
	reply, err := clients.Do(q)
	if err != nil {
		a.Error = err.Error()
		return a
	}
	defer reply.Body.Close()
	a.Status, a.Signed = reply.StatusCode, reply.Header.Get("Rattanhoist-Response-Signature")
	b, err := io.ReadAll(reply.Body)
	a.Body, a.Complete = string(b), err == nil
	if err != nil {
		a.Error = err.Error()
	}
	for _, line := range strings.Split(a.Body, "\n") {
		if v, ok := strings.CutPrefix(line, "id: "); ok {
			n, _ := strconv.Atoi(v)
			a.Events = append(a.Events, n)
		}
	}
	return a
}

// ready reports whether a router answers the platform's readiness probe.
func (n *node) ready() bool {
	c := &http.Client{Timeout: time.Second}
	a, err := c.Get(fmt.Sprintf("http://%s:%d/v1/ready", n.ip, n.fleet.ports.ready))
	if err != nil {
		return false
	}
	_ = a.Body.Close()
	return a.StatusCode == http.StatusOK
}

const (
	host     = "reports.example"
	llm      = "survey-llm"
	portal   = "buyer-portal"
	tenant   = "hule930"
	firstKey = "n2ctnfzs989anu6wsjnb"
)

// route returns a route of a configuration.
func route(name, prefix, kind, service string, timeout, attempts int, resume bool) map[string]any {
	return map[string]any{
		"name": name, "hostname": host, "path_prefix": prefix, "route_type": kind, "timeout_ms": timeout, "target_latency_ms": 800, "priority": 0,
		"service": service, "attempts": attempts, "public": false, "session_affinity": kind == "streaming", "stream_resume": resume, "gap_aim_ms": 300,
	}
}

// configuration returns a configuration like that of the small site.
func configuration(version int, prepaid int64) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []any{
			route("report", "/report/", "streaming", llm, 15000, 2, true), route("question", "/question/", "streaming", llm, 12000, 1, false),
			route("fetch", "/fetch/", "non_idempotent", portal, 1500, 1, false), route("status", "/status/", "idempotent", portal, 1500, 2, false),
		},
		"services": []any{
			map[string]any{"name": llm, "health_path": "/health", "max_connections": 360, "protocol": "h1", "tls": false, "engine": map[string]any{
				"slots": 64, "kv_tokens": 483758, "token_kv_bytes": 163840, "link_mbps": 370000.0, "moves": false, "backups": false, "stride": 6, "most": 12,
				"pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0, "models": []any{map[string]any{"name": "m"}},
			}},
			map[string]any{"name": portal, "health_path": "/health", "max_connections": 96, "protocol": "h1", "tls": false},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": tenant, "api_keys": []any{firstKey}, "priority": 1, "prepaid": prepaid}},
	}
}

// publish sends a configuration to the control plane until it is acknowledged.
func (f *fleet) publish(c map[string]any, limit time.Duration) bool {
	body, _ := json.Marshal(c)
	client := &http.Client{Timeout: time.Second}
	for begun, n := time.Now(), 0; time.Since(begun) < limit; n++ {
		q, _ := http.NewRequest(http.MethodPut, "http://"+f.controls()[n%len(f.keepers)]+"/v1/config", bytes.NewReader(body))
		q.Header.Set("Content-Type", "application/json")
		a, err := client.Do(q)
		if err == nil {
			_ = a.Body.Close()
			if a.StatusCode == http.StatusOK {
				return true
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}

// everything holds all answers of the case, for the record.
var everything load

// load collects answers of concurrent requests.
type load struct {
	mu      sync.Mutex
	wg      sync.WaitGroup
	answers []*answer
}

func (l *load) start(r request) {
	l.wg.Go(func() {
		a := send(context.Background(), r)
		l.add(a)
		everything.add(a)
	})
}

func (l *load) add(a *answer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.answers = append(l.answers, a)
}
