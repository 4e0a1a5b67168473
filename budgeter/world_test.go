package budgeter_test

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"rattanhoist.example/rattanhoist"
	"rattanhoist.example/rattanhoist/budgeter"
	"rattanhoist.example/rattanhoist/messenger"
)

type rowName struct{ bucket, key string }

// disk holds the synced data of a keeper. The rows of a step are written
// completely or not at all.
type disk struct {
	rows   map[rowName][]byte
	state  *messenger.CopyState
	paired bool
	// begun is set by the first commit. A restore that a crash interrupted
	// before its first commit is repeated from the start.
	begun  bool
	copies map[string]*mirrorCopy
}

// mirrorCopy is the copy of another keeper's rows.
type mirrorCopy struct {
	state *messenger.CopyState
	rows  map[rowName][]byte
}

func newDisk() *disk { return &disk{rows: map[rowName][]byte{}, copies: map[string]*mirrorCopy{}} }

func (d *disk) Get(bucket, key string) ([]byte, error) { return d.rows[rowName{bucket, key}], nil }

// apply applies the rows of a commit and keeps pruned bills for the checks.
func apply(to map[rowName][]byte, rows []*messenger.CopyRow) {
	for _, r := range rows {
		if r.Value == nil {
			if r.Bucket == budgeter.BucketCharges {
				keepPrunedBill(to, r.Key)
			}
			delete(to, rowName{r.Bucket, r.Key})
			continue
		}
		to[rowName{r.Bucket, r.Key}] = r.Value
	}
}

// keeper simulates the process that runs a vault, without sockets, timers or a
// real disk.
type keeper struct {
	zone   string
	mirror string
	disk   *disk
	// vault and copier are nil while the process is stopped.
	vault  *budgeter.Vault
	copier *budgeter.Copier
	// mayLackAnswers is set once answers may have been lost with a disk and a
	// router.
	mayLackAnswers bool
	// heard holds the latest reports of the zone's routers.
	heard map[string]budgeter.RouterReport
}

// crashPoint is the point of the next commit at which the keeper crashes.
type crashPoint int

const (
	crashNever crashPoint = iota
	crashBeforeSync
	crashSyncedUncopied
	crashCopied
	crashPoints
)

// routerLease holds a router's rights of one workspace and its open request for
// them.
type routerLease struct {
	slice             budgeter.LeasedBudget
	sequence          uint64
	granted, returned int64
	asking            *messenger.LeaseRequest
	returning         *messenger.ReturnRequest
}

// run is a request in progress at a router.
type run struct {
	charge   *messenger.Charge
	reserved rattanhoist.Tokens
	finished bool
	begun    int64
}

// routerNode simulates a router.
type routerNode struct {
	name, zone  string
	incarnation uint64
	up, frozen  bool
	registered  bool
	// skew is how far the router's clock is ahead. The router makes no charge
	// before the time earliest; pinned is the time of the oldest charge that was
	// refused.
	skew, earliest, pinned int64
	sharesVM               bool
	leases                 map[string]*routerLease
	runs                   map[string]*run
	// unmirrored holds completed charges that are not on two disks yet.
	unmirrored                map[string]*messenger.Charge
	markIncarnation, markFrom uint64
	reportedToIncarnation     uint64
}

// message is a message in flight between two zones.
type message struct {
	from, to string // zones
	deliver  func()
}

// world simulates a deployment and records what was paid and completed, for
// comparison with the vaults.
type world struct {
	zones    []string
	keepers  map[string]*keeper
	routers  []*routerNode
	inFlight []message
	// late holds duplicates of charges that are delivered after a long delay.
	late   []message
	cut    map[[2]string]bool
	crash  crashPoint
	serial uint64
	// clock is the current time in milliseconds.
	clock int64
	// paid maps top-up IDs to the operator's payments.
	paid map[string]*messenger.TopUpRequest
	// completed maps zone/workspace/request to the prices told with completed
	// answers. Runs of one request at the keeper and at the witness may be told
	// different prices; the zone bills one of them.
	completed map[string][]int64
	fault     string
	counts    map[string]int
	trace     []string
}

// traceEvent appends a line to the trace that failures print.
func (w *world) traceEvent(format string, args ...any) {
	w.trace = append(w.trace, fmt.Sprintf(format, args...))
}

