package router

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"

	"rattanhoist.example/rattanhoist/messenger"
)

const (
	headerTicket   = "Request-Ticket"
	ticketPrefix   = "ticket"
	ticketParts    = 4
	ticketTimeout  = 2 * time.Second
	ticketDivision = ":"
)

// ticket names the one keeper that decides whether a request runs. It is the
// request's id, so that every attempt is decided in the same place.
type ticket struct {
	zone string
	// Store is the keeper's disk: should it be lost, no other decides.
	store string
}

// parseTicket reads the ticket in a request id, if it is one.
func parseTicket(id string) (t ticket, ok bool) {
	p := strings.Split(id, ticketDivision)
	if len(p) != ticketParts || p[0] != ticketPrefix {
		return ticket{}, false
	}
	return ticket{zone: p[1], store: p[2]}, p[1] != "" && p[2] != "" && p[3] != ""
}

// issueTicket gives a caller the id of a request to come, decided by the
// keeper of this zone.
func (r *Router) issueTicket(w http.ResponseWriter, h *http.Request) {
	if _, err := r.snapshot.Load().WorkspaceByKey(bearerKey(h)); err != nil {
		problemOf(err).write(w)
		return
	}
	ctx, cancel := context.WithTimeout(h.Context(), ticketTimeout)
	defer cancel()
	reply, err := r.claims[zoneKeeper(r.settings, r.self.Zone()).Name()].Store(ctx, &messenger.StoreRequest{})
	if err != nil {
		(&Problem{Status: http.StatusServiceUnavailable, Code: CodeUndecided, Outcome: NotRun, Detail: "the keeper of this zone does not answer", After: retrySoon}).write(w)
		return
	}
	id := strings.Join([]string{ticketPrefix, r.self.Zone(), reply.Store, uuid.NewString()}, ticketDivision)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusCreated)
	_ = json.NewEncoder(w).Encode(map[string]string{"ticket": id, "zone": r.self.Zone()})
}
