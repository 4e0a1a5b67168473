package router

import (
	"context"

	"rattanhoist.example/rattanhoist/joiner"
)

// sink receives one answer and passes it to a caller or another router.
type sink interface {
	// begin names the stream that provides the bytes from offset 0. Anything
	// received before is discarded.
	begin(joiner.Stream) error
	// chunk receives the bytes that follow those already received.
	chunk(offset int64, text []byte) error
	// complete ends an answer that is complete and billed.
	complete(*joiner.Answer) error
	// fail reports an error, or marks an answer that has begun as broken.
	fail(*Problem)
	// streamed reports whether bytes are passed on as they arrive, and not only
	// at complete.
	streamed() bool
}

// feed passes the bytes of one run to a sink, each once and in order, even if
// they arrive again from the start through another router. Bytes of two runs
// are never mixed: a streaming sink that has received bytes of one run gets an
// error instead of another run's bytes.
type feed struct {
	sink   sink
	stream joiner.Stream
	// nextOffset is the offset of the next byte that the sink expects.
	nextOffset int64
}

// begin sets the stream that the following bytes belong to.
func (f *feed) begin(s joiner.Stream) error {
	if s.ID != "" && s == f.stream {
		return nil
	}
	if f.nextOffset > 0 && f.sink.streamed() {
		return joiner.ErrStreamChanged
	}
	f.nextOffset, f.stream = 0, s
	return f.sink.begin(s)
}

// chunk passes on the bytes that the sink has not received yet.
func (f *feed) chunk(offset int64, text []byte) error {
	if offset > f.nextOffset {
		return ErrIncomplete
	}
	have := f.nextOffset - offset
	if have >= int64(len(text)) {
		return nil
	}
	text = text[have:]
	if err := f.sink.chunk(f.nextOffset, text); err != nil {
		return err
	}
	f.nextOffset += int64(len(text))
	return nil
}

// complete ends the answer. If the length differs from the completion mark, it
// returns ErrIncomplete instead.
func (f *feed) complete(a *joiner.Answer) error {
	if a.Length != f.nextOffset {
		return ErrIncomplete
	}
	return f.sink.complete(a)
}

// begun reports whether bytes have reached the caller.
func (f *feed) begun() bool { return f.nextOffset > 0 && f.sink.streamed() }

// feedRun passes the bytes of a run to a feed until the run ends.
func feedRun(ctx context.Context, run *joiner.Run, f *feed) error {
	if !f.sink.streamed() {
		if err := run.Wait(ctx); err != nil {
			return err
		}
		if _, err := run.Answer(); err != nil {
			return err
		}
	}
	offset, begun := 0, false
	for {
		text, ended, err := run.Next(ctx, offset)
		if err != nil {
			return err
		}
		if !begun {
			if err := f.begin(run.Stream()); err != nil {
				return err
			}
			begun = true
		}
		if ended {
			break
		}
		if err := f.chunk(int64(offset), text); err != nil {
			return err
		}
		offset += len(text)
	}
	a, err := run.Answer()
	if err != nil {
		return err
	}
	return f.complete(a)
}