// newWorld returns a running deployment of three zones with one keeper and two
// routers each.
func newWorld() *world {
	w := &world{
		zones: []string{"a", "b", "c"}, keepers: map[string]*keeper{}, cut: map[[2]string]bool{},
		paid: map[string]*messenger.TopUpRequest{}, completed: map[string][]int64{}, counts: map[string]int{},
		clock: 1000,
	}
	for i, z := range w.zones {
		w.keepers[z] = &keeper{zone: z, mirror: w.zones[(i+1)%len(w.zones)], disk: newDisk()}
		for n := range 2 {
			w.routers = append(w.routers, &routerNode{name: fmt.Sprintf("%s-%d", z, n+1), zone: z, sharesVM: n == 0})
		}
	}
	for _, z := range w.zones {
		w.startKeeper(w.keepers[z])
	}
	for _, z := range w.zones {
		w.pair(w.keepers[z])
	}
	for _, r := range w.routers {
		w.startRouter(r)
	}
	return w
}

// nextID returns a number that is unique within the deployment.
func (w *world) nextID() uint64 { w.serial++; return w.serial }

// reachable reports whether two zones are not partitioned from each other.
func (w *world) reachable(a, b string) bool {
	return !w.cut[[2]string{min(a, b), max(a, b)}]
}

// send puts a message in flight.
func (w *world) send(from, to string, f func()) {
	w.inFlight = append(w.inFlight, message{from, to, f})
}

// zoneRouters returns the routers of a zone.
func (w *world) zoneRouters(zone string) []*routerNode {
	return slices.DeleteFunc(slices.Clone(w.routers), func(r *routerNode) bool { return r.zone != zone })
}

// startKeeper starts a keeper with the rows of its disk, or of the mirror's
// copy if the disk is empty.
func (w *world) startKeeper(k *keeper) {
	v := budgeter.NewVault(k.zone, k.disk)
	var begin *budgeter.StartIncarnation
	if !k.disk.begun {
		k.disk.rows = map[rowName][]byte{}
		if !w.reachable(k.zone, k.mirror) {
			return
		}
		begin = &budgeter.StartIncarnation{Incarnation: w.nextID()}
		if c := w.keepers[k.mirror].disk.copies[k.zone]; c != nil {
			k.disk.rows = maps.Clone(c.rows)
			begin.Copy = c.state
		}
		k.disk.state = &messenger.CopyState{Zone: k.zone, Incarnation: begin.Incarnation}
	}
	for n, value := range k.disk.rows {
		w.check(v.Restore(n.bucket, n.key, value) == nil, "row does not restore")
	}
	w.check(v.Check() == nil, "books of "+k.zone+" do not balance after a restart")
	k.vault = v
	k.heard = map[string]budgeter.RouterReport{}
	k.copier = budgeter.NewCopier(k.disk.state, k.disk.paired, func(_, to string) { w.counts[to]++ })
	if begin != nil {
		k.disk.paired = false
		w.commit(k, *begin)
		if begin.Copy != nil {
			w.counts["restored"]++
		}
	}
}

// check records the first violated condition; machine.Check then fails the
// test.
func (w *world) check(ok bool, fault string) {
	if !ok && w.fault == "" {
		w.fault = fault
	}
}

func (w *world) stopKeeper(k *keeper) { k.vault, k.copier = nil, nil }

// commit handles one event and commits its rows as the keeper does. A nil
// message without an error means that no answer may be sent.
func (w *world) commit(k *keeper, e budgeter.Event) (proto.Message, error) {
	if k.vault == nil {
		return nil, nil
	}
	var writes []budgeter.Write
	var reply budgeter.Reply
	for _, a := range k.vault.Step(time.UnixMilli(w.clock), e) {
		switch a := a.(type) {
		case budgeter.Write:
			writes = append(writes, a)
		case budgeter.Reply:
			reply = a
		}
	}
	w.traceEvent("%s %T %v -> %v %v", k.zone, e, e, reply.Message, reply.Err)
	w.check(k.vault.Check() == nil, fmt.Sprintf("books of %s do not balance after %T", k.zone, e))
	if !w.sync(k, budgeter.MergeWrites(writes)) {
		return nil, nil
	}
	if !mayAnswer(k.copier.Mode(), e) {
		return nil, nil
	}
	if c, ok := reply.Message.(*messenger.ChargeReply); ok {
		c.TwoDisks = k.copier.Mode() == budgeter.ModePaired
	}
	return reply.Message, reply.Err
}

