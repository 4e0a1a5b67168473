package forwarder_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

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

// script answers one request on a raw connection. It returns false to close the connection.
type script func(c net.Conn, r *http.Request, body string) bool

// endpoint is a server that answers with scripts.
type endpoint struct {
	listener net.Listener
	mu       sync.Mutex
	scripts  []script
	received []*http.Request
	bodies   []string
	// accepted counts the connections.
	accepted atomic.Int64
}

// newEndpoint starts an endpoint that runs the scripts in turn, and the last one
// repeatedly.
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
			e.accepted.Add(1)
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
		e.received = append(e.received, r)
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
	return append([]*http.Request{}, e.received...)
}

// responds returns a script that writes the given texts, with ID replaced by the request's
// id. The texts "close" and "reset" end the connection.
func responds(parts ...string) script {
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
	headOK       = "HTTP/1.1 200 OK\r\nRattanhoist-Request-Id: ID\r\n" + signature + ": s1\r\n"
	answerOK     = headOK + "Content-Length: 5\r\n\r\nhello"
	streamHead   = headOK + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	streamEnd    = "0\r\n\r\n"
	answerNotRun = "HTTP/1.1 503 Service Unavailable\r\nRattanhoist-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
	answerFailed = "HTTP/1.1 500 Internal Server Error\r\nRattanhoist-Request-Id: ID\r\n" + signature + ": s1\r\nContent-Length: 3\r\n\r\nbad"
	budgetWindow = 10 * time.Second
)

// event returns an HTTP chunk that contains one event.
func event(id string) string {
	e := "id: " + id + "\ndata: x\n\n"
	return chunk(e)
}

func chunk(s string) string {
	const digits = "0123456789abcdef"
	return string([]byte{digits[len(s)/16], digits[len(s)%16]}) + "\r\n" + s + "\r\n"
}

// rightsStub grants every reservation unless err is set, after delay, and records the spent
// tokens and the longest waits that requests allow.
type rightsStub struct {
	mu    sync.Mutex
	spent []int64
	waits []time.Duration
	err   error
	delay time.Duration
}

type reservationStub struct{ r *rightsStub }

func (s reservationStub) Settle(n int64) {
	s.r.mu.Lock()
	defer s.r.mu.Unlock()
	s.r.spent = append(s.r.spent, n)
}

func (r *rightsStub) Reserve(_ context.Context, _ string, _ int64, wait time.Duration) (forwarder.Reservation, error) {
	r.mu.Lock()
	r.waits = append(r.waits, wait)
	r.mu.Unlock()
	time.Sleep(r.delay)
	return reservationStub{r}, r.err
}

func (r *rightsStub) settled() []int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]int64{}, r.spent...)
}

// fleetStub has a configuration that a test may replace.
type fleetStub struct {
	index *atomic.Pointer[publisher.Index]
}

func (f fleetStub) AwaitConfiguration(context.Context) (*publisher.Index, time.Duration) {
	return f.index.Load(), 0
}
func (f fleetStub) Index() *publisher.Index                             { return f.index.Load() }
func (f fleetStub) Routers() int                                        { return 1 }
func (f fleetStub) AnnounceDispatch(string, string, predictor.Dispatch) {}
func (f fleetStub) Observe(e *predictor.Endpoint, s predictor.State, sentAt time.Time) {
	e.Observe(s, sentAt, time.Now())
}
func (f fleetStub) PartialDispatches() bool { return false }

func (f fleetStub) LeavesAge() time.Duration { return 0 }

func (f fleetStub) AcquirePermit(context.Context, *predictor.Endpoint) bool { return true }

func (f fleetStub) ReleasePermit(*predictor.Endpoint) {}

// testRouter is a router in front of scripted endpoints.
type testRouter struct {
	server     *httptest.Server
	rights     *rightsStub
	table      *predictor.Table
	pool       *pooler.Pool
	quarantine *quarantineStub
	// admission admits every request until a test changes that.
	admission *admissionStub
	limits    *forwarder.CallerLimits
	forwarder *forwarder.Forwarder
	// logged are the log entries.
	logged *observer.ObservedLogs
	index  atomic.Pointer[publisher.Index]
}

// publish puts a document in force.
func (w *testRouter) publish(d *publisher.Document) {
	w.index.Store(publisher.NewIndex(d, localizer.New(map[string]string{"z": "north"})))
}

// admissionStub sets the load of the router itself.
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
		Number: 3, RequiresKeys: true,
		Routes: []publisher.Route{
			route("read", "/read/", publisher.Idempotent, false), route("once", "/once/", publisher.AtMostOnce, false),
			route("stream", "/stream/", publisher.Stream, false), route("resume", "/resume/", publisher.Stream, true),
			withObjective(route("fast", "/fast/", publisher.Idempotent, false), 200*time.Millisecond),
			withObjective(route("medium", "/medium/", publisher.Idempotent, false), 600*time.Millisecond),
			withObjective(route("slow", "/slow/", publisher.Idempotent, false), 3*time.Second),
			restrictedTo(route("north", "/north/", publisher.Idempotent, false), "north"), restrictedTo(route("nowhere", "/nowhere/", publisher.Idempotent, false), "nowhere"),
		},
		Services:   []publisher.Service{{Name: "engine", Connections: 50, Engine: &publisher.Engine{MaxTokensPerEvent: 6, Slots: 8}}},
		Workspaces: []publisher.Workspace{{Name: "labone", Keys: []string{"k1"}, Prepaid: &prepaid}},
	}
}

