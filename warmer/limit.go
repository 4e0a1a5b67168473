// Package warmer bounds what all routers of a fleet together send to an endpoint that is
// cold: it started lately, takes few requests a second, and more of them end it. The
// right to send there is owned by a few routers, which all find by the same rule; the
// others send nothing.
package warmer

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

// Limit bounds the requests to one cold endpoint. The zero value is no bound.
type Limit struct {
	// PerSecond is the rate that the endpoint tolerates; 0 for any.
	PerSecond float64
	// Overshoot times PerSecond, and Slack beside it, is the most that may arrive in
	// any one second from all routers together, whether they agree or not.
	Overshoot, Slack float64
}

// Share is what one owner may send: a token bucket of Burst that fills at Rate a second.
type Share struct{ Rate, Burst float64 }

// Bound reports whether there is a limit at all.
func (l Limit) Bound() bool { return l.PerSecond > 0 }

// max is the most that may arrive in a second.
func (l Limit) max() float64 { return l.PerSecond*l.Overshoot + l.Slack }

// Split returns how many owners an endpoint has, and the share of each. In any second
// they send owners x (Burst + Rate) at the most; that many times maxViews is within the
// limit, and owners x Rate within PerSecond.
func (l Limit) Split() (owners int, s Share) {
	view := l.max() / maxViews
	if view < burst {
		return 0, Share{}
	}
	owners = max(int(view/minOwnerLoad), 1)
	rate := min(view/float64(owners)-burst, l.PerSecond/float64(owners))
	return owners, Share{Rate: max(rate, 0), Burst: burst}
}