// mayAnswer reports whether the answer to an event may be sent in a mode.
func mayAnswer(mode string, e budgeter.Event) bool {
	return mode == budgeter.ModePaired || mode == budgeter.ModeSolo && !budgeter.NeedsTwoDisks(e)
}

// sync writes rows to the disk and then to the mirror; it returns false after a
// crash. If the mirror were written first or at the same time, it could hold a
// commit that a crash removed from the disk. The keeper would then spend
// without its mirror and lose its disk, and the restored copy would give the
// same rights to another zone.
func (w *world) sync(k *keeper, rows []*messenger.CopyRow) bool {
	at := w.crash
	w.crash = crashNever
	if at == crashBeforeSync {
		w.stopKeeper(k)
		return false
	}
	r := k.copier.Prepare(rows)
	apply(k.disk.rows, rows)
	k.disk.state, k.disk.begun = r.State, true
	k.vault.Synced()
	if at == crashSyncedUncopied {
		w.counts["copy behind"]++
		w.stopKeeper(k)
		return false
	}
	k.copier.Commit(r)
	if k.copier.Mode() == budgeter.ModePaired && !w.copyTo(k, r) {
		k.copier.MirrorLost()
	}
	if k.copier.Mode() == budgeter.ModeMarking {
		w.markSolo(k, r.State.Number)
	}
	if at == crashCopied {
		w.stopKeeper(k)
		return false
	}
	return true
}

// copyTo sends a commit to the mirror and reports whether the mirror applied
// it.
func (w *world) copyTo(k *keeper, r *messenger.CopyRequest) bool {
	m := w.keepers[k.mirror]
	c := m.disk.copies[k.zone]
	if !w.reachable(k.zone, m.zone) || m.vault == nil || c == nil || !budgeter.FollowsCopy(c.state, r) {
		return false
	}
	apply(c.rows, r.Rows)
	c.state = r.State
	return true
}

// markSolo stores the solo mark at every node that answers; one is enough.
func (w *world) markSolo(k *keeper, commit uint64) {
	mark := k.vault.SoloMark(commit)
	held := false
	for _, z := range w.zones {
		o := w.keepers[z]
		if o.zone == k.zone || o.zone == k.mirror || !w.reachable(k.zone, o.zone) || o.vault == nil {
			continue
		}
		// Two keepers that each wait for the other to store a mark would
		// deadlock.
		if o.copier.Mode() == budgeter.ModeMarking {
			continue
		}
		m, err := w.commit(o, budgeter.RecordSoloMark{Request: &messenger.MarkRequest{Mark: mark}})
		held = held || m != nil && err == nil
	}
	for _, r := range w.zoneRouters(k.zone) {
		if r.up && !r.frozen && !r.sharesVM {
			r.markIncarnation, r.markFrom = mark.VaultIncarnation, mark.SoloCommit
			held = true
		}
	}
	if held && k.copier != nil {
		k.copier.SoloMarkStored()
	}
}

// pair brings the mirror up to date and then makes one more commit, so that the
// copy is later than every solo mark.
func (w *world) pair(k *keeper) {
	m := w.keepers[k.mirror]
	if k.vault == nil || m.vault == nil || !w.reachable(k.zone, m.zone) || k.copier.Mode() == budgeter.ModePaired {
		return
	}
	c := m.disk.copies[k.zone]
	var have *messenger.CopyState
	if c != nil {
		have = c.state
	}
	missing, whole := k.copier.MissingCommits(have)
	if whole {
		m.disk.copies[k.zone] = &mirrorCopy{state: k.disk.state, rows: maps.Clone(k.disk.rows)}
		w.counts["whole copy"]++
	}
	for _, r := range missing {
		w.check(w.copyTo(k, r), "mirror refuses a missing commit")
	}
	if k.copier.MirrorCaughtUp(m.disk.copies[k.zone].state) {
		k.disk.paired = true
		w.commit(k, budgeter.MirrorPaired{MirrorIncarnation: m.vault.Incarnation()})
	}
}

