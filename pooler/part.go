package pooler

import "time"

const (
	// minUnfinished is how long bytes have arrived for a part that counts as unfinished. Sound endpoints
	// send a part at once, and a packet that is lost is sent again sooner.
	minUnfinished = 500 * time.Millisecond
	// maxPartPause is the longest pause within a part. After a longer one, the end of a chunk that came
	// late does not count as the beginning of the next event.
	maxPartPause = time.Second
)

// part is a part of an answer that a sound endpoint sends at once: a head, the body of a plain answer, or
// an event.
type part struct {
	// since and last are when its first and last bytes arrived, in nanoseconds since the pool was created;
	// 0 if none did.
	since, last time.Duration
}

// received records that bytes arrived.
func (x *part) received(at time.Duration) {
	if x.since == 0 || at-x.last > maxPartPause {
		x.since = at
	}
	x.last = at
}

// unfinished reports whether bytes have kept arriving for a while and the part has not come to its end. A
// silent endpoint is not unfinished.
func (x *part) unfinished() bool { return x.last-x.since >= minUnfinished }

// beginPart records that the next byte belongs to another part.
func (p *Pool) beginPart(c *conn) {
	c.part = part{}
	if c.reader.Buffered() > 0 {
		c.part.received(p.now())
	}
}
