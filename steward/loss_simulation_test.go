package steward

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"

	"rattanhoist.example/rattanhoist/committer"
	"rattanhoist.example/rattanhoist/governor"
	"rattanhoist.example/rattanhoist/messenger"
	"rattanhoist.example/rattanhoist/replicator"
	"rattanhoist.example/rattanhoist/storer"
)

const (
	// lossStep is the resolution of the simulation, and lossTick the interval of ticks, as in committer.
	lossStep = 5 * time.Millisecond
	lossTick = 25 * time.Millisecond
	// lossMaxDelay is the longest delay of a message.
	lossMaxDelay = 12 * time.Millisecond
	// lossCatchUp is how long a keeper whose disk was lost may take to vote again.
	lossCatchUp = 4 * time.Second
	// lossRecovery is how long a leader may take to be found once all keepers run.
	lossRecovery = 8 * time.Second
	lossKeepers  = 5
	maxLostDisks = 2
	// sectorBytes is the size of the unit that a disk writes atomically.
	sectorBytes = 512
	// metaPages is the number of pages at the start of the store's file that are written after the
	// others were synced.
	metaPages = 2
	// defaultLossSeeds is the number of seeds without LOSS_SEEDS.
	defaultLossSeeds = 5
)

// errPowerLost ends a step whose rows were not yet synced.
var errPowerLost = errors.New("power lost")

// numberedMachine is the state of a keeper, with the numbers of the changes that led to it.
type numberedMachine struct {
	ids   []uint64
	state *governor.StateMachine
}

// Apply returns the position of the change.
func (m *numberedMachine) Apply(index uint64, data []byte) any {
	m.ids = append(m.ids, binary.BigEndian.Uint64(data))
	m.state.Apply(index, data[8:])
	return len(m.ids)
}

func (m *numberedMachine) Snapshot() []byte {
	out := binary.BigEndian.AppendUint64(nil, uint64(len(m.ids)))
	for _, id := range m.ids {
		out = binary.BigEndian.AppendUint64(out, id)
	}
	return append(out, m.state.Snapshot()...)
}

func (m *numberedMachine) Restore(index uint64, b []byte) error {
	m.ids = nil
	n := binary.BigEndian.Uint64(b)
	for b = b[8:]; n > 0; n-- {
		m.ids = append(m.ids, binary.BigEndian.Uint64(b))
		b = b[8:]
	}
	return m.state.Restore(index, b)
}

// lossChange returns a change of the fleet's state: a document with a higher total, a claim of rights, the
// leave of an endpoint, or the evacuation or return of a zone.
func lossChange(id uint64, size int) *messenger.FleetChange {
	switch id % 4 {
	case 0:
		return &messenger.FleetChange{Body: &messenger.FleetChange_Document{Document: &messenger.DocumentChange{
			Number: id, Content: bytes.Repeat([]byte{byte(id)}, size), Totals: []*messenger.PrepaidTotal{{Workspace: "w", Tokens: int64(id) * 100}},
		}}}
	case 1:
		return &messenger.FleetChange{Body: &messenger.FleetChange_Rights{Rights: &messenger.RightsChange{
			Router: "r", Incarnation: 1, Sequence: id, Claims: []*messenger.RightsClaim{{Workspace: "w", Urgent: 10}},
		}}}
	case 2:
		return &messenger.FleetChange{Body: &messenger.FleetChange_Leave{Leave: &messenger.LeaveChange{Endpoint: fmt.Sprint("i-", id), BornMs: int64(id)}}}
	default:
		return &messenger.FleetChange{Body: &messenger.FleetChange_Evacuation{Evacuation: &messenger.EvacuationChange{
			Zone: fmt.Sprint("zone-", id%5), Withdrawn: id%3 == 0,
		}}}
	}
}

// summary returns what a state tells.
func summary(t *testing.T, g *governor.StateMachine) string {
	t.Helper()
	left, complete := g.Leaves().Since(0)
	if !complete {
		t.Fatal("leaves were dropped")
	}
	var ids []string
	for _, l := range left {
		ids = append(ids, l.Incarnation.String())
	}
	return fmt.Sprint(g.Document().Number(), len(g.Document().Content()), g.Ledger().TotalPrepaid(), g.Ledger().Unallocated("w"), g.Evacuations().Zones(), ids)
}

