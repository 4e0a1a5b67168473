package courier

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
)

// pausingListener pauses the server where a busy process or a full link would: after it has read bytes of
// a caller, and before it writes to one.
type pausingListener struct {
	net.Listener
	afterRead, beforeWrite func()
}

func (l *pausingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &pausingConn{c, l}, nil
}

type pausingConn struct {
	net.Conn
	listener *pausingListener
}

func (c *pausingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	// The server reads a single byte while it handles a request.
	if n > 1 && c.listener.afterRead != nil {
		c.listener.afterRead()
	}
	return n, err
}

func (c *pausingConn) Write(b []byte) (int, error) {
	if c.listener.beforeWrite != nil {
		c.listener.beforeWrite()
	}
	return c.Conn.Write(b)
}

// startCallerServer serves callers until the test ends.
func startCallerServer(t *testing.T, l *pausingListener, h http.HandlerFunc) *callerServer {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l.Listener = inner
	s := newCallerServer(h, zap.NewNop())
	go func() { _ = s.serve(l) }()
	t.Cleanup(func() { s.shutdown(time.Now()) })
	return s
}

// testCaller is a caller with one connection.
type testCaller struct {
	net.Conn
	reader *bufio.Reader
}

func dialCaller(t *testing.T, l net.Listener) *testCaller {
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	return &testCaller{c, bufio.NewReader(c)}
}

const testRequest = "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbody"

func (c *testCaller) send() { _, _ = io.WriteString(c, testRequest) }

// receive returns the body of an answer, and whether it announces that the connection closes.
func (c *testCaller) receive() (body string, closes bool, err error) {
	a, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return "", false, err
	}
	b, err := io.ReadAll(a.Body)
	return string(b), a.Close, err
}

// closed reports whether the server closes the connection within a time.
func (c *testCaller) closed(within time.Duration) bool {
	_ = c.SetReadDeadline(time.Now().Add(within))
	_, err := c.reader.Peek(1)
	return err == io.EOF
}

func answerHello(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	_, _ = io.WriteString(w, "hello")
}

// Guards against an answer that is cut off by the planned stop of its router because it still waits for
// the network link when its request has been handled.
func TestShutdownAwaitsAnswersThatAreWritten(t *testing.T) {
	g := gomega.NewWithT(t)
	writing := make(chan struct{}, 1)
	l := &pausingListener{beforeWrite: func() {
		writing <- struct{}{}
		time.Sleep(300 * time.Millisecond)
	}}
	s := startCallerServer(t, l, answerHello)
	c := dialCaller(t, l)
	c.send()
	<-writing
	s.shutdown(time.Now().Add(3 * time.Second))
	body, _, err := c.receive()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(body).To(gomega.Equal("hello"))
}

// Guards against a request whose connection is closed without an answer because it was read, but not
// handled yet, when its router began to close idle connections.
func TestRequestsThatWereReadAreAnswered(t *testing.T) {
	for name, end := range map[string]func(*callerServer){
		"router sheds callers": func(s *callerServer) { s.keepConnections(false) },
		"router stops":         func(s *callerServer) { s.shutdown(time.Now().Add(3 * time.Second)) },
	} {
		for when, earlier := range map[string]int{"first request": 0, "later request": 1} {
			t.Run(name+", "+when, func(t *testing.T) { expectReadRequestAnswered(t, end, earlier) })
		}
	}
}

func expectReadRequestAnswered(t *testing.T, end func(*callerServer), earlier int) {
	g := gomega.NewWithT(t)
	var mu sync.Mutex
	reads, read := 0, make(chan struct{})
	l := &pausingListener{}
	l.afterRead = func() {
		mu.Lock()
		reads++
		last := reads == earlier+1
		mu.Unlock()
		if last {
			close(read)
			time.Sleep(200 * time.Millisecond)
		}
	}
	s := startCallerServer(t, l, answerHello)
	c := dialCaller(t, l)
	for range earlier {
		c.send()
		_, _, err := c.receive()
		g.Expect(err).NotTo(gomega.HaveOccurred())
	}
	c.send()
	<-read
	go end(s)
	body, closes, err := c.receive()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(body).To(gomega.Equal("hello"))
	g.Expect(closes).To(gomega.BeTrue(), "the caller is told to send no more on this connection")
}

