package tracker

import (
	"strconv"
	"strings"
	"time"

	"rattanhoist.example/rattanhoist"
)

// Token returns what an endpoint sends back with its next announcement. An
// announcement that carries it was made after now, however long it lay in a
// socket's buffer or in the network. Without it, a router that was stopped
// would take announcements that waited in its buffers for fresh ones.
func (t *Tracker) Token(now rattanhoist.Moment) string {
	b := strconv.AppendUint(nil, uint64(t.incarnation), 16)
	b = strconv.AppendInt(append(b, '.'), int64(now.Monotonic()), 16)
	return string(strconv.AppendInt(append(b, '.'), int64(now.Wall()), 16))
}

// issued returns when a token was given out; false for another process's
// token or one from the future.
func (t *Tracker) issued(token string, now rattanhoist.Moment) (rattanhoist.Moment, bool) {
	incarnation, rest, _ := strings.Cut(token, ".")
	steady, wall, _ := strings.Cut(rest, ".")
	i, err := strconv.ParseUint(incarnation, 16, 64)
	if err != nil || rattanhoist.Incarnation(i) != t.incarnation {
		return rattanhoist.Moment{}, false
	}
	s, err := strconv.ParseInt(steady, 16, 64)
	if err != nil {
		return rattanhoist.Moment{}, false
	}
	w, err := strconv.ParseInt(wall, 16, 64)
	if err != nil {
		return rattanhoist.Moment{}, false
	}
	m := rattanhoist.NewMoment(time.Duration(s), time.Duration(w))
	return m, !now.Before(m)
}
