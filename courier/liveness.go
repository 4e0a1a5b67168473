package courier

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"syscall"
	"time"

	"go.uber.org/zap"

	"rattanhoist.example/rattanhoist/enroller"
	"rattanhoist.example/rattanhoist/pooler"
	"rattanhoist.example/rattanhoist/predictor"
	"rattanhoist.example/rattanhoist/quarantiner"
)

const (
	// gatherDelay is how long a router waits before it checks whether an endpoint has
	// ended. All requests in progress there fail within that time.
	gatherDelay = 20 * time.Millisecond
	// dialTimeout bounds one connection attempt, over a link that callers fill too.
	// dialRetryInterval is the pause before the next attempt if there was no response.
	dialTimeout       = time.Second
	dialRetryInterval = 100 * time.Millisecond
	// probeDuration is how long an endpoint is probed that neither accepts nor refuses
	// connections. It is then considered unreachable rather than ended, since an endpoint
	// that ended may have restarted by that time.
	probeDuration = 1500 * time.Millisecond
	// An end is confirmed by up to maxConfirmations attempts, confirmationInterval apart.
	maxConfirmations     = 5
	confirmationInterval = 250 * time.Millisecond
	// replacementTimeout is how long a new incarnation may take to announce itself to keepers, and
	// they to this router.
	replacementTimeout = 2500 * time.Millisecond
	// maxPendingRequests is the maximum number of requests that are kept while an endpoint is
	// checked. More than that run at no endpoint at a time.
	maxPendingRequests = 512
	// aliveCheckTimeout bounds each of the two steps of the check whether an endpoint is alive that has
	// closed the connection of an answer without length: a new connection, and an answer. The caller
	// waits for it. Each step takes longer by the delay that this router itself causes.
	aliveCheckTimeout = 600 * time.Millisecond
	// suspicionDelay is how long other requests at an endpoint that has ended may take to fail: what a cut
	// link held back does not arrive at once.
	suspicionDelay = 100 * time.Millisecond
	// maxIdleProbes is how many connections that were open are tried, as an endpoint may have closed one
	// that was idle.
	maxIdleProbes = 2
	// maxLoggedParts is the maximum number of prompt parts in the log line of a crash.
	maxLoggedParts = 64
)

// ProbeFunc sends a health check to an endpoint over a connection. It reports whether the incarnation
// with an id answered, or another one, and returns an error if none did.
type ProbeFunc func(ctx context.Context, c io.ReadWriteCloser, path, id string) (same bool, err error)

// livenessChecks determine whether an endpoint ended while requests were in progress there. A
// broken connection does not show that: endpoints and links reset connections and keep running.
type livenessChecks struct {
	log *zap.Logger
	// dial opens a connection to an endpoint. confirmEnded reports whether an endpoint that refuses
	// connections of this router has ended; it may be the path that is gone.
	dial         pooler.DialFunc
	confirmEnded func(enroller.Heartbeat) bool
	// dialRelay opens a connection to an endpoint through another router; nil if routers relay nothing.
	dialRelay func(context.Context, enroller.Heartbeat) (io.ReadWriteCloser, error)
	// probe reports whether the incarnation with an id answers over a connection.
	probe ProbeFunc
	// takeIdle returns a connection to an endpoint that was opened before a time and has no request, or
	// nil.
	takeIdle func(endpoint string, before time.Time) io.ReadWriteCloser
	// replaced reports whether another incarnation is in service at an endpoint's address.
	replaced func(enroller.Heartbeat) bool
	// answered reports whether requests with a part were answered lately.
	answered func(quarantiner.SharedPart) bool
	// delay returns by how much this router's own link and processor delay what it receives; nil if that is unknown.
	delay func() time.Duration
	// onCrash receives the requests that were in progress at an endpoint that ended.
	onCrash func([]quarantiner.Crash)

	mu sync.Mutex
	// pending holds the requests that failed at endpoints that are being checked.
	pending map[enroller.Incarnation][]quarantiner.Crash
}

