package router

import (
	"context"
	"encoding/hex"
	"net/http"
	"time"

	"rattanhoist.example/rattanhoist/claimer"
	"rattanhoist.example/rattanhoist/joiner"
	"rattanhoist.example/rattanhoist/loader"
	"rattanhoist.example/rattanhoist/messenger"
)

const (
	// settleTimeout bounds the retries of a settle call. Without it, a keeper
	// that can't be reached would hold one goroutine for each claim.
	settleTimeout = 30 * time.Second
	// clockSkewAllowance is how long after its holder's deadline a claim still
	// counts as running. It covers the clock differences between VMs.
	clockSkewAllowance = 5 * time.Second
)

// claimKeepers maps the names of keepers to their claim clients. It is
// immutable.
type claimKeepers map[string]messenger.ClaimKeeperClient

// newClaimKeepers connects to all keepers; the returned function closes the
// connections.
func newClaimKeepers(s *loader.Settings, d *messenger.Dialer) (claimKeepers, func(), error) {
	k := claimKeepers{}
	var opened cleanUps
	for _, p := range s.Processes(loader.KindKeeper) {
		conn, err := d.Dial(p.RPC())
		if err != nil {
			opened.run()
			return nil, nil, err
		}
		opened.add(func() { _ = conn.Close() })
		k[p.Name()] = messenger.NewClaimKeeperClient(conn)
	}
	return k, opened.run, nil
}

// claim is one attempt of this router to get the exclusive right to run a
// request that must run at most once.
type claim struct {
	request *request
	holder  *messenger.Holder
	voters  []messenger.ClaimKeeperClient
}

// newClaim returns an attempt whose voters are the keeper that the request's
// ticket names, or all keepers if there is no ticket.
func (r *Router) newClaim(q *request) *claim {
	c := &claim{request: q, holder: &messenger.Holder{
		Router: r.self.Name(), Incarnation: uint64(r.incarnation), Attempt: r.attempts.Add(1),
	}}
	if q.ticket.zone != "" {
		if k := r.claims[zoneKeeper(r.settings, q.ticket.zone).Name()]; k != nil {
			c.voters = append(c.voters, k)
		}
		return c
	}
	for _, k := range r.claims {
		c.voters = append(c.voters, k)
	}
	return c
}

// vote is the reply of one keeper; reply is nil if the keeper did not answer.
type vote struct {
	voter int
	reply *messenger.ClaimReply
}

// acquire asks the voters for the claim. If another attempt holds it, the
// returned row describes that attempt.
func (c *claim) acquire(ctx context.Context) (claimer.Verdict, *messenger.ClaimRow) {
	ctx, cancel := context.WithTimeout(ctx, claimer.ClaimTimeout)
	defer cancel()
	q := c.request
	claimRequest := &messenger.ClaimRequest{
		Workspace: q.key.Workspace(), RequestId: q.key.RequestID(), Digest: q.digest[:],
		Holder: c.holder, DeadlineMs: q.deadline.UnixMilli(), Store: q.ticket.store,
	}
	a := claimer.NewAttempt(time.Now(), len(c.voters))
	replies := make(chan vote, len(c.voters))
	for i, k := range c.voters {
		go func() {
			reply, err := callWithRetries(ctx, func(ctx context.Context) (*messenger.ClaimReply, error) { return k.Claim(ctx, claimRequest) })
			if err != nil {
				reply = nil
			}
			replies <- vote{voter: i, reply: reply}
		}()
	}
	v := claimer.Undecided
	for range c.voters {
		x := <-replies
		if v = a.Step(time.Now(), x.voter, x.reply); v != claimer.Pending {
			break
		}
	}
	return v, a.Holder()
}

// settle reports the final state of the claim to the voters in the background.
// The state may be released only if the request was provably not dispatched.
func (c *claim) settle(state messenger.ClaimState, answerDigest []byte) {
	end := &messenger.SettleRequest{
		Workspace: c.request.key.Workspace(), RequestId: c.request.key.RequestID(),
		Holder: c.holder, State: state, AnswerDigest: answerDigest,
	}
	for _, k := range c.voters {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
			defer cancel()
			_, _ = callWithRetries(ctx, func(ctx context.Context) (*messenger.SettleReply, error) { return k.Settle(ctx, end) })
		}()
	}
}

// serveAtMostOnce runs a request that is not repeatable under a claim.
func (r *Router) serveAtMostOnce(ctx context.Context, q *request, run *joiner.Run) (*joiner.Answer, error) {
	c := r.newClaim(q)
	v, row := r.claimTraced(ctx, q, c)
	if v != claimer.Granted {
		c.settle(messenger.ClaimState_CLAIM_STATE_RELEASED, nil)
		return r.resolveRefusedClaim(ctx, q, run, v, row)
	}
	run.MarkFirstAttempt()
	a, err := r.serveRequest(ctx, q, run)
	stopped, _ := run.Stop()
	switch {
	case err == nil:
		sum, _ := hex.DecodeString(a.Digest)
		c.settle(messenger.ClaimState_CLAIM_STATE_DONE, sum)
	case stopped:
		c.settle(messenger.ClaimState_CLAIM_STATE_RELEASED, nil)
	}
	return a, err
}

// resolveRefusedClaim handles a claim that was not granted: it fetches the
// answer from the router that holds the claim, or returns an error that states
// what is known about the request.
func (r *Router) resolveRefusedClaim(ctx context.Context, q *request, run *joiner.Run, v claimer.Verdict, row *messenger.ClaimRow) (*joiner.Answer, error) {
	if v == claimer.Reused {
		return nil, joiner.ErrIDReused
	}
	if v == claimer.Undecided {
		return nil, &Problem{Status: http.StatusServiceUnavailable, Code: CodeUndecided, Outcome: Unknown, Detail: "too few keepers answer to claim a request that may not be repeated", After: defaultRetryAfter}
	}
	if x := r.peers.byName[row.GetHolder().GetRouter()]; x != nil {
		if a, err := r.joinRunAt(ctx, q, run, x); err == nil {
			return a, nil
		}
	}
	return nil, heldClaimProblem(row, time.Now())
}

// heldClaimProblem returns the error for a request whose claim another attempt
// holds or held, according to the state of the claim.
func heldClaimProblem(row *messenger.ClaimRow, now time.Time) *Problem {
	running := row.State == messenger.ClaimState_CLAIM_STATE_GRANTED && now.Before(time.UnixMilli(row.DeadlineMs).Add(clockSkewAllowance))
	switch {
	case row.State == messenger.ClaimState_CLAIM_STATE_DONE:
		return &Problem{Status: http.StatusConflict, Code: CodeAnswerGone, Outcome: Ran, Detail: "the request ran once; its answer, with SHA-256 " + hex.EncodeToString(row.AnswerDigest) + ", is not kept where it can be reached"}
	case running:
		return &Problem{Status: http.StatusConflict, Code: CodeRunning, Outcome: Unknown, Detail: "another attempt of the request holds its claim", After: defaultRetryAfter}
	}
	return &Problem{Status: http.StatusConflict, Code: CodeOutcomeUnknown, Outcome: Unknown, Detail: "an attempt of the request may have run and can't be asked; it will not be run again"}
}
