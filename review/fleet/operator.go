package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"
)

const (
	// callTimeout is how long an operator waits for an answer before it asks another node.
	callTimeout = time.Second
	retryPause  = 200 * time.Millisecond
)

// service and routes of the configuration.
const (
	service   = "buyer-portal"
	host      = "portal.example"
	plainPath = "/fetch/"
	eventPath = "/draft/"
)

// configuration returns a whole configuration in the form of the pages.
func configuration(version int) []byte {
	route := func(name, path, kind string) map[string]any {
		return map[string]any{
			"name": name, "hostname": host, "path_prefix": path, "route_type": kind, "timeout_ms": 12000, "target_latency_ms": 800,
			"priority": 1, "service": service, "attempts": 1, "public": false, "session_affinity": false, "stream_resume": false, "gap_aim_ms": 300,
		}
	}
	b, _ := json.Marshal(map[string]any{
		"version":  version,
		"routes":   []any{route("r-fetch", plainPath, "non_idempotent"), route("r-draft", eventPath, "streaming")},
		"services": []any{map[string]any{"name": service, "health_path": "/health", "max_connections": 96, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []any{map[string]any{"name": "surveys", "api_keys": []string{"key-1"}, "priority": 1}},
	})
	return b
}

// call makes one call to a control node and returns its status.
func call(method, url string, body []byte) (int, string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	q.Header.Set("Content-Type", "application/json")
	a, err := http.DefaultClient.Do(q)
	if err != nil {
		return 0, "", err
	}
	defer a.Body.Close()
	b, err := io.ReadAll(a.Body)
	return a.StatusCode, string(b), err
}

var errNoAck = errors.New("the configuration was not acknowledged")

// publish sends a configuration to one node after another until it is acknowledged.
func (r *run) publish(nodes []*machine, version int, within time.Duration) error {
	body, begun, last := configuration(version), time.Now(), ""
	for i := 0; time.Since(begun) < within; i++ {
		m := nodes[i%len(nodes)]
		status, text, err := call(http.MethodPut, "http://"+m.controlAddress()+"/v1/config", body)
		if err == nil && status == http.StatusOK {
			r.note("configuration %d acknowledged by %s after %.1f s", version, m.name, time.Since(begun).Seconds())
			return nil
		}
		if line := fmt.Sprintf("configuration %d at %s: status %d %s, error %v", version, m.name, status, text, err); line != last {
			r.note("%s", line)
			last = line
		}
		time.Sleep(retryPause)
	}
	return errNoAck
}
