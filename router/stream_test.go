package router

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"
	"testing"
	"time"
	"unicode/utf8"

	"github.com/onsi/gomega"

	"rattanhoist.example/rattanhoist"
	"rattanhoist.example/rattanhoist/joiner"
	"rattanhoist.example/rattanhoist/messenger"
	"rattanhoist.example/rattanhoist/recorder"
)

const (
	ownID   = `"id":"w/a"`
	chatID  = `"id":"chatcmpl-1"`
	otherID = `"id":"w/b"`
)

func piece(id string, offset int, text string) string {
	return fmt.Sprintf(`{%s,"offset":%d,"choices":[{"index":0,"delta":{"content":%q}}]}`, id, offset, text)
}

func plainPiece(id, text string) string {
	return fmt.Sprintf(`{%s,"choices":[{"index":0,"delta":{"content":%q}}]}`, id, text)
}

func markOf(id, text string) string {
	sum := sha256.Sum256([]byte(text))
	return fmt.Sprintf(`{%s,"offset":%d,"choices":[{"index":0,"delta":{},"finish_reason":"stop"}],"usage":{"prompt_tokens":3,"completion_tokens":2},"length":%d,"digest":%q}`,
		id, len(text), len(text), hex.EncodeToString(sum[:]))
}

const (
	finish = `{` + chatID + `,"choices":[{"index":0,"delta":{},"finish_reason":"length"}]}`
	tokens = `{` + chatID + `,"choices":[],"usage":{"prompt_tokens":3,"completion_tokens":2}}`
)

// TestWholeIsToldFromFragment
// Symptom: a fragment, a doubled piece or a piece of another's answer passes
// as whole.
// Sequence: each case is one connection of an engine, in events.
// Cause it guards against: an end, an offset or an id that is taken on trust.
func TestWholeIsToldFromFragment(t *testing.T) {
	first, second := piece(ownID, 0, "roof "), piece(ownID, 5, "beam")
	whole := "roof beam"
	for name, c := range map[string]struct {
		events []string
		want   error
	}{
		"marked, whole":                {[]string{first, second, markOf(ownID, whole), doneEvent}, nil},
		"marked, connection lost late": {[]string{first, second, markOf(ownID, whole)}, nil},
		"marked, short":                {[]string{first, markOf(ownID, whole), doneEvent}, ErrIncomplete},
		"marked, without its mark":     {[]string{first, second, doneEvent}, ErrIncomplete},
		"marked, cut":                  {[]string{first}, ErrIncomplete},
		"marked, doubled piece":        {[]string{first, first, second, markOf(ownID, whole)}, ErrIncomplete},
		"marked, lost piece":           {[]string{second, markOf(ownID, whole)}, ErrIncomplete},
		"marked, wrong digest":         {[]string{first, second, markOf(ownID, "roof tile")}, ErrIncomplete},
		"marked, text after the mark":  {[]string{first, second, markOf(ownID, whole), piece(ownID, 9, "x")}, ErrIncomplete},
		"marked, crossed":              {[]string{piece(otherID, 0, "roof ")}, ErrWrongRequest},
		"marked, crossed piece":        {[]string{first, piece(otherID, 5, "beam")}, ErrWrongRequest},
		"marked, crossed mark":         {[]string{first, second, markOf(otherID, whole)}, ErrWrongRequest},
		"marked, piece without offset": {[]string{first, plainPiece(ownID, "beam")}, ErrIncomplete},
		"engine's error":               {[]string{first, `{"error":{"message":"out of memory"}}`}, ErrEngineFailed},
		"nothing":                      {nil, ErrIncomplete},
		"not JSON":                     {[]string{"roof"}, ErrIncomplete},
		"ordinary, whole":              {[]string{plainPiece(chatID, whole), finish, tokens, doneEvent}, nil},
		"ordinary, without usage":      {[]string{plainPiece(chatID, whole), finish, doneEvent}, ErrIncomplete},
		"ordinary, without finish":     {[]string{plainPiece(chatID, whole), tokens, doneEvent}, ErrIncomplete},
		"ordinary, without last event": {[]string{plainPiece(chatID, whole), finish, tokens}, ErrIncomplete},
		"ordinary, crossed piece":      {[]string{plainPiece(chatID, "roof "), plainPiece(otherID, "beam"), finish, tokens, doneEvent}, ErrWrongRequest},
		"ordinary, text after finish":  {[]string{finish, plainPiece(chatID, whole), tokens, doneEvent}, ErrIncomplete},
		"ordinary, after the end":      {[]string{plainPiece(chatID, whole), finish, tokens, doneEvent, plainPiece(chatID, "x")}, ErrIncomplete},
		"two choices":                  {[]string{`{` + ownID + `,"offset":0,"choices":[{"index":1,"delta":{"content":"x"}}]}`}, ErrUnsupported},
		"tool calls":                   {[]string{`{` + ownID + `,"offset":0,"choices":[{"index":0,"delta":{"tool_calls":[{"id":"x"}]}}]}`}, ErrUnsupported},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			a, run := testAssembler()
			err := a.read(strings.NewReader("data: " + strings.Join(c.events, "\n\ndata: ") + "\n\n"))
			if c.want != nil {
				g.Expect(err).To(gomega.MatchError(c.want))
				return
			}
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(a.answer.Length).To(gomega.Equal(int64(len(whole))))
			g.Expect(run.Length()).To(gomega.Equal(int64(len(whole))))
			g.Expect(a.answer.AnswerTokens).To(gomega.Equal(int64(2)))
		})
	}
}