// lossKeeper is one keeper with a store in a file.
type lossKeeper struct {
	name, dir string
	core      *replicator.Core
	machine   *numberedMachine
	store     *storer.Store
	close     func() error
	pending   committer.PendingCalls[committer.Outcome]
	running   bool
	startAt   time.Time
	cutUntil  time.Time
	// stalledUntil ends a sync that hangs; held are the actions that wait for it.
	stalledUntil time.Time
	held         []replicator.Action
	// unsynced is the synced content of the file if the process was killed during a later write. A store
	// syncs its file when it is opened.
	unsynced []byte
	tickAt   time.Time
	// lost is set from the loss of the disk until the keeper has run for lossCatchUp.
	lost    bool
	regains time.Duration
	// impairedAt is when the keeper last could not take part.
	impairedAt time.Time
	// shown is the number of changes that the disk has shown as committed.
	shown int
}

type lossMessage struct {
	at time.Time
	m  *messenger.LogMessage
}

type lossAnswer struct {
	id    uint64
	floor uint64
	done  chan committer.Outcome
}

// lossSimulation runs keepers with real files in virtual time. What was acknowledged is its model.
type lossSimulation struct {
	t       *testing.T
	seed    uint64
	rand    *rand.Rand
	keepers []*lossKeeper
	names   int
	network []lossMessage
	answers []lossAnswer
	ids     uint64
	changes map[uint64][]byte
	// acknowledged maps changes to their positions.
	acknowledged map[uint64]int
	// floor is the highest index that an acknowledged change may have.
	floor      uint64
	leaders    map[uint64]replicator.Member
	deployment string
	// longest is the longest history that was shown by any keeper.
	longest []uint64
	events  []string
	began   time.Time
	compact int
	// Counts of what happened, so that a simulation in which nothing happens fails.
	wipes, replacements, powerLosses, stalls, reads, torn int
}

func newLossSimulation(t *testing.T, seed uint64) *lossSimulation {
	s := &lossSimulation{
		t: t, seed: seed, rand: rand.New(rand.NewPCG(seed, 11)), acknowledged: map[uint64]int{}, changes: map[uint64][]byte{},
		leaders: map[uint64]replicator.Member{}, began: time.Now(),
	}
	s.compact = []int{8, 32, 256}[s.rand.IntN(3)]
	for range lossKeepers {
		s.keepers = append(s.keepers, s.newKeeper())
	}
	for _, k := range s.keepers {
		s.start(k, true)
	}
	return s
}

func (s *lossSimulation) newKeeper() *lossKeeper {
	s.names++
	return &lossKeeper{name: keeperName(s.names), dir: filepath.Join(s.t.TempDir(), "data")}
}

func (s *lossSimulation) note(format string, a ...any) {
	s.events = append(s.events, fmt.Sprintf("%v %s", time.Since(s.began), fmt.Sprintf(format, a...)))
}

func (s *lossSimulation) fail(format string, a ...any) {
	s.t.Helper()
	for _, e := range s.events {
		s.t.Log(e)
	}
	for _, k := range s.keepers {
		if k.running {
			s.t.Logf("%s: role %d term %d commit %d voters %v shown %d", k.name, k.core.Role(), k.core.Term(), k.core.Commit(), k.core.Voters(), k.shown)
		}
	}
	s.t.Fatalf("seed %d at %v: %s", s.seed, time.Since(s.began), fmt.Sprintf(format, a...))
}

func (s *lossSimulation) duration(from, to time.Duration) time.Duration {
	return from + time.Duration(s.rand.Int64N(int64(to-from)))
}

// start starts the process of a keeper with what is on its disk.
func (s *lossSimulation) start(k *lossKeeper, first bool) {
	store, closeStore, err := storer.Open(k.dir)
	if err != nil {
		s.fail("%s does not start: %v", k.name, err)
	}
	k.store, k.close, k.machine = store, closeStore, &numberedMachine{state: governor.New()}
	k.pending = committer.NewPendingCalls(func(o committer.Outcome) committer.Outcome { return o })
	k.core = replicator.NewCore(replicator.Options{
		Name: k.name, Peers: s.peersOf(k), Voters: 2*maxLostDisks + 1,
		Timing:  replicator.Timing{HeartbeatInterval: logHeartbeatInterval, ElectionTimeout: electionTimeout, Replace: lossCatchUp / replaceDivisor},
		Rand:    rand.New(rand.NewPCG(s.rand.Uint64(), 3)),
		Machine: k.machine, CompactAfter: s.compact, NoFounding: !first, FoundingDelay: foundingDelay,
	})
	actions, err := committer.RestoreCore(k.core, k.store)
	if err != nil {
		s.fail("%s does not start: %v", k.name, err)
	}
	k.running, k.held, k.unsynced, k.tickAt = true, nil, nil, time.Now().Add(s.duration(0, lossTick))
	if len(k.machine.ids) < k.shown {
		s.fail("%s showed %d changes before its restart, %d after it", k.name, k.shown, len(k.machine.ids))
	}
	s.execute(k, actions)
}

