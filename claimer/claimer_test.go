package claimer_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"rattanhoist.example/rattanhoist/claimer"
	"rattanhoist.example/rattanhoist/messenger"
)

func init() {
	seed := "7"
	if s := os.Getenv("FUZZ_SEED"); s != "" {
		seed = s
	}
	_ = flag.Set("rapid.seed", seed)
	_ = flag.Set("rapid.steps", "200")
	if n := os.Getenv("FUZZ_CHECKS"); n != "" {
		_ = flag.Set("rapid.checks", n)
	}
}

// mistake is a fault seeded into the protocol, to show that the oracle bites.
type mistake int

const (
	none mistake = iota
	oneVoteIsEnough
	openWithoutCopy
	openTooEarly
	releaseAfterDispatch
)

// disk is a keeper with what it has synced.
type disk struct {
	core  *claimer.Core
	rows  map[[2]string][]byte
	named int
	// Born is when the disk was new.
	born time.Time
}

func (d *disk) apply(actions []claimer.Action) proto.Message {
	var out proto.Message
	for _, a := range actions {
		switch a := a.(type) {
		case claimer.Write:
			if a.Value == nil {
				delete(d.rows, [2]string{a.Bucket, a.Key})
				continue
			}
			d.rows[[2]string{a.Bucket, a.Key}] = a.Value
		case claimer.Reply:
			out = a.Message
		}
	}
	return out
}

// stored is what the disk holds under a request's key.
func (d *disk) stored(workspace, id string) []byte {
	return d.rows[[2]string{claimer.BucketClaims, claimer.KeyOf(workspace, id).Row()}]
}

func (d *disk) claim(now time.Time, r *messenger.ClaimRequest) *messenger.ClaimReply {
	e := claimer.Claim{Request: r, Stored: d.stored(r.Workspace, r.RequestId)}
	return d.apply(d.core.Step(now, e)).(*messenger.ClaimReply)
}

func (d *disk) settle(now time.Time, r *messenger.SettleRequest) {
	d.apply(d.core.Step(now, claimer.Settle{Request: r, Stored: d.stored(r.Workspace, r.RequestId)}))
}

// claimRows are the rows that a keeper with a new disk copies.
func (d *disk) claimRows() []*messenger.ClaimRow {
	var out []*messenger.ClaimRow
	for key, value := range d.rows {
		row := &messenger.ClaimRow{}
		if key[0] != claimer.BucketClaims {
			continue
		}
		if err := proto.Unmarshal(value, row); err != nil {
			panic(err)
		}
		out = append(out, row)
	}
	slices.SortFunc(out, func(a, b *messenger.ClaimRow) int { return strings.Compare(a.RequestId, b.RequestId) })
	return out
}

// attempt is one router's try, with what the oracle knows of it.
type attempt struct {
	id         string
	holder     *messenger.Holder
	count      *claimer.Attempt
	begun      time.Time
	verdict    claimer.Verdict
	dispatched bool
	ended      bool
}

// mail is a message on its way; it may be lost, late or doubled.
type mail struct {
	keeper  int
	claim   *messenger.ClaimRequest
	settle  *messenger.SettleRequest
	reply   *messenger.ClaimReply
	attempt *attempt
}

// world is three keepers, their network and the oracle.
type world struct {
	mistake  mistake
	now      time.Time
	disks    []*disk
	mail     []mail
	attempts []*attempt
	// Runs counts the dispatches of each id.
	runs     map[string]int
	violated string
}

func newWorld(m mistake) *world {
	w := &world{mistake: m, now: time.Unix(1_000_000, 0), runs: map[string]int{}}
	for i := range 3 {
		w.disks = append(w.disks, w.newDisk(i, 0))
	}
	w.advance(5 * claimer.ClaimTime)
	for i := range w.disks {
		w.open(i)
	}
	return w
}

func (w *world) newDisk(i, n int) *disk {
	d := &disk{core: claimer.NewCore(), rows: map[[2]string][]byte{}, named: n, born: w.now}
	d.apply(d.core.Name(fmt.Sprintf("disk-%d-%d", i, n)))
	return d
}

func (w *world) advance(d time.Duration) { w.now = w.now.Add(d) }

func (w *world) allOpen() bool {
	for _, d := range w.disks {
		if !d.core.IsOpen() {
			return false
		}
	}
	return true
}

func (w *world) begin(id string) {
	a := &attempt{
		id: id, count: claimer.NewAttempt(w.now, len(w.disks)), begun: w.now,
		holder: &messenger.Holder{Router: "r", Incarnation: 1, Attempt: uint64(len(w.attempts) + 1)},
	}
	w.attempts = append(w.attempts, a)
	for k := range w.disks {
		w.mail = append(w.mail, mail{keeper: k, attempt: a, claim: &messenger.ClaimRequest{
			Workspace: "w", RequestId: id, Digest: []byte("d"), Holder: a.holder,
		}})
	}
}

