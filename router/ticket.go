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
	headerTicket    = "Request-Ticket"
	ticketPrefix    = "ticket"
	ticketParts     = 4
	ticketTimeout   = 2 * time.Second
	ticketSeparator = ":"
)

// ticket names the only keeper that decides whether a request runs. It is
// encoded in the request id, so that every attempt is decided by the same
// keeper.
type ticket struct {
	zone string
	// store identifies the keeper's disk. If the disk is lost, no other keeper
	// decides.
	store string
}

// parseTicket returns the ticket in a request id, if the id is one.
func parseTicket(id string) (t ticket, ok bool) {
	p := strings.Split(id, ticketSeparator)
	if len(p) != ticketParts || p[0] != ticketPrefix {
		return ticket{}, false
	}
	return ticket{zone: p[1], store: p[2]}, p[1] != "" && p[2] != "" && p[3] != ""
}

// issueTicket handles POST /v1/tickets. It returns the id for a future request,
// which the keeper of this zone will decide.
func (r *Router) issueTicket(w http.ResponseWriter, h *http.Request) {
	if _, err := r.snapshot.Load().WorkspaceByKey(bearerKey(h)); err != nil {
		problemFromError(err).write(w)
		return
	}
	ctx, cancel := context.WithTimeout(h.Context(), ticketTimeout)
	defer cancel()
	reply, err := r.claims[zoneKeeper(r.settings, r.self.Zone()).Name()].Store(ctx, &messenger.StoreRequest{})
	if err != nil {
		(&Problem{Status: http.StatusServiceUnavailable, Code: CodeUndecided, Outcome: NotRun, Detail: "the keeper of this zone does not answer", After: defaultRetryAfter}).write(w)
		return
	}
	id := strings.Join([]string{ticketPrefix, r.self.Zone(), reply.Store, uuid.NewString()}, ticketSeparator)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusCreated)
	_ = json.NewEncoder(w).Encode(map[string]string{"ticket": id, "zone": r.self.Zone()})
}