// execute carries out the actions of a step.
func (s *lossSimulation) execute(k *lossKeeper, actions []replicator.Action) {
	if err := k.pending.Execute(actions, s.handlers(k, k.store.Apply)); err != nil {
		s.fail("%s ends: %v", k.name, err)
	}
}

func (s *lossSimulation) handlers(k *lossKeeper, persist func([]storer.Row) error) committer.ActionHandlers {
	return committer.ActionHandlers{
		Persist:      persist,
		PublishState: func() { s.publish(k) },
		Send:         s.send,
	}
}

// publish checks what a keeper shows after its rows were synced.
func (s *lossSimulation) publish(k *lossKeeper) {
	k.shown = max(k.shown, len(k.machine.ids))
	n := min(len(s.longest), len(k.machine.ids))
	if !slices.Equal(s.longest[:n], k.machine.ids[:n]) {
		s.fail("%s shows other changes than were shown before", k.name)
	}
	s.longest = append(s.longest, k.machine.ids[n:]...)
	if d := k.core.Deployment(); d != "" {
		if s.deployment != "" && d != s.deployment {
			s.fail("%s founded a second deployment", k.name)
		}
		s.deployment = d
	}
	if k.core.Role() != replicator.Leader {
		return
	}
	if l, ok := s.leaders[k.core.Term()]; ok && l != k.core.Self() {
		s.fail("term %d has two leaders", k.core.Term())
	}
	s.leaders[k.core.Term()] = k.core.Self()
}

func (s *lossSimulation) send(m *messenger.LogMessage) {
	if s.rand.IntN(100) > 0 {
		s.network = append(s.network, lossMessage{at: time.Now().Add(s.duration(lossMaxDelay/10, lossMaxDelay)), m: m})
	}
}

func (s *lossSimulation) find(name string) *lossKeeper {
	for _, k := range s.keepers {
		if k.name == name {
			return k
		}
	}
	return nil
}

func (s *lossSimulation) isCut(name string) bool {
	k := s.find(name)
	return k == nil || time.Now().Before(k.cutUntil)
}

// takeDue returns the messages that have reached a keeper, or will within a time.
func (s *lossSimulation) takeDue(k *lossKeeper, within time.Duration) []replicator.Event {
	var out []replicator.Event
	s.network = slices.DeleteFunc(s.network, func(x lossMessage) bool {
		if x.m.To.GetName() != k.name || x.at.After(time.Now().Add(within)) {
			return false
		}
		if !s.isCut(k.name) && !s.isCut(x.m.From.GetName()) {
			out = append(out, replicator.Receive{Message: x.m})
		}
		return true
	})
	return out
}

// advance runs one step of the simulation.
func (s *lossSimulation) advance() {
	time.Sleep(lossStep)
	for _, k := range slices.Clone(s.keepers) {
		s.advanceKeeper(k)
	}
	s.collectAnswers()
	s.countRegains()
}

func (s *lossSimulation) advanceKeeper(k *lossKeeper) {
	now := time.Now()
	if !k.running {
		if now.Before(k.startAt) {
			return
		}
		s.start(k, false)
	}
	if now.Before(k.stalledUntil) {
		return
	}
	if k.held != nil {
		held := k.held
		k.held = nil
		s.execute(k, held)
	}
	events := s.takeDue(k, 0)
	if !now.Before(k.tickAt) {
		k.tickAt = now.Add(lossTick)
		events = append(events, replicator.Tick{})
	}
	if k.core.Ready() {
		events = append(events, s.calls(k)...)
	}
	if len(events) > 0 {
		s.execute(k, k.core.Step(now, events...))
	}
}