// Guards against a request whose connection is closed while the rest of its head or of its body is on its
// way, because its router begins to close idle connections.
func TestRequestsThatArriveInPartsAreAnswered(t *testing.T) {
	for name, end := range map[string]func(*callerServer){
		"router sheds callers": func(s *callerServer) { s.keepConnections(false) },
		"router stops":         func(s *callerServer) { s.shutdown(time.Now().Add(3 * time.Second)) },
	} {
		for part, n := range map[string]int{"head": 20, "body": len(testRequest) - 2} {
			t.Run(name+", "+part, func(t *testing.T) {
				g := gomega.NewWithT(t)
				l := &pausingListener{}
				s := startCallerServer(t, l, answerHello)
				c := dialCaller(t, l)
				c.send()
				_, _, err := c.receive()
				g.Expect(err).NotTo(gomega.HaveOccurred())
				_, _ = io.WriteString(c, testRequest[:n])
				time.Sleep(50 * time.Millisecond)
				go end(s)
				time.Sleep(4 * closeDelay)
				_, _ = io.WriteString(c, testRequest[n:])
				body, _, err := c.receive()
				g.Expect(err).NotTo(gomega.HaveOccurred())
				g.Expect(body).To(gomega.Equal("hello"))
				g.Expect(c.closed(time.Second)).To(gomega.BeTrue())
			})
		}
	}
}

// Guards against a router that ends with callers on their way: a request that arrives just after an idle
// connection is chosen to be closed is answered.
func TestRequestsThatCrossACloseAreAnswered(t *testing.T) {
	g := gomega.NewWithT(t)
	l := &pausingListener{}
	s := startCallerServer(t, l, answerHello)
	kept, fresh := dialCaller(t, l), dialCaller(t, l)
	kept.send()
	_, _, err := kept.receive()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	time.Sleep(50 * time.Millisecond)
	go s.shutdown(time.Now().Add(3 * time.Second))
	// A round trip to callers.
	time.Sleep(10 * time.Millisecond)
	for _, c := range []*testCaller{kept, fresh} {
		c.send()
		body, closes, err := c.receive()
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(body).To(gomega.Equal("hello"))
		g.Expect(closes).To(gomega.BeTrue())
	}
}

// Guards against a router that closes connections on which requests wait in the queue of its own link.
func TestRequestsThatWaitAtTheRoutersLinkCrossACloseAndAreAnswered(t *testing.T) {
	g := gomega.NewWithT(t)
	l := &pausingListener{}
	s := startCallerServer(t, l, answerHello)
	const delay = 400 * time.Millisecond
	s.delay = func() time.Duration { return delay }
	c := dialCaller(t, l)
	c.send()
	_, _, err := c.receive()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Eventually(func() callerUse { return s.connections()[0].currentUse() }, time.Second).Should(gomega.Equal(useKept))
	s.keepConnections(false)
	time.Sleep(delay)
	c.send()
	body, closes, err := c.receive()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(body).To(gomega.Equal("hello"))
	g.Expect(closes).To(gomega.BeTrue())
	g.Expect(c.closed(time.Second)).To(gomega.BeTrue())
}

// Guards against a router that waits for idle callers until the end of its grace period.
func TestShutdownClosesIdleConnections(t *testing.T) {
	g := gomega.NewWithT(t)
	l := &pausingListener{}
	s := startCallerServer(t, l, answerHello)
	var callers []*testCaller
	for i := range 40 {
		c := dialCaller(t, l)
		if i%2 == 0 {
			c.send()
			_, _, err := c.receive()
			g.Expect(err).NotTo(gomega.HaveOccurred())
		}
		callers = append(callers, c)
	}
	time.Sleep(50 * time.Millisecond)
	begun := time.Now()
	s.shutdown(time.Now().Add(3 * time.Second))
	g.Expect(time.Since(begun)).To(gomega.BeNumerically("<", 500*time.Millisecond))
	for _, c := range callers {
		g.Expect(c.closed(time.Second)).To(gomega.BeTrue())
	}
}

// Guards against a router that a caller keeps from ending: neither a slow answer nor one that is never
// read lasts longer than the deadline.
func TestShutdownEndsAtItsDeadline(t *testing.T) {
	g := gomega.NewWithT(t)
	writing := make(chan struct{}, 1)
	l := &pausingListener{beforeWrite: func() {
		writing <- struct{}{}
		time.Sleep(2 * time.Second)
	}}
	s := startCallerServer(t, l, answerHello)
	core, logged := observer.New(zap.InfoLevel)
	s.log = zap.New(core)
	c := dialCaller(t, l)
	c.send()
	<-writing
	begun := time.Now()
	s.shutdown(begun.Add(300 * time.Millisecond))
	g.Expect(time.Since(begun)).To(gomega.BeNumerically("~", 300*time.Millisecond, 200*time.Millisecond))
	g.Expect(logged.FilterMessage("connections cut off under requests").Len()).To(gomega.Equal(1))
}