// TestAnswerIsBoundedByItsTokens
// Symptom: the memory of a router grows until it is ended, and with it every
// other stream.
// Sequence: an engine ignores max_tokens and sends text for as long as the
// request's deadline allows.
// Cause: a run kept whatever an engine sent; only plain answers had a bound.
func TestAnswerIsBoundedByItsTokens(t *testing.T) {
	const most = 8 * 256
	for _, id := range []string{ownID, chatID} {
		t.Run(id, func(t *testing.T) {
			g := gomega.NewWithT(t)
			a, run := testAssembler()
			send := func(at, n int) error {
				event := plainPiece(id, strings.Repeat("x", n))
				if id == ownID {
					event = piece(id, at, strings.Repeat("x", n))
				}
				return a.handleData(event)
			}
			g.Expect(send(0, most-1)).To(gomega.Succeed())
			g.Expect(send(most-1, 1)).To(gomega.Succeed())
			g.Expect(send(most, 1)).To(gomega.MatchError(ErrEngineFailed))
			g.Expect(run.Length()).To(gomega.Equal(int64(most)))
		})
	}
}

// TestEndpointsWordsAreBounded
// Symptom: some thousand failures at one engine take gigabytes at the router.
// Sequence: an engine reports each failure with a megabyte of text; the text
// goes into the refusal and into the decisions that are kept for operators.
// Cause: what an endpoint says of its failures was kept whole.
func TestEndpointsWordsAreBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	a, _ := testAssembler()
	text := strings.Repeat("\u00e9", 1<<17)
	err := a.handleData(`{` + ownID + `,"error":"` + text + `"}`)
	g.Expect(err).To(gomega.MatchError(ErrEngineFailed))
	g.Expect(len(err.Error())).To(gomega.BeNumerically("<", 2048))
	g.Expect(utf8.ValidString(err.Error())).To(gomega.BeTrue())

	r := newTestRouter(t)
	q := &request{key: rattanhoist.NewRequestKey("w", "a")}
	r.record(q, recorder.Decision{Kind: recorder.Failed, Reason: text})
	kept := r.decisions.Explain("w", "a")
	g.Expect(kept).To(gomega.HaveLen(1))
	g.Expect(len(kept[0].Decision.Reason)).To(gomega.BeNumerically("<", 2048))
}

func testAssembler() (*assembler, *joiner.Run) {
	k := rattanhoist.NewRequestKey("w", "a")
	run, _, _ := joiner.New(joiner.Limits{MaxBytes: 1 << 20}).Arrive(time.Now(), joiner.Arrive{Key: k, Deadline: time.Now().Add(time.Minute)})
	return newAssembler(&request{key: k, maxAnswer: 8}, run), run
}

// keepSink is a sink that keeps what it gets.
type keepSink struct {
	text  string
	whole bool
	live  bool
}

