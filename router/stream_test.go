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

// markedChunk returns a chunk of an engine that sends offsets.
func markedChunk(id string, offset int, text string) string {
	return fmt.Sprintf(`{%s,"offset":%d,"choices":[{"index":0,"delta":{"content":%q}}]}`, id, offset, text)
}

// plainChunk returns a chunk without an offset.
func plainChunk(id, text string) string {
	return fmt.Sprintf(`{%s,"choices":[{"index":0,"delta":{"content":%q}}]}`, id, text)
}

// completionMarkJSON returns the last chunk of an engine that sends completion
// marks.
func completionMarkJSON(id, text string) string {
	sum := sha256.Sum256([]byte(text))
	return fmt.Sprintf(`{%s,"offset":%d,"choices":[{"index":0,"delta":{},"finish_reason":"stop"}],"usage":{"prompt_tokens":3,"completion_tokens":2},"length":%d,"digest":%q}`,
		id, len(text), len(text), hex.EncodeToString(sum[:]))
}

const (
	finish = `{` + chatID + `,"choices":[{"index":0,"delta":{},"finish_reason":"length"}]}`
	tokens = `{` + chatID + `,"choices":[],"usage":{"prompt_tokens":3,"completion_tokens":2}}`
)

// TestAssemblerRejectsIncompleteAnswers reads one connection of an engine per
// case, event by event. It guards against an end, an offset or an id that is
// not verified: a fragment, a repeated chunk or a chunk of another answer would
// pass as part of a whole answer.
func TestAssemblerRejectsIncompleteAnswers(t *testing.T) {
	first, second := markedChunk(ownID, 0, "roof "), markedChunk(ownID, 5, "beam")
	whole := "roof beam"
	for name, c := range map[string]struct {
		events []string
		want   error
	}{
		"marked, whole":                {[]string{first, second, completionMarkJSON(ownID, whole), doneEvent}, nil},
		"marked, connection lost late": {[]string{first, second, completionMarkJSON(ownID, whole)}, nil},
		"marked, short":                {[]string{first, completionMarkJSON(ownID, whole), doneEvent}, ErrIncomplete},
		"marked, without its mark":     {[]string{first, second, doneEvent}, ErrIncomplete},
		"marked, cut":                  {[]string{first}, ErrIncomplete},
		"marked, doubled piece":        {[]string{first, first, second, completionMarkJSON(ownID, whole)}, ErrIncomplete},
		"marked, lost piece":           {[]string{second, completionMarkJSON(ownID, whole)}, ErrIncomplete},
		"marked, wrong digest":         {[]string{first, second, completionMarkJSON(ownID, "roof tile")}, ErrIncomplete},
		"marked, text after the mark":  {[]string{first, second, completionMarkJSON(ownID, whole), markedChunk(ownID, 9, "x")}, ErrIncomplete},
		"marked, crossed":              {[]string{markedChunk(otherID, 0, "roof ")}, ErrWrongRequest},
		"marked, crossed piece":        {[]string{first, markedChunk(otherID, 5, "beam")}, ErrWrongRequest},
		"marked, crossed mark":         {[]string{first, second, completionMarkJSON(otherID, whole)}, ErrWrongRequest},
		"marked, piece without offset": {[]string{first, plainChunk(ownID, "beam")}, ErrIncomplete},
		"engine's error":               {[]string{first, `{"error":{"message":"out of memory"}}`}, ErrEngineFailed},
		"nothing":                      {nil, ErrIncomplete},
		"not JSON":                     {[]string{"roof"}, ErrIncomplete},
		"ordinary, whole":              {[]string{plainChunk(chatID, whole), finish, tokens, doneEvent}, nil},
		"ordinary, without usage":      {[]string{plainChunk(chatID, whole), finish, doneEvent}, ErrIncomplete},
		"ordinary, without finish":     {[]string{plainChunk(chatID, whole), tokens, doneEvent}, ErrIncomplete},
		"ordinary, without last event": {[]string{plainChunk(chatID, whole), finish, tokens}, ErrIncomplete},
		"ordinary, crossed piece":      {[]string{plainChunk(chatID, "roof "), plainChunk(otherID, "beam"), finish, tokens, doneEvent}, ErrWrongRequest},
		"ordinary, text after finish":  {[]string{finish, plainChunk(chatID, whole), tokens, doneEvent}, ErrIncomplete},
		"ordinary, after the end":      {[]string{plainChunk(chatID, whole), finish, tokens, doneEvent, plainChunk(chatID, "x")}, ErrIncomplete},
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

// TestAnswerIsBoundedByItsTokens has an engine ignore max_tokens and send text
// for as long as the request's deadline allows. A run kept whatever an engine
// sent, because only plain answers had a limit. The router's memory grew until
// the process was killed, and with it every other stream.
func TestAnswerIsBoundedByItsTokens(t *testing.T) {
	const most = 8 * 256
	for _, id := range []string{ownID, chatID} {
		t.Run(id, func(t *testing.T) {
			g := gomega.NewWithT(t)
			a, run := testAssembler()
			send := func(at, n int) error {
				event := plainChunk(id, strings.Repeat("x", n))
				if id == ownID {
					event = markedChunk(id, at, strings.Repeat("x", n))
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

// TestEndpointErrorTextIsBounded has an engine report a failure with a megabyte
// of text, which goes into the refusal and into the decisions that are kept for
// operators. The text was kept whole, so a few thousand failures of one engine
// took gigabytes at the router.
func TestEndpointErrorTextIsBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	a, _ := testAssembler()
	text := strings.Repeat("\u00e9", 1<<17)
	err := a.handleData(`{` + ownID + `,"error":"` + text + `"}`)
	g.Expect(err).To(gomega.MatchError(ErrEngineFailed))
	g.Expect(len(err.Error())).To(gomega.BeNumerically("<", 2048))
	g.Expect(utf8.ValidString(err.Error())).To(gomega.BeTrue())

	r := newTestRouter(t)
	q := &request{key: rattanhoist.NewRequestKey("w", "a")}
	r.recordDecision(q, recorder.Decision{Kind: recorder.Failed, Reason: text})
	kept := r.decisions.Explain("w", "a")
	g.Expect(kept).To(gomega.HaveLen(1))
	g.Expect(len(kept[0].Decision.Reason)).To(gomega.BeNumerically("<", 2048))
}

func testAssembler() (*assembler, *joiner.Run) {
	k := rattanhoist.NewRequestKey("w", "a")
	run, _, _ := joiner.New(joiner.Limits{MaxBytes: 1 << 20}).Arrive(time.Now(), joiner.Arrive{Key: k, Deadline: time.Now().Add(time.Minute)})
	return newAssembler(&request{key: k, maxAnswer: 8}, run), run
}

// recordingSink is a sink that records what it receives.
type recordingSink struct {
	text      string
	completed bool
	live      bool
}

func (r *recordingSink) begin(joiner.Stream) error {
	r.text = ""
	return nil
}

func (r *recordingSink) chunk(_ int64, text []byte) error {
	r.text += string(text)
	return nil
}

func (r *recordingSink) complete(*joiner.Answer) error {
	r.completed = true
	return nil
}

func (*recordingSink) fail(*Problem)    {}
func (r *recordingSink) streamed() bool { return r.live }

// TestFeedNeverMixesRuns loses the home after five bytes; the next one sends
// the answer from the start, of the same stream, of another one, or with a gap.
// It guards against joining at an offset without checking the stream: an answer
// would be assembled from two runs, or contain a part twice.
func TestFeedNeverMixesRuns(t *testing.T) {
	one, two := joiner.Stream{ID: "1", Endpoint: "e"}, joiner.Stream{ID: "2", Endpoint: "e"}
	start := func(live bool) (*feed, *recordingSink) {
		r := &recordingSink{live: live}
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
	g.Expect(f.begin(two)).To(gomega.MatchError(joiner.ErrStreamChanged))
	f, _ = start(true)
	g.Expect(f.begin(joiner.Stream{})).To(gomega.MatchError(joiner.ErrStreamChanged))
	f, _ = start(true)
	g.Expect(f.chunk(6, []byte("x"))).To(gomega.MatchError(ErrIncomplete))
	f, r = start(false)
	g.Expect(f.begin(two)).To(gomega.Succeed())
	g.Expect(f.chunk(0, []byte("tile"))).To(gomega.Succeed())
	g.Expect(f.complete(&joiner.Answer{Length: 4})).To(gomega.Succeed())
	g.Expect(r.text).To(gomega.Equal("tile"))
}

// TestDigestDistinguishesRequests compares requests that differ in one part, or
// in where a part ends. It guards against a digest over concatenated parts
// without separators: an id that is used again for another request would return
// the first one's answer.
func TestDigestDistinguishesRequests(t *testing.T) {
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
