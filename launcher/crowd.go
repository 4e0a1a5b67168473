package launcher

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	// CrowdSize is the number of clients of a crowd.
	CrowdSize = 600
	// CrowdDuration is how long a crowd stays.
	CrowdDuration = 3500 * time.Millisecond
	// reconnectPause is the time from the end of a connection to the next one of its client.
	reconnectPause = 200 * time.Millisecond
	// LegalBodyBytes is the limit on bodies that the document states, and legalHeadBytes is within that on heads.
	LegalBodyBytes = 1 << 20
	legalHeadBytes = 15_000
)

// Target is a path at a port where clients connect.
type Target struct{ Address, Method, Path string }

// At returns the target of a method and a path at an address.
func At(address, method, path string) Target { return Target{address, method, path} }

// Head returns a request line and the first fields.
func (t Target) Head() string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: a.example\r\n", t.Method, t.Path)
}

// Misbehavior is what a client sends on a connection. It returns once the client waits for the connection's
// end, or fails.
type Misbehavior func(ctx context.Context, c *net.TCPConn, t Target) error

// Kinds of crowds at ports that speak HTTP/1.1. Those of MisbehaviorsAnywhere need no path that reads bodies.
var (
	MisbehaviorsAnywhere = map[string]Misbehavior{
		"bodies without end":              bodyWithoutEnd,
		"heads of many short fields":      func(_ context.Context, c *net.TCPConn, t Target) error { return shortFields(c, t, legalHeadBytes) },
		"long heads of many short fields": func(_ context.Context, c *net.TCPConn, t Target) error { return shortFields(c, t, 4*legalHeadBytes) },
		"heads that stop":                 headThatStops,
		"requests ahead":                  requestsAhead,
		"silence":                         silence,
		"connections that are reset":      resetHalfway,
	}
	MisbehaviorsWithBodies = map[string]Misbehavior{
		"bodies that stop short":           bodyInOnePiece,
		"bodies in small pieces":           bodyInSmallPieces,
		"bodies in chunks of a byte":       bodyInChunks,
		"heads a byte at a time":           headByteByByte,
		"trailers without end":             trailersWithoutEnd,
		"connections that are half-closed": bodyAndHalfClose,
	}
	// MisbehaviorsOfPeers are those at ports that speak gRPC.
	MisbehaviorsOfPeers = map[string]Misbehavior{
		"bytes without end":        bodyWithoutEnd,
		"heads that stop":          headThatStops,
		"silence":                  silence,
		"silence after settings":   settingsOnly,
		"calls that do not end":    callsWithoutEnd,
		"header fields that go on": fieldsWithoutEnd,
		"messages that stop short": messageThatStops,
	}
)

// WholeBodies returns the misbehavior of a client that sends one request after the other with a whole body.
func WholeBodies(body string) Misbehavior {
	return func(ctx context.Context, c *net.TCPConn, t Target) error {
		request := t.Head() + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body)) + body
		var err error
		for err == nil && ctx.Err() == nil {
			_, err = io.WriteString(c, request)
		}
		return err
	}
}

func silence(context.Context, *net.TCPConn, Target) error { return nil }

func bodyAndHalfClose(ctx context.Context, c *net.TCPConn, t Target) error {
	if err := bodyInOnePiece(ctx, c, t); err != nil {
		return err
	}
	return c.CloseWrite()
}

// bodyInOnePiece sends a body of legal size up to its last byte.
func bodyInOnePiece(_ context.Context, c *net.TCPConn, t Target) error {
	_, err := io.WriteString(c, t.Head()+fmt.Sprintf("Content-Length: %d\r\n\r\n", LegalBodyBytes)+strings.Repeat("x", LegalBodyBytes-1))
	return err
}

func bodyInSmallPieces(_ context.Context, c *net.TCPConn, t Target) error {
	_, err := io.WriteString(c, t.Head()+fmt.Sprintf("Content-Length: %d\r\n\r\n", LegalBodyBytes))
	piece := strings.Repeat("x", 1024)
	for sent := 0; sent < LegalBodyBytes-len(piece) && err == nil; sent += len(piece) {
		_, err = io.WriteString(c, piece)
	}
	return err
}

