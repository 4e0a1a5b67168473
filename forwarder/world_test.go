package forwarder_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"rattanhoist.example/rattanhoist/enroller"
	"rattanhoist.example/rattanhoist/forwarder"
	"rattanhoist.example/rattanhoist/limiter"
	"rattanhoist.example/rattanhoist/localizer"
	"rattanhoist.example/rattanhoist/platform"
	"rattanhoist.example/rattanhoist/pooler"
	"rattanhoist.example/rattanhoist/predictor"
	"rattanhoist.example/rattanhoist/publisher"
	"rattanhoist.example/rattanhoist/quarantiner"
)

const signature = "Rattanhoist-Response-Signature"

// script answers one request on a raw connection; it returns false to close
// the connection.
type script func(c net.Conn, r *http.Request, body string) bool

// endpoint is a scripted back end.
type endpoint struct {
	listener net.Listener
	mu       sync.Mutex
	scripts  []script
	got      []*http.Request
	bodies   []string
}

// newEndpoint plays the scripts in turn, and the last one again and again.
func newEndpoint(t *testing.T, scripts ...script) *endpoint {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e := &endpoint{listener: l, scripts: scripts}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go e.serve(c)
		}
	}()
	return e
}

func (e *endpoint) serve(c net.Conn) {
	defer c.Close()
	b := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(b)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		e.mu.Lock()
		s := e.scripts[0]
		if len(e.scripts) > 1 {
			e.scripts = e.scripts[1:]
		}
		e.got = append(e.got, r)
		e.bodies = append(e.bodies, string(body))
		e.mu.Unlock()
		if !s(c, r, string(body)) {
			return
		}
	}
}

func (e *endpoint) requests() []*http.Request {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]*http.Request{}, e.got...)
}

// says writes a text with ID replaced by the request's id.
func says(parts ...string) script {
	return func(c net.Conn, r *http.Request, _ string) bool {
		for _, p := range parts {
			if p == "close" {
				return false
			}
			if p == "reset" {
				_ = c.(*net.TCPConn).SetLinger(0)
				return false
			}
			_, _ = io.WriteString(c, strings.ReplaceAll(p, "ID", r.Header.Get("Rattanhoist-Request-Id")))
			time.Sleep(5 * time.Millisecond)
		}
		return true
	}
}

const (
	headOK  = "HTTP/1.1 200 OK\r\nRattanhoist-Request-Id: ID\r\n" + signature + ": s1\r\n"
	whole   = headOK + "Content-Length: 5\r\n\r\nhello"
	events  = headOK + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	ending  = "0\r\n\r\n"
	notRun  = "HTTP/1.1 503 Service Unavailable\r\nRattanhoist-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
	broken  = "HTTP/1.1 500 Internal Server Error\r\nRattanhoist-Request-Id: ID\r\n" + signature + ": s1\r\nContent-Length: 3\r\n\r\nbad"
	seconds = 10 * time.Second
)

// event returns a chunk with one whole event.
func event(id string) string {
	e := "id: " + id + "\ndata: x\n\n"
	return chunk(e)
}

func chunk(s string) string {
	const digits = "0123456789abcdef"
	return string([]byte{digits[len(s)/16], digits[len(s)%16]}) + "\r\n" + s + "\r\n"
}

// rightsStub grants everything and notes what was spent.
type rightsStub struct {
	mu    sync.Mutex
	spent []int64
	err   error
}

type reservationStub struct{ r *rightsStub }

func (s reservationStub) Settle(n int64) {
	s.r.mu.Lock()
	defer s.r.mu.Unlock()
	s.r.spent = append(s.r.spent, n)
}

func (r *rightsStub) Reserve(context.Context, string, int64) (forwarder.Reservation, error) {
	return reservationStub{r}, r.err
}

func (r *rightsStub) settled() []int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]int64{}, r.spent...)
}

type fleetStub struct{ index *publisher.Index }

func (f fleetStub) Await(context.Context) (*publisher.Index, time.Duration) { return f.index, 0 }
func (f fleetStub) Routers() int                                            { return 1 }
func (f fleetStub) Dispatched(string, string, predictor.Dispatch)           {}
func (f fleetStub) Observe(e *predictor.Endpoint, s predictor.State, sentAt time.Time) {
	e.Observe(s, sentAt, time.Now())
}
func (f fleetStub) Partial() bool { return false }

// world is one router before scripted endpoints.
type world struct {
	server *httptest.Server
	rights *rightsStub
	table  *predictor.Table
	pool   *pooler.Pool
	held   *quarantineStub
	// Admission admits everything until a test changes that.
	admission *admissionStub
}

