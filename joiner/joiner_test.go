package joiner_test

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"rattanhoist.example/rattanhoist"
	"rattanhoist.example/rattanhoist/joiner"
)

func init() {
	seed := "7"
	if s := os.Getenv("FUZZ_SEED"); s != "" {
		seed = s
	}
	_ = flag.Set("rapid.seed", seed)
	_ = flag.Set("rapid.steps", "150")
	_ = flag.Set("rapid.checks", "400")
	if n := os.Getenv("FUZZ_CHECKS"); n != "" {
		_ = flag.Set("rapid.checks", n)
	}
}

var limits = joiner.Limits{Grace: 2 * time.Second, Keep: 10 * time.Second, MaxBytes: 3000}

// known is the model's state of a request.
type known struct {
	digest   joiner.Digest
	running  bool
	ran      bool
	pinned   bool
	waiters  int
	deadline time.Time
	idle     time.Time
	size     int64
	ended    int
}

// oracle is a simple model of a core, used to check its actions.
type oracle struct {
	t     *rapid.T
	core  *joiner.Core
	now   time.Time
	book  map[rattanhoist.RequestKey]*known
	ended int
}

func (o *oracle) key() rattanhoist.RequestKey {
	return rattanhoist.NewRequestKey("w", fmt.Sprint(rapid.IntRange(0, 4).Draw(o.t, "id")))
}

func (o *oracle) gone(k *known) bool {
	return !k.running && !o.now.Before(k.deadline.Add(limits.Keep))
}

func (o *oracle) arrive() {
	k := o.key()
	a := joiner.Arrive{
		Key: k, Digest: joiner.Digest{byte(rapid.IntRange(0, 5).Draw(o.t, "digest") / 5)},
		Deadline: o.now.Add(time.Duration(rapid.IntRange(1, 20).Draw(o.t, "s")) * time.Second),
		Pinned:   rapid.Bool().Draw(o.t, "pinned"), JoinOnly: rapid.IntRange(0, 3).Draw(o.t, "join") == 0,
	}
	x := o.book[k]
	if x != nil && o.gone(x) {
		delete(o.book, k)
		x = nil
	}
	actions := o.core.Step(o.now, a)
	last := actions[len(actions)-1]
	fresh := x == nil || !x.running && x.ran
	switch {
	case x != nil && x.digest != a.Digest:
		o.want(last, joiner.Reused{Key: k})
	case fresh && a.JoinOnly:
		o.want(last, joiner.Absent{Key: k})
	case fresh:
		o.want(last, joiner.Start{Key: k, Rerun: x != nil})
		o.book[k] = &known{digest: a.Digest, running: true, pinned: a.Pinned, waiters: 1, deadline: a.Deadline}
	default:
		o.want(last, joiner.Join{Key: k})
		x.waiters++
		if a.Deadline.After(x.deadline) {
			x.deadline = a.Deadline
		}
	}
}

func (o *oracle) want(got, want joiner.Action) {
	if got != want {
		o.t.Fatalf("got %#v, want %#v", got, want)
	}
}

func (o *oracle) leave() {
	k := o.key()
	if x := o.book[k]; x != nil && x.waiters > 0 {
		o.core.Step(o.now, joiner.Leave{Key: k})
		x.waiters--
		x.idle = o.now
	}
}

func (o *oracle) end() {
	k := o.key()
	x := o.book[k]
	if x == nil || !x.running {
		return
	}
	e := joiner.End{Key: k, Size: int64(rapid.IntRange(0, 1500).Draw(o.t, "size")), Outcome: joiner.Outcome(rapid.IntRange(0, 2).Draw(o.t, "how"))}
	actions := o.core.Step(o.now, e)
	if e.Outcome == joiner.NotRun {
		delete(o.book, k)
		return
	}
	o.ended++
	x.running, x.ran, x.ended = false, e.Outcome == joiner.Failed, o.ended
	for _, a := range actions {
		f := a.(joiner.Forget)
		for other, y := range o.book {
			if !y.running && y.ended < o.book[f.Key].ended {
				o.t.Fatalf("%s was evicted before the older %s", f.Key, other)
			}
		}
		delete(o.book, f.Key)
	}
	if o.core.Bytes() > limits.MaxBytes {
		o.t.Fatalf("%d bytes are kept", o.core.Bytes())
	}
}