// bodyInChunks sends a body in chunks of a byte, and no last chunk.
func bodyInChunks(_ context.Context, c *net.TCPConn, t Target) error {
	_, err := io.WriteString(c, t.Head()+"Transfer-Encoding: chunked\r\n\r\n")
	piece := strings.Repeat("1\r\nx\r\n", 1000)
	for sent := 0; sent < LegalBodyBytes/2 && err == nil; sent += 1000 {
		_, err = io.WriteString(c, piece)
	}
	return err
}

// bodyWithoutEnd sends a body far over the limit.
func bodyWithoutEnd(ctx context.Context, c *net.TCPConn, t Target) error {
	_, err := io.WriteString(c, t.Head()+"Transfer-Encoding: chunked\r\n\r\n")
	piece := "10000\r\n" + strings.Repeat("x", 0x10000) + "\r\n"
	for err == nil && ctx.Err() == nil {
		_, err = io.WriteString(c, piece)
	}
	return err
}

// shortFields sends a head of n bytes in short fields, each with a name of its own, and a body that stops.
func shortFields(c *net.TCPConn, t Target, n int) error {
	_, err := io.WriteString(c, ManyFields(t, n)+"Content-Length: 2\r\n\r\nx")
	return err
}

// ManyFields returns a head of n bytes without its end.
func ManyFields(t Target, n int) string {
	var b strings.Builder
	b.WriteString(t.Head())
	const letters = "abcdefghijklmnopqrstuvwxyz"
	for i := 0; b.Len() < n; i++ {
		b.WriteString(string([]byte{letters[i%26], letters[i/26%26], letters[i/676%26]}) + ":\r\n")
	}
	return b.String()
}

// headThatStops sends a head of legal size without its end.
func headThatStops(_ context.Context, c *net.TCPConn, t Target) error {
	_, err := io.WriteString(c, ManyFields(t, legalHeadBytes))
	return err
}

func headByteByByte(ctx context.Context, c *net.TCPConn, t Target) error {
	head := ManyFields(t, legalHeadBytes)
	for i := range len(head) {
		if _, err := io.WriteString(c, head[i:i+1]); err != nil || ctx.Err() != nil {
			return err
		}
		time.Sleep(20 * time.Millisecond)
	}
	return nil
}

// trailersWithoutEnd sends a whole body, and trailers after it that do not end.
func trailersWithoutEnd(ctx context.Context, c *net.TCPConn, t Target) error {
	_, err := io.WriteString(c, t.Head()+"Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n")
	piece := strings.Repeat("X: y\r\n", 1000)
	for err == nil && ctx.Err() == nil {
		_, err = io.WriteString(c, piece)
	}
	return err
}

// requestsAhead sends requests without reading their answers.
func requestsAhead(ctx context.Context, c *net.TCPConn, t Target) error {
	piece := strings.Repeat(t.Head()+"Rattanhoist-Request-Id: ahead\r\nContent-Length: 1\r\n\r\nx", 100)
	for ctx.Err() == nil {
		if _, err := io.WriteString(c, piece); err != nil {
			return err
		}
	}
	return nil
}

// resetHalfway resets the connection in the middle of a body.
func resetHalfway(_ context.Context, c *net.TCPConn, t Target) error {
	if _, err := io.WriteString(c, t.Head()+fmt.Sprintf("Content-Length: %d\r\n\r\n", LegalBodyBytes)+strings.Repeat("x", LegalBodyBytes/2)); err != nil {
		return err
	}
	if err := c.SetLinger(0); err != nil {
		return err
	}
	return c.Close()
}

// Frames of HTTP/2: types and flags.
const (
	clientPreface    = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
	frameData        = 0
	frameHeaders     = 1
	frameSettings    = 4
	frameContinue    = 9
	flagEndOfHeaders = 4
)

// frame returns an HTTP/2 frame.
func frame(kind, flags byte, stream uint32, payload string) string {
	n := len(payload)
	return string([]byte{
		byte(n >> 16), byte(n >> 8), byte(n), kind, flags,
		byte(stream >> 24), byte(stream >> 16), byte(stream >> 8), byte(stream),
	}) + payload
}

// field returns a header field that is not indexed.
func field(name, value string) string {
	return "\x00" + string(rune(len(name))) + name + string(rune(len(value))) + value
}

// settingsOnly opens an HTTP/2 connection and makes no call.
func settingsOnly(_ context.Context, c *net.TCPConn, _ Target) error {
	_, err := io.WriteString(c, clientPreface+frame(frameSettings, 0, 0, ""))
	return err
}

