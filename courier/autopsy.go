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
	"rattanhoist.example/rattanhoist/predictor"
	"rattanhoist.example/rattanhoist/quarantiner"
)

const (
	// gatherFor is how long a router waits before it asks whether an endpoint has
	// ended: all that was under way there breaks off within that time.
	gatherFor = 20 * time.Millisecond
	// refusalTimeout bounds one such question, and askAgain is the pause before the
	// next where nothing answers.
	refusalTimeout = 400 * time.Millisecond
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
	// Ended takes the requests that were under way at an endpoint that ended.
	ended func(enroller.Incarnation, []quarantiner.Fingerprint)

	mu sync.Mutex
	// Open holds what broke off at endpoints that are being asked.
	open map[enroller.Incarnation][]quarantiner.Fingerprint
}

func newAutopsies(log *zap.Logger, ended func(enroller.Incarnation, []quarantiner.Fingerprint)) *autopsies {
	return &autopsies{log: log, ended: ended, open: map[enroller.Incarnation][]quarantiner.Fingerprint{}}
}

// BrokenOff notes that the connection on which a request was under way ended before
// its answer.
func (a *autopsies) BrokenOff(e *predictor.Endpoint, f quarantiner.Fingerprint) {
	b := e.Beat()
	a.mu.Lock()
	defer a.mu.Unlock()
	list, asked := a.open[b.Incarnation]
	a.open[b.Incarnation] = append(list, f)
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
	a.log.Info("endpoint ended under requests", zap.Stringer("endpoint", b.Incarnation), zap.String("service", b.Service), zap.Stringers("contents", list))
	a.ended(b.Incarnation, list)
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