func newLivenessChecks(log *zap.Logger, crashed func([]quarantiner.Crash)) *livenessChecks {
	return &livenessChecks{
		log: log, onCrash: crashed, pending: map[enroller.Incarnation][]quarantiner.Crash{},
		dial: pooler.DialDirect, confirmEnded: func(enroller.Heartbeat) bool { return true },
		probe:    func(context.Context, io.ReadWriteCloser, string, string) (bool, error) { return true, nil },
		takeIdle: func(string, time.Time) io.ReadWriteCloser { return nil },
		replaced: func(enroller.Heartbeat) bool { return false }, answered: func(quarantiner.SharedPart) bool { return false },
	}
}

// connectionBroken records a request that counts as a crash if the endpoint has ended.
func (l *livenessChecks) connectionBroken(b enroller.Heartbeat, c quarantiner.Crash) {
	l.mu.Lock()
	defer l.mu.Unlock()
	list, checking := l.pending[b.Incarnation]
	if len(list) < maxPendingRequests {
		l.pending[b.Incarnation] = append(list, c)
	}
	if !checking {
		go l.check(b)
	}
}

// check probes an endpoint, and reports the requests that failed there if it has ended.
func (l *livenessChecks) check(b enroller.Heartbeat) {
	time.Sleep(gatherDelay)
	ended := l.refusesConnections(b.Address) && l.awaitConfirmation(b) || l.awaitReplacement(b)
	l.mu.Lock()
	list := l.pending[b.Incarnation]
	delete(l.pending, b.Incarnation)
	l.mu.Unlock()
	if !ended {
		return
	}
	endpointCrashes.Inc()
	contents := make([]quarantiner.Fingerprint, len(list))
	for i, c := range list {
		contents[i] = c.Request
	}
	answered, unanswered := l.divideParts(list)
	l.log.Info("endpoint ended under requests", zap.Stringer("endpoint", b.Incarnation), zap.String("service", b.Service), zap.Stringers("contents", contents),
		zap.Strings("parts_unanswered", unanswered), zap.Strings("parts_answered", answered))
	l.onCrash(list)
}

// awaitConfirmation reports whether an endpoint that refuses connections of this router has ended. Other
// routers may not be asked at once while many endpoints end.
func (l *livenessChecks) awaitConfirmation(b enroller.Heartbeat) bool {
	for range maxConfirmations {
		if l.confirmEnded(b) {
			return true
		}
		time.Sleep(confirmationInterval)
	}
	return false
}

// awaitReplacement reports whether another incarnation comes into service at the address of an endpoint
// that accepts connections: it may have ended and restarted before it was checked.
func (l *livenessChecks) awaitReplacement(b enroller.Heartbeat) bool {
	for begun := time.Now(); time.Since(begun) < replacementTimeout; time.Sleep(dialRetryInterval) {
		if l.replaced(b) {
			return true
		}
	}
	return false
}

// divideParts returns the prompt parts of the requests, each with the number of requests that have
// it, divided into those that were answered lately and the others.
func (l *livenessChecks) divideParts(list []quarantiner.Crash) (answered, unanswered []string) {
	requests := map[quarantiner.SharedPart]int{}
	var parts []quarantiner.SharedPart
	for _, c := range list {
		for _, p := range c.Parts {
			s := quarantiner.SharedPart{Workspace: c.Request.Workspace, Part: p}
			if requests[s]++; requests[s] == 1 && len(parts) < maxLoggedParts {
				parts = append(parts, s)
			}
		}
	}
	for _, s := range parts {
		entry := fmt.Sprintf("%s:%d", s.Part, requests[s])
		if l.answered(s) {
			answered = append(answered, entry)
		} else {
			unanswered = append(unanswered, entry)
		}
	}
	return answered, unanswered
}

