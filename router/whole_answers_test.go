package router_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rattanhoist.example/rattanhoist/budgeter"
	"rattanhoist.example/rattanhoist/imitator"
	"rattanhoist.example/rattanhoist/loader"
	"rattanhoist.example/rattanhoist/messenger"
)

// Answers under faults: the requests of a wave, and how long an answer is.
const (
	waveSize          = 24
	shortAnswerTokens = 60
	// longAnswerTokens is the length of answers that are open while a fault
	// begins or ends.
	longAnswerTokens = 150
	// passedTokens is how much of each open answer has been received before a
	// fault.
	passedTokens = 10
	booksTimeout = 15 * time.Second
)

// faultTest sends requests during faults and checks each answer against the
// oracle.
type faultTest struct {
	*fleet
	// killedRouters holds the host:port of killed routers. Their callers may be
	// left with a fragment, which they recognize by its missing completion
	// mark.
	killedRouters sync.Map
	refusals      atomic.Int64
	mu            sync.Mutex
	// chargesTold maps ids to the charges that answers reported.
	chargesTold map[string]map[int64]bool
}

// startFaultTest starts three zones, tops up the budget in each so that every
// zone has rights of its own, and waits until startDrain and awaitSettled are
// satisfied.
func startFaultTest(t *testing.T, net int) *faultTest {
	t.Helper()
	p := &faultTest{fleet: startDrain(t, net), chargesTold: map[string]map[int64]bool{}}
	for _, z := range p.Settings().Zones() {
		p.commandEventually("budget", "topup", workspace, prepaidTokens, "--id", z+"/own")
	}
	p.awaitSettled()
	return p
}

// awaitSettled waits until every router is ready and has the latest
// configuration, every keeper is paired, and the routers of each zone know of
// each other's runs.
func (p *faultTest) awaitSettled() {
	p.t.Helper()
	for _, r := range p.Settings().Processes(loader.KindRouter) {
		p.Eventually(r.Name()+" is ready", func() bool { return p.Ready(r.Name()) })
	}
	p.AwaitInForce()
	p.AwaitPaired()
	for _, z := range p.Settings().Zones() {
		n := 0
		p.Eventually("routers of "+z+" hear each other", func() bool {
			n++
			id := idWithHome(fmt.Sprintf("heard-%d-%d", time.Now().UnixNano(), n), z+"-2", z+"-1", z+"-2")
			for _, r := range []string{z + "-1", z + "-2"} {
				if _, err := p.model(r, id, 4).Do(context.Background()); err != nil {
					return false
				}
			}
			return p.runs("llm-1", "llm-2")[id] == 1
		})
	}
}

// request returns call i of a wave: streams and whole answers alternate.
func (p *faultTest) request(id string, i int, tokens int64) call {
	c := p.model("osu-hall-1", id, tokens)
	c.Stream = i%2 == 0
	return c
}

// expectAnswer sends a call to the routers in turn and fails the test if none
// gives a whole answer.
func (p *faultTest) expectAnswer(c call, routers ...string) bool {
	if p.askUntilFinal(c, routers...) == nil {
		return true
	}
	p.t.Errorf("%s has no answer", c.RequestID)
	return false
}

// askUntilFinal sends a call to the routers in turn until it is answered, or is
// refused because its id belongs to another request.
func (p *faultTest) askUntilFinal(c call, routers ...string) (err error) {
	ctx, cancel := context.WithTimeout(context.Background(), booksTimeout)
	defer cancel()
	for n := 0; ctx.Err() == nil; n++ {
		c.Router = p.http(routers[n%len(routers)])
		var reply *imitator.Reply
		reply, err = c.Do(ctx)
		r := refusalOf(err)
		_, died := p.killedRouters.Load(c.Router)
		switch {
		case err == nil:
			p.recordCharge(c.RequestID, reply.ChargedTokens)
			return nil
		case r != nil && r.Code == "id_reused":
			return err
		case errors.Is(err, imitator.ErrWrong), errors.Is(err, imitator.ErrNotWhole) && !died:
			p.t.Errorf("%s at %s: %v", c.RequestID, c.Router, err)
			return err
		case r != nil:
			p.refusals.Add(1)
			p.t.Logf("%s at %s: %v", c.RequestID, c.Router, err)
		}
		time.Sleep(50 * time.Millisecond)
	}
	return err
}

// recordCharge notes the charge that an answer reported.
func (p *faultTest) recordCharge(id string, charged int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.chargesTold[id] == nil {
		p.chargesTold[id] = map[int64]bool{}
	}
	p.chargesTold[id][charged] = true
}