// admissionStub is the load of the router itself.
type admissionStub struct{ full, overloaded bool }

func (a *admissionStub) Admit(time.Time, int64) bool { return !a.full }
func (a *admissionStub) Overloaded(time.Time) bool   { return a.overloaded }

func document() *publisher.Document {
	prepaid := int64(1000)
	share := []publisher.Share{{Service: "engine", Weight: 1}}
	route := func(name, prefix string, k publisher.RouteKind, resumable bool) publisher.Route {
		return publisher.Route{
			Name: name, Host: "a.example", Prefix: prefix, Kind: k, Timeout: 2 * time.Second,
			Shares: share, Attempts: 2, Resumable: resumable,
		}
	}
	return &publisher.Document{
		Number: 3, Keyed: true,
		Routes: []publisher.Route{
			route("read", "/read/", publisher.Idempotent, false), route("once", "/once/", publisher.Once, false),
			route("stream", "/stream/", publisher.Stream, false), route("resume", "/resume/", publisher.Stream, true),
			bound(route("north", "/north/", publisher.Idempotent, false), "north"), bound(route("nowhere", "/nowhere/", publisher.Idempotent, false), "nowhere"),
		},
		Services:   []publisher.Service{{Name: "engine", Connections: 50, Engine: &publisher.Engine{Stride: 6, Slots: 8}}},
		Workspaces: []publisher.Workspace{{Name: "labone", Keys: []string{"k1"}, Prepaid: &prepaid}},
	}
}

func bound(r publisher.Route, region string) publisher.Route {
	r.Regions = []string{region}
	return r
}

// newWorld puts the endpoints in zone z.
func newWorld(t *testing.T, endpoints ...*endpoint) *world {
	return newWorldIn(t, func(int) string { return "z" }, endpoints...)
}

func newWorldIn(t *testing.T, zone func(int) string, endpoints ...*endpoint) *world {
	w := &world{
		rights: &rightsStub{}, table: predictor.NewTable("z"), pool: pooler.New(platform.Belongs, func() {}), held: &quarantineStub{},
		admission: &admissionStub{},
	}
	var list []*predictor.Endpoint
	for i, e := range endpoints {
		list = append(list, predictor.NewEndpoint(enroller.Beat{
			Incarnation: enroller.Incarnation{ID: "e" + string(rune('1'+i))}, Service: "engine", Address: e.listener.Addr().String(), Zone: zone(i), Slots: 8,
		}))
	}
	w.table.Replace(map[string][]*predictor.Endpoint{"engine": list})
	f := forwarder.New(forwarder.Parts{
		Wire: platform.Wire{}, Fleet: fleetStub{publisher.NewIndex(document(), localizer.New(map[string]string{"z": "north"}))}, Table: w.table,
		Pool: w.pool, Rights: w.rights, Quarantine: w.held, Admission: w.admission, Log: zap.NewNop(),
		Limiter: limiter.New(limiter.Budget{Ratio: 1, Slack: 50, Window: seconds}, time.Now()),
	})
	w.server = httptest.NewServer(f)
	t.Cleanup(w.server.Close)
	return w
}

type reply struct {
	status int
	header http.Header
	body   string
	err    error
}

// ask sends one request and reads its whole answer.
func (w *world) ask(t *testing.T, method, path, body string, header ...string) reply {
	r, err := http.NewRequestWithContext(t.Context(), method, w.server.URL+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	r.Host = "A.example:80"
	r.Header.Set("Rattanhoist-Request-Id", "r1")
	r.Header.Set("Api-Key", "k1")
	r.Header.Set("Rattanhoist-Deadline-Ms", "1500")
	for i := 0; i < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	a, err := http.DefaultClient.Do(r)
	if err != nil {
		return reply{err: err}
	}
	defer a.Body.Close()
	b, err := io.ReadAll(a.Body)
	return reply{status: a.StatusCode, header: a.Header, body: string(b), err: err}
}

// quarantineStub notes what it is told.
type quarantineStub struct {
	mu               sync.Mutex
	broken, answered []quarantiner.Fingerprint
	held             time.Duration
}

func (q *quarantineStub) Held(quarantiner.Fingerprint) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.held
}

func (q *quarantineStub) Answered(f quarantiner.Fingerprint) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.answered = append(q.answered, f)
}

func (q *quarantineStub) BrokenOff(_ *predictor.Endpoint, f quarantiner.Fingerprint, _ time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.broken = append(q.broken, f)
}