func (w *world) deliver(i int, keep bool) {
	m := w.mail[i]
	if !keep {
		w.mail = append(w.mail[:i:i], w.mail[i+1:]...)
	}
	d := w.disks[m.keeper]
	switch {
	case m.claim != nil:
		r := d.claim(w.now, m.claim)
		w.mail = append(w.mail, mail{keeper: m.keeper, attempt: m.attempt, reply: r})
	case m.settle != nil:
		d.settle(w.now, m.settle)
	case !keep:
		w.take(m.attempt, m.keeper, m.reply)
	}
}

// take counts a reply.
func (w *world) take(a *attempt, keeper int, r *messenger.ClaimReply) {
	if a.verdict != claimer.Pending {
		return
	}
	a.verdict = a.count.Step(w.now, keeper, r)
	if w.mistake == oneVoteIsEnough && r.Verdict == messenger.ClaimVerdict_CLAIM_VERDICT_GRANTED {
		a.verdict = claimer.Granted
	}
	if a.verdict != claimer.Pending && a.verdict != claimer.Granted {
		w.end(a, messenger.ClaimState_CLAIM_STATE_RELEASED)
	}
}

func (w *world) end(a *attempt, s messenger.ClaimState) {
	a.ended = true
	for k := range w.disks {
		w.mail = append(w.mail, mail{keeper: k, attempt: a, settle: &messenger.SettleRequest{
			Workspace: "w", RequestId: a.id, Holder: a.holder, State: s,
		}})
	}
}

// act has an attempt go on: dispatch, end, or say that it did not run.
func (w *world) act(a *attempt, choice int) {
	if a.ended || a.verdict != claimer.Granted {
		return
	}
	switch {
	case a.dispatched && w.mistake == releaseAfterDispatch:
		w.end(a, messenger.ClaimState_CLAIM_STATE_RELEASED)
	case a.dispatched:
		w.end(a, messenger.ClaimState_CLAIM_STATE_DONE)
	case choice == 0:
		if w.runs[a.id] > 0 {
			w.violated = a.id + " was called not run, and had run"
		}
		w.end(a, messenger.ClaimState_CLAIM_STATE_RELEASED)
	default:
		a.dispatched = true
		w.runs[a.id]++
		if w.runs[a.id] > 1 {
			w.violated = a.id + " ran twice"
		}
	}
}

// restart loses a keeper's memory, not its disk.
func (w *world) restart(k int) {
	d := w.disks[k]
	d.core = claimer.NewCore()
	for key, value := range d.rows {
		if err := d.core.Restore(key[0], key[1], value); err != nil {
			w.violated = err.Error()
		}
	}
}

// wipe loses a keeper's disk, once the one before has been repaired.
func (w *world) wipe(k int) {
	if w.allOpen() {
		w.disks[k] = w.newDisk(k, w.disks[k].named+1)
	}
}

// open repairs a keeper's new disk as the shell does.
func (w *world) open(k int) {
	d := w.disks[k]
	early := w.now.Sub(d.born) < 2*claimer.ClaimTime
	if d.core.IsOpen() || early && w.mistake != openTooEarly && w.mistake != openWithoutCopy {
		return
	}
	var o claimer.Open
	old := 0
	for i, x := range w.disks {
		switch {
		case i == k:
		case x.core.IsOpen() && x.core.Founded(d.core.Store()):
			old = len(w.disks)
		case x.core.IsOpen():
			old++
			o.Rows = append(o.Rows, x.claimRows()...)
		default:
			o.Founders = append(o.Founders, x.core.Store())
		}
	}
	if w.mistake == openWithoutCopy {
		o.Rows = nil
	}
	if len(o.Founders) == len(w.disks)-1 || old >= claimer.OpenAfter(len(w.disks)) {
		d.apply(d.core.Step(w.now, o))
	}
}

// step does one thing that a draw of numbers chooses.
func (w *world) step(draw func(n int) int) {
	switch draw(20) {
	case 0:
		w.begin(fmt.Sprintf("id-%d", len(w.attempts)/4))
	case 1:
		w.restart(draw(len(w.disks)))
	case 2, 3:
		if draw(2) == 0 {
			w.wipe(draw(len(w.disks)))
		}
	case 4, 9:
		w.open(draw(len(w.disks)))
	case 5:
		w.advance(time.Duration(draw(1000)) * time.Millisecond)
	case 6, 7, 8:
		if len(w.attempts) > 0 {
			w.act(w.attempts[len(w.attempts)-1-draw(min(len(w.attempts), 4))], draw(3))
		}
	default:
		if len(w.mail) > 0 {
			w.deliver(draw(len(w.mail)), draw(8) == 0)
		}
	}
	if len(w.mail) > 30 {
		w.mail = w.mail[5:]
	}
}

