package commander

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"rattanhoist.example/rattanhoist/comparer"
	"rattanhoist.example/rattanhoist/configurer"
	"rattanhoist.example/rattanhoist/launcher"
	"rattanhoist.example/rattanhoist/messenger"
	"rattanhoist.example/rattanhoist/picker"
)

func TestMain(m *testing.M) { launcher.Main(m) }

// fakeKeeper is a keeper whose answers, and the requests to it, can be lost.
type fakeKeeper struct {
	messenger.UnimplementedConfigurationKeeperServer
	messenger.UnimplementedBudgetKeeperServer
	mu      sync.Mutex
	book    *configurer.Book
	changes []*messenger.Change
	topUps  map[string]int64
	// loseAnswers is the number of answers that will be lost, including those to changes that were
	// made, and loseRequests that of changes that will not arrive.
	loseAnswers, loseRequests int
	calls                     int
}

// allOfThem is more than a command can send.
const allOfThem = 1 << 20

var errLost = status.Error(codes.Unavailable, "connection closed")

func (f *fakeKeeper) Read(context.Context, *messenger.ReadRequest) (*messenger.ReadReply, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return &messenger.ReadReply{Configuration: f.book.Configuration()}, nil
}

func (f *fakeKeeper) History(_ context.Context, r *messenger.HistoryRequest) (*messenger.HistoryReply, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.loseAnswers > 0 {
		f.loseAnswers--
		return nil, errLost
	}
	out := &messenger.HistoryReply{}
	for i := r.AfterVersion; i < uint64(len(f.changes)); i++ {
		out.Entries = append(out.Entries, &messenger.HistoryEntry{Version: i + 1, Change: f.changes[i]})
	}
	return out, nil
}

func (f *fakeKeeper) Propose(_ context.Context, r *messenger.ProposeRequest) (*messenger.ProposeReply, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls++
	if f.loseRequests > 0 {
		f.loseRequests--
		return nil, errLost
	}
	before := f.book.Version()
	out, known := f.book.EarlyReply(r.Change)
	if !known {
		out = f.book.Decide(&messenger.LogChange{Change: r.Change})
	}
	if f.book.Version() > before {
		f.changes = append(f.changes, r.Change)
	}
	if f.loseAnswers > 0 {
		f.loseAnswers--
		return nil, errLost
	}
	return out, nil
}

func (f *fakeKeeper) TopUp(_ context.Context, r *messenger.TopUpRequest) (*messenger.TopUpReply, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls++
	_, known := f.topUps[r.TopUpId]
	f.topUps[r.TopUpId] = r.Tokens
	if f.loseAnswers > 0 {
		f.loseAnswers--
		return nil, errLost
	}
	var sum int64
	for _, n := range f.topUps {
		sum += n
	}
	return &messenger.TopUpReply{MintedTokens: sum, RepeatedRequest: known}, nil
}

// bench is a settings file whose keepers are fakes on loopback addresses.
type bench struct {
	t        *testing.T
	settings string
	fake     *fakeKeeper
}

// newBench starts one fake behind the given number of keeper addresses, so that each keeper knows what
// another has accepted.
func newBench(t *testing.T, keepers int) *bench {
	t.Helper()
	dir := t.TempDir()
	f := &fakeKeeper{book: configurer.NewBook(), topUps: map[string]int64{}}
	var b strings.Builder
	b.WriteString("[deployment]\nname = test\nkey_file = a.key\noperator_key_file = a.key\nendpoint_key_file = a.key\n")
	for i := range keepers {
		zone := string(rune('a' + i))
		b.WriteString("[keeper k-" + zone + "]\nzone = " + zone + "\ndata_dir = d\nrpc = " + serveFake(t, f) + "\n")
	}
	write(t, filepath.Join(dir, "a.key"), "a key of a test deployment")
	write(t, filepath.Join(dir, "rattanhoist.ini"), b.String())
	return &bench{t: t, settings: filepath.Join(dir, "rattanhoist.ini"), fake: f}
}

func write(t *testing.T, file, text string) {
	t.Helper()
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

func serveFake(t *testing.T, f *fakeKeeper) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := messenger.NewServer(messenger.Keys{messenger.RoleOperator: []byte("a key of a test deployment")})
	messenger.RegisterConfigurationKeeperServer(s, f)
	messenger.RegisterBudgetKeeperServer(s, f)
	go func() { _ = s.Serve(l) }()
	t.Cleanup(s.Stop)
	return l.Addr().String()
}

// run executes a command line and returns its output, its errors and the exit code.
func (b *bench) run(args ...string) (out, errOut string, code int) {
	var o, e bytes.Buffer
	code = Run(b.t.Context(), append([]string{"--settings", b.settings}, args...), &o, &e)
	return o.String(), strings.ReplaceAll(e.String(), filepath.Dir(b.settings)+"/", ""), code
}

