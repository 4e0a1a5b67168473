package courier

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
	"go.uber.org/zap"

	"rattanhoist.example/rattanhoist/enforcer"
)

// memoryListener accepts connections in memory. What one side writes, the other has to read.
type memoryListener struct {
	pending chan net.Conn
	done    chan struct{}
	once    sync.Once
}

func newMemoryListener() *memoryListener {
	return &memoryListener{pending: make(chan net.Conn), done: make(chan struct{})}
}

// Accept waits for a connection.
func (l *memoryListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.pending:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close ends Accept.
func (l *memoryListener) Close() error {
	l.once.Do(func() { close(l.done) })
	return nil
}

// Addr returns an address without a meaning.
func (l *memoryListener) Addr() net.Addr { return &net.TCPAddr{} }

// dial opens a connection of a caller.
func (l *memoryListener) dial(t *testing.T) *testCaller {
	near, far := net.Pipe()
	t.Cleanup(func() { _ = near.Close() })
	l.pending <- far
	return &testCaller{near, bufio.NewReader(near)}
}

// inMemory serves callers in virtual time while f runs.
func inMemory(t *testing.T, h http.HandlerFunc, f func(t *testing.T, s *callerServer, l *memoryListener)) {
	synctest.Test(t, func(t *testing.T) {
		l := newMemoryListener()
		s := newCallerServer(h, zap.NewNop())
		served := make(chan struct{})
		go func() {
			defer close(served)
			_ = s.serve(l)
		}()
		synctest.Wait()
		defer func() {
			s.shutdown(time.Now())
			<-served
			// Until other calls of shutdown have returned.
			time.Sleep(2 * endTime)
		}()
		f(t, s, l)
	})
}

// endTime is the time that a stopping router has.
const endTime = time.Minute

// ends are the reasons for which a router may close connections of callers while it has time left.
var ends = map[string]func(s *callerServer){
	"router sheds callers": func(s *callerServer) { s.keepConnections(false) },
	"router sheds callers at times": func(s *callerServer) {
		for i := range 5 {
			s.keepConnections(i%2 == 1)
			time.Sleep(4 * closeDelay)
		}
	},
	"router stops":              func(s *callerServer) { go s.shutdown(time.Now().Add(endTime)) },
	"time for a head is over":   func(*callerServer) { time.Sleep(readHeaderTimeout) },
	"time for a pause is over":  func(*callerServer) { time.Sleep(idleTimeout) },
	"router sheds, later stops": func(s *callerServer) { s.keepConnections(false); go s.shutdown(time.Now().Add(endTime)) },
}

// staged is a handler that stops at a stage of a request until it is released.
type staged struct {
	stage            string
	reached, release chan struct{}
	// ctxErr is the error of the request's context when the answer was complete.
	ctxErr error
}

func (h *staged) pause(stage string) {
	if h.stage == stage {
		close(h.reached)
		<-h.release
	}
}

func (h *staged) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	h.pause("sent on")
	_, _ = io.WriteString(w, "hel")
	_ = http.NewResponseController(w).Flush()
	h.pause("half answered")
	_, _ = io.WriteString(w, "lo")
	h.ctxErr = r.Context().Err()
}

// Guards against a router that closes a connection, or lets a handler believe that its caller has gone, between the
// moment at which a request was sent on and the end of its answer.
func TestOnlyItsCallerEndsARequestThatWasSentOn(t *testing.T) {
	for name, end := range ends {
		for _, stage := range []string{"sent on", "half answered"} {
			for _, more := range []string{"", "G", testRequest} {
				for earlier := range 2 {
					t.Run(name+", "+stage+", "+more[:min(len(more), 4)], func(t *testing.T) { expectEndLeavesRequest(t, end, stage, more, earlier) })
				}
			}
		}
	}
}

// expectEndLeavesRequest expects that a request is answered although something ends connections at a stage of it, and
// its caller has sent more.
func expectEndLeavesRequest(t *testing.T, end func(*callerServer), stage, more string, earlier int) {
	h := &staged{}
	inMemory(t, h.ServeHTTP, func(t *testing.T, s *callerServer, l *memoryListener) {
		g := gomega.NewWithT(t)
		c := l.dial(t)
		for range earlier {
			c.send()
			_, _, err := c.receive()
			g.Expect(err).NotTo(gomega.HaveOccurred())
			synctest.Wait()
		}
		h.stage, h.reached, h.release = stage, make(chan struct{}), make(chan struct{})
		go func() { _, _ = io.WriteString(c, testRequest+more) }()
		answered := make(chan struct{})
		var body string
		var err error
		go func() {
			defer close(answered)
			body, _, err = c.receive()
		}()
		<-h.reached
		synctest.Wait()
		end(s)
		time.Sleep(20 * time.Second)
		h.stage = ""
		close(h.release)
		<-answered
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(body).To(gomega.Equal("hello"))
		g.Expect(h.ctxErr).NotTo(gomega.HaveOccurred(), "the caller is there")
	})
}

