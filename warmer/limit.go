// Package warmer bounds what all routers of a fleet together send to an endpoint that is
// cold or that reports a rate limit. A cold endpoint has started recently and fails if it
// gets more than a few requests per second. Only a few routers, the owners, may send to
// such an endpoint. All routers determine the owners by the same rule.
package warmer

import "time"

const (
	// maxViews is the number of different sets of owners that may be active at the same time,
	// while routers disagree about the members of the fleet.
	maxViews = 2
	// minOwnerLoad is the minimum number of requests per second that one owner should be allowed.
	// With fewer, more owners would only divide the limit further.
	minOwnerLoad = 3
	// burst is the number of requests that an owner may send at once.
	burst = 1
)

// Limit bounds the requests to one endpoint. The zero value means no bound.
type Limit struct {
	// PerSecond is the request rate that the endpoint tolerates, or 0 for any.
	PerSecond float64
	// At most Overshoot x PerSecond x Window + Slack requests may arrive in any Window from
	// all routers combined, even while they disagree on the owners.
	Overshoot, Slack float64
	Window           time.Duration
	// MinPerSecond is the minimum combined rate of the owners. It may exceed PerSecond, but
	// not the bound on a Window.
	MinPerSecond float64
}

// Share is what one owner may send: a token bucket of size Burst that refills at Rate per second.
type Share struct{ Rate, Burst float64 }

// maxPerWindow returns the maximum number of requests that may arrive in a window.
func (l Limit) maxPerWindow() float64 { return l.PerSecond*l.Window.Seconds()*l.Overshoot + l.Slack }

// Split returns the number of owners of an endpoint, and the share of each. In any window the
// owners send at most owners x (Burst + Rate x Window) requests. maxViews times that is within the
// limit, and owners x Rate is at most max(PerSecond, MinPerSecond).
func (l Limit) Split() (owners int, s Share) {
	view, window := l.maxPerWindow()/maxViews, l.Window.Seconds()
	if view < burst {
		return 0, Share{}
	}
	owners = max(int(view/(minOwnerLoad*window)), 1)
	rate := min((view/float64(owners)-burst)/window, max(l.PerSecond, l.MinPerSecond)/float64(owners))
	return owners, Share{Rate: max(rate, 0), Burst: burst}
}
