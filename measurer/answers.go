package measurer

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"rattanhoist.example/rattanhoist"
	"rattanhoist.example/rattanhoist/claimer"
	"rattanhoist.example/rattanhoist/joiner"
	"rattanhoist.example/rattanhoist/messenger"
)

// The experiment measures what remembering requests and passing answers on costs.
var _ = register(Experiment{
	Name: "answers", Short: "Answers: memory per request remembered, per open stream and per claim; processor time per token passed on",
	Run: runAnswers,
})

// sampleAnswer is the size of a kept answer in bytes: about 250 tokens.
const sampleAnswer = 1 << 10

// sampleToken is a token's text.
const sampleToken = "beam "

var answersStart = time.Unix(1_000_000, 0)

func answerKey(i int) rattanhoist.RequestKey {
	return rattanhoist.NewRequestKey(sampleWorkspaceName(i%1000), fmt.Sprintf("request-%08d", i))
}

func newSampleJoiner() *joiner.Joiner {
	return joiner.New(joiner.Limits{Grace: time.Second, Keep: time.Minute, MaxBytes: 1 << 40})
}

// beginRun starts run number i.
func beginRun(j *joiner.Joiner, i int) *joiner.Run {
	run, _, _ := j.Arrive(answersStart, joiner.Arrive{Key: answerKey(i), Deadline: answersStart.Add(time.Hour), FirstAttempt: true})
	_ = run.Begin(joiner.Stream{ID: fmt.Sprintf("stream-%08d", i), Endpoint: "survey-llm-1"})
	return run
}

// remember keeps n whole answers of some bytes.
func remember(n, bytes int) *joiner.Joiner {
	j := newSampleJoiner()
	text := strings.Repeat("x", bytes)
	for i := range n {
		run := beginRun(j, i)
		_ = run.Append(0, text)
		j.End(answersStart, answerKey(i), run, &joiner.Answer{Length: int64(bytes)}, nil)
		j.Leave(answersStart, answerKey(i), run)
	}
	return j
}

// followers are streams that wait for their next token.
func followers(n int) func() {
	j := newSampleJoiner()
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for i := range n {
		run := beginRun(j, i)
		wg.Go(func() { _, _, _ = run.Next(ctx, 0) })
	}
	return func() {
		cancel()
		wg.Wait()
	}
}

// passOn has one run pass n tokens to a follower.
func passOn(n int) {
	j := newSampleJoiner()
	run := beginRun(j, 0)
	var wg sync.WaitGroup
	wg.Go(func() {
		offset := 0
		for {
			text, ended, err := run.Next(context.Background(), offset)
			if ended || err != nil {
				return
			}
			offset += len(text)
		}
	})
	for i := range n {
		_ = run.Append(int64(i*len(sampleToken)), sampleToken)
	}
	j.End(answersStart, answerKey(0), run, &joiner.Answer{}, nil)
	wg.Wait()
}

func claims(n int) *claimer.Core {
	c := claimer.NewCore()
	c.Step(answersStart, claimer.Open{})
	for i := range n {
		k := answerKey(i)
		c.Step(answersStart, claimer.Claim{Request: &messenger.ClaimRequest{
			Workspace: k.Workspace(), RequestId: k.RequestID(), Digest: make([]byte, 32),
			Holder: &messenger.Holder{Router: "osu-hall-1", Incarnation: 1, Attempt: uint64(i)},
		}})
	}
	return c
}

func runAnswers(_ context.Context, r *Report) error {
	r.Slope("router", "remembered_memory", "B", "request remembered, empty answer", sweep(sizes(5000, 10000, 20000, 40000), func(n int) float64 {
		return heapBytes(func() any { return remember(n, 0) })
	}))
	r.Slope("router", "kept_answer_memory", "B", "answer of 1,024 bytes kept", sweep(sizes(5000, 10000, 20000, 40000), func(n int) float64 {
		return heapBytes(func() any { return remember(n, sampleAnswer) })
	}))
	r.Slope("router", "follower_memory", "B", "stream that waits", sweep(sizes(500, 1000, 2000, 4000), followerBytes))
	r.Slope("router", "token_processor", "s", "token passed to one follower", sweep(sizes(50000, 100000, 200000), func(n int) float64 {
		return processorSeconds(func() { passOn(n) })
	}))
	r.Slope("keeper", "claim_memory", "B", "claim remembered", sweep(sizes(5000, 10000, 20000, 40000), func(n int) float64 {
		return heapBytes(func() any { return claims(n) })
	}))
	return nil
}

// followerBytes counts the stacks of the goroutines as well.
func followerBytes(n int) float64 {
	before := liveBytes() + stackBytes()
	stop := followers(n)
	time.Sleep(100 * time.Millisecond)
	after := liveBytes() + stackBytes()
	stop()
	return after - before
}