// callHead returns the header fields of a call: the static table has POST and http.
func callHead(t Target) string {
	return "\x83\x86" + field(":path", t.Path) + field("content-type", "application/grpc") + field("te", "trailers")
}

// callsWithoutEnd begins many calls on a connection whose messages do not come.
func callsWithoutEnd(ctx context.Context, c *net.TCPConn, t Target) error {
	err := settingsOnly(ctx, c, t)
	const calls = 500
	for i := uint32(0); i < calls && err == nil; i++ {
		_, err = io.WriteString(c, frame(frameHeaders, flagEndOfHeaders, 2*i+1, callHead(t)))
	}
	return err
}

// messageThatStops begins a call whose message does not come to its end. It fits into the first window.
func messageThatStops(ctx context.Context, c *net.TCPConn, t Target) error {
	err := settingsOnly(ctx, c, t)
	if err == nil {
		_, err = io.WriteString(c, frame(frameHeaders, flagEndOfHeaders, 1, callHead(t))+frame(frameData, 0, 1, "\x00\x00\x00\xff\xff"))
	}
	const frames, size = 7, 8000
	for i := 0; i < frames && err == nil; i++ {
		_, err = io.WriteString(c, frame(frameData, 0, 1, strings.Repeat("x", size)))
	}
	return err
}

// fieldsWithoutEnd begins a call whose header fields do not end.
func fieldsWithoutEnd(ctx context.Context, c *net.TCPConn, t Target) error {
	err := settingsOnly(ctx, c, t)
	if err == nil {
		_, err = io.WriteString(c, frame(frameHeaders, 0, 1, callHead(t)))
	}
	piece := frame(frameContinue, 0, 1, strings.Repeat(field("x", "y"), 1000))
	for err == nil && ctx.Err() == nil {
		_, err = io.WriteString(c, piece)
	}
	return err
}

// Crowd is a number of clients that misbehave in the same way until they are sent away.
type Crowd struct {
	cancel context.CancelFunc
	done   sync.WaitGroup
}

// StartCrowd starts a crowd at a target. Its clients open another connection when one ends.
func StartCrowd(ctx context.Context, t Target, m Misbehavior, reads bool) *Crowd {
	ctx, cancel := context.WithCancel(ctx)
	w := &Crowd{cancel: cancel}
	for range CrowdSize {
		w.done.Go(func() {
			for ctx.Err() == nil {
				misbehave(ctx, t, m, reads)
				select {
				case <-ctx.Done():
				case <-time.After(reconnectPause):
				}
			}
		})
	}
	return w
}

// Leave closes the connections of a crowd.
func (w *Crowd) Leave() {
	w.cancel()
	w.done.Wait()
}

// misbehave opens one connection and keeps it until its other side closes it or ctx is done.
func misbehave(ctx context.Context, t Target, m Misbehavior, reads bool) {
	c, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp", t.Address)
	if err != nil {
		return
	}
	defer c.Close()
	defer context.AfterFunc(ctx, func() { _ = c.Close() })()
	closed := make(chan struct{})
	if reads {
		go func() {
			defer close(closed)
			_, _ = io.Copy(io.Discard, c)
		}()
	}
	if err := m(ctx, c.(*net.TCPConn), t); err != nil {
		return
	}
	select {
	case <-ctx.Done():
	case <-closed:
	}
}

// TakesDescriptors reports whether a kind of crowd runs a process out of descriptors before it runs it out of memory.
func TakesDescriptors(kind string) bool {
	switch kind {
	case "silence", "silence after settings", "heads that stop", "heads a byte at a time", "connections that are reset":
		return true
	}
	return false
}

// EachKind runs a test for each kind of misbehavior.
func EachKind(t *testing.T, sets []map[string]Misbehavior, test func(t *testing.T, kind string, m Misbehavior)) {
	all := map[string]Misbehavior{}
	for _, s := range sets {
		maps.Copy(all, s)
	}
	for _, kind := range slices.Sorted(maps.Keys(all)) {
		t.Run(kind, func(t *testing.T) { test(t, kind, all[kind]) })
	}
}

// Visit lets a crowd stay at a target for CrowdDuration.
func Visit(ctx context.Context, t Target, kind string, m Misbehavior) {
	// Who sends ahead doesn't read either.
	w := StartCrowd(ctx, t, m, kind != "requests ahead")
	time.Sleep(CrowdDuration)
	w.Leave()
}
