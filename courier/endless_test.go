package courier_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// sendEndlessly writes a beginning, and then a part again and again with a pause after each, until the
// connection is closed. It returns the status of the answer, or 0 without one, and how many bytes the
// other side took until it closed the connection.
func sendEndlessly(t *testing.T, address, begin, part string, pause, limit time.Duration) (status, sent int, took time.Duration) {
	t.Helper()
	g := gomega.NewWithT(t)
	c, err := net.Dial("tcp", address)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer c.Close()
	begun := time.Now()
	g.Expect(c.SetDeadline(begun.Add(limit))).To(gomega.Succeed())
	if pause == 0 {
		part = strings.Repeat(part, max(4096/len(part), 1))
	}
	written := make(chan int, 1)
	go func() {
		_, err := io.WriteString(c, begin)
		n := 0
		for err == nil {
			time.Sleep(pause)
			var k int
			k, err = io.WriteString(c, part)
			n += k
		}
		written <- n
	}()
	b := bufio.NewReader(c)
	a, err := http.ReadResponse(b, nil)
	if err == nil {
		status = a.StatusCode
		_, _ = io.Copy(io.Discard, a.Body)
		_, err = b.ReadByte()
	}
	g.Expect(errors.Is(err, os.ErrDeadlineExceeded)).To(gomega.BeFalse(), "the connection is still open after %v, status %d", limit, status)
	took = time.Since(begun)
	return status, <-written, took
}

// Guards against callers, endpoints and operators whose requests never end: each holds a connection,
// and with a body of up to 16 MB at a keeper, until the process is out of descriptors or memory.
func TestRequestsWithoutEndAreBounded(t *testing.T) {
	f, g := startCluster(t, 181)
	f.router(4)
	g.Eventually(func() int {
		status, _ := f.call("GET", f.ip(4)+":8220", "/v1/ready", "")
		return status
	}, 10*time.Second, 50*time.Millisecond).Should(gomega.Equal(200))
	const (
		host   = " HTTP/1.1\r\nHost: a.example\r\nApi-Key: k\r\n"
		chunks = "Transfer-Encoding: chunked\r\n\r\n"
		length = "Content-Length: 10000000\r\n\r\n"
		// maxTaken is a head of 64 KiB, what net/http reads of a body that nobody wants, and the
		// buffers of a loopback connection.
		maxTaken = 9 << 20
	)
	listeners := map[string]string{"callers": f.serveAddress(4), "ready": f.ip(4) + ":8220", "control": f.controlAddress(1)}
	t.Run("each", func(t *testing.T) {
		for name, address := range listeners {
			for part, begin := range map[string]string{
				"x": "", "X: y\r\n": "GET /v1/ready" + host, "y": "GET /v1/ready" + host + "X: ",
			} {
				t.Run(name+" head "+begin, func(t *testing.T) {
					t.Parallel()
					g := gomega.NewWithT(t)
					_, sent, _ := sendEndlessly(t, address, begin, part, 0, 4*time.Second)
					g.Expect(sent).To(gomega.BeNumerically("<", maxTaken))
					_, _, took := sendEndlessly(t, address, begin, part, 50*time.Millisecond, 12*time.Second)
					g.Expect(took).To(gomega.BeNumerically("<", 9*time.Second))
				})
			}
		}
		for name, x := range map[string]struct {
			address, begin, part string
			statuses             []int
		}{
			"caller, chunks":    {listeners["callers"], "POST /a/x" + host + "Rattanhoist-Deadline-Ms: 2000\r\n" + chunks, "1\r\nx\r\n", []int{408, 413}},
			"caller, length":    {listeners["callers"], "POST /a/x" + host + "Rattanhoist-Deadline-Ms: 2000\r\n" + length, "x", []int{408, 413}},
			"caller, no route":  {listeners["callers"], "POST /none" + host + chunks, "1\r\nx\r\n", []int{404}},
			"ready":             {listeners["ready"], "GET /v1/ready" + host + chunks, "1\r\nx\r\n", []int{0, 200}},
			"configuration":     {listeners["control"], "PUT /v1/config" + host + chunks, "1\r\nx\r\n", []int{400, 408, 413}},
			"long config":       {listeners["control"], "PUT /v1/config" + host + length, "x", []int{400, 408, 413}},
			"heartbeat":         {listeners["control"], "PUT /v1/instances/a" + host + chunks, "1\r\nx\r\n", []int{400, 408, 413}},
			"leave":             {listeners["control"], "DELETE /v1/instances/a" + host + chunks, "1\r\nx\r\n", []int{400, 408, 413}},
			"read, with a body": {listeners["control"], "GET /v1/config" + host + chunks, "1\r\nx\r\n", []int{0, 200}},
			"unknown call":      {listeners["control"], "PUT /v1/none" + host + chunks, "1\r\nx\r\n", []int{0, 404}},
		} {
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				g := gomega.NewWithT(t)
				status, sent, _ := sendEndlessly(t, x.address, x.begin, x.part, 0, 8*time.Second)
				g.Expect(status).To(gomega.Or(gomega.BeZero(), gomega.BeElementOf(x.statuses)))
				g.Expect(sent).To(gomega.BeNumerically("<", 128<<20), "16 MiB in chunks of a byte")
				status, _, _ = sendEndlessly(t, x.address, x.begin, x.part, 50*time.Millisecond, 22*time.Second)
				g.Expect(status).To(gomega.BeElementOf(x.statuses))
			})
		}
	})
}