// Guards against unclear messages for invalid input of each kind, and against changes by it.
func TestBadInput(t *testing.T) {
	g := gomega.NewWithT(t)
	b := newBench(t, 1)
	dir := filepath.Dir(b.settings)
	write(t, filepath.Join(dir, "malformed.json"), `{"edits": [`)
	write(t, filepath.Join(dir, "unknown.json"), `{"edits": [{"put_workspace": {"name": "w", "colour": "red"}}]}`)
	write(t, filepath.Join(dir, "empty.json"), `{}`)
	write(t, filepath.Join(dir, "faults.json"), `{"edits": [{"put_workspace": {"name": "UPPER"}}, {"delete_service": "none"}, {"put_statement": {"name": "s", "endpoints": "a b"}}]}`)
	_, _, code := b.run("workspace", "create", "taken")
	g.Expect(code).To(gomega.Equal(ExitOK))
	var got strings.Builder
	for _, line := range []string{
		"",
		"nothing",
		"budget",
		"budget nothing",
		"workspace create",
		"workspace create a b",
		"workspace create UPPER",
		"workspace create taken",
		"workspace create w --label tier",
		"workspace create w --label tier=a --label tier=b",
		"workspace create w --label tier=ä",
		"workspace show none",
		"workspace rotate-key none",
		"workspace delete none",
		"workspace list -o yaml",
		"workspace create w -o yaml",
		"workspace create w --color red",
		"service set s",
		"service set s --kind engine",
		"service set s --kind model",
		"service set s --kind model --model m --max-answer-tokens 0",
		"service set s --kind plain --call-price -5",
		"service set s --kind plain --call-price 5ms",
		"service set s --kind plain --picker best",
		"service show none",
		"service delete none",
		"statement set s --endpoints a=b=c,d",
		"statement set s --workspaces tier~fast",
		"statement delete none",
		"statement test none",
		"budget topup taken 0 --id a/1",
		"budget topup taken -5 --id a/1",
		"budget topup taken 5k --id a/1",
		"budget topup taken 5 --id 1",
		"budget topup taken 5 --id z/1",
		"budget topup taken 99999999999999999999 --id a/1",
		"config apply",
		"config apply FILES/none.json",
		"config apply FILES/malformed.json",
		"config apply FILES/unknown.json",
		"config apply FILES/empty.json",
		"config apply FILES/faults.json --change-id x",
		"config apply FILES/faults.json --wait-timeout 30 --change-id x",
		"explain",
		"router",
		"keeper --name none",
	} {
		out, errOut, code := b.run(strings.Fields(strings.ReplaceAll(line, "FILES", dir))...)
		if line != "" {
			g.Expect(code).NotTo(gomega.Equal(ExitOK), line)
			g.Expect(out).To(gomega.BeEmpty(), line)
			got.WriteString("$ rattanhoist " + line + "\n" + errOut + "exit " + string(rune('0'+code)) + "\n\n")
		}
	}
	text := strings.ReplaceAll(got.String(), fmt.Sprint(picker.Names()), "[PICKERS]")
	comparer.Golden(t, "bad_input.golden", normalizeSpaces(text))
	g.Expect(b.fake.book.Version()).To(gomega.BeEquivalentTo(1))
	g.Expect(b.fake.topUps).To(gomega.BeEmpty())
}

func TestSelectorThatMatchesNothingIsAcceptedWithAWarning(t *testing.T) {
	g := gomega.NewWithT(t)
	b := newBench(t, 1)
	out, errOut, code := b.run("statement", "set", "s", "--workspaces", "name=none", "--endpoints", "tier=none")
	g.Expect(code).To(gomega.Equal(ExitOK))
	g.Expect(out).To(gomega.Equal("accepted as version 1\n"))
	g.Expect(errOut).To(gomega.ContainSubstring(`workspaces: selector "name=none" matches none of 0 now`))
	g.Expect(errOut).To(gomega.ContainSubstring(`endpoints: selector "tier=none" matches none of 0 now`))
}

// Guards against a workspace that is created twice, or a command that is refused as a duplicate of
// itself, after the answer of the first keeper was lost and the next one is queried.
func TestLostAnswerIsAskedForAtTheNextKeeper(t *testing.T) {
	g := gomega.NewWithT(t)
	b := newBench(t, 2)
	b.fake.loseAnswers = 1
	out, errOut, code := b.run("workspace", "create", "w")
	g.Expect(code).To(gomega.Equal(ExitOK), errOut)
	g.Expect(out).To(gomega.ContainSubstring(`"key": "rh-`))
	g.Expect(b.fake.book.Version()).To(gomega.BeEquivalentTo(1))
}

