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
	proofRequests = 24
	proofTokens   = 60
	// proofLong answers are open while a fault begins or ends.
	proofLong = 150
	// proofPassed tokens of each open answer have passed before a fault.
	proofPassed = 10
	proofWait   = 15 * time.Second
)

// proof sends requests under faults and checks each answer against the oracle.
type proof struct {
	*fleet
	// Died holds the host:port of routers that were killed: their callers may
	// be left with a fragment, which they know for one by its missing mark.
	died     sync.Map
	refusals atomic.Int64
	mu       sync.Mutex
	// Told maps ids to the charges that answers named.
	told map[string]map[int64]bool
}

// startProof starts three zones that are settled: every zone has rights of its
// own, and what startDrain and settle wait for has come about.
func startProof(t *testing.T, net int) *proof {
	t.Helper()
	p := &proof{fleet: startDrain(t, net), told: map[string]map[int64]bool{}}
	for _, z := range p.Settings().Zones() {
		p.commandEventually("budget", "topup", workspace, prepaidTokens, "--id", z+"/own")
	}
	p.settle()
	return p
}

// settle waits until every router is ready and serves the latest
// configuration, every keeper is paired, and the routers of each zone know of
// each other's runs.
func (p *proof) settle() {
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

// request is call i of a wave: streams and whole answers in turn.
func (p *proof) request(id string, i int, tokens int64) call {
	c := p.model("osu-hall-1", id, tokens)
	c.Stream = i%2 == 0
	return c
}

// answered sends a call to the routers in turn until it has its whole answer.
func (p *proof) answered(c call, routers ...string) bool {
	if p.ask(c, routers...) == nil {
		return true
	}
	p.t.Errorf("%s has no answer", c.RequestID)
	return false
}

// ask sends a call to the routers in turn until it is answered, or refused
// because its id has another request's answer.
func (p *proof) ask(c call, routers ...string) (err error) {
	ctx, cancel := context.WithTimeout(context.Background(), proofWait)
	defer cancel()
	for n := 0; ctx.Err() == nil; n++ {
		c.Router = p.http(routers[n%len(routers)])
		var reply *imitator.Reply
		reply, err = c.Do(ctx)
		r := refusalOf(err)
		_, died := p.died.Load(c.Router)
		switch {
		case err == nil:
			p.note(c.RequestID, reply.ChargedTokens)
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

func (p *proof) note(id string, charged int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.told[id] == nil {
		p.told[id] = map[int64]bool{}
	}
	p.told[id][charged] = true
}

// settled waits until each request has one bill that counts, of a price that
// its caller was told, and the books hold these bills and nothing else.
func (p *proof) settled(ids []string) {
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
		if !p.document(&show, "budget", "show", workspace) || !p.document(&history, "budget", "history", workspace) {
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
			if told := p.told[c.RequestID]; told != nil && !told[c.Tokens] {
				p.t.Logf("%s: told %v, billed %d", c.RequestID, told, c.Tokens)
				return false
			}
		}
		return sum == 0
	})
	p.g.Expect(p.t.Failed()).To(gomega.BeFalse())
	p.t.Logf("%d ids, %d refusals on the way", len(ids), p.refusals.Load())
}

// document reads what a command prints; false where a zone did not answer.
func (p *proof) document(to any, args ...string) bool {
	out, code := p.Command(append(args, "-o", "json")...)
	return code == 0 && json.Unmarshal([]byte(out), to) == nil
}

// TestWholeAnswersOnBothSidesOfACut
// Symptom: a caller gets a fragment or the answer of the caller who used the
// same id beyond a cut, or a request is billed twice in the end.
// Sequence: a zone is cut off from both others; on each side callers send ids
// of their own, ids that the other side sends too, and ids under which the
// other side asks something else; streams are open when the cut heals; all
// are sent again, each on the other side.
// Cause it guards against: an id that is taken for the request, and bills of
// two zones that nobody compares.
func TestWholeAnswersOnBothSidesOfACut(t *testing.T) {
	p := startProof(t, 124)
	sides := [][]string{{"osu-hall-1", "osu-hall-2"}, {"tema-hall-1", "tema-hall-2"}}
	for _, z := range []string{"tema-hall", "legon-hall"} {
		p.Cut("osu-hall", z)
	}
	// An idle keeper does not notice.
	p.Eventually("the cut-off keeper goes on alone", func() bool {
		_, _ = p.model("osu-hall-1", fmt.Sprintf("alone-%d", time.Now().UnixNano()), 4).Do(context.Background())
		v := p.vault("osu-hall-keeper")
		return v != nil && v.Mode == budgeter.ModeSolo
	})
	var ids []string
	known := map[string]bool{}
	wave := func(prefix string, tokens int64, send func(c call, side, kind int)) {
		var wg sync.WaitGroup
		for i := range proofRequests {
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
	here := func(c call, side, _ int) { p.answered(c, sides[side]...) }
	wave("cut", proofTokens, here)
	done := make(chan struct{})
	go func() {
		defer close(done)
		wave("heal", proofLong, here)
	}()
	p.Eventually("the same ids run on both sides", func() bool {
		runs := p.runs("llm-1", "llm-2")
		for i := range proofRequests {
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
			p.answered(c, sides[1-side]...)
			return
		}
		// Its own answer or a refusal, never the other caller's.
		err := p.ask(c, sides[1-side]...)
		if err != nil && (refusalOf(err) == nil || refusalOf(err).Code != "id_reused") {
			t.Errorf("%s: %v", c.RequestID, err)
		}
		p.answered(c, sides[side]...)
	}
	wave("cut", proofTokens, there)
	wave("heal", proofLong, there)
	p.settled(ids)
}

// open sends a wave of requests at once, call i to routers(i) in turn, and
// returns when all have begun and a part of each answer has passed; the
// returned function waits for the answers.
func (p *proof) open(prefix string, tokens int64, routers func(i int) []string) (ids []string, wait func()) {
	p.t.Helper()
	var wg sync.WaitGroup
	for i := range proofRequests {
		c := p.request(fmt.Sprintf("%s-%d", prefix, i), i/4, tokens)
		ids = append(ids, c.RequestID)
		wg.Go(func() { p.answered(c, routers(i)...) })
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
	// An answer of that many tokens that begins now ends after the open ones
	// have as many.
	for _, r := range []string{"osu-hall-2", "tema-hall-2"} {
		p.answered(p.request(prefix+"-passed-"+r, 0, proofPassed), r)
	}
	return ids, wg.Wait
}

// again sends requests of earlier waves once more and checks that each has its
// own answer, and one bill in the end.
func (p *proof) again(tokens int64, ids []string, routers func(i int) []string) {
	p.t.Helper()
	var wg sync.WaitGroup
	for n, id := range ids {
		i := n % proofRequests
		wg.Go(func() { p.answered(p.request(id, i/4, tokens), routers(i)...) })
	}
	wg.Wait()
	p.settled(ids)
}

// turn has call i begin at router i of a list and try the others after it.
func turn(list ...string) func(i int) []string {
	return func(i int) []string {
		n := i % len(list)
		return append(append([]string{}, list[n:]...), list[:n]...)
	}
}

// disk returns the incarnation that votes for a keeper on the configuration, as
// its own confirmed copy has it; 0 where it has none.
func (f *fleet) disk(keeper string) uint64 {
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

// votesAgain waits until a keeper that lost the disk of an incarnation votes on
// the configuration with a new one. Before that, the loss of another keeper's
// disk is that of two of three.
func (f *fleet) votesAgain(keeper string, lost uint64) {
	f.t.Helper()
	f.Eventually(keeper+" votes again", func() bool {
		now := f.disk(keeper)
		return now != 0 && now != lost
	})
}

// TestWholeAnswersAfterASecondLoss
// Symptom: a caller gets a fragment or another's answer, or two bills, when a
// second VM is lost right after the first is repaired.
// Sequence: answers are open in two zones; the first zone's keeper and the
// router beside it are lost with their disk and come back empty; as soon as
// the repair is done, with other answers open, the mirror's VM is lost with
// its disk; callers whose router died ask the others; then all ask again.
// Cause it guards against: a run, a bill or an identity that only the lost
// VMs knew.
func TestWholeAnswersAfterASecondLoss(t *testing.T) {
	p := startProof(t, 125)
	all := turn("osu-hall-1", "tema-hall-1", "osu-hall-2", "tema-hall-2")
	lose := func(zone string) {
		p.died.Store(p.http(zone+"-1"), true)
		p.Kill(zone + "-keeper")
		p.Kill(zone + "-1")
		p.Wipe(zone + "-keeper")
	}
	before := p.disk("osu-hall-keeper")
	first, wait := p.open("first", proofLong, all)
	lose("osu-hall")
	wait()
	p.Restart("osu-hall-keeper")
	p.Restart("osu-hall-1")
	p.Eventually("the first VM is back", func() bool { return p.Ready("osu-hall-1") })
	p.died.Clear()
	p.Eventually("the first VM's budgets are repaired", func() bool { return p.isPaired("osu-hall-keeper") })
	p.votesAgain("osu-hall-keeper", before)
	second, wait := p.open("second", proofLong, all)
	lose("tema-hall")
	wait()
	p.Restart("tema-hall-keeper")
	p.Restart("tema-hall-1")
	p.settle()
	p.died.Clear()
	p.again(proofLong, append(first, second...), turn("tema-hall-1", "osu-hall-2", "tema-hall-2", "osu-hall-1"))
}

// TestWholeAnswersOfAnIsolatedRouter
// Symptom: a caller gets a fragment, another's answer or two bills where one
// router can't be reached by its zone and doesn't know why.
// Sequence: answers are open at both routers of a zone, half of them of
// requests whose home is the other; one router is cut, silently and both ways,
// from its sibling and the zone's keeper; all end; all are sent again at the
// other router; the keeper fences the silent router, which can't know; new
// requests come to both; the cut heals; all are sent again.
// Cause it guards against: two homes of one id that each take the other for
// lost, charges that wait for the keeper beyond the cut, and answers that a
// fenced router calls whole.
func TestWholeAnswersOfAnIsolatedRouter(t *testing.T) {
	p := startProof(t, 126)
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
	one, other := turn(osu...), turn(osu[1], osu[0])
	ids, wait := p.open("open", proofLong, one)
	isolate("cut")
	wait()
	var wg sync.WaitGroup
	for i, id := range ids {
		wg.Go(func() { p.answered(p.request(id, i/4, proofLong), other(i)...) })
	}
	wg.Wait()
	p.Eventually("the silent router is fenced", func() bool {
		text, err := os.ReadFile(filepath.Join(p.Dir(), "osu-hall-keeper.log"))
		return err == nil && strings.Contains(string(text), "silent router fenced")
	})
	late, wait := p.open("late", proofTokens, one)
	wait()
	isolate("heal")
	p.settle()
	p.again(proofTokens, late, other)
	p.again(proofLong, ids, one)
}

// change has an edit accepted through a keeper, rebasing and resending it
// under the same id until it is.
func (p *proof) change(keeper messenger.ConfigurationKeeperClient, n int, base *uint64) {
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

// TestWholeAnswersAfterChangesAndARestart
// Symptom: a caller gets a fragment, another's answer or a second bill when
// all processes have been restarted after hundreds of changes.
// Sequence: answers are open while 300 changes of configuration are made and
// until every router, then every keeper and router, is killed; all come back;
// callers send again what they have no answer to, then everything.
// Cause it guards against: an identity, a bill or a key that a restart reads
// from an old version, or that lived in memory only.
func TestWholeAnswersAfterChangesAndARestart(t *testing.T) {
	const changes = 300
	p := startProof(t, 127)
	keepers := p.Settings().Processes(loader.KindKeeper)
	c, err := messenger.NewDialer("test", messenger.RoleMember, p.Settings().DeploymentKey()).Dial(keepers[0].RPC())
	p.g.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = c.Close() }()
	all := turn("osu-hall-1", "tema-hall-1", "osu-hall-2", "tema-hall-2")
	during, wait := p.open("during", proofLong, all)
	var base uint64
	for n := range changes {
		p.change(messenger.NewConfigurationKeeperClient(c), n, &base)
	}
	wait()
	p.AwaitInForce()
	killed, wait := p.open("killed", proofLong, all)
	routers := p.Settings().Processes(loader.KindRouter)
	for _, x := range routers {
		p.died.Store(x.HTTP(), true)
	}
	for _, x := range append(routers, keepers...) {
		p.Kill(x.Name())
	}
	for _, x := range p.Settings().Processes("") {
		p.Restart(x.Name())
	}
	wait()
	p.settle()
	p.died.Clear()
	p.again(proofLong, append(during, killed...), turn("tema-hall-2", "osu-hall-2", "osu-hall-1", "tema-hall-1"))
}
