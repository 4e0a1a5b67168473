package tracker

import (
	"strconv"
	"strings"
	"time"

	"rattanhoist.example/rattanhoist"
)

// Token returns a token that the endpoint sends back with its next announcement.
// An announcement with the token was made after now, however long it was
// delayed. Without tokens, a router that was suspended would treat the
// announcements in its socket buffers as new.
func (t *Tracker) Token(now rattanhoist.Moment) string {
	b := strconv.AppendUint(nil, uint64(t.incarnation), 16)
	b = strconv.AppendInt(append(b, '.'), int64(now.Monotonic()), 16)
	return string(strconv.AppendInt(append(b, '.'), int64(now.Wall()), 16))
}

// issued returns when a token was issued. It returns false for tokens of other
// processes and for those with a time in the future.
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
