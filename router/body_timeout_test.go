package router

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// TestSlowBodyEndsAtDeadline sends the header and a part of the body of a
// request and keeps the connection open. The body timeout ignored the request's
// own timeout, so a caller that set 100 ms got the refusal after 30 s. The
// refusal ignored the ticket, so a caller that sent a ticket again was told
// that the request did not run, although an earlier attempt may have.
func TestSlowBodyEndsAtDeadline(t *testing.T) {
	for _, c := range []struct {
		path, header string
		want         Outcome
	}{
		{chatPath, "", NotRun},
		{servicesPath + "portal/x", "", NotRun},
		{servicesPath + "portal/x", "Idempotency-Key: again\r\n", Unknown},
		{servicesPath + "portal/x", "Request-Ticket: ticket:a:store:again\r\n", Unknown},
	} {
		t.Run(c.path+c.header, func(t *testing.T) {
			g := gomega.NewWithT(t)
			r := newTestRouter(t)
			conn := serveRaw(t, r.handler())
			_, err := fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: r\r\nAuthorization: Bearer %s\r\nRequest-Timeout: 100ms\r\n%sContent-Length: 100\r\n\r\n{", c.path, testKey, c.header)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(conn.SetReadDeadline(time.Now().Add(5 * time.Second))).To(gomega.Succeed())
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			defer func() { _ = resp.Body.Close() }()
			var p Problem
			g.Expect(json.NewDecoder(resp.Body).Decode(&p)).To(gomega.Succeed())
			g.Expect(p.Status).To(gomega.Equal(http.StatusRequestTimeout))
			g.Expect(p.Code).To(gomega.Equal(CodeTooSlow))
			g.Expect(p.Outcome).To(gomega.Equal(c.want))
			g.Eventually(r.gate.active.Load).Should(gomega.BeZero())
		})
	}
}