// IsAlive reports whether the process of an endpoint that ran at a time is known to be alive now. The
// system of a process that is being ended still accepts connections for a moment, and another process may
// listen at the address soon, also under the same id. So an answer on a connection that was open then
// decides. Without such a connection, the incarnation has to answer on a new one, and no other request
// may have been broken off there.
func (l *livenessChecks) IsAlive(ctx context.Context, e *predictor.Endpoint, path string, since time.Time) bool {
	survived, known := l.survived(ctx, e, path, since)
	alive := survived || !known && l.answers(ctx, e, path) && !l.endSuspected(e.Beat().Incarnation)
	aliveChecks(alive).Inc()
	return alive
}

// survived reports whether an endpoint answers on a connection that was opened before a time. It is not
// known if there is none.
func (l *livenessChecks) survived(ctx context.Context, e *predictor.Endpoint, path string, since time.Time) (survived, known bool) {
	for range maxIdleProbes {
		c := l.takeIdle(e.Name(), since)
		if c == nil {
			break
		}
		known = true
		if l.probeConnection(ctx, e, path, c) {
			return true, true
		}
	}
	return false, known
}

// answers reports whether the incarnation of an endpoint answers on a new connection, as far as its id tells.
func (l *livenessChecks) answers(ctx context.Context, e *predictor.Endpoint, path string) bool {
	c, err := l.connect(ctx, e.Beat())
	return err == nil && l.probeConnection(ctx, e, path, c)
}

// aliveTimeout returns the time for one step of the check whether an endpoint is alive.
func (l *livenessChecks) aliveTimeout() time.Duration {
	if l.delay == nil {
		return aliveCheckTimeout
	}
	return aliveCheckTimeout + l.delay()
}

// probeConnection reports whether the incarnation of an endpoint answers on a connection, which it closes.
func (l *livenessChecks) probeConnection(ctx context.Context, e *predictor.Endpoint, path string, c io.ReadWriteCloser) bool {
	defer func() { _ = c.Close() }()
	ctx, cancel := context.WithTimeout(ctx, l.aliveTimeout())
	defer cancel()
	probed := &probedConn{ReadWriteCloser: c}
	same, err := l.probe(ctx, probed, path, e.Beat().ID)
	// An endpoint whose slots are taken may let the health check wait. The connection of one that has
	// ended is closed, and bytes that are no answer may come from any process.
	waits := ctx.Err() != nil && !probed.heard
	return err == nil && same || waits && !l.replaced(e.Beat())
}

// endSuspected reports whether other requests were broken off at an endpoint, which is being checked.
func (l *livenessChecks) endSuspected(i enroller.Incarnation) bool {
	time.Sleep(suspicionDelay)
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.pending[i]) > 0
}

// probedConn records whether bytes arrived on a connection.
type probedConn struct {
	io.ReadWriteCloser
	heard bool
}

// Read reads from the connection.
func (c *probedConn) Read(b []byte) (int, error) {
	n, err := c.ReadWriteCloser.Read(b)
	if n > 0 {
		c.heard = true
	}
	return n, err
}

// connect opens a connection to an endpoint, through another router if this one can't.
func (l *livenessChecks) connect(ctx context.Context, b enroller.Heartbeat) (io.ReadWriteCloser, error) {
	direct, cancel := context.WithTimeout(ctx, l.aliveTimeout())
	defer cancel()
	c, err := l.dial(direct, b.Address)
	if err == nil {
		return c, nil
	}
	if l.dialRelay == nil {
		return nil, err
	}
	return l.dialRelay(ctx, b)
}

// refusesConnections reports whether nothing listens at an address. A running endpoint
// accepts the connection, and an unreachable one doesn't respond.
func (l *livenessChecks) refusesConnections(address string) bool {
	for begun := time.Now(); time.Since(begun) < probeDuration; time.Sleep(dialRetryInterval) {
		ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
		c, err := l.dial(ctx, address)
		cancel()
		if err == nil {
			_ = c.Close()
			return false
		}
		if errors.Is(err, syscall.ECONNREFUSED) {
			return true
		}
	}
	return false
}