// expectBooksMatch waits until each request has exactly one bill that is not
// reversed, of an amount that its caller was told, and until the books contain
// these bills and nothing else.
func (p *faultTest) expectBooksMatch(ids []string) {
	p.t.Helper()
	p.expectBilledOnce(ids)
	p.Eventually("the books hold the bills", func() bool {
		var history struct {
			Charges []struct {
				RequestID string `json:"request_id"`
				Tokens    int64  `json:"tokens,string"`
				Reversed  string `json:"reversed_for_zone"`
			}
		}
		var show struct {
			Books []struct {
				Charged int64 `json:"charged_tokens,string"`
			}
		}
		if !p.commandJSON(&show, "budget", "show", workspace) || !p.commandJSON(&history, "budget", "history", workspace) {
			return false
		}
		var sum int64
		for _, b := range show.Books {
			sum += b.Charged
		}
		for _, c := range history.Charges {
			if c.Reversed != "" {
				continue
			}
			sum -= c.Tokens
			if told := p.chargesTold[c.RequestID]; told != nil && !told[c.Tokens] {
				p.t.Logf("%s: told %v, billed %d", c.RequestID, told, c.Tokens)
				return false
			}
		}
		return sum == 0
	})
	p.g.Expect(p.t.Failed()).To(gomega.BeFalse())
	p.t.Logf("%d ids, %d refusals on the way", len(ids), p.refusals.Load())
}

// commandJSON decodes the output of a command. It returns false if a zone did
// not answer.
func (p *faultTest) commandJSON(to any, args ...string) bool {
	out, code := p.Command(append(args, "-o", "json")...)
	return code == 0 && json.Unmarshal([]byte(out), to) == nil
}

// TestWholeAnswersOnBothSidesOfPartition cuts a zone off from both others. On
// each side, callers send ids of their own, ids that the other side sends too,
// and ids under which the other side sends another prompt. Streams are open
// when the partition heals; then every request is sent again on the other side.
// It guards against an id that is taken for the identity of the request, and
// against bills of two zones that are not compared: a caller would get a
// fragment or another caller's answer, or a request would stay billed twice.
func TestWholeAnswersOnBothSidesOfPartition(t *testing.T) {
	p := startFaultTest(t, 124)
	sides := [][]string{{"osu-hall-1", "osu-hall-2"}, {"tema-hall-1", "tema-hall-2"}}
	for _, z := range []string{"tema-hall", "legon-hall"} {
		p.Cut("osu-hall", z)
	}
	// A keeper notices the partition only when it has work.
	p.Eventually("the cut-off keeper goes on alone", func() bool {
		_, _ = p.model("osu-hall-1", fmt.Sprintf("alone-%d", time.Now().UnixNano()), 4).Do(context.Background())
		v := p.vault("osu-hall-keeper")
		return v != nil && v.Mode == budgeter.ModeSolo
	})
	var ids []string
	known := map[string]bool{}
	wave := func(prefix string, tokens int64, send func(c call, side, kind int)) {
		var wg sync.WaitGroup
		for i := range waveSize {
			for side := range sides {
				c := p.request(fmt.Sprintf("%s-%d", prefix, i), i/3, tokens)
				switch i % 3 {
				case 1:
					c.RequestID += sides[side][0]
				case 2:
					c.Prompt += " for " + sides[side][0]
				}
				if !known[c.RequestID] {
					known[c.RequestID] = true
					ids = append(ids, c.RequestID)
				}
				wg.Go(func() { send(c, side, i%3) })
			}
		}
		wg.Wait()
	}
	here := func(c call, side, _ int) { p.expectAnswer(c, sides[side]...) }
	wave("cut", shortAnswerTokens, here)
	done := make(chan struct{})
	go func() {
		defer close(done)
		wave("heal", longAnswerTokens, here)
	}()
	p.Eventually("the same ids run on both sides", func() bool {
		runs := p.runs("llm-1", "llm-2")
		for i := range waveSize {
			if i%3 != 1 && runs[fmt.Sprintf("heal-%d", i)] < 2 {
				return false
			}
		}
		return true
	})
	for _, z := range []string{"tema-hall", "legon-hall"} {
		p.Heal("osu-hall", z)
	}
	<-done
	there := func(c call, side, kind int) {
		if kind != 2 {
			p.expectAnswer(c, sides[1-side]...)
			return
		}
		// Either the caller's own answer or a refusal, never another caller's
		// answer.
		err := p.askUntilFinal(c, sides[1-side]...)
		if err != nil && (refusalOf(err) == nil || refusalOf(err).Code != "id_reused") {
			t.Errorf("%s: %v", c.RequestID, err)
		}
		p.expectAnswer(c, sides[side]...)
	}
	wave("cut", shortAnswerTokens, there)
	wave("heal", longAnswerTokens, there)
	p.expectBooksMatch(ids)
}

