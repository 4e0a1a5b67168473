package steward

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
	"go.uber.org/zap"

	"rattanhoist.example/rattanhoist/governor"
	"rattanhoist.example/rattanhoist/loader"
	"rattanhoist.example/rattanhoist/messenger"
)

// rejoinTimeout is the time after its start until which a keeper with an empty disk counts as lost, and
// silentTimeout the time after which a silent one is replaced.
const (
	rejoinTimeout = 4 * time.Second
	silentTimeout = rejoinTimeout / replaceDivisor
)

// memoryNetwork connects keepers in one process, by their internal addresses.
type memoryNetwork struct {
	mu        sync.Mutex
	listeners map[string]*memoryListener
	// silent is set if a keeper that does not run sends no resets: connections to it hang.
	silent bool
}

func (m *memoryNetwork) listen(address string) *memoryListener {
	m.mu.Lock()
	defer m.mu.Unlock()
	l := newMemoryListener()
	m.listeners[address] = l
	return l
}

func (m *memoryNetwork) newLink(address string) *messenger.Link {
	if m.silent {
		return messenger.NewLinkWithDialer(address, m.dialSilent)
	}
	return messenger.NewLinkWithDialer(address, func(_ context.Context, address string) (net.Conn, error) {
		m.mu.Lock()
		l := m.listeners[address]
		m.mu.Unlock()
		if l == nil {
			return nil, syscall.ECONNREFUSED
		}
		return l.Dial()
	})
}

// quorum is five keepers with disks of their own, two of which may be lost. It runs in virtual time.
type quorum struct {
	t       *testing.T
	g       *gomega.WithT
	dir     string
	network *memoryNetwork
	// running holds the running keepers by number. A keeper does nothing more once halted, and its disk may be
	// used again once cleaned up.
	running         map[int]*Keeper
	halts, cleanUps map[int]func()
}

// runQuorum runs a test with five keepers that vote, the first three of which are the seeds.
func runQuorum(t *testing.T, test func(q *quorum)) {
	dir := t.TempDir()
	synctest.Test(t, func(t *testing.T) {
		q := &quorum{
			t: t, g: gomega.NewWithT(t), dir: dir, network: &memoryNetwork{listeners: map[string]*memoryListener{}},
			running: map[int]*Keeper{}, halts: map[int]func(){}, cleanUps: map[int]func(){},
		}
		defer q.stopAll()
		for n := 1; n <= 5; n++ {
			q.start(n, true, 1, 2, 3)
		}
		for n := 1; n <= 5; n++ {
			q.awaitVoter(n, rejoinTimeout)
		}
		test(q)
	})
}

func (q *quorum) ip(n int) string { return fmt.Sprintf("127.0.1.%d", n) }

func (q *quorum) dataDir(n int) string { return filepath.Join(q.dir, fmt.Sprint("data", n)) }

func (q *quorum) start(n int, first bool, seeds ...int) {
	var addresses []string
	for _, x := range seeds {
		addresses = append(addresses, q.ip(x)+":8229")
	}
	text := fmt.Sprintf("[node]\nname = n%d\nkind = keeper\nzone = z%d\nip = %s\ninternal_ports = 7340,7355\nseeds = %s\n"+
		"first_start = %v\nlost_disks = 2\nheartbeat_ms = 300\ngrace_s = 5\ncontrol = %s:8229\ndata_dir = %s\n",
		n, n, q.ip(n), strings.Join(addresses, ","), first, q.ip(n), q.dataDir(n))
	file := filepath.Join(q.dir, fmt.Sprint("node", n, ".ini"))
	q.g.Expect(os.WriteFile(file, []byte(text), 0o600)).To(gomega.Succeed())
	node, _, err := loader.LoadNode(file)
	q.g.Expect(err).NotTo(gomega.HaveOccurred())
	k, cleanUp, err := newKeeper(node, zap.NewNop(), q.network.newLink)
	q.g.Expect(err).NotTo(gomega.HaveOccurred())
	rpc := messenger.NewFleetServer(zap.NewNop())
	messenger.RegisterFleetKeeperServer(rpc, &server{keeper: k})
	ctx, cancel := context.WithCancel(context.Background())
	var ended sync.WaitGroup
	listener := q.network.listen(node.Internal())
	ended.Go(func() { _ = rpc.Serve(listener) })
	ended.Go(func() { _ = k.loop.Run(ctx) })
	ended.Go(func() { k.shareObservations(ctx) })
	k.peers.run(ctx)
	q.running[n] = k
	q.halts[n] = func() {
		cancel()
		rpc.Stop()
	}
	q.cleanUps[n] = func() {
		ended.Wait()
		// Calls in progress end with their timeouts.
		time.Sleep(callTimeout)
		for _, x := range k.peers.links {
			x.link.Close()
		}
		cleanUp()
	}
}

