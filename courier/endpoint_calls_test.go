package courier_test

import (
	"fmt"
	"net/http"
	"net/url"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// A call of an endpoint in wrong form, or in an unusual one.
type endpointCall struct {
	name, method, id, body string
}

// heartbeatBody returns the body of a sound heartbeat in which one text is replaced.
func heartbeatBody(text, replacement string) string {
	const sound = `{"service":"engine","address":"10.9.9.9:80","zone":"z4","version":"v1","slots":8,"state":"ready","cold_remaining_ms":0,"sequence":1}`
	return strings.Replace(sound, text, replacement, 1)
}

// wrongCalls are calls that no keeper can ever serve.
func wrongCalls() []endpointCall {
	sound := heartbeatBody("", "")
	calls := []endpointCall{
		{"long address", "PUT", "i-1", heartbeatBody("10.9.9.9:80", "[fe80::1%"+strings.Repeat("z", 4_000)+"]:80")},
		{"long zone", "PUT", "i-1", heartbeatBody("z4", strings.Repeat("z", 50_000))},
		{"leave that is no object", "DELETE", "i-1", "[]"},
		{"state", "PUT", "i-1", heartbeatBody("ready", "gone")},
		{"port", "PUT", "i-1", heartbeatBody(":80", ":8080808080")},
		{"body that ends early", "PUT", "i-1", sound[:40]},
		{"cold time", "PUT", "i-1", heartbeatBody(`"cold_remaining_ms":0`, `"cold_remaining_ms":-1`)},
		{"slots", "PUT", "i-1", heartbeatBody(`"slots":8`, `"slots":-8`)},
		{"start time", "PUT", "i-1", heartbeatBody(`"sequence":1`, `"sequence":1,"born":9999999999999`)},
	}
	for _, id := range []struct{ name, text string }{
		{"not UTF-8", "i-9d%FF%FE"},
		{"a surrogate half", "i-%ED%A0%80"},
		{"an overlong form", "i-%C0%AF"},
		{"cut within a character", "i-%E6%97"},
		{"line end", "i-1%0D%0AX-Y:%20z"},
		{"zero byte", "i-%00"},
		{"60 kB", strings.Repeat("x", 60_000)},
	} {
		calls = append(calls, endpointCall{"heartbeat, id: " + id.name, "PUT", id.text, sound},
			endpointCall{"last heartbeat, id: " + id.name, "PUT", id.text, heartbeatBody("ready", "draining")},
			endpointCall{"leave, id: " + id.name, "DELETE", id.text, ""})
	}
	return calls
}

// unusualCalls are calls that are valid.
func unusualCalls() []endpointCall {
	var calls []endpointCall
	for i, id := range []string{"測試-引擎", "движок-é", "i 1 +%/?#", strings.Repeat("x", 2_000), strings.Repeat("長", 300), "\U0001f600", "i-\ufffd"} {
		body := heartbeatBody("10.9.9.9:80", fmt.Sprintf("10.9.8.%d:80", i))
		calls = append(calls, endpointCall{id, "PUT", url.PathEscape(id), body}, endpointCall{id, "DELETE", url.PathEscape(id), ""})
	}
	return append(calls,
		endpointCall{"zone", "PUT", "i-zone", heartbeatBody("z4", "東京-一")},
		endpointCall{"start time", "PUT", "i-born", heartbeatBody(`"sequence":1`, `"sequence":1,"born":1764723000123`)},
		endpointCall{"IPv6", "PUT", "i-v6", heartbeatBody("10.9.9.9:80", "[fe80::1%eth0]:80")})
}

// Guards against calls of endpoints that are accepted or repeated for ever although no keeper can store or pass
// on what they say, and against valid calls that are refused. Refused for good is 400, at once.
func TestCallsOfEndpointsInWrongFormAreRefusedForGood(t *testing.T) {
	f, g := startCluster(t, 102)
	call := func(keeper int, c endpointCall) (int, time.Duration) {
		begun := time.Now()
		r, err := http.NewRequestWithContext(t.Context(), c.method, "http://"+f.controlAddress(keeper)+"/v1/instances/"+c.id, strings.NewReader(c.body))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		a, err := http.DefaultClient.Do(r)
		g.Expect(err).NotTo(gomega.HaveOccurred(), c.name)
		defer func() { _ = a.Body.Close() }()
		return a.StatusCode, time.Since(begun)
	}
	for i, c := range wrongCalls() {
		status, took := call(1+i%3, c)
		g.Expect(status).To(gomega.Equal(http.StatusBadRequest), c.name)
		g.Expect(took).To(gomega.BeNumerically("<", 500*time.Millisecond), c.name)
	}
	for _, c := range unusualCalls() {
		for keeper := 1; keeper <= 3; keeper++ {
			status, _ := call(keeper, c)
			g.Expect(status).To(gomega.Equal(http.StatusOK), "%s %.40s", c.method, c.name)
		}
	}
}
