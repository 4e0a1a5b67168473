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
	// lendTimeout bounds one question to another router: what it lends is lost
	// if its answer is not waited for, and a full link takes 0.4 to 0.5 s for a way
	// and back, twice as long with a new connection.
	lendTimeout = 1200 * time.Millisecond
	// lendPatience is how long a search waits for a wave; later answers are
	// taken when they come.
	lendPatience = 150 * time.Millisecond
	// lendWave is how many routers are asked at once, and lendPart into how
	// many parts what is wanted is cut for them: few have much to lend, and if
	// all of them have, twice as much comes as was wanted.
	lendWave = 8
	lendPart = 4
	// lendLeast is the least that one is asked for, in tokens: a usual request.
	lendLeast = 10_000
	// lendAhead is how often a router that no keeper answers looks whether it
	// will soon need more: a quarter of the time that the demand it borrows for
	// lasts.
	lendAhead = 500 * time.Millisecond
)

// borrower gets rights from other routers, for all requests of this one
// together. If each request looked for a lender by itself, none would have the
// time to connect to one, and each would close the connections that others had
// begun: a router with 250 requests a second borrows nothing in nine seconds that
// way, and refuses most of them.
type borrower struct {
	rights *rights
	log    *zap.Logger
	wake   chan struct{}

	mu        sync.Mutex
	waiting   []*borrowing
	searching bool
	// Next is where in the lists of routers the next search begins; owing are
	// the routers that have been asked and have not answered.
	next  int
	owing map[*messenger.Link]bool
}

// borrowing is a request that waits for rights of other routers.
type borrowing struct {
	// Try reports whether there is enough now, and takes it.
	try  func() bool
	done chan bool
	// Late says that a search was under way when it came, so that it is told of
	// the end of the next one.
	late bool
}

func newBorrower(r *rights, log *zap.Logger) *borrower {
	return &borrower{rights: r, log: log, wake: make(chan struct{}, 1), next: rand.IntN(1 << 16), owing: map[*messenger.Link]bool{}}
}

// fetch waits until what routers lent is enough for try, all of them have been
// asked in vain, or ctx ends. It reports whether try took it.
func (b *borrower) fetch(ctx context.Context, try func() bool) bool {
	b.mu.Lock()
	w := &borrowing{try: try, done: make(chan bool, 1), late: b.searching}
	b.waiting = append(b.waiting, w)
	b.mu.Unlock()
	select {
	case b.wake <- struct{}{}:
	default:
	}
	select {
	case got := <-w.done:
		return got
	case <-ctx.Done():
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.waiting = slices.DeleteFunc(b.waiting, func(o *borrowing) bool { return o == w })
	select {
	case got := <-w.done:
		// It was served in the same moment.
		return got
	default:
		return false
	}
}

// run asks other routers until ctx ends.
func (b *borrower) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-b.wake:
		case <-time.After(lendAhead):
			if !b.rights.fleet.outOfTouch() {
				continue
			}
		}
		b.search(ctx)
	}
}

// search asks the other routers in waves until nothing is wanted any more or
// all were asked, those of the zone first: of 78 routers, 52 are in other zones, and
// each question there and back takes 450 bytes of a link that has to be paid for.
func (b *borrower) search(ctx context.Context) {
	b.begin()
	defer b.end()
	b.next++
	others := b.rights.fleet.turn(b.next)
	for i := 0; i < len(others) && ctx.Err() == nil; i += lendWave {
		wants := b.rights.lacking()
		if len(wants) == 0 {
			return
		}
		b.wave(ctx, others[i:min(i+lendWave, len(others))], wants)
		b.serve()
	}
}

func (b *borrower) begin() {
	b.serve()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.searching = true
	for _, w := range b.waiting {
		w.late = false
	}
}

// end tells those that waited for the search that it was in vain.
func (b *borrower) end() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.searching = false
	b.waiting = slices.DeleteFunc(b.waiting, func(w *borrowing) bool {
		if !w.late {
			w.done <- false
		}
		return !w.late
	})
	if len(b.waiting) > 0 {
		select {
		case b.wake <- struct{}{}:
		default:
		}
	}
}

// serve lets those who wait try what is there.
func (b *borrower) serve() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.waiting = slices.DeleteFunc(b.waiting, func(w *borrowing) bool {
		got := w.try()
		if got {
			w.done <- true
		}
		return got
	})
}

// wave asks some routers at once for all that is wanted, and waits a moment for
// their answers.
func (b *borrower) wave(ctx context.Context, lenders []*messenger.Link, wants []*messenger.PrepaidTotal) {
	for _, w := range wants {
		w.Tokens = max(w.Tokens/lendPart, lendLeast)
	}
	var asked sync.WaitGroup
	for _, l := range lenders {
		if b.owes(l) {
			continue
		}
		asked.Go(func() { b.ask(ctx, l, &messenger.LendRequest{Wants: wants}) })
	}
	all := make(chan struct{})
	go func() {
		asked.Wait()
		close(all)
	}()
	select {
	case <-all:
	case <-time.After(lendPatience):
	}
}

// owes reports whether a router has still to answer; if not, it will now.
func (b *borrower) owes(l *messenger.Link) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	owes := b.owing[l]
	b.owing[l] = true
	return owes
}

func (b *borrower) ask(ctx context.Context, l *messenger.Link, q *messenger.LendRequest) {
	lent, err := l.Lend(ctx, lendTimeout, q)
	b.mu.Lock()
	delete(b.owing, l)
	b.mu.Unlock()
	if err != nil {
		lendersSilent.Inc()
		return
	}
	var sum int64
	var workspaces []string
	for _, x := range lent {
		p, _, _ := b.rights.purse(x.Workspace)
		p.Receive(x.Tokens)
		sum += x.Tokens
		workspaces = append(workspaces, x.Workspace)
	}
	if sum > 0 {
		borrowedTokens.AddInt64(sum)
		b.log.Info("rights borrowed", zap.Int64("tokens", sum), zap.Strings("workspaces", workspaces), zap.String("from", l.Address()))
	}
}

// lacking returns what to borrow. While keepers answer, that is only what they
// have said to be gone.
func (r *rights) lacking() []*messenger.PrepaidTotal {
	touch, now := !r.fleet.outOfTouch(), time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []*messenger.PrepaidTotal
	for _, w := range slices.Sorted(maps.Keys(r.purses)) {
		if n := r.purses[w].Lack(now, touch); n > 0 {
			out = append(out, &messenger.PrepaidTotal{Workspace: w, Tokens: n})
		}
	}
	return out
}
