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

// silentAddress returns an address that neither accepts nor refuses
// connections, like that of a lost VM: the accept queue of its listener is
// full.
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

// TestDialTimeoutLeavesTimeForRetry dials the address of a lost VM, as a
// request does that picked its endpoint before the announcement expired. The
// dial was bounded by the deadline of the request only, so the request failed
// at its deadline although other endpoints were idle.
func TestDialTimeoutLeavesTimeForRetry(t *testing.T) {
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
