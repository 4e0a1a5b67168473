package courier

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"go.uber.org/zap"

	"rattanhoist.example/rattanhoist/enroller"
	"rattanhoist.example/rattanhoist/quarantiner"
)

const (
	// gatherFor is how long a router waits before it asks whether an endpoint has
	// ended: all that was under way there breaks off within that time.
	gatherFor = 20 * time.Millisecond
	// refusalTimeout bounds one such question, over a link that callers fill too, and
	// askAgain is the pause before the next where nothing answers.
	refusalTimeout = time.Second
	askAgain       = 100 * time.Millisecond
	// askUntil is when an endpoint that neither takes nor refuses a connection is
	// taken for cut off: one that ended may be back after that.
	askUntil = 1500 * time.Millisecond
)

// livenessChecks tell whether an endpoint ended while requests were under way there. That
// a connection breaks off does not show it: endpoints and links reset connections
// and live on.
type livenessChecks struct {
	log *zap.Logger
	// Crashed takes what was under way at an endpoint that ended.
	crashed func([]quarantiner.Crash)

	mu sync.Mutex
	// Open holds what broke off at endpoints that are being asked.
	open map[enroller.Incarnation][]quarantiner.Crash
}

func newLivenessChecks(log *zap.Logger, crashed func([]quarantiner.Crash)) *livenessChecks {
	return &livenessChecks{log: log, crashed: crashed, open: map[enroller.Incarnation][]quarantiner.Crash{}}
}

// brokenOff notes what is a crash if the endpoint turns out to have ended.
func (l *livenessChecks) brokenOff(b enroller.Beat, c quarantiner.Crash) {
	l.mu.Lock()
	defer l.mu.Unlock()
	list, asked := l.open[b.Incarnation]
	l.open[b.Incarnation] = append(list, c)
	if !asked {
		go l.check(b)
	}
}

// check asks one endpoint, and tells what was under way there if it has ended.
func (l *livenessChecks) check(b enroller.Beat) {
	time.Sleep(gatherFor)
	refused := refuses(b.Address)
	l.mu.Lock()
	list := l.open[b.Incarnation]
	delete(l.open, b.Incarnation)
	l.mu.Unlock()
	if !refused {
		return
	}
	endpointsEnded.Inc()
	contents := make([]quarantiner.Fingerprint, len(list))
	for i, c := range list {
		contents[i] = c.Request
	}
	l.log.Info("endpoint ended under requests", zap.Stringer("endpoint", b.Incarnation), zap.String("service", b.Service), zap.Stringers("contents", contents))
	l.crashed(list)
}

// refuses reports whether nothing listens at an address. An endpoint that lives takes
// the connection, one behind a cut is silent.
func refuses(address string) bool {
	for begun := time.Now(); time.Since(begun) < askUntil; time.Sleep(askAgain) {
		ctx, cancel := context.WithTimeout(context.Background(), refusalTimeout)
		c, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
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