// Guards against an answer that is cut off while its caller's connection does not take it.
func TestAnswersThatWaitForTheConnectionAreWhole(t *testing.T) {
	for name, end := range ends {
		t.Run(name, func(t *testing.T) {
			h := &staged{}
			inMemory(t, h.ServeHTTP, func(t *testing.T, s *callerServer, l *memoryListener) {
				g := gomega.NewWithT(t)
				c := l.dial(t)
				c.send()
				synctest.Wait()
				end(s)
				time.Sleep(20 * time.Second)
				body, _, err := c.receive()
				g.Expect(err).NotTo(gomega.HaveOccurred())
				g.Expect(body).To(gomega.Equal("hello"))
				g.Expect(h.ctxErr).NotTo(gomega.HaveOccurred(), "the caller is there")
			})
		})
	}
}

// Guards against a request of which a part was read and which is passed on over a connection that closes.
func TestRequestsInPartsAreAnsweredOrNotPassedOn(t *testing.T) {
	for name, end := range ends {
		for part, n := range map[string]int{"first byte": 1, "head": 20, "body": len(testRequest) - 2} {
			for _, later := range []bool{false, true} {
				t.Run(name+", "+part, func(t *testing.T) {
					handled := 0
					h := func(w http.ResponseWriter, r *http.Request) {
						if _, err := io.ReadAll(r.Body); err == nil {
							handled++
							_, _ = io.WriteString(w, "hello")
						}
					}
					inMemory(t, h, func(t *testing.T, s *callerServer, l *memoryListener) {
						g := gomega.NewWithT(t)
						c := l.dial(t)
						if later {
							c.send()
							_, _, err := c.receive()
							g.Expect(err).NotTo(gomega.HaveOccurred())
							synctest.Wait()
							handled = 0
						}
						_, _ = io.WriteString(c, testRequest[:n])
						synctest.Wait()
						end(s)
						time.Sleep(4 * closeDelay)
						go func() { _, _ = io.WriteString(c, testRequest[n:]) }()
						body, _, err := c.receive()
						if part != "body" && strings.HasPrefix(name, "time for a") {
							g.Expect(handled == 1).To(gomega.Equal(body == "hello"), "it is answered if it is passed on")
							return
						}
						g.Expect(err).NotTo(gomega.HaveOccurred())
						g.Expect(body).To(gomega.Equal("hello"))
						g.Expect(handled).To(gomega.Equal(1))
					})
				})
			}
		}
	}
}

// Guards against a read deadline that is left over from one request and ends the next one on its connection.
func TestDeadlinesOfARequestDoNotEndTheNext(t *testing.T) {
	limits := map[string]func(w http.ResponseWriter, r *http.Request){
		"body": func(w http.ResponseWriter, r *http.Request) {
			enforcer.LimitBodyTime(w, r, time.Now().Add(time.Second))
		},
		"unread body": func(w http.ResponseWriter, r *http.Request) { enforcer.LimitUnreadBody(w, r, time.Second) },
		"answer":      func(w http.ResponseWriter, _ *http.Request) { enforcer.LimitWriteTime(w, time.Now().Add(time.Second)) },
		"body and answer": func(w http.ResponseWriter, r *http.Request) {
			enforcer.LimitBodyTime(w, r, time.Now().Add(time.Second))
			enforcer.LimitWriteTime(w, time.Now().Add(time.Second))
		},
	}
	for name, limit := range limits {
		for kind, request := range map[string]string{"with a body": testRequest, "without a body": "GET /x HTTP/1.1\r\nHost: a\r\n\r\n"} {
			for _, readsBody := range []bool{true, false} {
				t.Run(name+", "+kind, func(t *testing.T) {
					first, ctxErr := true, error(nil)
					h := func(w http.ResponseWriter, r *http.Request) {
						if first {
							limit(w, r)
						} else {
							time.Sleep(20 * time.Second)
						}
						if readsBody || !first {
							_, _ = io.Copy(io.Discard, r.Body)
						}
						_, _ = io.WriteString(w, "hello")
						first, ctxErr = false, r.Context().Err()
					}
					inMemory(t, h, func(t *testing.T, _ *callerServer, l *memoryListener) {
						g := gomega.NewWithT(t)
						c := l.dial(t)
						for range 2 {
							go func() { _, _ = io.WriteString(c, request) }()
							body, closes, err := c.receive()
							g.Expect(err).NotTo(gomega.HaveOccurred())
							g.Expect(body).To(gomega.Equal("hello"))
							g.Expect(closes).To(gomega.BeFalse())
							synctest.Wait()
							g.Expect(ctxErr).NotTo(gomega.HaveOccurred(), "the caller is there")
						}
					})
				})
			}
		}
	}
}