// Guards against a busy router that notices the end of its requests' time late, and then closes their connections at once
// instead of answering them.
func TestRequestsAreAnsweredByALateShutdown(t *testing.T) {
	g := gomega.NewWithT(t)
	const requests = 20
	handling := make(chan struct{}, requests)
	l := &pausingListener{}
	s := startCallerServer(t, l, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		handling <- struct{}{}
		<-r.Context().Done()
		_, _ = io.WriteString(w, "stops")
	})
	var callers []*testCaller
	for range requests {
		c := dialCaller(t, l)
		c.send()
		<-handling
		callers = append(callers, c)
	}
	s.shutdown(time.Now().Add(-time.Second))
	for _, c := range callers {
		body, _, err := c.receive()
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(body).To(gomega.Equal("stops"))
	}
}

// Guards against callers that stay at a router which sheds them, and against callers that it cuts off: idle
// connections are closed, a request in progress is answered, and new ones are told to leave.
func TestSheddingClosesConnectionsBetweenRequests(t *testing.T) {
	g := gomega.NewWithT(t)
	handling, release := make(chan struct{}, 1), make(chan struct{})
	l := &pausingListener{}
	s := startCallerServer(t, l, func(w http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, "slow") {
			handling <- struct{}{}
			<-release
		}
		answerHello(w, r)
	})
	idle, busy, fresh := dialCaller(t, l), dialCaller(t, l), dialCaller(t, l)
	idle.send()
	_, closes, err := idle.receive()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(closes).To(gomega.BeFalse())
	_, _ = io.WriteString(busy, strings.Replace(testRequest, "/x", "/slow", 1))
	<-handling
	s.keepConnections(false)
	g.Expect(idle.closed(time.Second)).To(gomega.BeTrue())
	close(release)
	body, _, err := busy.receive()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(body).To(gomega.Equal("hello"))
	g.Expect(busy.closed(time.Second)).To(gomega.BeTrue())
	fresh.send()
	body, closes, err = fresh.receive()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(body).To(gomega.Equal("hello"))
	g.Expect(closes).To(gomega.BeTrue())
	s.keepConnections(true)
	again := dialCaller(t, l)
	for range 2 {
		again.send()
		_, closes, err = again.receive()
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(closes).To(gomega.BeFalse())
	}
}

// Guards against a request that is read together with the one before it and is not answered, because its
// router begins to stop in between.
func TestRequestsReadTogetherAreAnswered(t *testing.T) {
	g := gomega.NewWithT(t)
	handling, release := make(chan struct{}, 2), make(chan struct{})
	l := &pausingListener{}
	s := startCallerServer(t, l, func(w http.ResponseWriter, r *http.Request) {
		handling <- struct{}{}
		<-release
		answerHello(w, r)
	})
	c := dialCaller(t, l)
	_, _ = io.WriteString(c, testRequest+testRequest)
	<-handling
	go s.shutdown(time.Now().Add(3 * time.Second))
	time.Sleep(50 * time.Millisecond)
	close(release)
	for _, last := range []bool{false, true} {
		body, closes, err := c.receive()
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(body).To(gomega.Equal("hello"))
		g.Expect(closes).To(gomega.Equal(last))
	}
}

// Guards against requests that are handled and whose connection is closed without an answer, while a router
// begins and ceases to shed callers again and again and these send one request after the other.
func TestSheddingLeavesNoRequestUnanswered(t *testing.T) {
	g := gomega.NewWithT(t)
	var handled, answered atomic.Int64
	l := &pausingListener{}
	s := startCallerServer(t, l, func(w http.ResponseWriter, r *http.Request) {
		handled.Add(1)
		answerHello(w, r)
	})
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for range 50 {
		callers.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				answered.Add(exchangeUntilClosed(l.Addr().String()))
			}
		})
	}
	for i := range 500 {
		s.keepConnections(i%2 == 0)
		time.Sleep(4 * time.Millisecond)
	}
	s.keepConnections(false)
	close(stop)
	callers.Wait()
	t.Logf("%d requests", handled.Load())
	g.Expect(answered.Load()).To(gomega.Equal(handled.Load()))
}

// exchangeUntilClosed sends requests over one connection until it is closed. It returns how many were
// answered.
func exchangeUntilClosed(address string) (answered int64) {
	n, err := net.Dial("tcp", address)
	if err != nil {
		return 0
	}
	defer n.Close()
	_ = n.SetDeadline(time.Now().Add(5 * time.Second))
	c := &testCaller{n, bufio.NewReader(n)}
	for {
		c.send()
		_, closes, err := c.receive()
		if err != nil {
			return answered
		}
		answered++
		if closes {
			return answered
		}
	}
}