func withObjective(r publisher.Route, d time.Duration) publisher.Route {
	r.LatencyObjective = d
	return r
}

func restrictedTo(r publisher.Route, region string) publisher.Route {
	r.Regions = []string{region}
	return r
}

// newTestRouter starts a router whose endpoints are all in zone z.
func newTestRouter(t *testing.T, endpoints ...*endpoint) *testRouter {
	return newTestRouterInZones(t, func(int) string { return "z" }, endpoints...)
}

func newTestRouterInZones(t *testing.T, zone func(int) string, endpoints ...*endpoint) *testRouter {
	return newTestRouterWith(t, document(), func(*forwarder.Dependencies) {}, zone, endpoints...)
}

// newTestRouterWith starts a router with the given document and changed dependencies.
func newTestRouterWith(t *testing.T, d *publisher.Document, change func(*forwarder.Dependencies), zone func(int) string, endpoints ...*endpoint) *testRouter {
	w := &testRouter{
		rights: &rightsStub{}, table: predictor.NewTable("z"), pool: pooler.New(platform.ClassifyResponse, func() {}), quarantine: &quarantineStub{},
		admission: &admissionStub{}, limits: &forwarder.CallerLimits{},
	}
	core, logged := observer.New(zap.InfoLevel)
	w.logged = logged
	var list []*predictor.Endpoint
	for i, e := range endpoints {
		list = append(list, predictor.NewEndpoint(enroller.Heartbeat{
			Incarnation: enroller.Incarnation{ID: "e" + string(rune('1'+i))}, Service: "engine", Address: e.listener.Addr().String(), Zone: zone(i), Slots: 8,
		}))
	}
	w.table.Replace(map[string][]*predictor.Endpoint{"engine": list})
	w.publish(d)
	p := forwarder.Dependencies{
		Wire: platform.HeaderCodec{}, Fleet: fleetStub{&w.index}, Table: w.table,
		Pool: w.pool, Rights: w.rights, Quarantine: w.quarantine, Admission: w.admission, CallerLimits: w.limits, Log: zap.New(core),
		Limiter: limiter.New(limiter.Budget{Ratio: 1, Slack: 50, Window: budgetWindow}, time.Now()),
	}
	change(&p)
	w.forwarder = forwarder.New(p)
	w.server = httptest.NewServer(w.forwarder)
	t.Cleanup(w.server.Close)
	return w
}

type response struct {
	status int
	header http.Header
	body   string
	err    error
}

// send sends one request and reads the complete answer.
func (w *testRouter) send(t *testing.T, method, path, body string, header ...string) response {
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
		return response{err: err}
	}
	defer a.Body.Close()
	b, err := io.ReadAll(a.Body)
	return response{status: a.StatusCode, header: a.Header, body: string(b), err: err}
}

// quarantineStub records its calls.
type quarantineStub struct {
	mu               sync.Mutex
	broken, answered []quarantiner.Input
	heldFor          time.Duration
	// heldPart is the only part that is held back; 0 for every request.
	heldPart quarantiner.Part
	// trials is how many requests may be sent all the same.
	trials int
}

func (q *quarantineStub) HeldBack(in quarantiner.Input) forwarder.Hold {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.heldPart != 0 && !slices.Contains(in.Parts, q.heldPart) {
		return forwarder.Hold{}
	}
	if q.heldPart != 0 {
		return forwarder.Hold{Subject: quarantiner.PartOfAnySubject(q.heldPart), Remaining: q.heldFor}
	}
	return forwarder.Hold{Subject: quarantiner.RequestSubject(in.Fingerprint), Remaining: q.heldFor}
}

func (q *quarantineStub) brokenCount() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.broken)
}

func (q *quarantineStub) answeredCount() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.answered)
}

// hold holds a prompt part back.
func (q *quarantineStub) hold(p quarantiner.Part, d time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.heldPart, q.heldFor = p, d
}

func (q *quarantineStub) Revision() uint64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	return uint64(q.heldFor)
}

func (q *quarantineStub) TakeTrial(quarantiner.Subject) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.trials--
	return q.trials >= 0
}

func (q *quarantineStub) RecordSuccess(in quarantiner.Input) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.answered = append(q.answered, in)
}

func (q *quarantineStub) IsAlive(ctx context.Context, e *predictor.Endpoint, _ string, _ time.Time) bool {
	c, err := pooler.DialDirect(ctx, e.Beat().Address)
	if err == nil {
		_ = c.Close()
	}
	return err == nil
}

func (q *quarantineStub) RecordBrokenOff(_ *predictor.Endpoint, in quarantiner.Input, _ time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.broken = append(q.broken, in)
}