// calls returns the changes and reads that reach a leader in a step.
func (s *lossSimulation) calls(k *lossKeeper) []replicator.Event {
	var out []replicator.Event
	for s.rand.IntN(25) == 0 {
		s.ids++
		change, err := proto.Marshal(lossChange(s.ids, s.rand.IntN(20_000)))
		if err != nil {
			s.fail("%v", err)
		}
		data := append(binary.BigEndian.AppendUint64(nil, s.ids), change...)
		s.changes[s.ids] = change
		done := make(chan committer.Outcome, 1)
		s.answers = append(s.answers, lossAnswer{id: s.ids, done: done})
		out = append(out, replicator.Propose{Ticket: k.pending.Add(done), Data: data})
	}
	if s.rand.IntN(25) == 0 {
		done := make(chan committer.Outcome, 1)
		s.answers = append(s.answers, lossAnswer{floor: s.floor, done: done})
		out = append(out, replicator.Read{Ticket: k.pending.Add(done)})
	}
	return out
}

// collectAnswers records what was acknowledged and checks what was read.
func (s *lossSimulation) collectAnswers() {
	s.answers = slices.DeleteFunc(s.answers, func(a lossAnswer) bool {
		select {
		case o := <-a.done:
			switch position, ok := o.Result.(int); {
			case o.Err != nil:
			case ok:
				s.acknowledged[a.id] = position
				s.floor = max(s.floor, s.highestCommit())
			case o.Index < a.floor:
				s.fail("a read is confirmed at %d, %d was acknowledged before it", o.Index, a.floor)
			default:
				s.reads++
			}
			return true
		default:
			return false
		}
	})
}

func (s *lossSimulation) highestCommit() uint64 {
	var out uint64
	for _, k := range s.keepers {
		if k.running && k.core.Ready() {
			out = max(out, k.core.Commit())
		}
	}
	return out
}

// isImpaired reports whether a keeper can't take part.
func (k *lossKeeper) isImpaired() bool {
	now := time.Now()
	return !k.running || now.Before(k.stalledUntil) || now.Before(k.cutUntil)
}

// countRegains ends the time in which a lost disk counts as lost. It passes while no more keepers are
// lost than may be; a keeper that was impaired counts as lost for some time more.
func (s *lossSimulation) countRegains() {
	now, lost := time.Now(), 0
	for _, k := range s.keepers {
		if k.isImpaired() {
			k.impairedAt = now
		}
		if k.lost || now.Sub(k.impairedAt) < lossCatchUp {
			lost++
		}
	}
	for _, k := range s.keepers {
		if !k.lost || k.isImpaired() || lost > maxLostDisks {
			continue
		}
		k.regains += lossStep
		if k.regains >= lossCatchUp {
			k.lost = false
		}
		if !k.lost && lost == 1 && !k.core.IsVoter() {
			s.fail("%s is no voter %v after it was back with an empty disk", k.name, lossCatchUp)
		}
	}
}

func (s *lossSimulation) run(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		s.advance()
	}
}

// runUntilCalls runs until a change is under way or just acknowledged, and a little longer.
func (s *lossSimulation) runUntilCalls() {
	from, acked := s.ids, len(s.acknowledged)
	afterAck := s.rand.IntN(2) == 0
	for range 1000 {
		if !afterAck && s.ids > from || len(s.acknowledged) > acked {
			break
		}
		s.advance()
	}
	if s.rand.IntN(2) == 0 {
		s.run(s.duration(0, 400*time.Millisecond))
	}
}

// kill ends a process. What it had written stays in its file, synced or not.
func (s *lossSimulation) kill(k *lossKeeper, d time.Duration) {
	if k.running && s.rand.IntN(2) == 0 {
		k.unsynced = s.image(k)
		s.writeUnderWay(k)
	}
	s.stop(k, d)
}

func (s *lossSimulation) stop(k *lossKeeper, d time.Duration) {
	if k.running {
		if err := k.close(); err != nil {
			s.fail("%s: %v", k.name, err)
		}
	}
	k.running, k.held, k.stalledUntil, k.startAt = false, nil, time.Time{}, time.Now().Add(d)
}

// close ends all processes.
func (s *lossSimulation) close() {
	for _, k := range s.keepers {
		s.stop(k, time.Hour)
	}
}

// writeUnderWay writes the rows of a step and ends before the sync returns.
func (s *lossSimulation) writeUnderWay(k *lossKeeper) {
	if k.held == nil {
		k.held = k.core.Step(time.Now(), append(s.takeDue(k, lossMaxDelay), replicator.Tick{})...)
	}
	err := k.pending.Execute(k.held, s.handlers(k, func(rows []storer.Row) error {
		if err := k.store.Apply(rows); err != nil {
			return err
		}
		return errPowerLost
	}))
	if !errors.Is(err, errPowerLost) {
		s.fail("%s: %v", k.name, err)
	}
}

