// Package warmer bounds what all routers of a fleet together send to an endpoint that is
// cold or that reports a rate limit. A cold endpoint has started recently and fails if it
// gets more than a few requests per second. Only a few routers, the owners, may send to
// such an endpoint. All routers determine the owners by the same rule.
package warmer

import "time"

const (
	// maxViews is how many sets of owners may stand side by side while routers
	// disagree on who is a member.
	maxViews = 2
	// minOwnerLoad is the least that one owner may send in a second; with less, another
	// owner would only divide what the limit allows.
	minOwnerLoad = 3
	// burst is what an owner may send at once.
	burst = 1
)

// Limit bounds the requests to one endpoint. The zero value is no bound.
type Limit struct {
	// PerSecond is the rate that the endpoint tolerates; 0 for any.
	PerSecond float64
	// At most Overshoot x PerSecond x Window + Slack requests may arrive in any Window from
	// all routers combined, even while they disagree on the owners.
	Overshoot, Slack float64
	Window           time.Duration
	// MinPerSecond is the minimum combined rate of the owners. It may exceed PerSecond, but
	// not the bound on a Window.
	MinPerSecond float64
}

// Share is what one owner may send: a token bucket of Burst that fills at Rate a second.
type Share struct{ Rate, Burst float64 }

// max is the most that may arrive in a window.
func (l Limit) max() float64 { return l.PerSecond*l.Window.Seconds()*l.Overshoot + l.Slack }

// Split returns how many owners an endpoint has, and the share of each. In any window
// the owners send at most owners x (Burst + Rate x Window) requests; maxViews times that
// is within the limit, and owners x Rate is at most max(PerSecond, MinPerSecond).
func (l Limit) Split() (owners int, s Share) {
	view, window := l.max()/maxViews, l.Window.Seconds()
	if view < burst {
		return 0, Share{}
	}
	owners = max(int(view/(minOwnerLoad*window)), 1)
	rate := min((view/float64(owners)-burst)/window, max(l.PerSecond, l.MinPerSecond)/float64(owners))
	return owners, Share{Rate: max(rate, 0), Burst: burst}
}