// openWave sends a wave of requests at once, call i to routers(i) in turn, and
// returns when all have started and a part of each answer has been received.
// The returned function waits for the answers.
func (p *faultTest) openWave(prefix string, tokens int64, routers func(i int) []string) (ids []string, wait func()) {
	p.t.Helper()
	var wg sync.WaitGroup
	for i := range waveSize {
		c := p.request(fmt.Sprintf("%s-%d", prefix, i), i/4, tokens)
		ids = append(ids, c.RequestID)
		wg.Go(func() { p.expectAnswer(c, routers(i)...) })
	}
	p.Eventually("all of "+prefix+" run", func() bool {
		runs := p.runs("llm-1", "llm-2")
		for _, id := range ids {
			if runs[id] == 0 {
				return false
			}
		}
		return true
	})
	// An answer of passedTokens that starts now ends after every open answer
	// has at least as many.
	for _, r := range []string{"osu-hall-2", "tema-hall-2"} {
		p.expectAnswer(p.request(prefix+"-passed-"+r, 0, passedTokens), r)
	}
	return ids, wg.Wait
}

// resendAll sends the requests of earlier waves again and checks that each gets
// its own answer and that it is billed once in the end.
func (p *faultTest) resendAll(tokens int64, ids []string, routers func(i int) []string) {
	p.t.Helper()
	var wg sync.WaitGroup
	for n, id := range ids {
		i := n % waveSize
		wg.Go(func() { p.expectAnswer(p.request(id, i/4, tokens), routers(i)...) })
	}
	wg.Wait()
	p.expectBooksMatch(ids)
}

// rotate returns a function that has call i start at router i of a list and try
// the others after it.
func rotate(list ...string) func(i int) []string {
	return func(i int) []string {
		n := i % len(list)
		return append(append([]string{}, list[n:]...), list[:n]...)
	}
}

// confirmedVoter returns the incarnation of a keeper that votes on the
// configuration, according to the keeper's own confirmed copy, or 0 if there is
// none.
func (f *fleet) confirmedVoter(keeper string) uint64 {
	x, err := f.Settings().Process(loader.KindKeeper, keeper)
	f.g.Expect(err).NotTo(gomega.HaveOccurred())
	c, err := messenger.NewDialer("test", messenger.RoleMember, f.Settings().DeploymentKey()).Dial(x.RPC())
	f.g.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = c.Close() }()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	r, _ := messenger.NewConfigurationKeeperClient(c).Read(ctx, &messenger.ReadRequest{Confirmed: true})
	for _, m := range r.GetKeepers() {
		if m.Name == keeper {
			return m.Incarnation
		}
	}
	return 0
}

// awaitNewVoter waits until a keeper that lost the disk of an incarnation votes
// on the configuration with a new one. If another keeper's disk were lost
// before, two of three disks would be gone.
func (f *fleet) awaitNewVoter(keeper string, lost uint64) {
	f.t.Helper()
	f.Eventually(keeper+" votes again", func() bool {
		now := f.confirmedVoter(keeper)
		return now != 0 && now != lost
	})
}

// TestWholeAnswersAfterSecondDiskLoss opens answers in two zones. The first
// zone's keeper and the router on the same VM are lost with their disk and come
// back empty. As soon as the repair is complete, with other answers open, the
// mirror's VM is lost with its disk. Callers whose router died ask the others;
// then all requests are sent again. It guards against a run, a bill or an
// identity that only the lost VMs knew: a caller would get a fragment,
// another's answer or two bills.
func TestWholeAnswersAfterSecondDiskLoss(t *testing.T) {
	p := startFaultTest(t, 125)
	all := rotate("osu-hall-1", "tema-hall-1", "osu-hall-2", "tema-hall-2")
	lose := func(zone string) {
		p.killedRouters.Store(p.http(zone+"-1"), true)
		p.Kill(zone + "-keeper")
		p.Kill(zone + "-1")
		p.Wipe(zone + "-keeper")
	}
	before := p.confirmedVoter("osu-hall-keeper")
	first, wait := p.openWave("first", longAnswerTokens, all)
	lose("osu-hall")
	wait()
	p.Restart("osu-hall-keeper")
	p.Restart("osu-hall-1")
	p.Eventually("the first VM is back", func() bool { return p.Ready("osu-hall-1") })
	p.killedRouters.Clear()
	p.Eventually("the first VM's budgets are repaired", func() bool { return p.isPaired("osu-hall-keeper") })
	p.awaitNewVoter("osu-hall-keeper", before)
	second, wait := p.openWave("second", longAnswerTokens, all)
	lose("tema-hall")
	wait()
	p.Restart("tema-hall-keeper")
	p.Restart("tema-hall-1")
	p.awaitSettled()
	p.killedRouters.Clear()
	p.resendAll(longAnswerTokens, append(first, second...), rotate("tema-hall-1", "osu-hall-2", "tema-hall-2", "osu-hall-1"))
}