func (q *quorum) stop(n int) {
	q.halts[n]()
	q.cleanUps[n]()
	delete(q.running, n)
}

// stopAll stops all keepers at the same moment.
func (q *quorum) stopAll() {
	running := q.others()
	for _, n := range running {
		q.halts[n]()
	}
	for _, n := range running {
		q.cleanUps[n]()
		delete(q.running, n)
	}
}

// wipe stops a keeper and removes its disk.
func (q *quorum) wipe(n int) {
	q.stop(n)
	q.g.Expect(os.RemoveAll(q.dataDir(n))).To(gomega.Succeed())
}

func (q *quorum) awaitVoter(n int, timeout time.Duration) {
	q.t.Helper()
	q.g.Eventually(func() bool { return q.running[n].loop.State().IsVoter() }, timeout, 20*time.Millisecond).
		Should(gomega.BeTrue(), "keeper %d votes", n)
}

// awaitLeader returns the number of the keeper that leads.
func (q *quorum) awaitLeader() int {
	q.t.Helper()
	leader := 0
	q.g.Eventually(func() int {
		for n, k := range q.running {
			if k.loop.State().IsLeader() {
				leader = n
			}
		}
		return leader
	}, 10*time.Second, 20*time.Millisecond).ShouldNot(gomega.BeZero(), "a keeper leads")
	return leader
}

// others returns the numbers of the running keepers except those given, in order.
func (q *quorum) others(except ...int) []int {
	var out []int
	for n := range q.running {
		if !slices.Contains(except, n) {
			out = append(out, n)
		}
	}
	slices.Sort(out)
	return out
}

// publish commits a document through a keeper.
func (q *quorum) publish(n int, number uint64) {
	q.t.Helper()
	change := &messenger.FleetChange{Body: &messenger.FleetChange_Document{Document: &messenger.DocumentChange{Number: number, Content: []byte("x")}}}
	q.g.Eventually(func() error { return q.running[n].commitChange(context.Background(), change) }, 5*time.Second, 50*time.Millisecond).
		Should(gomega.Succeed())
}

// awaitDocument waits until a keeper reads a document that a majority confirms.
func (q *quorum) awaitDocument(n int, number uint64) {
	q.t.Helper()
	read := func() (*governor.Document, error) {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		k := q.running[n]
		i, err := k.readIndex(ctx)
		if err != nil {
			return nil, err
		}
		if err := k.loop.WaitApplied(ctx, i); err != nil {
			return nil, err
		}
		return k.committedState.Load().document, nil
	}
	q.g.Eventually(func() uint64 {
		d, err := read()
		if err != nil {
			return 0
		}
		return d.Number()
	}, 10*time.Second, 100*time.Millisecond).Should(gomega.Equal(number), "keeper %d", n)
}

// Guards against the loss of an acknowledged configuration after two more disks are lost, because a keeper that
// lost its disk announces itself to its seeds only and the leader, which is none of them, never adds it again.
func TestKeeperWithALostDiskRejoinsWhereTheLeaderIsNoSeed(t *testing.T) {
	runQuorum(t, func(q *quorum) {
		leader := q.awaitLeader()
		lost := q.others(leader)[0]
		seeds := q.others(leader, lost)[:2]
		q.wipe(lost)
		q.start(lost, false, append(seeds, lost)...)
		q.awaitVoter(lost, rejoinTimeout)

		q.publish(lost, 7)
		kept := q.others(lost)
		q.stopAll()
		for _, n := range kept[:2] {
			q.g.Expect(os.RemoveAll(q.dataDir(n))).To(gomega.Succeed())
		}
		for n := 1; n <= 5; n++ {
			q.start(n, false, 1, 2, 3)
		}
		for n := 1; n <= 5; n++ {
			q.awaitDocument(n, 7)
			q.awaitVoter(n, rejoinTimeout)
		}
	})
}

// Guards against a new keeper that is never added, and so replaces no lost one, because none of its seeds leads
// and the leader does not know its address.
func TestNewKeeperIsAddedWhereTheLeaderIsNoSeed(t *testing.T) {
	runQuorum(t, func(q *quorum) {
		leader := q.awaitLeader()
		removed := q.others(leader)[0]
		seeds := q.others(leader, removed)[:2]
		q.wipe(removed)
		q.start(6, false, append(seeds, removed)...)
		q.awaitVoter(6, rejoinTimeout)
	})
}

