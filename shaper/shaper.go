// Package shaper keeps the queue at a VM's network link short. It models the bytes that wait
// there and tells what may still be added: control traffic needs no leave, answers are only
// counted, new requests are refused before the queue delays everything else, and what can be
// left out gives way first.
package shaper

import (
	"sync"
	"time"
)

const (
	// maxDelay is the longest queueing delay at which a request without a body is admitted.
	maxDelay = 250 * time.Millisecond
	// sizePenalty is how much sooner large requests are refused than small ones: a request's
	// bytes count as that many times the time that they take on the link. Any request is
	// admitted at a delay of up to minDelay.
	sizePenalty = 12
	minDelay    = 40 * time.Millisecond
	// maxOptionalDelay is the longest queueing delay at which optional traffic is sent.
	maxOptionalDelay = 15 * time.Millisecond
	// packetPayload and packetOverhead are bytes of a full packet, and of its headers.
	packetPayload  = 1448
	packetOverhead = 66
	// usable is the part of the link's rate that the model counts on; the rest is for
	// control traffic and acknowledgements, which it does not see.
	usable = 0.9
)

// Link models the queue of outgoing bytes at a network link. It is safe for concurrent use;
// a nil Link has no limit.
type Link struct {
	// Rate is in bytes a second.
	rate float64

	mu sync.Mutex
	// Backlog is the bytes that wait as of at.
	backlog float64
	at      time.Time
}

// New returns the model of a link of so many bytes a second; nil for 0, which is no limit.
func New(bytesPerSecond float64) *Link {
	if bytesPerSecond <= 0 {
		return nil
	}
	return &Link{rate: usable * bytesPerSecond}
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

// Delay returns how long the bytes that wait will take.
func (l *Link) Delay(now time.Time) time.Duration {
	if l == nil {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.drain(now)
	return l.takes(l.backlog)
}

// Admit reports whether a request of n bytes may be taken on.
func (l *Link) Admit(now time.Time, n int64) bool {
	if l == nil {
		return true
	}
	return l.Delay(now) <= max(maxDelay-sizePenalty*l.takes(float64(n)), minDelay)
}

// AdmitOptional reports whether n bytes that can be left out may be sent, and records them.
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

func (l *Link) drain(now time.Time) {
	if gone := now.Sub(l.at); gone > 0 {
		l.backlog = max(l.backlog-gone.Seconds()*l.rate, 0)
		l.at = now
	}
}

func (l *Link) takes(bytes float64) time.Duration {
	return time.Duration(bytes / l.rate * float64(time.Second))
}

// onWire returns the bytes that n bytes of payload take with headers.
func onWire(n int) float64 {
	packets := (n + packetPayload - 1) / packetPayload
	return float64(n + max(packets, 1)*packetOverhead)
}