// losePower ends a process while it writes. Of what was not synced, the disk keeps any part.
func (s *lossSimulation) losePower(k *lossKeeper, d time.Duration) {
	synced := k.unsynced
	if k.running {
		synced = s.image(k)
		s.writeUnderWay(k)
		s.stop(k, d)
	}
	k.unsynced, k.startAt = nil, time.Now().Add(d)
	s.powerLosses++
	if synced == nil {
		return
	}
	written := s.image(k)
	if !bytes.Equal(synced, written) {
		s.torn++
	}
	if err := os.WriteFile(s.file(k), s.remains(synced, written), 0o600); err != nil {
		s.fail("%v", err)
	}
}

func (s *lossSimulation) file(k *lossKeeper) string {
	list, err := filepath.Glob(filepath.Join(k.dir, "*.db"))
	if err != nil || len(list) != 1 {
		s.fail("%s has the files %v: %v", k.name, list, err)
	}
	return list[0]
}

func (s *lossSimulation) image(k *lossKeeper) []byte {
	b, err := os.ReadFile(s.file(k))
	if err != nil {
		s.fail("%v", err)
	}
	return b
}

// remains returns a possible content of a file after a loss of power. Of the sectors that were not
// synced each is kept or not; the meta pages are written after the others were synced.
func (s *lossSimulation) remains(synced, written []byte) []byte {
	switch s.rand.IntN(4) {
	case 0:
		return synced
	case 1:
		return written
	}
	metasWritten := s.rand.IntN(2) == 0
	out := bytes.Clone(synced)
	if len(written) > len(out) && (metasWritten || s.rand.IntN(2) == 0) {
		out = append(out, make([]byte, len(written)-len(out))...)
	}
	for at := 0; at+sectorBytes <= len(out); at += sectorBytes {
		isMeta := at < metaPages*os.Getpagesize()
		if isMeta && metasWritten && s.rand.IntN(2) == 0 || !isMeta && (metasWritten || s.rand.IntN(2) == 0) {
			copy(out[at:at+sectorBytes], written[at:])
		}
	}
	return out
}

// wipe ends a process together with its disk.
func (s *lossSimulation) wipe(k *lossKeeper, d time.Duration) {
	s.stop(k, d)
	if err := os.RemoveAll(k.dir); err != nil {
		s.fail("%v", err)
	}
	k.lost, k.regains, k.shown, k.unsynced = true, 0, 0, nil
	s.wipes++
}

// replace removes a machine for good and adds another one under another name.
func (s *lossSimulation) replace(k *lossKeeper, d time.Duration) {
	s.stop(k, time.Hour)
	n := s.newKeeper()
	n.startAt, n.lost = time.Now().Add(d), true
	s.keepers[slices.Index(s.keepers, k)] = n
	for _, o := range s.keepers {
		if o.running {
			o.core.SetPeers(s.peersOf(o))
		}
	}
	s.replacements++
}

// peersOf returns the names that a keeper has heard of, those of removed machines among them.
func (s *lossSimulation) peersOf(k *lossKeeper) []string {
	var out []string
	for i := range s.names {
		if name := keeperName(i + 1); name != k.name {
			out = append(out, name)
		}
	}
	return out
}

func keeperName(n int) string { return fmt.Sprintf("keeper-%02d", n) }

// stall makes the sync of a keeper hang, or fail until it is tried again.
func (s *lossSimulation) stall(k *lossKeeper, d time.Duration, fails bool) {
	if !k.running || k.held != nil {
		return
	}
	k.held = k.core.Step(time.Now(), append(s.takeDue(k, lossMaxDelay), replicator.Tick{})...)
	k.stalledUntil = time.Now().Add(d)
	if fails {
		s.failSync(k)
	}
	s.stalls++
}

// failSync tries to write the held rows while the disk refuses syncs.
func (s *lossSimulation) failSync(k *lossKeeper) {
	withFailingSync(s.t, s.file(k), func() {
		err := k.pending.Execute(k.held, s.handlers(k, func(rows []storer.Row) error {
			if len(rows) == 0 {
				return errPowerLost
			}
			return k.store.Apply(rows)
		}))
		if err == nil {
			s.fail("%s went on after a failed sync", k.name)
		}
	})
}