// Guards against a workspace whose key nobody knows: all answers are lost and the key is not printed,
// or the repeated command prints a key that is not in force.
func TestUnknownOutcomePrintsKeyAndID(t *testing.T) {
	g := gomega.NewWithT(t)
	b := newBench(t, 1)
	b.fake.loseAnswers = allOfThem
	out, errOut, code := b.run("workspace", "create", "w", "--timeout", "1s")
	b.fake.loseAnswers = 0
	g.Expect(code).To(gomega.Equal(ExitUnknown))
	g.Expect(out).To(gomega.ContainSubstring(`"key": "rh-`))
	g.Expect(out).To(gomega.ContainSubstring(`"outcome": "unknown"`))
	_, id, ok := strings.Cut(strings.TrimSpace(errOut), "--change-id ")
	g.Expect(ok).To(gomega.BeTrue(), errOut)

	out, errOut, code = b.run("workspace", "create", "w", "--change-id", id)
	g.Expect(code).To(gomega.Equal(ExitOK), errOut)
	g.Expect(out).To(gomega.ContainSubstring(outcomeEarlier))
	g.Expect(out).NotTo(gomega.ContainSubstring(`"key"`))
	g.Expect(b.fake.book.Version()).To(gomega.BeEquivalentTo(1))
}

// Guards against a repeated command that prints a key without putting it in force, after the first
// request did not arrive.
func TestRepetitionOfALostRequestMakesTheChange(t *testing.T) {
	g := gomega.NewWithT(t)
	b := newBench(t, 1)
	b.fake.loseRequests = allOfThem
	_, errOut, code := b.run("workspace", "create", "w", "--timeout", "1s")
	b.fake.loseRequests = 0
	g.Expect(code).To(gomega.Equal(ExitUnknown))
	_, id, _ := strings.Cut(strings.TrimSpace(errOut), "--change-id ")
	out, _, code := b.run("workspace", "create", "w", "--change-id", id)
	g.Expect(code).To(gomega.Equal(ExitOK))
	g.Expect(out).To(gomega.ContainSubstring(`"key": "rh-`))
	g.Expect(out).To(gomega.ContainSubstring(`"outcome": "accepted"`))
}

// Guards against a top-up that counts twice: the answer of one keeper is lost, the next one is queried,
// and the operator repeats the command later.
func TestTopUpCountsOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	b := newBench(t, 2)
	b.fake.loseAnswers = allOfThem
	_, errOut, code := b.run("budget", "topup", "w", "500", "--zone", "b", "--timeout", "1s")
	b.fake.loseAnswers = 0
	g.Expect(b.fake.calls).To(gomega.BeNumerically(">=", 2))
	g.Expect(code).To(gomega.Equal(ExitUnknown))
	_, id, _ := strings.Cut(strings.TrimSpace(errOut), "--id ")
	out, _, code := b.run("budget", "topup", "w", "500", "--change-id", id)
	g.Expect(code).To(gomega.Equal(ExitOK))
	g.Expect(out).To(gomega.MatchRegexp(`b/\S+ +500 +true`))
	g.Expect(b.fake.topUps).To(gomega.HaveLen(1))
}

// Guards against a top-up that ends with an unknown outcome although there is time left, because the
// keeper that mints is still starting and the others can't forward to it yet.
func TestKeepersAreAskedInRoundsWhileTheOutcomeIsUnknown(t *testing.T) {
	g := gomega.NewWithT(t)
	b := newBench(t, 2)
	b.fake.loseAnswers = 3
	_, errOut, code := b.run("budget", "topup", "w", "500", "--id", "a/1")
	g.Expect(code).To(gomega.Equal(ExitOK), errOut)
	g.Expect(b.fake.calls).To(gomega.Equal(4))
}

func TestNothingIsSentBeforeTheOutputFormIsChecked(t *testing.T) {
	g := gomega.NewWithT(t)
	b := newBench(t, 1)
	_, _, code := b.run("budget", "topup", "w", "500", "--id", "a/1", "-o", "xml")
	g.Expect(code).To(gomega.Equal(ExitUsage))
	g.Expect(b.fake.calls).To(gomega.BeZero())
}

