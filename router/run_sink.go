package router

import "rattanhoist.example/rattanhoist/joiner"

// runSink copies an answer from another router into a run of this one.
type runSink struct {
	run    *joiner.Run
	answer *joiner.Answer
}

func (s *runSink) begin(t joiner.Stream) error { return s.run.Begin(t) }

func (s *runSink) chunk(offset int64, text []byte) error {
	return s.run.Append(offset, string(text))
}

func (s *runSink) complete(a *joiner.Answer) error {
	s.answer = a
	return nil
}

func (*runSink) fail(*Problem) {}

func (*runSink) streamed() bool { return true }
