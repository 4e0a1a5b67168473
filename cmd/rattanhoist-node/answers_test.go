package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/onsi/gomega"
)

// Guards against a router that endpoints in trouble end: many of their answers have no end, each below the limits of one.
func TestRouterBearsAnswersWithoutEnd(t *testing.T) {
	const (
		requests = 400
		head     = "HTTP/1.1 200 OK\r\nRattanhoist-Request-Id: r\r\n"
	)
	var fields strings.Builder
	for i := 0; fields.Len() < 60<<10; i++ {
		_, _ = fmt.Fprintf(&fields, "X%x:\r\n", i)
	}
	for name, text := range map[string]string{
		"bodies": head + "\r\n" + strings.Repeat("x", 255<<10), "heads": head + fields.String(),
	} {
		t.Run(name, func(t *testing.T) {
			answer := []byte(text)
			var received atomic.Int64
			f := startFleetWith(t, &smallFleet{maxDescriptors: manyDescriptors, connections: 2 * requests, slots: requests, answer: func(c net.Conn) {
				received.Add(1)
				_, _ = c.Write(answer)
				_, _ = io.Copy(io.Discard, c)
			}})
			var sent sync.WaitGroup
			for range requests {
				sent.Go(func() { call(http.MethodGet, f.serve(), "/a/endless", "", "Rattanhoist-Request-Id", "r") })
			}
			sent.Wait()
			f.expectServed()
			f.expectWithinBounds(f.g)
			f.g.Expect(received.Load()).To(gomega.BeNumerically(">=", requests/8), "enough to exceed the memory")
		})
	}
}
