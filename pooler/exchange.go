package pooler

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
)

// Request is an HTTP request to an endpoint.
type Request struct {
	Method string
	// URI is the path and query, sent unchanged.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// ID is the request id that the answer must contain.
	ID string
	// Repeatable is set if the request may run again. One that waits on a connection whose path is
	// lost is ended, so that it can be sent again.
	Repeatable bool
	// Relay is set to the internal address of the router that relayed the request, if any.
	Relay string
	// Reserve takes memory for n bytes of a head that is longer than usual, or returns an error, with which the exchange
	// ends. Nil takes none.
	Reserve func(n int) error
	// Confirm is called once a connection is available. If it returns false, nothing is
	// sent. Opening a connection over a busy link takes up to a second, in which the choice
	// of the endpoint may become invalid. Nil confirms every request.
	Confirm func() bool
}

const (
	// maxStrayAnswers is the number of interim answers, and of answers to earlier requests, that are
	// skipped before the request's own answer.
	maxStrayAnswers = 2
	// maxStrayBytes is the maximum size of the body of an answer to an earlier request.
	maxStrayBytes = 256 << 10
	// maxHeadBytes is the maximum size of the head of an answer.
	maxHeadBytes = 64 << 10
	// maxStatus is the highest status code of HTTP.
	maxStatus = 599
)

// concurrentWriteBytes is the body size from which a request is written while the
// answer is read. Smaller bodies fit into the socket's buffer; writing larger ones would
// block if the endpoint has answered early and stopped reading.
const concurrentWriteBytes = 8 << 10

// Answer is an endpoint's answer. Close must be called once.
type Answer struct {
	Status int
	Header http.Header
	// Body returns an error if the answer was cut off.
	Body io.Reader
	// Length is the length of the body, or -1 if it isn't known beforehand.
	Length int64
	// CloseDelimited is set if the end of the connection marks the end of the answer.
	CloseDelimited bool

	pool             *Pool
	conn             *conn
	stopContextClose func() bool
	reuseTimeout     time.Duration
	complete         bool
	written          *atomic.Bool
}

// Exchange sends a request and returns its answer once the head has arrived. Errors are
// ErrNotSent, ErrUnreachable, ErrConnectionLimit, ErrWithdrawn or ErrMayHaveRun.
func (p *Pool) Exchange(ctx context.Context, t Target, r *Request) (*Answer, error) {
	c, err := p.acquire(t, time.Now())
	if err != nil {
		return nil, err
	}
	if c == nil {
		if c, err = p.open(ctx, t); errors.Is(err, ErrUnreachable) {
			return nil, ErrUnreachable
		} else if err != nil {
			return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
		}
	}
	if ctx.Err() != nil {
		p.release(c, minReuseTimeout)
		return nil, merry.Errorf("%w: %s", ErrNotSent, ctx.Err().Error())
	}
	if r.Confirm != nil && !r.Confirm() {
		p.discard(c)
		return nil, ErrWithdrawn
	}
	// Closing the connection ends reads and writes at once and tells the endpoint to stop.
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	r.Relay = c.relay
	p.began(c, r.Repeatable)
	a, err := p.exchange(c, r)
	if err != nil {
		stop()
		p.ended(c)
		p.discard(c)
		if c.part.unfinished() {
			err = fmt.Errorf("%w: %w", ErrUnfinished, err)
		}
		return nil, fmt.Errorf("%w: %w", ErrMayHaveRun, err)
	}
	a.stopContextClose = stop
	return a, nil
}

// exchange writes a request to a connection and reads the head of its answer. Large bodies
// are written concurrently.
func (p *Pool) exchange(c *conn, r *Request) (*Answer, error) {
	written := &atomic.Bool{}
	head := r.encodeHead()
	p.recordSent(len(head) + len(r.Body))
	if len(r.Body) < concurrentWriteBytes {
		if _, err := c.Write(append(head, r.Body...)); err != nil {
			return nil, err
		}
		written.Store(true)
	} else {
		go func() {
			_, err := c.Write(head)
			if err == nil {
				_, err = c.Write(r.Body)
			}
			// After an error, written stays false, so that the connection is not reused.
			// The reader detects the broken connection by itself.
			written.Store(err == nil)
		}()
	}
	return p.readHead(c, r, written)
}