// TestAtMostOneRun
// Symptom: a request that may not be repeated runs twice, or is called "not
// run" though it ran.
// Sequence: attempts, late, lost and doubled messages, keepers that restart
// and that lose their disks one after the other, in any order.
// Cause it guards against: grants that don't meet in a common keeper.
func TestAtMostOneRun(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(none)
		for range 200 {
			w.step(func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "draw") })
			if w.violated != "" {
				t.Fatal(w.violated)
			}
		}
	})
}

// tries is how many worlds of 300 steps a mistake must be found in, and the
// protocol without one must pass.
const tries = 3000

// violation plays one world and returns what the oracle found.
func violation(m mistake, seed int) string {
	r := rand.New(rand.NewPCG(uint64(seed), 7))
	w := newWorld(m)
	for range 300 {
		w.step(r.IntN)
	}
	return w.violated
}

// TestOracleBites shows that the test above finds what it is meant to find.
func TestOracleBites(t *testing.T) {
	worlds := tries
	if n, err := strconv.Atoi(os.Getenv("FUZZ_CHECKS")); err == nil {
		worlds = n
	}
	for seed := range worlds {
		gomega.NewWithT(t).Expect(violation(none, seed)).To(gomega.BeEmpty(), "seed %d", seed)
	}
	for _, m := range []mistake{oneVoteIsEnough, openWithoutCopy, openTooEarly, releaseAfterDispatch} {
		found := -1
		for seed := 0; seed < tries && found < 0; seed++ {
			if violation(m, seed) != "" {
				found = seed
			}
		}
		gomega.NewWithT(t).Expect(found).To(gomega.BeNumerically(">=", 0), "mistake %d", m)
		t.Logf("mistake %d found at try %d", m, found)
	}
}

// TestClaimsSurviveRestart
// Symptom: after a restart an old claim is forgotten before its horizon.
// Sequence: rows written at different times come back in the order of keys.
// Cause it guards against: expiry that reads the order of the disk.
func TestClaimsSurviveRestart(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newWorld(none)
	for i, id := range []string{"c", "a", "b"} {
		w.begin(id)
		w.deliver(len(w.mail)-3, false)
		w.advance(time.Hour)
		g.Expect(w.disks[0].core.Len()).To(gomega.Equal(i + 1))
	}
	w.restart(0)
	w.advance(claimer.Horizon - 150*time.Minute)
	d := w.disks[0]
	d.apply(d.core.Step(w.now, claimer.Tick{}))
	g.Expect(d.core.Len()).To(gomega.Equal(2))
	w.restart(0)
	g.Expect(w.disks[0].core.Len()).To(gomega.Equal(2))
}

// TestNewDiskTakesOthersWord
// Symptom: a request that is done is granted again and called "not run".
// Sequence: two of three keepers have it done; one of them loses its disk; a
// later attempt fails and its release reaches the new disk; the disk copies
// the others and grants a further attempt. World 13461 of the fuzzer.
// Cause: the copy passed over ids of which the new disk had a row, and the row
// was no more than that release.
func TestNewDiskTakesOthersWord(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newWorld(none)
	row := &messenger.ClaimRow{Workspace: "w", RequestId: "id", Digest: []byte("d"), Holder: &messenger.Holder{Router: "r", Attempt: 2}, State: messenger.ClaimState_CLAIM_STATE_DONE}
	d := w.newDisk(1, 1)
	d.settle(w.now, &messenger.SettleRequest{
		Workspace: "w", RequestId: "id", Holder: &messenger.Holder{Router: "r", Attempt: 3}, State: messenger.ClaimState_CLAIM_STATE_RELEASED,
	})
	d.apply(d.core.Step(w.now, claimer.Open{Rows: []*messenger.ClaimRow{row}}))
	r := d.claim(w.now, &messenger.ClaimRequest{
		Workspace: "w", RequestId: "id", Digest: []byte("d"), Holder: &messenger.Holder{Router: "r", Attempt: 4},
	})
	g.Expect(r.Verdict).To(gomega.Equal(messenger.ClaimVerdict_CLAIM_VERDICT_HELD))
	g.Expect(r.Row.State).To(gomega.Equal(messenger.ClaimState_CLAIM_STATE_DONE))
}
