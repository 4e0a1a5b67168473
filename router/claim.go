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
	// settleTimeout bounds the resends of a claim's end: without it a keeper
	// that is cut off would hold one goroutine for each claim.
	settleTimeout = 30 * time.Second
	// runningSlack is how long past its holder's deadline a claim is called
	// running; it covers the difference of the VMs' clocks.
	runningSlack = 5 * time.Second
)

// claimKeepers are the keepers that decide claims, by zone; immutable.
type claimKeepers map[string]messenger.ClaimKeeperClient

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

// claim is one attempt of this router to run a request at most once.
type claim struct {
	request *request
	holder  *messenger.Holder
	voters  []messenger.ClaimKeeperClient
}

// newClaim returns an attempt at the keepers that decide the request: the one
// that its ticket names, or all of them.
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

// vote is what one keeper answered; nil is nothing.
type vote struct {
	voter int
	reply *messenger.ClaimReply
}

// take asks the voters and returns the verdict with the row of the attempt
// that holds the claim instead.
func (c *claim) take(ctx context.Context) (claimer.Verdict, *messenger.ClaimRow) {
	ctx, cancel := context.WithTimeout(ctx, claimer.ClaimTime)
	defer cancel()
	q := c.request
	ask := &messenger.ClaimRequest{
		Workspace: q.key.Workspace(), RequestId: q.key.RequestID(), Digest: q.digest[:],
		Holder: c.holder, DeadlineMs: q.deadline.UnixMilli(), Store: q.ticket.store,
	}
	a := claimer.NewAttempt(time.Now(), len(c.voters))
	replies := make(chan vote, len(c.voters))
	for i, k := range c.voters {
		go func() {
			reply, err := resend(ctx, func(ctx context.Context) (*messenger.ClaimReply, error) { return k.Claim(ctx, ask) })
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

// settle tells the voters how the claim ended. A release may only follow
// where the request provably was not dispatched.
func (c *claim) settle(state messenger.ClaimState, answerDigest []byte) {
	end := &messenger.SettleRequest{
		Workspace: c.request.key.Workspace(), RequestId: c.request.key.RequestID(),
		Holder: c.holder, State: state, AnswerDigest: answerDigest,
	}
	for _, k := range c.voters {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
			defer cancel()
			_, _ = resend(ctx, func(ctx context.Context) (*messenger.SettleReply, error) { return k.Settle(ctx, end) })
		}()
	}
}

// serveOnce runs a request that may not be repeated, under a claim.
func (r *Router) serveOnce(ctx context.Context, q *request, run *joiner.Run) (*joiner.Answer, error) {
	c := r.newClaim(q)
	v, row := r.claimTraced(ctx, q, c)
	if v != claimer.Granted {
		c.settle(messenger.ClaimState_CLAIM_STATE_RELEASED, nil)
		return r.heldElsewhere(ctx, q, run, v, row)
	}
	run.Prove()
	a, err := r.serve(ctx, q, run)
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

// heldElsewhere gets the answer from the router that holds the claim, or says
// truthfully what is known of it.
func (r *Router) heldElsewhere(ctx context.Context, q *request, run *joiner.Run, v claimer.Verdict, row *messenger.ClaimRow) (*joiner.Answer, error) {
	if v == claimer.Reused {
		return nil, joiner.ErrReused
	}
	if v == claimer.Undecided {
		return nil, &Problem{Status: http.StatusServiceUnavailable, Code: CodeUndecided, Outcome: Unknown, Detail: "too few keepers answer to claim a request that may not be repeated", After: retrySoon}
	}
	if x := r.homes.all[row.GetHolder().GetRouter()]; x != nil {
		if a, err := r.joinAt(ctx, q, run, x); err == nil {
			return a, nil
		}
	}
	return nil, heldProblem(row, time.Now())
}

func heldProblem(row *messenger.ClaimRow, now time.Time) *Problem {
	running := row.State == messenger.ClaimState_CLAIM_STATE_GRANTED && now.Before(time.UnixMilli(row.DeadlineMs).Add(runningSlack))
	switch {
	case row.State == messenger.ClaimState_CLAIM_STATE_DONE:
		return &Problem{Status: http.StatusConflict, Code: CodeAnswerGone, Outcome: Ran, Detail: "the request ran once; its answer, with SHA-256 " + hex.EncodeToString(row.AnswerDigest) + ", is not kept where it can be reached"}
	case running:
		return &Problem{Status: http.StatusConflict, Code: CodeRunning, Outcome: Unknown, Detail: "another attempt of the request holds its claim", After: retrySoon}
	}
	return &Problem{Status: http.StatusConflict, Code: CodeOutcomeUnknown, Outcome: Unknown, Detail: "an attempt of the request may have run and can't be asked; it will not be run again"}
}