// encodeHead returns the request line and the header.
func (r *Request) encodeHead() []byte {
	var b bytes.Buffer
	b.Grow(512)
	b.WriteString(r.Method + " " + r.URI + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	for k, vs := range r.Header {
		for _, v := range vs {
			b.WriteString(k + ": " + v + "\r\n")
		}
	}
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead && r.Method != http.MethodDelete {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// readHead reads the head of the request's own answer. It skips interim answers and a few
// answers to earlier requests.
func (p *Pool) readHead(c *conn, r *Request, written *atomic.Bool) (*Answer, error) {
	request := &http.Request{Method: r.Method}
	p.beginPart(c, r.Repeatable)
	for range maxStrayAnswers + 1 {
		h, err := c.readResponse(request, r.Reserve)
		if err != nil {
			return nil, err
		}
		final, err := CheckHead(h)
		if err != nil {
			return nil, err
		}
		if !final {
			p.beginPart(c, r.Repeatable)
			continue
		}
		match := p.match(h.Header, r.ID)
		if match == MatchOwn || match == MatchUnnamed && h.StatusCode >= http.StatusMultipleChoices {
			return p.newAnswer(c, h, written), nil
		}
		if match == MatchUnnamed || h.Close || h.ContentLength < 0 && len(h.TransferEncoding) == 0 {
			return nil, merry.New("answer of another request")
		}
		if _, err := io.CopyN(io.Discard, h.Body, maxStrayBytes); err == nil {
			return nil, merry.New("answer of another request is too long")
		} else if err != io.EOF {
			return nil, err
		}
		p.beginPart(c, r.Repeatable)
	}
	return nil, merry.New("only answers of other requests")
}

// CheckHead reports whether a head is that of a final answer, or of an interim one, which another follows. It returns
// ErrInvalidHead for one that is neither: what follows it belongs to no request.
func CheckHead(h *http.Response) (final bool, err error) {
	switch {
	case h.StatusCode < http.StatusContinue || h.StatusCode > maxStatus:
		return false, merry.Errorf("%w: status %d", ErrInvalidHead, h.StatusCode)
	case h.StatusCode >= http.StatusOK:
		return true, nil
	case h.StatusCode == http.StatusSwitchingProtocols:
		return false, merry.Errorf("%w: no other protocol was asked for", ErrInvalidHead)
	case len(h.TransferEncoding) > 0 || strings.Trim(h.Header.Get("Content-Length"), "0") != "":
		return false, merry.Errorf("%w: interim answer with a body", ErrInvalidHead)
	}
	return false, nil
}

// readResponse reads one head, up to maxHeadBytes.
func (c *conn) readResponse(request *http.Request, reserve func(n int) error) (*http.Response, error) {
	c.headLeft, c.reserve = maxHeadBytes, reserve
	h, err := http.ReadResponse(c.reader, request)
	c.headLeft, c.reserve = noHeadLimit, nil
	return h, err
}

// Drain reads the rest of an answer that nobody needs, so that its connection can be used again, for at
// most the given time and number of bytes.
func (a *Answer) Drain(timeout time.Duration, maxBytes int64) {
	expiry := time.AfterFunc(timeout, func() { _ = a.conn.Close() })
	// After an error the answer is not complete, and its connection is closed.
	_, _ = io.CopyN(io.Discard, a.Body, maxBytes)
	if !expiry.Stop() {
		a.complete = false
	}
}

// BeginPart records that what was read of the answer so far is whole, such as a number of events. If the
// next part may be replaced by another endpoint's, it is given up once its bytes keep arriving without end.
func (a *Answer) BeginPart(replaceable bool) { a.pool.beginPart(a.conn, replaceable) }

// Unfinished reports whether bytes of the part that is being read kept arriving for a while without coming
// to its end. A request that takes long does not show in this.
func (a *Answer) Unfinished() bool { return a.conn.part.unfinished() }

// newAnswer returns the answer whose head was read from a connection.
func (p *Pool) newAnswer(c *conn, h *http.Response, written *atomic.Bool) *Answer {
	a := &Answer{
		Status: h.StatusCode, Header: h.Header, Length: h.ContentLength,
		CloseDelimited: h.ContentLength < 0 && len(h.TransferEncoding) == 0,
		pool:           p, conn: c, written: written,
	}
	p.beginPart(c, false)
	a.Body = &completionReader{reader: h.Body, complete: &a.complete}
	if !h.Close && !a.CloseDelimited {
		a.reuseTimeout = reuseTimeout(h.Header)
	}
	return a
}

// reuseTimeout returns how long a connection may be reused after an answer with that
// header.
func reuseTimeout(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		k, v, _ := strings.Cut(strings.TrimSpace(part), "=")
		if n, err := strconv.Atoi(v); strings.EqualFold(k, "timeout") && err == nil {
			return time.Duration(n)*time.Second - reuseMargin
		}
	}
	return defaultReuseTimeout
}

// completionReader records whether a body was read to its regular end.
type completionReader struct {
	reader   io.Reader
	complete *bool
}

// Read reads from the body.
func (e *completionReader) Read(b []byte) (int, error) {
	n, err := e.reader.Read(b)
	if err == io.EOF {
		*e.complete = true
	}
	return n, err
}

// Complete reports whether the body was read to its regular end.
func (a *Answer) Complete() bool { return a.complete }

// Close returns the connection to the pool if the answer was read to its end and the
// request was written completely. Otherwise it closes the connection.
func (a *Answer) Close() {
	running := a.stopContextClose()
	a.pool.ended(a.conn)
	if running && a.complete && a.reuseTimeout > 0 && a.written.Load() && a.conn.reader.Buffered() == 0 {
		a.pool.release(a.conn, a.reuseTimeout)
		return
	}
	a.pool.discard(a.conn)
}
