package courier

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"rattanhoist.example/rattanhoist/messenger"
)

const (
	// lendTimeout bounds one request to another router. Tokens that it lends are lost if
	// the response is not awaited. Over a full link a round trip takes 0.4 to 0.5 s, and
	// with a new connection twice that.
	lendTimeout = 1200 * time.Millisecond
	// waveTimeout is how long a search waits for the responses of a wave. Later responses
	// are still accepted when they arrive.
	waveTimeout = 150 * time.Millisecond
	// waveSize is how many routers are asked at once. Each is asked for the missing amount
	// divided by loanDivisor: few routers can lend much, and if all can, the loans add up
	// to twice the missing amount.
	waveSize    = 8
	loanDivisor = 4
	// minLoanRequest is the smallest amount, in tokens, that one router is asked for: a
	// typical request.
	minLoanRequest = 10_000
	// borrowCheckInterval is how often a router that can't reach any keeper checks whether it
	// will soon need more rights. It is a quarter of the period whose demand it borrows for.
	borrowCheckInterval = 500 * time.Millisecond
)

// borrower obtains rights from other routers, on behalf of all requests of this one. If
// each request searched for a lender by itself, none would have the time to connect to one,
// and each would close the connections that others had begun. A router with 250 requests a
// second would then borrow nothing within nine seconds, and refuse most of them.
type borrower struct {
	rights *rights
	log    *zap.Logger
	wake   chan struct{}

	mu        sync.Mutex
	waiters   []*waiter
	searching bool
	// nextPeer is the rotation of the peers for the next search. pending holds the routers
	// that have been asked and have not responded yet.
	nextPeer int
	pending  map[*messenger.Link]bool
}

// waiter is a request that waits for rights from other routers.
type waiter struct {
	// try reserves the tokens of the request if enough are held, and reports whether it did.
	try  func() bool
	done chan bool
	// joinedDuringSearch is set if a search was running when the request joined. The
	// request then waits for the end of the next search.
	joinedDuringSearch bool
}

func newBorrower(r *rights, log *zap.Logger) *borrower {
	return &borrower{rights: r, log: log, wake: make(chan struct{}, 1), nextPeer: rand.IntN(1 << 16), pending: map[*messenger.Link]bool{}}
}

// wait blocks until try succeeds, until a search has asked all routers in vain, or until
// ctx is done. It reports whether try succeeded.
func (b *borrower) wait(ctx context.Context, try func() bool) bool {
	b.mu.Lock()
	w := &waiter{try: try, done: make(chan bool, 1), joinedDuringSearch: b.searching}
	b.waiters = append(b.waiters, w)
	b.mu.Unlock()
	select {
	case b.wake <- struct{}{}:
	default:
	}
	select {
	case ok := <-w.done:
		return ok
	case <-ctx.Done():
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.waiters = slices.DeleteFunc(b.waiters, func(o *waiter) bool { return o == w })
	select {
	case ok := <-w.done:
		// It was served at the same time.
		return ok
	default:
		return false
	}
}

// run searches for rights when requests wait for them, and regularly while no keeper can be
// reached, until ctx is done.
func (b *borrower) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-b.wake:
		case <-time.After(borrowCheckInterval):
			if !b.rights.fleet.disconnected() {
				continue
			}
		}
		b.search(ctx)
	}
}

// search asks the other routers in waves until nothing is missing or all have been asked.
// Routers in this zone come first: of 78 routers, 52 are in other zones, and each request
// and its response take 450 bytes of a link that is charged for.
func (b *borrower) search(ctx context.Context) {
	b.beginSearch()
	defer b.endSearch()
	b.nextPeer++
	others := b.rights.fleet.rotatedPeers(b.nextPeer)
	for i := 0; i < len(others) && ctx.Err() == nil; i += waveSize {
		wants := b.rights.shortfalls()
		if len(wants) == 0 {
			return
		}
		b.askWave(ctx, others[i:min(i+waveSize, len(others))], wants)
		b.serveWaiters()
	}
}

// beginSearch starts a search on behalf of all requests that are waiting.
func (b *borrower) beginSearch() {
	b.serveWaiters()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.searching = true
	for _, w := range b.waiters {
		w.joinedDuringSearch = false
	}
}

// endSearch tells the requests that have waited for the whole search that it failed.
func (b *borrower) endSearch() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.searching = false
	b.waiters = slices.DeleteFunc(b.waiters, func(w *waiter) bool {
		if !w.joinedDuringSearch {
			w.done <- false
		}
		return !w.joinedDuringSearch
	})
	if len(b.waiters) > 0 {
		select {
		case b.wake <- struct{}{}:
		default:
		}
	}
}

// serveWaiters completes the waiting requests whose tokens can be reserved now.
func (b *borrower) serveWaiters() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.waiters = slices.DeleteFunc(b.waiters, func(w *waiter) bool {
		got := w.try()
		if got {
			w.done <- true
		}
		return got
	})
}

// askWave asks several routers at once for everything that is missing, and waits up to
// waveTimeout for their responses.
func (b *borrower) askWave(ctx context.Context, lenders []*messenger.Link, wants []*messenger.PrepaidTotal) {
	for _, w := range wants {
		w.Tokens = max(w.Tokens/loanDivisor, minLoanRequest)
	}
	var asked sync.WaitGroup
	for _, l := range lenders {
		if b.markPending(l) {
			continue
		}
		asked.Go(func() { b.askPeer(ctx, l, &messenger.LendRequest{Wants: wants}) })
	}
	done := make(chan struct{})
	go func() {
		asked.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(waveTimeout):
	}
}

// markPending records that a router is being asked. It reports whether an earlier request
// to it is still pending.
func (b *borrower) markPending(l *messenger.Link) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	wasPending := b.pending[l]
	b.pending[l] = true
	return wasPending
}

// askPeer asks one router for a loan and adds what it lends to the allocations.
func (b *borrower) askPeer(ctx context.Context, l *messenger.Link, q *messenger.LendRequest) {
	lent, err := l.Lend(ctx, lendTimeout, q)
	b.mu.Lock()
	delete(b.pending, l)
	b.mu.Unlock()
	if err != nil {
		lenderFailures.Inc()
		return
	}
	var sum int64
	var workspaces []string
	for _, x := range lent {
		p, _, _ := b.rights.allocation(x.Workspace)
		p.Receive(x.Tokens)
		sum += x.Tokens
		workspaces = append(workspaces, x.Workspace)
	}
	if sum > 0 {
		borrowedTokens.AddInt64(sum)
		b.log.Info("rights borrowed", zap.Int64("tokens", sum), zap.Strings("workspaces", workspaces), zap.String("from", l.Address()))
	}
}

// shortfalls returns the rights to borrow, by workspace. While keepers can be reached,
// these are only the rights that they have reported to be exhausted.
func (r *rights) shortfalls() []*messenger.PrepaidTotal {
	connected, now := !r.fleet.disconnected(), time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []*messenger.PrepaidTotal
	for _, w := range slices.Sorted(maps.Keys(r.allocations)) {
		if n := r.allocations[w].TokensToBorrow(now, connected); n > 0 {
			out = append(out, &messenger.PrepaidTotal{Workspace: w, Tokens: n})
		}
	}
	return out
}
