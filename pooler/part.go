package pooler

import (
	"time"

	"github.com/ansel1/merry/v2"
)

const (
	// partTimeout is how long bytes of a part may keep arriving that another endpoint may send as well. It is
	// longer than a sound endpoint may be silent.
	partTimeout = 2500 * time.Millisecond
	// minUnfinished is how long bytes have arrived for a part that counts as unfinished. Sound endpoints
	// send a part at once, and a packet that is lost is sent again sooner.
	minUnfinished = 500 * time.Millisecond
	// maxPartPause is the longest pause within a part. After a longer one, the end of a chunk that came
	// late does not count as the beginning of the next event.
	maxPartPause = time.Second
)

// errPartTimeout is returned for a part whose bytes keep arriving for longer than partTimeout.
var errPartTimeout = merry.Sentinel("part of the answer has no end")

// part is a part of an answer that a sound endpoint sends at once: a head, the body of a plain answer, or
// an event.
type part struct {
	// since and last are when its first and last bytes arrived, in nanoseconds since the pool was created;
	// 0 if none did.
	since, last time.Duration
	// limited is set if the part may last partTimeout only.
	limited bool
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

// timedOut reports whether no more is to be read of the part.
func (x *part) timedOut() bool { return x.limited && x.last-x.since >= partTimeout }

// beginPart records that the next byte belongs to another part.
func (p *Pool) beginPart(c *conn, limited bool) {
	c.part = part{limited: limited}
	if c.reader.Buffered() > 0 {
		c.part.received(p.now())
	}
}
