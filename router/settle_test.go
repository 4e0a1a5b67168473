package router

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rattanhoist.example/rattanhoist"
	"rattanhoist.example/rattanhoist/joiner"
	"rattanhoist.example/rattanhoist/messenger"
)

// newPair returns a router with one sibling in its zone, at an address.
func newPair(t *testing.T, address string) (*Router, *peer) {
	t.Helper()
	r := newTestRouter(t, fmt.Sprintf("[router s]\nzone = a\nhttp = 127.0.0.1:4\nrpc = %s\n", address))
	return r, r.peers.byName["s"]
}

// ago sets how long ago the sibling was heard and a beat ended in time.
func (h *peerTable) ago(x *peer, heard, tried time.Duration) {
	x.lastHeard.Store(h.now() - int64(heard))
	x.lastAttempt.Store(h.now() - int64(tried))
}

// TestStartedRouterWaitsForItsSiblings
// Symptom: a request that is sent through two routers of a zone runs twice.
// Sequence: both start; each has its configuration, neither has an answer to
// its first beat; the request is sent through both.
// Cause: a router served before its sibling and it knew each other, and took
// itself for home to everything.
func TestStartedRouterWaitsForItsSiblings(t *testing.T) {
	g := gomega.NewWithT(t)
	r, x := newPair(t, "127.0.0.1:5")
	health := func() int {
		w := httptest.NewRecorder()
		r.handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/healthz", nil))
		return w.Code
	}
	chat := func() string {
		return send(r, "POST /v1/chat/completions", "Authorization: Bearer "+testKey, `{"model": "m", "messages": 3}`)
	}
	g.Expect(health()).To(gomega.Equal(http.StatusServiceUnavailable))
	g.Expect(chat()).To(gomega.ContainSubstring(CodeNotReady))
	r.peers.recordReply(x, &messenger.BeatReply{Incarnation: 7})
	g.Expect(health()).To(gomega.Equal(http.StatusServiceUnavailable), "the sibling does not know this router yet")
	g.Expect(r.peers.known()).To(gomega.BeZero())
	_, err := r.fromAnswerRequest(&messenger.AnswerRequest{Digest: make([]byte, len(joiner.Digest{})), Workspace: "w", Service: "llm"})
	g.Expect(problemOf(err).Code).To(gomega.Equal(CodeNotReady), "nor does it begin runs for others")
	_, err = r.fromAnswerRequest(&messenger.AnswerRequest{Digest: make([]byte, len(joiner.Digest{})), Workspace: "w", Service: "llm", JoinOnly: true})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	r.peers.recordReply(x, &messenger.BeatReply{Incarnation: 7, ReachedForMs: 1})
	g.Expect(health()).To(gomega.Equal(http.StatusOK))
	g.Expect(chat()).NotTo(gomega.ContainSubstring(CodeNotReady))
	r.peers.recordReply(x, &messenger.BeatReply{Incarnation: 7})
	g.Expect(health()).To(gomega.Equal(http.StatusOK), "once ready it serves, whatever becomes of siblings")
}

// TestKilledRouterIsNotItsSuccessor
// Symptom: a router that was killed and is back is ready while its sibling
// still holds the lost connection, and answers in its place.
// Sequence: both know each other; the sibling is started anew within the second
// in which it is not missed, and asks whether this router reaches it.
// Cause: the sibling was known by its name alone.
func TestKilledRouterIsNotItsSuccessor(t *testing.T) {
	g := gomega.NewWithT(t)
	r, x := newPair(t, "127.0.0.1:5")
	beat := func(incarnation uint64) int64 {
		reply, err := (&homeServer{router: r}).Beat(t.Context(), &messenger.BeatRequest{Router: "s", Incarnation: incarnation})
		g.Expect(err).NotTo(gomega.HaveOccurred())
		return reply.ReachedForMs
	}
	g.Expect(beat(7)).To(gomega.BeZero())
	r.peers.recordReply(x, &messenger.BeatReply{Incarnation: 7})
	g.Expect(beat(7)).To(gomega.BeNumerically(">", 0))
	g.Expect(beat(8)).To(gomega.BeZero())
	old := x.session.Load()
	r.peers.recordReply(x, &messenger.BeatReply{Incarnation: 8})
	g.Expect(beat(8)).To(gomega.BeNumerically(">", 0))
	g.Expect(old.Err()).To(gomega.HaveOccurred(), "what waits for the old one ends")
}

