package pooler

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
)

// Request is one request to an endpoint.
type Request struct {
	Method string
	// URI is the path and query, sent as they are.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// ID is what the answer must carry.
	ID string
}

// straysMost bounds the answers of earlier requests that are passed over
// before the request's own.
const straysMost = 2

// writeApart is the body size from which writing and reading go on at the same
// time: smaller ones fit into the socket's buffer, and larger ones would wait
// for an endpoint that has answered early and reads no more.
const writeApart = 8 << 10

// Answer is an endpoint's answer; Close must be called once.
type Answer struct {
	Status int
	Header http.Header
	// Body ends with an error if the answer was cut off.
	Body io.Reader
	// Length is -1 where it isn't known beforehand.
	Length int64
	// Unframed answers end with their connection.
	Unframed bool

	pool    *Pool
	conn    *conn
	stop    func() bool
	keep    time.Duration
	ended   bool
	written *atomic.Bool
}

// Exchange sends a request and returns the head of its answer. An error is
// ErrNotSent, ErrBound or ErrMayHaveRun.
func (p *Pool) Exchange(ctx context.Context, t Target, r *Request) (*Answer, error) {
	c, err := p.take(t, time.Now())
	if err != nil {
		return nil, err
	}
	if c == nil {
		if c, err = p.dial(ctx, t); err != nil {
			return nil, merry.Errorf("%w: %s", ErrNotSent, err.Error())
		}
	}
	if ctx.Err() != nil {
		p.put(c, keepLeast)
		return nil, merry.Errorf("%w: %s", ErrNotSent, ctx.Err().Error())
	}
	// Closing ends reads and writes at once and tells the endpoint to stop.
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	a, err := p.exchange(c, r)
	if err != nil {
		stop()
		p.drop(c)
		return nil, merry.Errorf("%w: %s", ErrMayHaveRun, err.Error())
	}
	a.stop = stop
	return a, nil
}

func (p *Pool) exchange(c *conn, r *Request) (*Answer, error) {
	written := &atomic.Bool{}
	head := r.head()
	p.sent(len(head) + len(r.Body))
	if len(r.Body) < writeApart {
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
			// The reader sees a broken connection by itself; written stays
			// false, so the connection is not used again.
			written.Store(err == nil)
		}()
	}
	return p.readHead(c, r, written)
}

func (r *Request) head() []byte {
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

func (p *Pool) readHead(c *conn, r *Request, written *atomic.Bool) (*Answer, error) {
	request := &http.Request{Method: r.Method}
	for range straysMost + 1 {
		h, err := http.ReadResponse(c.reader, request)
		if err != nil {
			return nil, err
		}
		if h.StatusCode < http.StatusOK {
			continue
		}
		belongs := p.belongs(h.Header, r.ID)
		if belongs == Own || belongs == Unnamed && h.StatusCode >= http.StatusMultipleChoices {
			return p.answer(c, h, written), nil
		}
		if belongs == Unnamed || h.Close || h.ContentLength < 0 && len(h.TransferEncoding) == 0 {
			return nil, merry.New("answer of another request")
		}
		if _, err := io.Copy(io.Discard, h.Body); err != nil {
			return nil, err
		}
	}
	return nil, merry.New("only answers of other requests")
}

func (p *Pool) answer(c *conn, h *http.Response, written *atomic.Bool) *Answer {
	a := &Answer{
		Status: h.StatusCode, Header: h.Header, Length: h.ContentLength,
		Unframed: h.ContentLength < 0 && len(h.TransferEncoding) == 0,
		pool:     p, conn: c, written: written,
	}
	a.Body = &ending{r: h.Body, ended: &a.ended}
	if !h.Close && !a.Unframed {
		a.keep = keepOf(h.Header)
	}
	return a
}

// keepOf returns how long an idle connection may be used again.
func keepOf(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		k, v, _ := strings.Cut(strings.TrimSpace(part), "=")
		if n, err := strconv.Atoi(v); strings.EqualFold(k, "timeout") && err == nil {
			return time.Duration(n)*time.Second - keepMargin
		}
	}
	return keepDefault
}

// ending notes whether a body was read to its proper end.
type ending struct {
	r     io.Reader
	ended *bool
}

func (e *ending) Read(b []byte) (int, error) {
	n, err := e.r.Read(b)
	if err == io.EOF {
		*e.ended = true
	}
	return n, err
}

// Ended reports whether the body was read to its proper end.
func (a *Answer) Ended() bool { return a.ended }

// Close gives the connection back if the answer was read to its end and the
// request was written whole, and closes it otherwise.
func (a *Answer) Close() {
	running := a.stop()
	if running && a.ended && a.keep > 0 && a.written.Load() && a.conn.reader.Buffered() == 0 {
		a.pool.put(a.conn, a.keep)
		return
	}
	a.pool.drop(a.conn)
}