func (o *oracle) tick() {
	o.now = o.now.Add(time.Duration(rapid.IntRange(0, 6000).Draw(o.t, "ms")) * time.Millisecond)
	for _, a := range o.core.Step(o.now, joiner.Tick{}) {
		switch a := a.(type) {
		case joiner.Cancel:
			x := o.book[a.Key]
			idle := x.waiters == 0 && !x.pinned && o.now.Sub(x.idle) >= limits.Grace
			if !x.running || o.now.Before(x.deadline) && !idle {
				o.t.Fatalf("%s was cancelled: %+v", a.Key, x)
			}
		case joiner.Forget:
			if !o.gone(o.book[a.Key]) {
				o.t.Fatalf("%s was forgotten early", a.Key)
			}
			delete(o.book, a.Key)
		}
	}
	if o.core.Len() != len(o.book) {
		o.t.Fatalf("%d requests are remembered, want %d", o.core.Len(), len(o.book))
	}
}

// Checks arrivals, departures, ends and ticks in random order against a simple
// model. Guards against entries that are removed too early or too late, so that
// a retry starts a second run, gets the response of another request or cancels a
// run that others wait for, or memory grows without bound.
func TestOneRunPerRequestID(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := &oracle{t: t, core: joiner.NewCore(limits), now: time.Unix(1000, 0), book: map[rattanhoist.RequestKey]*known{}}
		t.Repeat(map[string]func(*rapid.T){
			"arrive": func(t *rapid.T) { o.t = t; o.arrive() },
			"leave":  func(t *rapid.T) { o.t = t; o.leave() },
			"end":    func(t *rapid.T) { o.t = t; o.end() },
			"tick":   func(t *rapid.T) { o.t = t; o.tick() },
		})
	})
}

// Guards against delivering the whole text of a response that is never billed:
// the last character must be held back until the charge is durable.
func TestLastCharacterIsHeldBackUntilBilled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		j := joiner.New(limits)
		k := rattanhoist.NewRequestKey("w", "a")
		run, begun, err := j.Arrive(time.Now(), joiner.Arrive{Key: k, Deadline: time.Now().Add(time.Minute)})
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(begun).To(gomega.BeTrue())
		g.Expect(run.Begin(joiner.Stream{ID: "s"})).To(gomega.Succeed())
		g.Expect(run.Append(0, "Gabès")).To(gomega.Succeed())
		g.Expect(run.Append(2, "bès é")).To(gomega.Succeed())
		g.Expect(run.Append(40, "x")).To(gomega.MatchError(joiner.ErrGap))
		text, ended, err := run.Next(context.Background(), 0)
		g.Expect(string(text), ended, err).To(gomega.Equal("Gabès "))
		g.Expect(run.Begin(joiner.Stream{ID: "other"})).To(gomega.MatchError(joiner.ErrStreamChanged))
		j.End(time.Now(), k, run, &joiner.Answer{Length: 9}, nil)
		text, _, _ = run.Next(context.Background(), len(text))
		g.Expect(string(text)).To(gomega.Equal("é"))
		_, ended, _ = run.Next(context.Background(), 9)
		g.Expect(ended).To(gomega.BeTrue())
	})
}

// Guards against reporting a request as not run although it runs, because the
// deadline is checked against the clock and not against the state of the run. A
// waiter gives up before the dispatch, after it, while another one waits, and
// after an earlier run that failed.
func TestStopReportsNotRunOnlyIfCertain(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(1000, 0)
	j := joiner.New(joiner.Limits{Grace: time.Second, Keep: time.Minute, MaxBytes: 1 << 20})
	a := joiner.Arrive{Key: rattanhoist.NewRequestKey("w", "a"), Deadline: now.Add(time.Minute), FirstAttempt: true}
	run, _, _ := j.Arrive(now, a)
	_, _, _ = j.Arrive(now, a)
	g.Expect(j.Stop(a.Key, run)).To(gomega.BeFalse(), "another waiter is left")
	j.Leave(now, a.Key, run)
	g.Expect(run.Dispatch()).To(gomega.Succeed())
	g.Expect(j.Stop(a.Key, run)).To(gomega.BeFalse(), "dispatched")
	run.UndoDispatch()
	g.Expect(j.Stop(a.Key, run)).To(gomega.BeTrue())
	g.Expect(run.Dispatch()).To(gomega.MatchError(joiner.ErrStopped))
	j.End(now, a.Key, run, nil, joiner.ErrStopped)
	run, begun, _ := j.Arrive(now, a)
	g.Expect(begun).To(gomega.BeTrue())
	g.Expect(run.Dispatch()).To(gomega.Succeed())
	j.End(now, a.Key, run, nil, errors.New("broken"))
	run, begun, _ = j.Arrive(now, a)
	g.Expect(begun).To(gomega.BeTrue())
	g.Expect(j.Stop(a.Key, run)).To(gomega.BeFalse(), "an earlier run may have been dispatched")
}