// withFailingSync calls f while the descriptor of an open file refers to the null device, which takes
// writes and fails to sync.
func withFailingSync(t *testing.T, path string, f func()) {
	t.Helper()
	fd := descriptorOf(t, path)
	kept, err := syscall.Dup(fd)
	if err != nil {
		t.Fatal(err)
	}
	null, err := os.OpenFile(os.DevNull, os.O_RDWR, 0)
	if err != nil {
		t.Fatal(err)
	}
	if err := syscall.Dup3(int(null.Fd()), fd, syscall.O_CLOEXEC); err != nil {
		t.Fatal(err)
	}
	f()
	err = errors.Join(syscall.Dup3(kept, fd, syscall.O_CLOEXEC), syscall.Close(kept), null.Close())
	if err != nil {
		t.Fatal(err)
	}
}

func descriptorOf(t *testing.T, path string) int {
	t.Helper()
	list, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		t.Fatal(err)
	}
	for _, e := range list {
		if to, err := os.Readlink("/proc/self/fd/" + e.Name()); err == nil && to == path {
			fd, err := strconv.Atoi(e.Name())
			if err != nil {
				t.Fatal(err)
			}
			return fd
		}
	}
	t.Fatalf("no descriptor of %s", path)
	return 0
}

func (s *lossSimulation) lostDisks() int {
	n := 0
	for _, k := range s.keepers {
		if k.lost {
			n++
		}
	}
	return n
}

// pick returns a keeper, the leader more often than others.
func (s *lossSimulation) pick() *lossKeeper {
	if s.rand.IntN(2) == 0 {
		for _, k := range s.keepers {
			if k.running && k.core.Ready() {
				return k
			}
		}
	}
	return s.keepers[s.rand.IntN(len(s.keepers))]
}

// disturb draws one fault.
func (s *lossSimulation) disturb() {
	k, d := s.pick(), s.duration(100*time.Millisecond, 3*time.Second)
	mayLose := s.lostDisks() < maxLostDisks || k.lost
	switch s.rand.IntN(9) {
	case 0:
		s.note("kill %s", k.name)
		s.kill(k, d)
	case 1:
		s.note("power of %s", k.name)
		s.losePower(k, d)
	case 2:
		s.note("power of all")
		for _, k := range s.keepers {
			s.losePower(k, s.duration(0, time.Second))
		}
	case 3, 4:
		if mayLose {
			s.note("wipe %s", k.name)
			s.wipe(k, d)
		}
	case 5:
		if mayLose {
			s.replace(k, d)
			s.note("replace %s by %s", k.name, keeperName(s.names))
		}
	case 6:
		s.note("sync of %s hangs for %v", k.name, d)
		s.stall(k, d, false)
	case 7:
		s.note("sync of %s fails for %v", k.name, d)
		s.stall(k, d, true)
	case 8:
		s.note("cut %s for %v", k.name, d)
		k.cutUntil = time.Now().Add(d)
	}
}

// cutFollowers leaves a leader a bare majority for a moment.
func (s *lossSimulation) cutFollowers() {
	s.run(time.Second)
	s.rand.Shuffle(len(s.keepers), func(i, j int) { s.keepers[i], s.keepers[j] = s.keepers[j], s.keepers[i] })
	cut := 0
	for _, k := range s.keepers {
		if k.running && !k.core.Ready() && cut < maxLostDisks {
			k.cutUntil = time.Now().Add(s.duration(electionTimeout/4, electionTimeout))
			cut++
		}
	}
}

// lastFault draws the fault after which everything must be read back.
func (s *lossSimulation) lastFault() {
	if s.rand.IntN(2) == 0 {
		s.cutFollowers()
	}
	s.runUntilCalls()
	wiped := map[*lossKeeper]bool{}
	for range s.rand.IntN(maxLostDisks + 1) {
		if k := s.pick(); !wiped[k] && (s.lostDisks() < maxLostDisks || k.lost) {
			s.note("last fault: wipe %s", k.name)
			s.wipe(k, s.duration(0, time.Second))
			wiped[k] = true
		}
	}
	others := s.rand.IntN(3)
	s.note("last fault: others %s", []string{"lose power", "are killed", "go on"}[others])
	for _, k := range s.keepers {
		switch d := s.duration(0, time.Second); {
		case wiped[k] || others == 2:
		case others == 0:
			s.losePower(k, d)
		default:
			s.kill(k, d)
		}
		k.cutUntil = time.Time{}
	}
}