func TestConflictNamesTheVersion(t *testing.T) {
	g := gomega.NewWithT(t)
	b := newBench(t, 1)
	file := filepath.Join(filepath.Dir(b.settings), "c.json")
	write(t, file, `{"base_version": 1, "edits": [{"put_workspace": {"name": "w"}}]}`)
	for _, name := range []string{"x", "y"} {
		_, _, code := b.run("workspace", "create", name)
		g.Expect(code).To(gomega.Equal(ExitOK))
	}
	_, errOut, code := b.run("config", "apply", file)
	g.Expect(code).To(gomega.Equal(ExitConflict))
	g.Expect(errOut).To(gomega.ContainSubstring("version 2 now"))
	g.Expect(errOut).To(gomega.HavePrefix("change id "))
	_, errOut, code = b.run("config", "apply", file, "--base-version", "2", "--change-id", "again")
	g.Expect(code).To(gomega.Equal(ExitOK), errOut)
	// A repetition after the answer gets the first result, not a conflict.
	out, _, code := b.run("config", "apply", file, "--base-version", "2", "--change-id", "again")
	g.Expect(code).To(gomega.Equal(ExitOK))
	g.Expect(out).To(gomega.Equal("accepted as version 3\n"))
}

// Guards against a command that spends its whole timeout on a keeper that accepts connections and does
// not answer, as in a silent partition, while another keeper could answer.
func TestSilentKeeperLeavesTimeForTheNext(t *testing.T) {
	g := gomega.NewWithT(t)
	b := newBench(t, 1)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = l.Close() }()
	text, err := os.ReadFile(b.settings)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	silent := "[keeper k-silent]\nzone = silent\ndata_dir = d\nrpc = " + l.Addr().String() + "\n"
	write(t, b.settings, strings.Replace(string(text), "[keeper k-a]", silent+"[keeper k-a]", 1))
	began := time.Now()
	_, errOut, code := b.run("workspace", "create", "w")
	g.Expect(code).To(gomega.Equal(ExitOK), errOut)
	g.Expect(time.Since(began)).To(gomega.BeNumerically("<", defaultTimeout))
}

// Guards against reads that exceed the timeout of the command: config show --timeout 200ms took six
// seconds when three keepers accepted connections and did not answer.
func TestReadingEndsWithTheCommandsTime(t *testing.T) {
	g := gomega.NewWithT(t)
	b := newBench(t, 1)
	text, err := os.ReadFile(b.settings)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	settings, _, _ := strings.Cut(string(text), "[keeper")
	for _, zone := range []string{"a", "b", "c"} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		g.Expect(err).NotTo(gomega.HaveOccurred())
		defer func() { _ = l.Close() }()
		settings += "[keeper k-" + zone + "]\nzone = " + zone + "\ndata_dir = d\nrpc = " + l.Addr().String() + "\n"
	}
	write(t, b.settings, settings)
	began := time.Now()
	_, errOut, code := b.run("config", "show", "--timeout", "200ms")
	g.Expect(code).To(gomega.Equal(ExitFailed), errOut)
	g.Expect(time.Since(began)).To(gomega.BeNumerically("<", keeperTimeout))
}

func TestNoKeeperIsAFailureNotAnUnknownOutcome(t *testing.T) {
	g := gomega.NewWithT(t)
	b := newBench(t, 1)
	text, err := os.ReadFile(b.settings)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	before, _, _ := strings.Cut(string(text), "rpc = ")
	write(t, b.settings, before+"rpc = 127.0.0.1:1\n")
	_, errOut, code := b.run("budget", "topup", "w", "5", "--id", "a/1")
	g.Expect(code).To(gomega.Equal(ExitFailed))
	g.Expect(errOut).To(gomega.ContainSubstring("keeper k-a at 127.0.0.1:1: connection error: "))
}

func TestBalance(t *testing.T) {
	g := gomega.NewWithT(t)
	books := &messenger.BookReply{Books: []*messenger.Book{
		{Zone: "a", MintedTokens: 100, UnspentTokens: 40, LeasedTokens: 10, ChargedTokens: 15, FrozenTokens: 5, GivenTokens: 30, TransferOutTokens: 10},
		{Zone: "b", UnspentTokens: 20, ReceivedTokens: 20},
	}}
	g.Expect(newAccount(books).verdict()).To(gomega.Equal("balanced"))
	books.Books[1].ChargedTokens = 1
	g.Expect(newAccount(books).verdict()).To(gomega.Equal("NOT BALANCED: minted - accounted for = -1 tokens"))
	books.UnreachableZones = []string{"c"}
	g.Expect(newAccount(books).verdict()).To(gomega.Equal("balance not known: out of reach: c"))
}

func TestExitCodes(t *testing.T) {
	g := gomega.NewWithT(t)
	for err, want := range map[error]int{
		nil: ExitOK, errors.New("x"): ExitFailed, ErrUsage: ExitUsage, ErrRefused: ExitUsage,
		ErrConflict: ExitConflict, ErrOutcomeUnknown: ExitUnknown, ErrUnreachable: ExitFailed,
	} {
		g.Expect(exitCode(err)).To(gomega.Equal(want), "%v", err)
	}
}
