package courier

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"rattanhoist.example/rattanhoist/allotter"
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
	// bulk is set if searches are bounded as searches decides. Otherwise each search asks all
	// routers.
	bulk bool

	mu        sync.Mutex
	waiters   []*waiter
	searching bool
	// nextPeer is the rotation of the peers for the next search. pending holds the routers
	// that have been asked and have not responded yet.
	nextPeer int
	pending  map[*messenger.Link]bool
	searches *allotter.LoanSearches
	// loans are those that no log line has stated yet.
	loans loans
}

// loans are the loans that one log line states. Workspaces are those that were lent or asked for.
type loans struct {
	tokens              int64
	workspaces, lenders map[string]bool
}

func newLoans() loans { return loans{workspaces: map[string]bool{}, lenders: map[string]bool{}} }

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
	return &borrower{
		rights: r, log: log, wake: make(chan struct{}, 1), nextPeer: rand.IntN(1 << 16), pending: map[*messenger.Link]bool{},
		bulk: r.notices, searches: allotter.NewLoanSearches(rand.IntN(1 << 16)), loans: newLoans(),
	}
}

// wait blocks until try succeeds, until a search was in vain, or until ctx is done. It reports
// whether try succeeded.
func (b *borrower) wait(ctx context.Context, try func() bool) bool {
	b.mu.Lock()
	w := &waiter{try: try, done: make(chan bool, 1), joinedDuringSearch: b.searching}
	b.waiters = append(b.waiters, w)
	b.mu.Unlock()
	b.signal()
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
		// A loan may have arrived after the last search.
		return try()
	}
}

// signal makes a search start.
func (b *borrower) signal() {
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// keepersAnswer shortens the pause before the next search.
func (b *borrower) keepersAnswer() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.searches.Reset(time.Now())
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
		switch {
		case !b.bulk:
			b.searchAll(ctx)
		case b.awaitTurn(ctx):
			b.searchInBulk(ctx)
		}
	}
}

// awaitTurn waits for the pause between two searches, and reports whether a search may start.
func (b *borrower) awaitTurn(ctx context.Context) bool {
	b.mu.Lock()
	d := b.searches.Delay(time.Now())
	b.mu.Unlock()
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// searchInBulk asks some routers for everything that is missing, in waves, until nothing is. Each
// search writes one log line, which includes the loans that arrived after the one before.
func (b *borrower) searchInBulk(ctx context.Context) {
	begun, asked := time.Now(), 0
	b.beginSearch()
	defer b.endSearch()
	for wave := range slices.Chunk(b.lenders(), waveSize) {
		wants := b.rights.shortfalls()
		if len(wants) == 0 || ctx.Err() != nil {
			break
		}
		b.recordWants(wants)
		asked += b.askWave(ctx, wave, wants)
		b.serveWaiters()
	}
	if asked > 0 {
		b.recordSearch(asked, time.Since(begun))
	}
}

// lenders returns the routers that the next search asks.
func (b *borrower) lenders() []*messenger.Link {
	near, far := b.rights.fleet.peersByDistance()
	byAddress := map[string]*messenger.Link{}
	b.mu.Lock()
	defer b.mu.Unlock()
	available := func(list []*messenger.Link) []string {
		var out []string
		for _, l := range list {
			if !b.pending[l] {
				byAddress[l.Address()] = l
				out = append(out, l.Address())
			}
		}
		return out
	}
	var out []*messenger.Link
	for _, a := range b.searches.Lenders(time.Now(), available(near), available(far)) {
		out = append(out, byAddress[a])
	}
	return out
}

// recordWants records the workspaces that a search asks for.
func (b *borrower) recordWants(wants []*messenger.PrepaidTotal) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, w := range wants {
		b.loans.workspaces[w.Workspace] = true
	}
}

// recordSearch logs and counts a search, and decides when the next one may start.
func (b *borrower) recordSearch(asked int, took time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	loanSearches.Inc()
	if b.loans.tokens == 0 {
		emptySearches.Inc()
	}
	b.searches.Ended(time.Now(), asked)
	b.log.Info("rights borrowed", zap.Int64("tokens", b.loans.tokens), zap.Strings("workspaces", slices.Sorted(maps.Keys(b.loans.workspaces))),
		zap.Int("asked", asked), zap.Int("lenders", len(b.loans.lenders)), zap.Duration("took", took))
	b.loans = newLoans()
}

// searchAll asks the other routers in waves until nothing is missing or all have been asked.
// Routers in this zone come first: of 78 routers, 52 are in other zones, and each request
// and its response take 450 bytes of a link that is charged for.
func (b *borrower) searchAll(ctx context.Context) {
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
		b.signal()
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
// waveTimeout for their responses. It returns how many it asked.
func (b *borrower) askWave(ctx context.Context, lenders []*messenger.Link, wants []*messenger.PrepaidTotal) int {
	for _, w := range wants {
		w.Tokens = max(w.Tokens/loanDivisor, minLoanRequest)
	}
	var asked sync.WaitGroup
	count := 0
	for _, l := range lenders {
		if b.markPending(l) {
			continue
		}
		count++
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
	return count
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
	reply, err := l.Lend(ctx, lendTimeout, q)
	if err != nil {
		lenderFailures.Inc()
	}
	b.rights.observeShortages(reply.GetShortages())
	var sum int64
	var workspaces []string
	for _, x := range reply.GetLent() {
		p, _, _ := b.rights.allocation(x.Workspace)
		p.Receive(x.Tokens)
		sum += x.Tokens
		workspaces = append(workspaces, x.Workspace)
	}
	borrowedTokens.AddInt64(sum)
	if sum > 0 && !b.bulk {
		b.log.Info("rights borrowed", zap.Int64("tokens", sum), zap.Strings("workspaces", workspaces), zap.String("from", l.Address()))
	}
	b.recordReply(l, sum, workspaces)
	if sum > 0 && b.bulk {
		// The next search may start only after these requests have been refused.
		b.serveWaiters()
	}
}

// recordReply records what a router lent, or that it lent nothing.
func (b *borrower) recordReply(l *messenger.Link, tokens int64, workspaces []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.pending, l)
	if tokens == 0 {
		b.searches.LentNothing(time.Now(), l.Address())
		return
	}
	if !b.bulk {
		return
	}
	b.searches.Lent(l.Address())
	b.loans.tokens += tokens
	b.loans.lenders[l.Address()] = true
	for _, w := range workspaces {
		b.loans.workspaces[w] = true
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
