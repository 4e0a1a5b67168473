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
	// maxAnnouncementBytes bounds the body of an announcement.
	maxAnnouncementBytes = 64 << 10
	// renewInterval is the time after which an endpoint should announce itself
	// again. The age of an endpoint counts from its previous announcement and
	// may grow on the way through two routers, so this is well below the
	// maximum age.
	renewInterval = 500 * time.Millisecond
)

// endpointVars publishes the tracker statistics of each router in the process.
var endpointVars = expvar.NewMap("endpoints")

// newTracker creates the endpoint tracker and publishes its statistics.
func newTracker(s *loader.Settings, self loader.Process) *tracker.Tracker {
	t := tracker.New(tracker.Options{
		MaxAge: s.Policy().EndpointMaxAge(), Incarnation: rattanhoist.Incarnation(time.Now().UnixNano()),
		Zone: self.Zone(), Zones: s.Zones(),
	})
	endpointVars.Set(self.Name(), expvar.Func(func() any { return t.Stats() }))
	return t
}

// announceReply is the response to an announcement.
type announceReply struct {
	// Token must be sent in the next announcement to this router.
	Token string `json:"token"`
	// Usable reports whether requests may be sent to the endpoint now.
	Usable       bool  `json:"usable"`
	RenewAfterMs int64 `json:"renew_after_ms"`
}

// handleAnnounce serves POST /v1/endpoints, by which endpoints register and
// renew themselves.
func (r *Router) handleAnnounce(w http.ResponseWriter, h *http.Request) {
	var a tracker.Announcement
	d := json.NewDecoder(http.MaxBytesReader(w, h.Body, maxAnnouncementBytes))
	d.DisallowUnknownFields()
	if err := d.Decode(&a); err != nil {
		jsonProblem(err).write(w)
		return
	}
	now := rattanhoist.MomentOf(time.Now())
	result, err := r.tracker.Announce(a, now)
	if err != nil {
		announceProblem(err).write(w)
		return
	}
	if result.Left {
		r.log.Info("endpoint leaves", zap.String("endpoint", a.Name), zap.Uint64("incarnation", a.Incarnation))
		r.gossip.pushLeaving(a.Name)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(announceReply{
		Token: r.tracker.Token(now), Usable: result.Usable, RenewAfterMs: renewInterval.Milliseconds(),
	})
}

// announceProblem converts a tracker error into the response to the endpoint.
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
		return &Problem{Status: http.StatusServiceUnavailable, Code: CodeTooManyEndpoints, Outcome: NotRun, Detail: err.Error(), After: defaultRetryAfter}
	}
}