// checkRecovery checks that a leader is found and holds everything that was acknowledged.
func (s *lossSimulation) checkRecovery() {
	for back := false; !back; {
		s.advance()
		back = !slices.ContainsFunc(s.keepers, (*lossKeeper).isImpaired)
	}
	before := len(s.acknowledged)
	for end := time.Now().Add(lossRecovery); len(s.acknowledged) == before; {
		if time.Now().After(end) {
			s.fail("no change is acknowledged %v after all keepers were back", lossRecovery)
		}
		s.advance()
	}
	for id, position := range s.acknowledged {
		if position > len(s.longest) || s.longest[position-1] != id {
			s.fail("change %d was acknowledged at %d and is not there", id, position)
		}
	}
	for _, k := range s.keepers {
		if k.running && k.core.Ready() && len(k.machine.ids) < len(s.longest) {
			s.fail("%s leads with %d changes of %d", k.name, len(k.machine.ids), len(s.longest))
		}
		s.checkState(k)
	}
	s.run(lossCatchUp + lossCatchUp/replaceDivisor)
	for _, k := range s.keepers {
		if !k.core.IsVoter() {
			s.fail("%s is no voter at the end", k.name)
		}
	}
}

// checkState checks that a keeper's state is what its changes lead to.
func (s *lossSimulation) checkState(k *lossKeeper) {
	want := governor.New()
	for i, id := range k.machine.ids {
		want.Apply(uint64(i+1), s.changes[id])
	}
	if got, want := summary(s.t, k.machine.state), summary(s.t, want); got != want {
		s.fail("%s tells %s, acknowledged was %s", k.name, got, want)
	}
}

func lossSeeds(t *testing.T) (first, n uint64) {
	n = defaultLossSeeds
	for name, v := range map[string]*uint64{"LOSS_FIRST_SEED": &first, "LOSS_SEEDS": &n} {
		if text := os.Getenv(name); text != "" {
			x, err := strconv.ParseUint(text, 10, 64)
			if err != nil {
				t.Fatal(err)
			}
			*v = x
		}
	}
	return first, n
}

// Guards against an acknowledged change that is lost, and against a log without a leader, after series
// of lost disks, replaced machines, losses of power and failing syncs of which no more than two disks
// are lost at a time.
func TestAcknowledgedChangesSurviveLosses(t *testing.T) {
	first, n := lossSeeds(t)
	for seed := first; seed < first+n; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newLossSimulation(t, seed)
				s.run(2 * time.Second)
				for range 2 + s.rand.IntN(12) {
					switch s.rand.IntN(3) {
					case 0:
						s.run(s.duration(0, 6*time.Second))
					case 1:
						// An election may be under way.
						s.run(s.duration(0, 2*electionTimeout))
					}
					if s.rand.IntN(2) == 0 {
						s.runUntilCalls()
					}
					s.disturb()
				}
				s.lastFault()
				s.checkRecovery()
				t.Logf("%d changes acknowledged, %d reads, %d wiped, %d replaced, %d losses of power with %d writes under way, %d stalls",
					len(s.acknowledged), s.reads, s.wipes, s.replacements, s.powerLosses, s.torn, s.stalls)
				s.close()
			})
		})
	}
}

// Guards against a log without a leader after two disks are lost with the power of all: a machine had been
// replaced before, and its seat still counted against every majority.
func TestTwoDisksMayBeLostAfterAMachineWasReplaced(t *testing.T) {
	for seed := range uint64(3) {
		synctest.Test(t, func(t *testing.T) {
			s := newLossSimulation(t, seed)
			s.run(2 * time.Second)
			leader := slices.IndexFunc(s.keepers, func(k *lossKeeper) bool { return k.core.Ready() })
			s.replace(s.keepers[leader], time.Duration(seed)*500*time.Millisecond)
			s.run(time.Duration(seed)*500*time.Millisecond + lossCatchUp)
			for i, k := range s.keepers {
				if (i+lossKeepers-leader)%lossKeepers <= maxLostDisks && i != leader {
					s.wipe(k, 500*time.Millisecond)
				} else {
					s.losePower(k, 500*time.Millisecond)
				}
			}
			s.checkRecovery()
			s.close()
		})
	}
}
