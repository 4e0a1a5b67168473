package steward

import (
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
	"go.uber.org/zap"
	"google.golang.org/grpc/test/bufconn"

	"rattanhoist.example/rattanhoist/governor"
	"rattanhoist.example/rattanhoist/loader"
	"rattanhoist.example/rattanhoist/messenger"
)

// rejoinTimeout is the shortest time after its start within which a deployment counts a keeper
// as lost.
const rejoinTimeout = 4 * time.Second

// connectionBufferBytes is the buffer of a connection between two keepers.
const connectionBufferBytes = 64 << 10

// memoryNetwork connects keepers in one process, by their internal addresses.
type memoryNetwork struct {
	mu        sync.Mutex
	listeners map[string]*bufconn.Listener
}

func (m *memoryNetwork) listen(address string) *bufconn.Listener {
	m.mu.Lock()
	defer m.mu.Unlock()
	l := bufconn.Listen(connectionBufferBytes)
	m.listeners[address] = l
	return l
}

func (m *memoryNetwork) newLink(address string) *messenger.Link {
	return messenger.NewLinkWithDialer(address, func(ctx context.Context, address string) (net.Conn, error) {
		m.mu.Lock()
		l := m.listeners[address]
		m.mu.Unlock()
		if l == nil {
			return nil, syscall.ECONNREFUSED
		}
		return l.DialContext(ctx)
	})
}

// quorum is five keepers with disks of their own, two of which may be lost. It runs in virtual time.
type quorum struct {
	t       *testing.T
	g       *gomega.WithT
	dir     string
	network *memoryNetwork
	// running holds the running keepers by number, and stops how to stop them.
	running map[int]*Keeper
	stops   map[int]func()
}

// runQuorum runs a test with five keepers that vote, the first three of which are the seeds.
func runQuorum(t *testing.T, test func(q *quorum)) {
	dir := t.TempDir()
	synctest.Test(t, func(t *testing.T) {
		q := &quorum{
			t: t, g: gomega.NewWithT(t), dir: dir, network: &memoryNetwork{listeners: map[string]*bufconn.Listener{}},
			running: map[int]*Keeper{}, stops: map[int]func(){},
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
	rpc := messenger.NewFleetServer()
	messenger.RegisterFleetKeeperServer(rpc, &server{keeper: k})
	ctx, cancel := context.WithCancel(context.Background())
	var ended sync.WaitGroup
	listener := q.network.listen(node.Internal())
	ended.Go(func() { _ = rpc.Serve(listener) })
	ended.Go(func() { _ = k.loop.Run(ctx) })
	ended.Go(func() { k.shareObservations(ctx) })
	k.peers.run(ctx)
	q.running[n] = k
	q.stops[n] = func() {
		cancel()
		rpc.Stop()
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
	q.stops[n]()
	delete(q.stops, n)
	delete(q.running, n)
}

func (q *quorum) stopAll() {
	for n := range q.stops {
		q.stop(n)
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
		q.awaitVoter(6, replaceVoterAfter+rejoinTimeout)
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
