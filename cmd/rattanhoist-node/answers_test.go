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
	"time"

	"github.com/onsi/gomega"
)

// Guards against a router that is ended, or reads no other request, because many answers of endpoints have no end.
func TestRouterBearsAnswersWithoutEnd(t *testing.T) {
	const (
		requests = 400
		// others is the number of ordinary requests, which are sent once the answers have been read for a while.
		others, reading = 20, 500 * time.Millisecond
		head            = "HTTP/1.1 200 OK\r\nRattanhoist-Request-Id: r\r\n"
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
			f.g.Eventually(received.Load, answerTimeout).Should(gomega.BeNumerically(">=", requests/8), "enough to exceed the memory")
			time.Sleep(reading)
			served := 0
			for range others {
				if call(http.MethodPost, f.serve(), ordinaryPath, "body", "Rattanhoist-Request-Id", "r") == http.StatusOK {
					served++
				}
			}
			f.g.Expect(served).To(gomega.BeNumerically(">=", others/2), "other requests while these answers are read")
			sent.Wait()
			f.expectServed()
			f.expectWithinBounds(f.g)
		})
	}
}
