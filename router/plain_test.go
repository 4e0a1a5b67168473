package router_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rattanhoist.example/rattanhoist/imitator"
	"rattanhoist.example/rattanhoist/launcher"
	"rattanhoist.example/rattanhoist/loader"
)

// deskHandler answers according to the path.
func deskHandler(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	w.Header().Set("ETag", `"7"`)
	w.Header().Set("Server", "not for callers")
	switch r.URL.EscapedPath() {
	case "/missing":
		http.Error(w, "no such part", http.StatusNotFound)
	case "/broken":
		http.Error(w, "ledger is closed", http.StatusInternalServerError)
	case "/moved":
		http.Redirect(w, r, "/elsewhere", http.StatusSeeOther)
	case "/endless":
		w.Header().Set("Connection", "close")
		c, _, _ := http.NewResponseController(w).Hijack()
		_, _ = c.Write([]byte("HTTP/1.0 200 OK\r\n\r\nhalf of it"))
		_ = c.Close()
	case "/status":
		c, _, _ := http.NewResponseController(w).Hijack()
		_, _ = fmt.Fprintf(c, "HTTP/1.1 %s X\r\nContent-Length: 5\r\n\r\nhello", r.URL.RawQuery)
		_ = c.Close()
	default:
		text := fmt.Sprintf("%s %s %s %s", r.Method, r.RequestURI, r.Header.Get("Accept-Language"), body)
		w.Header().Set("Content-Length", fmt.Sprint(len(text)))
		_, _ = io.WriteString(w, text)
	}
}

// startDesk serves a plain service from the test process and announces it.
func (f *fleet) startDesk(address string) {
	f.t.Helper()
	s := &httptest.Server{Listener: listen(f.t, address), Config: &http.Server{Handler: http.HandlerFunc(deskHandler)}}
	s.Start()
	f.t.Cleanup(s.Close)
	var routers []string
	for _, p := range f.Settings().Processes(loader.KindRouter) {
		routers = append(routers, p.HTTP())
	}
	ctx, cancel := context.WithCancel(context.Background())
	f.t.Cleanup(cancel)
	a := imitator.Announcement{Name: "desk-1", Service: "desk", Zone: "osu-hall", Address: address, Labels: map[string]string{}, Capacity: 8}
	go imitator.NewAnnouncer(a, routers, "endpoint-key-of-a-test-deployment", 200*time.Millisecond, func() int64 { return 0 }).Run(ctx)
}

// send makes a plain call and returns the response and its body.
func (f *fleet) send(method, path, body string, header ...string) (*http.Response, string) {
	f.t.Helper()
	r, err := http.NewRequest(method, "http://"+f.http(osu[0])+"/v1/services/desk"+path, strings.NewReader(body))
	f.g.Expect(err).NotTo(gomega.HaveOccurred())
	r.Header.Set("Authorization", "Bearer "+f.key)
	r.Header.Set("Request-Timeout", "5s")
	for i := 0; i < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	resp, err := (&http.Client{CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}).Do(r)
	f.g.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	f.g.Expect(err).NotTo(gomega.HaveOccurred())
	return resp, string(bytes.TrimSpace(b))
}

// TestPlainCallsPassThrough makes calls with escaped paths, queries, headers
// and methods, and gets answers of each status class and one that ends with its
// connection. It guards against a router that interprets more of a call than it
// must: service or caller would get something else than was sent, a failure
// would be billed, or a fragment would pass as a whole answer.
func TestPlainCallsPassThrough(t *testing.T) {
	f := startParallelFleet(t, launcher.Options{Net: 78, Zones: []string{"osu-hall"}})
	f.startDesk(f.EndpointAddress(1))
	f.Eventually("the desk is known", func() bool { resp, _ := f.send("GET", "/first", ""); return resp.StatusCode == http.StatusOK })
	resp, body := f.send("PUT", "/parts/a%2Fb?x=1&y=%20z", "wheel", "Accept-Language", "fr", "X-Private", "1")
	f.g.Expect(body).To(gomega.Equal("PUT /parts/a%2Fb?x=1&y=%20z fr wheel"))
	f.g.Expect(resp.Header.Get("ETag")).To(gomega.Equal(`"7"`))
	f.g.Expect(resp.Header.Get("Server")).To(gomega.BeEmpty())
	f.g.Expect(resp.Header.Get("Charged-Tokens")).To(gomega.Equal("5"))
	resp, body = f.send("HEAD", "/parts", "")
	f.g.Expect(body).To(gomega.BeEmpty())
	f.g.Expect(resp.ContentLength).To(gomega.Equal(int64(len("HEAD /parts  "))))
	resp, body = f.send("GET", "/missing", "")
	f.g.Expect(resp.StatusCode).To(gomega.Equal(http.StatusNotFound))
	f.g.Expect(body).To(gomega.Equal("no such part"))
	f.g.Expect(resp.Header.Get("Charged-Tokens")).To(gomega.Equal("5"))
	resp, body = f.send("POST", "/broken", "", "Idempotency-Key", "broken")
	f.g.Expect(resp.StatusCode).To(gomega.Equal(http.StatusInternalServerError))
	f.g.Expect(body).To(gomega.Equal("ledger is closed"))
	f.g.Expect(resp.Header.Get("Charged-Tokens")).To(gomega.Equal("0"))
	f.g.Expect(f.billed("broken")).To(gomega.BeZero())
	resp, _ = f.send("GET", "/moved", "")
	f.g.Expect(resp.StatusCode).To(gomega.Equal(http.StatusSeeOther))
	f.g.Expect(resp.Header.Get("Location")).To(gomega.Equal("/elsewhere"))
	resp, body = f.send("POST", "/endless", "")
	f.g.Expect(resp.StatusCode).To(gomega.Equal(http.StatusBadGateway), body)
	f.g.Expect(body).To(gomega.ContainSubstring("endpoint_failed"))
	for _, status := range []string{"000", "042", "101", "600", "999"} {
		resp, body = f.send("POST", "/status?"+status, "")
		f.g.Expect(resp.StatusCode).To(gomega.Equal(http.StatusBadGateway), "%s: %s", status, body)
		f.g.Expect(body).To(gomega.ContainSubstring("endpoint_failed"), status)
	}
}
