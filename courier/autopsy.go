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

// autopsies tell whether an endpoint ended while requests were under way there. That
// a connection breaks off does not show it: endpoints and links reset connections
// and live on.
type autopsies struct {
	log *zap.Logger
	// Crashed takes what was under way at an endpoint that ended.
	crashed func([]quarantiner.Crash)

	mu sync.Mutex
	// Open holds what broke off at endpoints that are being asked.
	open map[enroller.Incarnation][]quarantiner.Crash
}

func newAutopsies(log *zap.Logger, crashed func([]quarantiner.Crash)) *autopsies {
	return &autopsies{log: log, crashed: crashed, open: map[enroller.Incarnation][]quarantiner.Crash{}}
}

// brokenOff notes what is a crash if the endpoint turns out to have ended.
func (a *autopsies) brokenOff(b enroller.Beat, c quarantiner.Crash) {
	a.mu.Lock()
	defer a.mu.Unlock()
	list, asked := a.open[b.Incarnation]
	a.open[b.Incarnation] = append(list, c)
	if !asked {
		go a.hold(b)
	}
}

// hold asks about one endpoint and closes its case.
func (a *autopsies) hold(b enroller.Beat) {
	time.Sleep(gatherFor)
	refused := refuses(b.Address)
	a.mu.Lock()
	list := a.open[b.Incarnation]
	delete(a.open, b.Incarnation)
	a.mu.Unlock()
	if !refused {
		return
	}
	endpointsEnded.Inc()
	contents := make([]quarantiner.Fingerprint, len(list))
	for i, c := range list {
		contents[i] = c.Request
	}
	a.log.Info("endpoint ended under requests", zap.Stringer("endpoint", b.Incarnation), zap.String("service", b.Service), zap.Stringers("contents", contents))
	a.crashed(list)
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
