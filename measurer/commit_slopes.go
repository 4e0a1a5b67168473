package measurer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"

	"rattanhoist.example/rattanhoist/budgeter"
	"rattanhoist.example/rattanhoist/messenger"
)

// The experiment measures what a commit costs on its way to the mirror, with
// its call and its answer: rows of one event or of several, plain and packed.
var _ = register(Experiment{
	Name: "commits", Short: "A commit to the mirror: bytes both ways, processor time of both sides",
	Run: runCommitSlopes,
})

// commitSink answers as a mirror that takes every commit.
type commitSink struct {
	messenger.UnimplementedBudgetKeeperServer
}

func (commitSink) Copy(_ context.Context, r *messenger.CopyRequest) (*messenger.CopyReply, error) {
	return &messenger.CopyReply{State: r.State, MirrorIncarnation: sampleIncarnation}, nil
}

// commitCase is a kind of commit; Rows makes those of number n.
type commitCase struct {
	name   string
	packed bool
	rows   func(v *budgeter.Vault, n int) []budgeter.Write
}

func commitCases() []commitCase {
	var out []commitCase
	for _, packed := range []bool{false, true} {
		way := map[bool]string{false: "plain", true: "packed"}[packed]
		out = append(out,
			commitCase{"commit of a charge, " + way, packed, chargeCommit(1)},
			commitCase{"commit of 8 charges, " + way, packed, chargeCommit(8)},
			commitCase{"commit of a lease, " + way, packed, leaseCommit},
			commitCase{"commit of 2 charges and 4 leases, " + way, packed, paceCommit()},
		)
	}
	return out
}

// chargeCommit bills charges of several workspaces, each in a step of its own.
func chargeCommit(group int) func(*budgeter.Vault, int) []budgeter.Write {
	random := rand.New(rand.NewPCG(1, 1))
	return func(v *budgeter.Vault, _ int) (rows []budgeter.Write) {
		for i := range group {
			c := vaultCharge(fmt.Sprintf("workspace-%06d", i%tenWorkspaces), 0)
			// Nothing of one request's id tells that of another.
			c.RequestId = fmt.Sprintf("%08x-%04x-4000-8000-%012x", random.Uint32(), random.Uint32N(1<<16), random.Uint64N(1<<48))
			rows = append(rows, bill(v, c)...)
		}
		return rows
	}
}

func leaseCommit(v *budgeter.Vault, n int) (rows []budgeter.Write) {
	for _, a := range v.Step(time.Time{}, budgeter.Lease{Request: &messenger.LeaseRequest{
		Workspace: fmt.Sprintf("workspace-%06d", n%tenWorkspaces), Router: "router-000", Incarnation: 1, Sequence: uint64(n + 2), WantTokens: 4000,
	}}) {
		if w, ok := a.(budgeter.Write); ok {
			rows = append(rows, w)
		}
	}
	return rows
}

// paceCommit is what comes within the time between two commits at the letter's
// pace, rounded up: a charge, a lease and a return for each of two requests.
func paceCommit() func(*budgeter.Vault, int) []budgeter.Write {
	charges := chargeCommit(2)
	return func(v *budgeter.Vault, n int) []budgeter.Write {
		rows := charges(v, n)
		for i := range 4 {
			rows = append(rows, leaseCommit(v, 4*n+i)...)
		}
		return rows
	}
}

func runCommitSlopes(ctx context.Context, r *Report) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	var bytes atomic.Int64
	server := messenger.NewServer(messenger.Keys{messenger.RoleMember: sampleKey})
	messenger.RegisterBudgetKeeperServer(server, commitSink{})
	go func() { _ = server.Serve(countedListener{Listener: l, bytes: &bytes}) }()
	defer server.Stop()
	conn, err := messenger.NewDialer(sampleZone+"-keeper", messenger.RoleMember, sampleKey).Dial(l.Addr().String())
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	for _, c := range commitCases() {
		var seconds, sent []Point
		for _, n := range sizes(500, 1000, 2000, 4000) {
			commits := c.prepare(n)
			before := bytes.Load()
			var failed error
			s := processorSeconds(func() { failed = c.send(ctx, conn, commits) })
			if failed != nil {
				return failed
			}
			seconds = append(seconds, Point{X: float64(n), Y: s})
			sent = append(sent, Point{X: float64(n), Y: float64(bytes.Load() - before)})
		}
		r.Slope("keeper and mirror", "processor", "s", c.name, seconds)
		r.Slope("keeper and mirror", "bytes", "B", c.name, sent)
	}
	return nil
}

// prepare returns n commits in order.
func (c commitCase) prepare(n int) []*messenger.CopyRequest {
	v := chargedVault(noRows{})
	copier := budgeter.NewCopier(&messenger.CopyState{Zone: "a", Incarnation: sampleIncarnation}, true, func(string, string) {})
	out := make([]*messenger.CopyRequest, 0, n)
	for i := range n {
		r := copier.Prepare(budgeter.MergeWrites(c.rows(v, i)))
		copier.Commit(r)
		v.Synced()
		out = append(out, r)
	}
	return out
}

func (c commitCase) send(ctx context.Context, conn *grpc.ClientConn, commits []*messenger.CopyRequest) error {
	k := messenger.NewBudgetKeeperClient(conn)
	if c.packed {
		k = messenger.NewPackedMirror(k)
	}
	for _, r := range commits {
		if _, err := k.Copy(ctx, r); err != nil {
			return err
		}
	}
	return nil
}
