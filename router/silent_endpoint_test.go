package router

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"syscall"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// silentAddress returns an address that takes no connection and refuses none,
// as that of a VM that is gone: the queue of its listener is full.
func silentAddress(t *testing.T) string {
	t.Helper()
	g := gomega.NewWithT(t)
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(func() { _ = syscall.Close(fd) })
	g.Expect(syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}})).To(gomega.Succeed())
	g.Expect(syscall.Listen(fd, 0)).To(gomega.Succeed())
	name, err := syscall.Getsockname(fd)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	address := net.JoinHostPort("127.0.0.1", strconv.Itoa(name.(*syscall.SockaddrInet4).Port))
	for {
		c, err := net.DialTimeout("tcp", address, 200*time.Millisecond)
		if err != nil {
			return address
		}
		t.Cleanup(func() { _ = c.Close() })
	}
}

// TestSilentEndpointLeavesTimeForAnother
// Symptom: a request fails at its deadline although other endpoints are idle.
// Sequence: the VM of an endpoint is lost; a request that picked it before its
// announcement grew too old dials it and gets neither a connection nor a
// refusal.
// Cause: the dial was bounded by nothing but the deadline of the request.
func TestSilentEndpointLeavesTimeForAnother(t *testing.T) {
	g := gomega.NewWithT(t)
	ctx, cancel := context.WithTimeout(t.Context(), 4*dialTimeout)
	defer cancel()
	h, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+silentAddress(t)+"/", nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	resp, err := newEngineClient().Do(h)
	if err == nil {
		_ = resp.Body.Close()
	}
	g.Expect(err).To(gomega.HaveOccurred())
	g.Expect(ctx.Err()).NotTo(gomega.HaveOccurred(), "the dial took all the time of the request")
	g.Expect(dialFailed(err)).To(gomega.BeTrue(), "another endpoint may be tried: %v", err)
}