// prove collects the reports of routers and keepers after a restore.
func (w *world) prove(k *keeper) {
	if k.vault == nil || !k.vault.RestoreUnverified() {
		return
	}
	p := budgeter.VerifyRestore{}
	e := budgeter.Evidence{KeepersAsked: 1}
	for _, r := range w.zoneRouters(k.zone) {
		p.Routers = append(p.Routers, r.name)
		if !r.sharesVM {
			e.Routers = append(e.Routers, r.name)
		}
		if r.up && !r.frozen {
			p.Holdings = append(p.Holdings, r.holdings(k.vault.Incarnation()))
		}
	}
	for _, z := range w.zones {
		o := w.keepers[z]
		if o.zone == k.zone || o.zone == k.mirror || !w.reachable(k.zone, o.zone) {
			continue
		}
		m, err := w.commit(o, budgeter.RecordSoloMark{Request: &messenger.MarkRequest{Mark: &messenger.SoloMark{Zone: k.zone}}})
		if m != nil && err == nil {
			e.Keepers = append(e.Keepers, m.(*messenger.MarkReply))
		}
	}
	e.Holdings = p.Holdings
	p.CopyComplete = k.vault.CopyComplete(e)
	w.commit(k, p)
	if k.vault != nil && !k.vault.RestoreUnverified() {
		w.counts["proved"]++
		if p.CopyComplete {
			w.counts["proved by marks"]++
		}
	}
}

// release returns the unspent rights of fenced incarnations.
func (w *world) release(k *keeper) {
	m := w.keepers[k.mirror]
	// The fence must be on two disks before the returned rights are spent. A
	// vault restored from a copy without the fence would accept charges of the
	// fenced incarnation.
	if k.vault == nil || k.copier.Mode() != budgeter.ModePaired || !w.reachable(k.zone, m.zone) {
		return
	}
	for _, r := range k.vault.UnreleasedRouters() {
		upTo := r.Fenced
		got, err := w.commit(m, budgeter.FenceWitness{Request: &messenger.FenceWitnessRequest{Zone: k.zone, Router: r.Router, Incarnation: upTo}})
		if got == nil || err != nil {
			continue
		}
		if k.vault == nil {
			return
		}
		w.commit(k, budgeter.Release{Router: r.Router, Incarnation: upTo, Witness: got.(*messenger.FenceWitnessReply)})
		w.counts["released"]++
	}
}

// handOver sends stored charges to their own zone.
func (w *world) handOver(k *keeper) {
	if k.vault == nil {
		return
	}
	for _, z := range w.zones {
		o := w.keepers[z]
		charges := k.vault.WitnessedCharges(o.zone, 8)
		if len(charges) == 0 || !w.reachable(k.zone, o.zone) {
			continue
		}
		got, err := w.commit(o, budgeter.HandOver{Request: &messenger.HandOverRequest{Charges: charges}})
		if got != nil && err == nil {
			w.commit(k, budgeter.DropWitnessed{Charges: charges})
			w.counts["handed over"]++
		}
		if k.vault == nil {
			return
		}
	}
}

// claim makes claims for a keeper's bills, to find requests that were billed in
// two zones.
func (w *world) claim(k *keeper) {
	// A claim for a bill that is on one disk only could outlive the bill.
	if k.vault == nil || k.copier.Mode() != budgeter.ModePaired {
		return
	}
	rows := map[string]*messenger.UnclaimedRow{}
	settled := min(k.vault.OldestChargeMs(), k.unsettled())
	for n, value := range k.disk.rows {
		if n.bucket == budgeter.BucketUnclaimed {
			rows[n.key] = &messenger.UnclaimedRow{}
			w.check(proto.Unmarshal(value, rows[n.key]) == nil, "unclaimed row is corrupt")
		}
	}
	for _, key := range slices.Sorted(maps.Keys(rows)) {
		var counting []string
		for _, request := range rows[key].RequestKeys {
			h := budgeter.RequestHash(request)
			o := w.keepers[w.zones[int(h[0])%len(w.zones)]]
			if !w.reachable(k.zone, o.zone) {
				break
			}
			m, err := w.commit(o, budgeter.ClaimBills{Request: &messenger.ClaimBillsRequest{Zone: k.zone, RequestHashes: [][]byte{h}, SettledBeforeMs: settled}})
			if m == nil || err != nil {
				break
			}
			counting = append(counting, m.(*messenger.ClaimBillsReply).Zones...)
		}
		if slices.ContainsFunc(counting, func(z string) bool { return z != k.zone }) {
			w.counts["reversed"]++
		}
		w.commit(k, budgeter.SettleClaims{Counting: map[string][]string{key: counting}})
		if k.vault == nil {
			return
		}
	}
}