// Guards against a keeper that lost its disk and is never added again, because all of its seeds are gone.
func TestKeeperWithALostDiskRejoinsWithoutItsSeeds(t *testing.T) {
	runQuorum(t, func(q *quorum) {
		leader := q.awaitLeader()
		lost := q.others(leader)[0]
		q.wipe(lost)
		q.start(lost, false, 8, 9)
		q.awaitVoter(lost, rejoinTimeout)
	})
}

// defaultLossSeries is the number of series of losses that are drawn without LOSS_SERIES.
const defaultLossSeries = 4

// Guards against a quorum that does not recover: series of lost disks, of machines that are replaced by empty ones
// at new addresses and of losses of all power, with settings that name any three keepers as seeds.
func TestQuorumRecoversFromSeriesOfLosses(t *testing.T) {
	series := defaultLossSeries
	if n, err := strconv.Atoi(os.Getenv("LOSS_SERIES")); err == nil {
		series = n
	}
	for seed := range series {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			runQuorum(t, func(q *quorum) { q.playLosses(rand.New(rand.NewPCG(uint64(seed), 5))) })
		})
	}
}

// playLosses plays losses that a deployment of five keepers bears, one after the other, and checks after each
// that the newest acknowledged document is read and that five keepers vote again.
func (q *quorum) playLosses(r *rand.Rand) {
	newest := 5
	for number := uint64(1); number <= 8; number++ {
		members := q.others()
		q.publish(members[r.IntN(len(members))], number)
		time.Sleep(time.Duration(r.IntN(400)) * time.Millisecond)
		r.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
		lost, kept := members[:1+r.IntN(2)], members
		if r.IntN(2) == 0 {
			q.stopAll()
		}
		for i, n := range lost {
			q.t.Logf("%d is lost", n)
			if q.running[n] != nil {
				q.stop(n)
			}
			q.g.Expect(os.RemoveAll(q.dataDir(n))).To(gomega.Succeed())
			if r.IntN(3) == 0 {
				newest++
				kept[i] = newest
			}
		}
		time.Sleep(time.Duration(r.IntN(2000)) * time.Millisecond)
		for _, n := range kept {
			if q.running[n] == nil {
				// Nobody knows a new address, so that one of its seeds has to be left.
				seeds := []int{1 + r.IntN(newest), 1 + r.IntN(newest), kept[len(kept)-1-r.IntN(3)]}
				q.t.Logf("%d starts, seeds %v", n, seeds)
				q.start(n, false, seeds...)
			}
		}
		started := time.Now()
		for _, n := range kept {
			q.awaitDocument(n, number)
		}
		// Before that, a further loss would be one more than may be borne.
		time.Sleep(time.Until(started.Add(rejoinTimeout)))
		leader := q.running[q.awaitLeader()].loop.State()
		for _, n := range kept {
			q.g.Expect(q.running[n].loop.State().IsVoter()).To(gomega.BeTrue(), "keeper %d votes", n)
		}
		q.g.Expect(leader.Voters()).To(gomega.HaveLen(5))
	}
}

// Guards against the loss of an acknowledged document while a spare replaces a silent voter: two disks are lost with
// the power of all others at any moment of the replacement, and the silent voter, whose disk is whole, comes back.
func TestLossOfTwoDisksWhileASpareReplacesAVoter(t *testing.T) {
	for step := range 24 {
		t.Run(fmt.Sprint(step), func(t *testing.T) {
			runQuorum(t, func(q *quorum) {
				q.start(6, false, 1, 2, 3)
				time.Sleep(time.Second)
				leader := q.awaitLeader()
				silent := q.others(leader, 6)[0]
				q.stop(silent)
				time.Sleep(silentTimeout - callTimeout - 100*time.Millisecond + time.Duration(step)*25*time.Millisecond)
				q.publish(leader, 1)
				q.t.Log(q.running[leader].loop.State().Voters())
				lost := q.others(silent, 6)[step%3 : step%3+2]
				q.stopAll()
				for _, n := range lost {
					q.g.Expect(os.RemoveAll(q.dataDir(n))).To(gomega.Succeed())
				}
				for n := 1; n <= 6; n++ {
					q.start(n, false, 1, 2, 3)
				}
				for n := 1; n <= 6; n++ {
					q.awaitDocument(n, 1)
				}
			})
		})
	}
}
