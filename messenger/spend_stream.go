package messenger

import (
	"context"
	"errors"
	"io"
	"sync"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"rattanhoist.example/rattanhoist/tracer"
)

// spendQueue is how many calls wait for the stream's sender; more wait in their
// callers.
const spendQueue = 64

// spendCall is a call on its way to the sender.
type spendCall struct {
	ctx     context.Context
	request *SpendRequest
}

// spendStream is a router's end of one stream. It never opens again: what was
// open when it broke has an unknown outcome.
type spendStream struct {
	opening *SpendOpening
	calls   chan spendCall
	// Ended is closed after err is set.
	ended chan struct{}
	err   error
	// Mu guards the fields below, and the end.
	mu   sync.Mutex
	last uint64
	// Open maps the numbers of unanswered calls to where the answer goes, with
	// room for it.
	open map[uint64]chan *SpendReply
}

func newSpendStream(o *SpendOpening) *spendStream {
	return &spendStream{
		opening: o, calls: make(chan spendCall, spendQueue), ended: make(chan struct{}),
		open: map[uint64]chan *SpendReply{},
	}
}

// run opens the stream and sends until it ends. Callers never wait for it
// beyond their own time: a connection that is cut in silence takes nothing
// for as long as nobody has noticed.
func (t *spendStream) run(ctx context.Context, k BudgetKeeperClient) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-t.ended:
			cancel()
		case <-ctx.Done():
		}
	}()
	stream, err := k.Spend(ctx)
	if err != nil {
		t.end(err)
		return
	}
	var receiver sync.WaitGroup
	receiver.Go(func() { t.receive(stream) })
	defer receiver.Wait()
	if stream.Send(&SpendRequest{Call: &SpendRequest_Opening{Opening: t.opening}}) == nil {
		t.send(stream)
	}
	// Where sending failed, the receiver hears why.
	<-t.ended
}

func (t *spendStream) send(stream BudgetKeeper_SpendClient) {
	for {
		select {
		case <-t.ended:
			return
		case c := <-t.calls:
			if c.ctx.Err() != nil {
				continue
			}
			c.request.WaitMs = waitOf(c.ctx)
			if stream.Send(c.request) != nil {
				return
			}
		}
	}
}

// waitOf returns the time that a caller has left, at least a millisecond, or 0
// where it waits without end.
func waitOf(ctx context.Context) uint32 {
	d, ok := ctx.Deadline()
	if !ok {
		return 0
	}
	return uint32(max(time.Until(d).Milliseconds(), 1))
}

func (t *spendStream) receive(stream BudgetKeeper_SpendClient) {
	for {
		r, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			err = status.Error(codes.Unavailable, "the keeper has ended the stream")
		}
		if err != nil {
			t.end(err)
			return
		}
		t.mu.Lock()
		done := t.open[r.Number]
		delete(t.open, r.Number)
		t.mu.Unlock()
		if done != nil {
			done <- r
		}
	}
}

// end fails every open call; only the first error counts.
func (t *spendStream) end(err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.over() {
		return
	}
	t.err = err
	close(t.ended)
}

func (t *spendStream) over() bool {
	select {
	case <-t.ended:
		return true
	default:
		return false
	}
}

// call sends a request and returns the answer to it, or fails with the
// context, with the stream, or as the keeper says.
func (t *spendStream) call(ctx context.Context, method string, r *SpendRequest) (out *SpendReply, err error) {
	ctx, span := tracer.StartClientSpan(ctx, method)
	defer func() { span.End(err) }()
	r.Traceparent = tracer.Traceparent(ctx)
	done := make(chan *SpendReply, 1)
	t.mu.Lock()
	t.last++
	r.Number = t.last
	t.open[r.Number] = done
	t.mu.Unlock()
	select {
	case t.calls <- spendCall{ctx: ctx, request: r}:
	case <-ctx.Done():
	case <-t.ended:
	}
	select {
	case out = <-done:
	case <-ctx.Done():
		err = status.FromContextError(ctx.Err()).Err()
	case <-t.ended:
		out, err = t.late(done)
	}
	if err != nil {
		t.mu.Lock()
		delete(t.open, r.Number)
		t.mu.Unlock()
		return nil, err
	}
	if f := out.GetFailure(); f != nil {
		return nil, status.Error(codes.Code(f.Code), f.Message)
	}
	return out, nil
}

// late returns an answer that came just before the end.
func (t *spendStream) late(done <-chan *SpendReply) (*SpendReply, error) {
	select {
	case out := <-done:
		return out, nil
	default:
		return nil, t.err
	}
}