// TestFirstBeatEndsNoRelay
// Symptom: a caller is told "running" of a request whose holder is just sending
// the answer.
// Sequence: a sibling that is taken for dead begins to answer, which shows that
// it lives; then it answers a beat.
// Cause: the beat's incarnation differed from the one not known yet, so the life
// that the answer had begun was ended as that of an earlier process.
func TestFirstBeatEndsNoRelay(t *testing.T) {
	g := gomega.NewWithT(t)
	r, x := newPair(t, "127.0.0.1:5")
	ended := make(chan struct{})
	w := watch{homes: r.peers, sibling: x, cancel: func() { close(ended) }}
	w.heard()
	l := x.session.Load()
	r.peers.recordReply(x, &messenger.BeatReply{Incarnation: 7})
	g.Expect(l.Err()).NotTo(gomega.HaveOccurred())
	g.Expect(r.peers.reachedForMS(x, 7)).To(gomega.BeNumerically(">", 0))
	r.peers.recordReply(x, &messenger.BeatReply{Incarnation: 8})
	g.Expect(l.Err()).To(gomega.HaveOccurred(), "another process answers")
	g.Eventually(ended, 10*time.Second).Should(gomega.BeClosed())
}

// TestLostSiblingHoldsNoStartUp guards the bound of the wait.
func TestLostSiblingHoldsNoStartUp(t *testing.T) {
	g := gomega.NewWithT(t)
	r, _ := newPair(t, "127.0.0.1:5")
	r.peers.start = time.Now().Add(-settleWait / 2)
	g.Expect(r.ready()).To(gomega.BeFalse())
	r.peers.start = time.Now().Add(-settleWait)
	g.Expect(r.ready()).To(gomega.BeTrue())
	g.Expect(r.peers.known()).To(gomega.BeZero(), "the log does not call a lost sibling known")
}

// TestOwnPauseIsNoSilenceOfASibling
// Symptom: a router that was stopped for two seconds breaks off what it relays
// and runs again what its sibling runs.
// Sequence: it is continued; no beat was sent meanwhile, so none was answered.
// Cause: a sibling was taken for dead by the age of its last answer alone.
func TestOwnPauseIsNoSilenceOfASibling(t *testing.T) {
	g := gomega.NewWithT(t)
	r, x := newPair(t, "127.0.0.1:5")
	r.peers.recordReply(x, &messenger.BeatReply{Incarnation: 7})
	r.peers.ago(x, 2*time.Second, 2*time.Second)
	r.endSilentSession(x)
	g.Expect(x.session.Load().Err()).NotTo(gomega.HaveOccurred(), "this router was silent itself")
	seen := make(chan struct{})
	go func() {
		r.peers.await(t.Context())
		close(seen)
	}()
	g.Consistently(seen, 5*viewPoll).ShouldNot(gomega.BeClosed())
	r.peers.ago(x, 2*time.Second, 0)
	g.Eventually(seen, 10*time.Second).Should(gomega.BeClosed())
	r.endSilentSession(x)
	g.Expect(x.session.Load().Err()).To(gomega.HaveOccurred(), "a beat was sent and not answered")
}

// holder is a router that answers from a run of its own.
type holder struct {
	messenger.UnimplementedHomeRouterServer
}

func (holder) Answer(_ *messenger.AnswerRequest, out messenger.HomeRouter_AnswerServer) error {
	for _, e := range []*messenger.AnswerEvent{
		{Kind: &messenger.AnswerEvent_Begin{Begin: &messenger.AnswerBegin{}}},
		{Kind: &messenger.AnswerEvent_Chunk{Chunk: &messenger.AnswerChunk{Text: []byte("ledger")}}},
		{Kind: &messenger.AnswerEvent_End{End: &messenger.AnswerEnd{Length: 6, Status: http.StatusOK}}},
	} {
		if err := out.Send(e); err != nil {
			return err
		}
	}
	return nil
}

// TestClaimHolderIsAskedThoughTakenForDead
// Symptom: a caller is told "running" of a request that a sibling has the
// answer of, and could be asked for.
// Sequence: a ticket is used through both routers of a zone right after their
// start; one has the claim; the other has had no answer to a beat yet.
// Cause: the wait for a sibling that was taken for dead ended before it began.
func TestClaimHolderIsAskedThoughTakenForDead(t *testing.T) {
	g := gomega.NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	s := messenger.NewServer(messenger.Keys{messenger.RoleMember: []byte(testSecret)})
	messenger.RegisterHomeRouterServer(s, holder{})
	go func() { _ = s.Serve(l) }()
	t.Cleanup(s.Stop)
	r, x := newPair(t, l.Addr().String())
	g.Expect(r.peers.isAlive(x)).To(gomega.BeFalse())
	service, err := r.snapshot.Load().Service("portal")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	q := &request{key: rattanhoist.NewRequestKey("w", "t-1"), service: service, deadline: time.Now().Add(time.Minute)}
	run, _, err := r.joiner.Arrive(time.Now(), joiner.Arrive{Key: q.key, Deadline: q.deadline, Pinned: true})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	row := &messenger.ClaimRow{State: messenger.ClaimState_CLAIM_STATE_GRANTED, Holder: &messenger.Holder{Router: "s"}, DeadlineMs: q.deadline.UnixMilli()}
	a, err := r.resolveRefusedClaim(t.Context(), q, run, 0, row)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(a.Length).To(gomega.Equal(int64(6)))
	g.Expect(r.peers.isAlive(x)).To(gomega.BeTrue(), "its answer is a sign of life")
}
