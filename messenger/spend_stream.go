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

// spendQueueLength is the number of calls that are queued for the sender of a stream. Further callers
// block.
const spendQueueLength = 64

// spendCall is a call that is queued for the sender.
type spendCall struct {
	ctx     context.Context
	request *SpendRequest
}

// spendStream is the router's end of one stream. It is not opened again after it ended. The outcome of
// calls that were unanswered then is unknown.
type spendStream struct {
	opening *SpendOpening
	calls   chan spendCall
	// ended is closed after err is set.
	ended chan struct{}
	err   error
	// mu guards the fields below, and the end of the stream.
	mu sync.Mutex
	// lastNumber is the number of the last call.
	lastNumber uint64
	// unanswered maps the numbers of calls without an answer to buffered channels for it.
	unanswered map[uint64]chan *SpendReply
}

func newSpendStream(o *SpendOpening) *spendStream {
	return &spendStream{
		opening: o, calls: make(chan spendCall, spendQueueLength), ended: make(chan struct{}),
		unanswered: map[uint64]chan *SpendReply{},
	}
}

// run opens the stream and sends calls until it ends. A send may block for long on a connection that
// is partitioned without notice, so callers wait for it only until their own deadlines.
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
	// After a failed send, the receiver gets the error.
	<-t.ended
}

// send sends queued calls until the stream ends or a send fails.
func (t *spendStream) send(stream BudgetKeeper_SpendClient) {
	for {
		select {
		case <-t.ended:
			return
		case c := <-t.calls:
			if c.ctx.Err() != nil {
				continue
			}
			c.request.WaitMs = remainingMS(c.ctx)
			if stream.Send(c.request) != nil {
				return
			}
		}
	}
}

// remainingMS returns the time until the deadline of a caller in milliseconds, at least 1, or 0 if
// there is no deadline.
func remainingMS(ctx context.Context) uint32 {
	d, ok := ctx.Deadline()
	if !ok {
		return 0
	}
	return uint32(max(time.Until(d).Milliseconds(), 1))
}

// receive passes answers to their callers until the stream ends.
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
		done := t.unanswered[r.Number]
		delete(t.unanswered, r.Number)
		t.mu.Unlock()
		if done != nil {
			done <- r
		}
	}
}

// end ends the stream, which fails every unanswered call. Only the first error counts.
func (t *spendStream) end(err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.hasEnded() {
		return
	}
	t.err = err
	close(t.ended)
}

// hasEnded reports whether the stream has ended.
func (t *spendStream) hasEnded() bool {
	select {
	case <-t.ended:
		return true
	default:
		return false
	}
}

// call sends a request and returns its answer. It returns an error if the context or the stream ends
// before, or if the keeper answers with an error.
func (t *spendStream) call(ctx context.Context, method string, r *SpendRequest) (out *SpendReply, err error) {
	ctx, span := tracer.StartClientSpan(ctx, method)
	defer func() { span.End(err) }()
	r.Traceparent = tracer.Traceparent(ctx)
	done := make(chan *SpendReply, 1)
	t.mu.Lock()
	t.lastNumber++
	r.Number = t.lastNumber
	t.unanswered[r.Number] = done
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
		out, err = t.answerAtEnd(done)
	}
	if err != nil {
		t.mu.Lock()
		delete(t.unanswered, r.Number)
		t.mu.Unlock()
		return nil, err
	}
	if f := out.GetFailure(); f != nil {
		return nil, status.Error(codes.Code(f.Code), f.Message)
	}
	return out, nil
}

// answerAtEnd returns an answer that arrived just before the stream ended, or the error of the stream.
func (t *spendStream) answerAtEnd(done <-chan *SpendReply) (*SpendReply, error) {
	select {
	case out := <-done:
		return out, nil
	default:
		return nil, t.err
	}
}
