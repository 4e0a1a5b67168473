package router

import (
	"encoding/json"
	"errors"
	"expvar"
	"net/http"
	"time"

	"go.uber.org/zap"

	"rattanhoist.example/rattanhoist"
	"rattanhoist.example/rattanhoist/loader"
	"rattanhoist.example/rattanhoist/tracker"
)

const (
	maxAnnouncement = 64 << 10
	// renewAfter is how soon an endpoint is asked to announce again: an age
	// counts from the announcement before, and may pass two routers.
	renewAfter = 500 * time.Millisecond
)

// endpointVars holds the tracker's counters of each router in the process.
var endpointVars = expvar.NewMap("endpoints")

func newTracker(s *loader.Settings, self loader.Process) *tracker.Tracker {
	t := tracker.New(tracker.Options{
		MaxAge: s.Policy().EndpointMaxAge(), Incarnation: rattanhoist.Incarnation(time.Now().UnixNano()),
		Zone: self.Zone(), Zones: s.Zones(),
	})
	endpointVars.Set(self.Name(), expvar.Func(func() any { return t.Stats() }))
	return t
}

// announceReply answers an announcement.
type announceReply struct {
	// Token goes into the next announcement to this router.
	Token string `json:"token"`
	// Usable reports whether the endpoint may get work now.
	Usable       bool  `json:"usable"`
	RenewAfterMs int64 `json:"renew_after_ms"`
}

// announce takes an endpoint's message about itself.
func (r *Router) announce(w http.ResponseWriter, h *http.Request) {
	var a tracker.Announcement
	d := json.NewDecoder(http.MaxBytesReader(w, h.Body, maxAnnouncement))
	d.DisallowUnknownFields()
	if err := d.Decode(&a); err != nil {
		badJSON(err).write(w)
		return
	}
	now := rattanhoist.MomentOf(time.Now())
	done, err := r.tracker.Announce(a, now)
	if err != nil {
		announceProblem(err).write(w)
		return
	}
	if done.Left {
		r.log.Info("endpoint leaves", zap.String("endpoint", a.Name), zap.Uint64("incarnation", a.Incarnation))
		r.gossip.pushLeft(a.Name)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(announceReply{
		Token: r.tracker.Token(now), Usable: done.Usable, RenewAfterMs: renewAfter.Milliseconds(),
	})
}

func announceProblem(err error) *Problem {
	var field *tracker.FieldError
	switch {
	case errors.As(err, &field):
		return badField(field.Field, field.Detail)
	case errors.Is(err, tracker.ErrAddressTaken):
		p := badField("address", err.Error()+"; have that one leave, or wait until its announcement is too old")
		p.Status, p.Code = http.StatusConflict, CodeAddressTaken
		return p
	default:
		return &Problem{Status: http.StatusServiceUnavailable, Code: CodeTooManyEndpoints, Outcome: NotRun, Detail: err.Error(), After: retrySoon}
	}
}
