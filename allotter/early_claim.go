package allotter

import "time"

// earlyClaimDivisor is the part, as a divisor, of the ceiling's room or of the target headroom
// below which a claim is due at once. The rest lasts for a claim's round trip at a multiple of the
// mean demand.
const earlyClaimDivisor = 4

// earlyClaims decides when a claim is due before the next interval.
type earlyClaims struct {
	// StatedAt identifies the limit to which room and due belong.
	statedAt time.Time
	// Room is what the limit's ceiling allowed at the first reservation after it was stated.
	room int64
	// Due is set once a claim is due. The next claim states a new limit, which clears it.
	due bool
}

// NeedsEarlyClaim reports, after a reservation, whether a claim should be sent at once so that the
// next request does not wait: less than a quarter is left of the ceiling's room or of the target
// headroom. It returns true once for each stated limit, so that a claim without an answer is
// repeated at the claim interval only.
func (p *Allocation) NeedsEarlyClaim(now time.Time, floor int64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || !p.answered || len(p.limits) == 0 {
		return false
	}
	p.updateRoom()
	if p.early.due {
		return false
	}
	headroom := p.headroom()
	left := p.limits[len(p.limits)-1].ceiling - p.used()
	ceilingLow := left < p.early.room/earlyClaimDivisor && headroom > left
	// While tokens are scarce, keepers grant little, and claims would follow one another.
	headroomLow := !p.scarce && headroom < p.targetHeadroom(p.demandRate(now), floor)/earlyClaimDivisor
	p.early.due = ceilingLow || headroomLow
	return p.early.due
}

// updateRoom records the room of the newest limit if it was stated since the last call. The
// tokens that are reserved now count as used when it was stated.
func (p *Allocation) updateRoom() {
	last := p.limits[len(p.limits)-1]
	if last.statedAt.Equal(p.early.statedAt) {
		return
	}
	p.early = earlyClaims{statedAt: last.statedAt, room: last.ceiling - p.used()}
}

// earlyClaimDue reports whether NeedsEarlyClaim has returned true since the newest limit was
// stated.
func (p *Allocation) earlyClaimDue() bool {
	return p.early.due && p.early.statedAt.Equal(p.lastLimitAt())
}
