package courier_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"rattanhoist.example/rattanhoist/courier"
	"rattanhoist.example/rattanhoist/loader"
	"rattanhoist.example/rattanhoist/platform"
)

// longAnswer is a stream that does not fit into the buffers of a connection.
var longAnswer = bytes.Repeat([]byte("id: 1\ndata: "+string(bytes.Repeat([]byte("x"), 4000))+"\n\n"), 1500)

// startLongEngine starts an endpoint that answers each request with longAnswer.
func (f *cluster) startLongEngine(id string) {
	l, err := net.Listen("tcp", f.ip(100)+":0")
	if err != nil {
		f.t.Fatal(err)
	}
	s := &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Rattanhoist-Request-Id", r.Header.Get("Rattanhoist-Request-Id"))
		w.Header().Set("Rattanhoist-Response-Signature", "s")
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = w.Write(longAnswer)
	})}
	go func() { _ = s.Serve(l) }()
	f.t.Cleanup(func() { _ = s.Close() })
	f.sendHeartbeats(id, l.Addr().String())
}

// routerWith starts a router with additional settings.
func (f *cluster) routerWith(n int, settings ...string) {
	c := courier.New(courier.Options{
		Node: f.node(loader.KindRouter, n, false, settings...), Log: zap.NewNop(), Decode: platform.DecodeDocument, Wire: platform.HeaderCodec{},
		ClassifyResponse: platform.ClassifyResponse, ReadyPath: platform.ReadyPath,
	})
	f.run(fmt.Sprint("router", n), c.Run)
}

// readSlowly sends a request and reads its answer after a pause. It returns the number of bytes of the answer.
func (f *cluster) readSlowly(n int, id string, pause time.Duration) (int, error) {
	d := net.Dialer{Timeout: time.Second}
	c, err := d.Dial("tcp", f.serveAddress(n))
	if err != nil {
		return 0, err
	}
	defer c.Close()
	if err := c.(*net.TCPConn).SetReadBuffer(256 << 10); err != nil {
		return 0, err
	}
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	if _, err := fmt.Fprintf(c, "POST /stream/x HTTP/1.1\r\nHost: a.example\r\nApi-Key: k\r\nRattanhoist-Request-Id: %s\r\nRattanhoist-Token-Usage: 1,1\r\nContent-Length: 0\r\n\r\n", id); err != nil {
		return 0, err
	}
	a, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, err
	}
	time.Sleep(pause)
	read, err := io.Copy(io.Discard, a.Body)
	return int(read), err
}

// A port is full of requests whose answers are being written, and more callers connect. Guards against an answer that
// is cut off because its caller's connection does not take it for a moment.
func TestAnswersAreWholeWhileThePortIsFull(t *testing.T) {
	t.Parallel()
	f, g := startCluster(t, 42)
	f.publish(g, 1, endDocument(2))
	// A port for some thirty connections.
	f.routerWith(4, "max_fds = 260")
	f.startLongEngine("i-1")
	f.awaitServing(g, 4)
	const readers, pause = 26, 1500 * time.Millisecond
	var all sync.WaitGroup
	errs := make(chan error, readers)
	for n := range readers {
		all.Go(func() {
			if size, err := f.readSlowly(4, fmt.Sprint("r", n), pause); err != nil || size != len(longAnswer) {
				errs <- fmt.Errorf("%d of %d bytes: %v", size, len(longAnswer), err)
			}
		})
	}
	time.Sleep(pause / 2)
	for range 2 * readers {
		if c, err := net.Dial("tcp", f.serveAddress(4)); err == nil {
			_ = c.Close()
		}
		time.Sleep(5 * time.Millisecond)
	}
	all.Wait()
	close(errs)
	for err := range errs {
		t.Error(err)
	}
}
