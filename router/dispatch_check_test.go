package router

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/onsi/gomega"
)

// TestUnusableEndpointGetsNoRequest guards against a request to an endpoint
// that left 15 s before. The router was suspended after it had checked the age
// of the announcement and before it wrote the request; once resumed, it wrote.
func TestUnusableEndpointGetsNoRequest(t *testing.T) {
	g := gomega.NewWithT(t)
	var begun atomic.Int64
	s := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		begun.Add(1)
		_, _ = io.Copy(io.Discard, r.Body)
	}))
	defer s.Close()
	client := &http.Client{Transport: &http.Transport{DialContext: dialChecked(&net.Dialer{})}}
	do := func(method string, size int, usable func() bool) (bool, error) {
		l := &dispatchCheck{usable: usable}
		q, err := http.NewRequestWithContext(l.attach(t.Context()), method, s.URL, strings.NewReader(strings.Repeat("x", size)))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		q.GetBody = nil
		resp, err := client.Do(q)
		if err == nil {
			_ = resp.Body.Close()
		}
		return l.refused.Load(), err
	}
	const large = 1 << 20
	for _, c := range []struct {
		method string
		size   int
	}{{http.MethodPost, 10}, {http.MethodPost, large}, {http.MethodGet, 0}} {
		// The first goes over a new connection, the second over a kept one.
		for range 2 {
			before := begun.Load()
			refused, err := do(c.method, c.size, func() bool { return false })
			g.Expect(err).To(gomega.HaveOccurred())
			g.Expect(refused).To(gomega.BeTrue())
			g.Expect(begun.Load()).To(gomega.Equal(before))
			// Once begun, a request is written to its end.
			once := true
			refused, err = do(c.method, c.size, func() bool { was := once; once = false; return was })
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(refused).To(gomega.BeFalse())
			g.Expect(begun.Load()).To(gomega.Equal(before + 1))
		}
	}
}