func (r *keepSink) begin(joiner.Stream) error {
	r.text = ""
	return nil
}

func (r *keepSink) chunk(_ int64, text []byte) error {
	r.text += string(text)
	return nil
}

func (r *keepSink) complete(*joiner.Answer) error {
	r.whole = true
	return nil
}

func (*keepSink) fail(*Problem)    {}
func (r *keepSink) streamed() bool { return r.live }

// TestBytesOfTwoRunsNeverMix
// Symptom: an answer is pieced together from two runs, or has a piece twice.
// Sequence: the home is lost after five bytes; the next sends the answer from
// the start, of the same stream, of another one, or with a gap.
// Cause it guards against: joining at an offset without asking whose.
func TestBytesOfTwoRunsNeverMix(t *testing.T) {
	one, two := joiner.Stream{ID: "1", Endpoint: "e"}, joiner.Stream{ID: "2", Endpoint: "e"}
	start := func(live bool) (*feed, *keepSink) {
		r := &keepSink{live: live}
		f := &feed{sink: r}
		gomega.NewWithT(t).Expect(f.begin(one)).To(gomega.Succeed())
		gomega.NewWithT(t).Expect(f.chunk(0, []byte("roof "))).To(gomega.Succeed())
		return f, r
	}
	g := gomega.NewWithT(t)
	f, r := start(true)
	g.Expect(f.begin(one)).To(gomega.Succeed())
	g.Expect(f.chunk(0, []byte("roof be"))).To(gomega.Succeed())
	g.Expect(f.complete(&joiner.Answer{Length: 9})).To(gomega.MatchError(ErrIncomplete))
	g.Expect(f.chunk(7, []byte("am"))).To(gomega.Succeed())
	g.Expect(f.complete(&joiner.Answer{Length: 9})).To(gomega.Succeed())
	g.Expect(r.text).To(gomega.Equal("roof beam"))
	f, _ = start(true)
	g.Expect(f.begin(two)).To(gomega.MatchError(joiner.ErrPassed))
	f, _ = start(true)
	g.Expect(f.begin(joiner.Stream{})).To(gomega.MatchError(joiner.ErrPassed))
	f, _ = start(true)
	g.Expect(f.chunk(6, []byte("x"))).To(gomega.MatchError(ErrIncomplete))
	f, r = start(false)
	g.Expect(f.begin(two)).To(gomega.Succeed())
	g.Expect(f.chunk(0, []byte("tile"))).To(gomega.Succeed())
	g.Expect(f.complete(&joiner.Answer{Length: 4})).To(gomega.Succeed())
	g.Expect(r.text).To(gomega.Equal("tile"))
}

// TestDigestTellsRequestsApart
// Symptom: an id that is used again for another request gets the first one's
// answer.
// Sequence: requests that differ in one part, or in where a part ends.
// Cause it guards against: a digest over parts that run into each other.
func TestDigestTellsRequestsApart(t *testing.T) {
	g := gomega.NewWithT(t)
	base := func() *request {
		return &request{
			service: &messenger.Service{Name: "desk"}, method: "POST", path: "/a", rawQuery: "b=c", body: []byte("d"),
			header: map[string][]string{"Accept": {"x", "y"}, "Content-Type": {"z"}},
		}
	}
	same := base()
	same.header = map[string][]string{"Content-Type": {"z"}, "Accept": {"y", "x"}}
	g.Expect(requestDigest(same)).To(gomega.Equal(requestDigest(base())))
	seen := map[joiner.Digest]bool{requestDigest(base()): true}
	for _, change := range []func(*request){
		func(q *request) { q.service = &messenger.Service{Name: "desk2"} },
		func(q *request) { q.method = "PUT" },
		func(q *request) { q.path, q.rawQuery = "/ab", "=c" },
		func(q *request) { q.rawQuery, q.body = "b=", []byte("cd") },
		func(q *request) { q.body = []byte("e") },
		func(q *request) { q.repeatable = true },
		func(q *request) { q.header["Accept"] = []string{"xy"} },
	} {
		q := base()
		change(q)
		g.Expect(seen[requestDigest(q)]).To(gomega.BeFalse())
		seen[requestDigest(q)] = true
	}
}
