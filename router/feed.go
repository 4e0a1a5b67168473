package router

import (
	"context"

	"rattanhoist.example/rattanhoist/joiner"
)

// sink takes one answer on its way to a caller, or to another router.
type sink interface {
	// begin names where the bytes from offset 0 come from; what was gathered
	// before is void.
	begin(joiner.Stream) error
	// chunk takes the bytes that follow those it has.
	chunk(offset int64, text []byte) error
	// complete ends a whole, billed answer.
	complete(*joiner.Answer) error
	// fail refuses, or marks an answer that has begun as broken.
	fail(*Problem)
	// streamed reports whether bytes go on as they come; otherwise nothing
	// does before complete.
	streamed() bool
}

// feed passes the bytes of one run to a sink, each once and in order, also
// when they come again from the start through another router. Bytes of two
// runs never mix: a streaming sink that has bytes of one is broken off.
type feed struct {
	sink   sink
	stream joiner.Stream
	// Next is the offset that the sink wants next.
	next int64
}

// begin takes the stream that the bytes to come belong to.
func (f *feed) begin(s joiner.Stream) error {
	if s.ID != "" && s == f.stream {
		return nil
	}
	if f.next > 0 && f.sink.streamed() {
		return joiner.ErrPassed
	}
	f.next, f.stream = 0, s
	return f.sink.begin(s)
}

// chunk passes on what the sink does not have yet.
func (f *feed) chunk(offset int64, text []byte) error {
	if offset > f.next {
		return ErrFragment
	}
	have := f.next - offset
	if have >= int64(len(text)) {
		return nil
	}
	text = text[have:]
	if err := f.sink.chunk(f.next, text); err != nil {
		return err
	}
	f.next += int64(len(text))
	return nil
}

// complete ends the answer; a shorter or longer one than its mark is not
// passed on as whole.
func (f *feed) complete(a *joiner.Answer) error {
	if a.Length != f.next {
		return ErrFragment
	}
	return f.sink.complete(a)
}

// begun reports whether the caller has had bytes.
func (f *feed) begun() bool { return f.next > 0 && f.sink.streamed() }

// follow passes a run's bytes on until it ends.
func follow(ctx context.Context, run *joiner.Run, f *feed) error {
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
