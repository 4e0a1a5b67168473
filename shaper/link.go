// Package shaper keeps the queue at a VM's network link short. It models the queued bytes and
// decides what may be added. Control traffic is always sent, and responses are only counted. New
// requests are refused before the queue delays everything else, and optional traffic is dropped
// first.
package shaper

import (
	"sync"
	"time"
)

const (
	// maxDelay is the longest queueing delay at which a request without a body is admitted.
	maxDelay = 250 * time.Millisecond
	// sizePenalty makes the limit on the delay lower for large requests: it is reduced by this
	// many times the request's transmission time. At a delay of up to minDelay any request is
	// admitted.
	sizePenalty = 12
	minDelay    = 40 * time.Millisecond
	// maxOptionalDelay is the longest queueing delay at which optional traffic is sent.
	maxOptionalDelay = 15 * time.Millisecond
	// packetPayload and packetOverhead are the bytes of payload and headers of a full packet.
	packetPayload  = 1448
	packetOverhead = 66
	// usableFraction is the part of the link's rate that the model assumes to be available. The
	// rest is for control traffic and acknowledgements, which the model does not see.
	usableFraction = 0.9
)

// Link models the queue of outgoing bytes at a network link. It is safe for concurrent use. A nil
// Link has no limit.
type Link struct {
	// Rate is in bytes per second.
	rate float64

	mu sync.Mutex
	// Backlog is the number of queued bytes as of at.
	backlog float64
	at      time.Time
}

// NewLink returns the model of a link that carries bytesPerSecond, or nil if that is 0, which
// means no limit.
func NewLink(bytesPerSecond float64) *Link {
	if bytesPerSecond <= 0 {
		return nil
	}
	return &Link{rate: usableFraction * bytesPerSecond}
}

// Sent records n bytes that were handed to the link.
func (l *Link) Sent(now time.Time, n int) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.drain(now)
	l.backlog += onWire(n)
}

// Delay returns how long it takes to send the queued bytes.
func (l *Link) Delay(now time.Time) time.Duration {
	if l == nil {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.drain(now)
	return l.transmissionTime(l.backlog)
}

// Admit reports whether a request of n bytes may be accepted.
func (l *Link) Admit(now time.Time, n int64) bool {
	if l == nil {
		return true
	}
	return l.Delay(now) <= max(maxDelay-sizePenalty*l.transmissionTime(float64(n)), minDelay)
}

// AdmitOptional reports whether n bytes of optional traffic may be sent, and records them if so.
func (l *Link) AdmitOptional(now time.Time, n int) bool {
	if l == nil {
		return true
	}
	if l.Delay(now) > maxOptionalDelay {
		return false
	}
	l.Sent(now, n)
	return true
}

// drain removes the bytes from the backlog that were sent since the last call.
func (l *Link) drain(now time.Time) {
	if elapsed := now.Sub(l.at); elapsed > 0 {
		l.backlog = max(l.backlog-elapsed.Seconds()*l.rate, 0)
		l.at = now
	}
}

func (l *Link) transmissionTime(bytes float64) time.Duration {
	return time.Duration(bytes / l.rate * float64(time.Second))
}

// onWire returns the size of n bytes of payload including packet headers.
func onWire(n int) float64 {
	packets := (n + packetPayload - 1) / packetPayload
	return float64(n + max(packets, 1)*packetOverhead)
}
