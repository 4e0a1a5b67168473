package courier

import (
	"io"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// Guards against an unused connection that a stopping router waits for until its deadline: a single byte that was read of a long head is
// taken for the first one of the next request.
func TestHeadThatArrivesInAwkwardPartsLeavesAnUnusedConnection(t *testing.T) {
	g := gomega.NewWithT(t)
	l := &pausingListener{}
	s := startCallerServer(t, l, answerHello)
	c := dialCaller(t, l)
	lines := "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n"
	const buffer = 4096
	first := lines + "X: " + strings.Repeat("y", buffer-len(lines)-len("X: "))
	for _, part := range []string{first, strings.Repeat("y", len(lines)-1), "yyyy\r\n\r\nbody"} {
		_, err := io.WriteString(c, part)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		time.Sleep(50 * time.Millisecond)
	}
	body, _, err := c.receive()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(body).To(gomega.Equal("hello"))
	begun := time.Now()
	s.shutdown(time.Now().Add(3 * time.Second))
	g.Expect(time.Since(begun)).To(gomega.BeNumerically("<", time.Second))
}
