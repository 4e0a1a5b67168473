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

// newPair returns a router with one sibling, "s", at the given address.
func newPair(t *testing.T, address string) (*Router, *peer) {
	t.Helper()
	r := newTestRouter(t, fmt.Sprintf("[router s]\nzone = a\nhttp = 127.0.0.1:4\nrpc = %s\n", address))
	return r, r.peers.byName["s"]
}

// setTimes sets how long ago the sibling was heard and a heartbeat last ended
// in time.
func (h *peerTable) setTimes(x *peer, heard, tried time.Duration) {
	x.lastHeard.Store(h.sinceStart() - int64(heard))
	x.lastAttempt.Store(h.sinceStart() - int64(tried))
}

// TestStartedRouterWaitsForItsSiblings guards against a router that serves
// before it and its sibling know each other. Right after both start, with their
// configuration but without a reply to the first heartbeat, each considered
// itself the home of every request, so that a request sent through both ran
// twice.
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
	g.Expect(r.peers.countMutuallyAlive()).To(gomega.BeZero())
	_, err := r.fromAnswerRequest(&messenger.AnswerRequest{Digest: make([]byte, len(joiner.Digest{})), Workspace: "w", Service: "llm"})
	g.Expect(problemFromError(err).Code).To(gomega.Equal(CodeNotReady), "nor does it begin runs for others")
	_, err = r.fromAnswerRequest(&messenger.AnswerRequest{Digest: make([]byte, len(joiner.Digest{})), Workspace: "w", Service: "llm", JoinOnly: true})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	r.peers.recordReply(x, &messenger.BeatReply{Incarnation: 7, ReachedForMs: 1})
	g.Expect(health()).To(gomega.Equal(http.StatusOK))
	g.Expect(chat()).NotTo(gomega.ContainSubstring(CodeNotReady))
	r.peers.recordReply(x, &messenger.BeatReply{Incarnation: 7})
	g.Expect(health()).To(gomega.Equal(http.StatusOK), "once ready it serves, whatever becomes of siblings")
}

// TestSuccessorIsNotTakenForKilledRouter restarts a sibling within the second
// in which its loss goes unnoticed, and has it ask whether this router reaches
// it. The sibling was identified by its name alone, so the restarted router
// became ready while this one still held the lost connection and answered in
// its place.
func TestSuccessorIsNotTakenForKilledRouter(t *testing.T) {
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

// TestFirstHeartbeatReplyKeepsRelay has a sibling that is considered dead start
// to answer a request, which proves that it is alive, and then reply to a
// heartbeat. The incarnation in the reply differed from the one not known yet,
// so the session that the answer had started was ended as that of an earlier
// process, and the caller got "running" although the answer was being sent.
func TestFirstHeartbeatReplyKeepsRelay(t *testing.T) {
	g := gomega.NewWithT(t)
	r, x := newPair(t, "127.0.0.1:5")
	ended := make(chan struct{})
	w := peerWatch{peers: r.peers, sibling: x, cancel: func() { close(ended) }}
	w.recordMessage()
	l := x.session.Load()
	r.peers.recordReply(x, &messenger.BeatReply{Incarnation: 7})
	g.Expect(l.Err()).NotTo(gomega.HaveOccurred())
	g.Expect(r.peers.reachedForMS(x, 7)).To(gomega.BeNumerically(">", 0))
	r.peers.recordReply(x, &messenger.BeatReply{Incarnation: 8})
	g.Expect(l.Err()).To(gomega.HaveOccurred(), "another process answers")
	g.Eventually(ended, 10*time.Second).Should(gomega.BeClosed())
}

// TestLostSiblingDoesNotBlockStartup checks that the wait for siblings is
// bounded.
func TestLostSiblingDoesNotBlockStartup(t *testing.T) {
	g := gomega.NewWithT(t)
	r, _ := newPair(t, "127.0.0.1:5")
	r.peers.start = time.Now().Add(-startupPeerTimeout / 2)
	g.Expect(r.ready()).To(gomega.BeFalse())
	r.peers.start = time.Now().Add(-startupPeerTimeout)
	g.Expect(r.ready()).To(gomega.BeTrue())
	g.Expect(r.peers.countMutuallyAlive()).To(gomega.BeZero(), "the log does not call a lost sibling known")
}

// TestOwnPauseDoesNotEndSiblingSession resumes a router that was suspended for
// two seconds, during which it sent no heartbeat and so got no reply. A sibling
// was considered dead by the age of its last reply alone, so the router broke
// off what it relayed and ran requests again that its sibling was running.
func TestOwnPauseDoesNotEndSiblingSession(t *testing.T) {
	g := gomega.NewWithT(t)
	r, x := newPair(t, "127.0.0.1:5")
	r.peers.recordReply(x, &messenger.BeatReply{Incarnation: 7})
	r.peers.setTimes(x, 2*time.Second, 2*time.Second)
	r.endSilentSession(x)
	g.Expect(x.session.Load().Err()).NotTo(gomega.HaveOccurred(), "this router was silent itself")
	seen := make(chan struct{})
	go func() {
		r.peers.awaitClearView(t.Context())
		close(seen)
	}()
	g.Consistently(seen, 5*viewPollInterval).ShouldNot(gomega.BeClosed())
	r.peers.setTimes(x, 2*time.Second, 0)
	g.Eventually(seen, 10*time.Second).Should(gomega.BeClosed())
	r.endSilentSession(x)
	g.Expect(x.session.Load().Err()).To(gomega.HaveOccurred(), "a heartbeat was sent and not answered")
}

// answeringRouter is a peer that answers every request from a run of its own.
type answeringRouter struct {
	messenger.UnimplementedHomeRouterServer
}

func (answeringRouter) Answer(_ *messenger.AnswerRequest, out messenger.HomeRouter_AnswerServer) error {
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

// TestClaimHolderIsAskedThoughConsideredDead uses a ticket through both routers
// of a zone right after their start: one has the claim, the other has no reply
// to a heartbeat yet. The wait for a sibling that was considered dead ended
// before it began, so the caller got "running" although the sibling had the
// answer and could be asked.
func TestClaimHolderIsAskedThoughConsideredDead(t *testing.T) {
	g := gomega.NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	s := messenger.NewServer(messenger.Keys{messenger.RoleMember: []byte(testSecret)})
	messenger.RegisterHomeRouterServer(s, answeringRouter{})
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