// TestWholeAnswersWithIsolatedRouter opens answers at both routers of a zone,
// half of them with the other router as home. One router is cut off, in both
// directions and without closing connections, from its sibling and the zone's
// keeper. All answers end and are sent again at the other router; the keeper
// fences the isolated router, which can't learn of it; new requests reach both;
// the partition heals, and all are sent again. It guards against two homes of
// one id that consider each other dead, charges that wait for the unreachable
// keeper, and answers that a fenced router reports as whole: a caller would get
// a fragment, another's answer or two bills.
func TestWholeAnswersWithIsolatedRouter(t *testing.T) {
	p := startFaultTest(t, 126)
	isolate := func(what string) {
		for _, x := range p.Settings().Processes("") {
			for _, y := range p.Settings().Processes("") {
				if x.Zone() == "osu-hall" && y.Zone() == "osu-hall" && x.Name() != y.Name() && (x.Name() == osu[0] || y.Name() == osu[0]) {
					p.FaultAt(x, what, y.RPC())
				}
			}
		}
	}
	// The isolated router has the rights that it had: beyond them it refuses,
	// and its callers ask the other.
	one, other := rotate(osu...), rotate(osu[1], osu[0])
	ids, wait := p.openWave("open", longAnswerTokens, one)
	isolate("cut")
	wait()
	var wg sync.WaitGroup
	for i, id := range ids {
		wg.Go(func() { p.expectAnswer(p.request(id, i/4, longAnswerTokens), other(i)...) })
	}
	wg.Wait()
	p.Eventually("the silent router is fenced", func() bool {
		text, err := os.ReadFile(filepath.Join(p.Dir(), "osu-hall-keeper.log"))
		return err == nil && strings.Contains(string(text), "silent router fenced")
	})
	late, wait := p.openWave("late", shortAnswerTokens, one)
	wait()
	isolate("heal")
	p.awaitSettled()
	p.resendAll(shortAnswerTokens, late, other)
	p.resendAll(longAnswerTokens, ids, one)
}

// submitChange submits an edit to a keeper and repeats it under the same id,
// rebased, until it is accepted.
func (p *faultTest) submitChange(keeper messenger.ConfigurationKeeperClient, n int, base *uint64) {
	c := &messenger.Change{
		ChangeId: fmt.Sprintf("change-%d", n),
		Edits:    []*messenger.Edit{{Kind: &messenger.Edit_PutWorkspace{PutWorkspace: &messenger.Workspace{Name: fmt.Sprintf("other-%d", n%7)}}}},
	}
	p.Eventually(c.ChangeId+" is accepted", func() bool {
		c.BaseVersion = *base
		out, err := keeper.Propose(context.Background(), &messenger.ProposeRequest{Change: c})
		if err != nil {
			return false
		}
		*base = out.Version
		return out.Outcome == messenger.ChangeOutcome_CHANGE_OUTCOME_ACCEPTED
	})
}

// TestWholeAnswersAfterChangesAndRestart makes 300 configuration changes while
// a wave of answers is open. While a second wave is open, every router and then
// every keeper is killed, and all are restarted. Callers send again the
// requests that have no answer, then all. It guards against an identity, a bill
// or a key that a restart reads from an old version, or that was held in memory
// only: a caller would get a fragment, another's answer or a second bill.
func TestWholeAnswersAfterChangesAndRestart(t *testing.T) {
	const changes = 300
	p := startFaultTest(t, 127)
	keepers := p.Settings().Processes(loader.KindKeeper)
	c, err := messenger.NewDialer("test", messenger.RoleMember, p.Settings().DeploymentKey()).Dial(keepers[0].RPC())
	p.g.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = c.Close() }()
	all := rotate("osu-hall-1", "tema-hall-1", "osu-hall-2", "tema-hall-2")
	during, wait := p.openWave("during", longAnswerTokens, all)
	var base uint64
	for n := range changes {
		p.submitChange(messenger.NewConfigurationKeeperClient(c), n, &base)
	}
	wait()
	p.AwaitInForce()
	killed, wait := p.openWave("killed", longAnswerTokens, all)
	routers := p.Settings().Processes(loader.KindRouter)
	for _, x := range routers {
		p.killedRouters.Store(x.HTTP(), true)
	}
	for _, x := range append(routers, keepers...) {
		p.Kill(x.Name())
	}
	for _, x := range p.Settings().Processes("") {
		p.Restart(x.Name())
	}
	wait()
	p.awaitSettled()
	p.killedRouters.Clear()
	p.resendAll(longAnswerTokens, append(during, killed...), rotate("tema-hall-2", "osu-hall-2", "osu-hall-1", "tema-hall-1"))
}
