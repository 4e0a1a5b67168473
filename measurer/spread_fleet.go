package measurer

import (
	"context"
	"encoding/json"
	"expvar"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"rattanhoist.example/rattanhoist/configurer"
	"rattanhoist.example/rattanhoist/keeper"
	"rattanhoist.example/rattanhoist/loader"
	"rattanhoist.example/rattanhoist/messenger"
)

// Loopback addresses of the experiments on the spread of configuration.
const (
	spreadNet  = 66
	spreadPoll = 5 * time.Millisecond
	spreadCall = 3 * time.Second
)

// spreadFleet is three keepers in this process, on real sockets and disks.
type spreadFleet struct {
	dir      string
	settings *loader.Settings
	keepers  map[string]*spreadKeeper
	dialer   *messenger.Dialer
	base     uint64
	ids      int
}

type spreadKeeper struct {
	process loader.Process
	stop    func()
	client  messenger.ConfigurationKeeperClient
}

func newSpreadFleet(ctx context.Context) (*spreadFleet, func(), error) {
	dir, err := os.MkdirTemp("", "rattanhoist-spread-")
	if err != nil {
		return nil, nil, err
	}
	f := &spreadFleet{dir: dir, keepers: map[string]*spreadKeeper{}}
	cleanUp := func() {
		for _, k := range f.keepers {
			k.stop()
		}
		_ = os.RemoveAll(dir)
	}
	if err := f.open(ctx); err != nil {
		cleanUp()
		return nil, nil, err
	}
	return f, cleanUp, nil
}

func (f *spreadFleet) open(ctx context.Context) error {
	var err error
	if f.settings, err = spreadSettings(f.dir); err != nil {
		return err
	}
	f.dialer = messenger.NewDialer("measure", messenger.RoleMember, f.settings.DeploymentKey())
	for _, p := range f.settings.Processes(loader.KindKeeper) {
		c, err := f.dialer.Dial(p.RPC())
		if err != nil {
			return err
		}
		f.keepers[p.Name()] = &spreadKeeper{process: p, client: messenger.NewConfigurationKeeperClient(c), stop: func() {}}
		if err := f.start(ctx, p.Name()); err != nil {
			return err
		}
	}
	_, err = f.leader(ctx)
	return err
}

func spreadSettings(dir string) (*loader.Settings, error) {
	var b strings.Builder
	b.WriteString("[deployment]\nname = measure\nkey_file = a.key\noperator_key_file = b.key\nendpoint_key_file = c.key\n[policy]\nfault_port = true\n")
	for i := 1; i <= 3; i++ {
		ip := fmt.Sprintf("127.%d.%d.1", spreadNet, i)
		fmt.Fprintf(&b, "[keeper k%d]\nzone = z%d\nrpc = %s:7071\ndebug = %s:8082\ndata_dir = %s\n", i, i, ip, ip, filepath.Join(dir, fmt.Sprint("k", i)))
		fmt.Fprintf(&b, "[router r%d]\nzone = z%d\nrpc = %s:7070\nhttp = %s:8080\ndebug = %s:8081\n", i, i, ip, ip, ip)
	}
	for _, k := range []string{"a", "b", "c"} {
		if err := os.WriteFile(filepath.Join(dir, k+".key"), []byte(k+"-key-of-a-measured-deployment\n"), 0o600); err != nil {
			return nil, err
		}
	}
	file := filepath.Join(dir, "rattanhoist.ini")
	if err := os.WriteFile(file, []byte(b.String()), 0o600); err != nil {
		return nil, err
	}
	return loader.Load(file)
}

// start starts a keeper; its stop waits until the sockets and the disk are
// free again.
func (f *spreadFleet) start(ctx context.Context, name string) error {
	k := f.keepers[name]
	made, cleanUp, err := keeper.New(f.settings, k.process, zap.NewNop())
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	var done sync.WaitGroup
	done.Go(func() { _ = made.Run(ctx) })
	k.stop = sync.OnceFunc(func() {
		cancel()
		done.Wait()
		cleanUp()
	})
	return nil
}

// logCounters is what a keeper shows of its log.
type logCounters struct {
	Commit uint64 `json:"commit"`
	Term   uint64 `json:"term"`
	Leads  bool   `json:"leads"`
}

func (f *spreadFleet) counters(name string) logCounters {
	var c logCounters
	m, _ := expvar.Get("configuration_log").(*expvar.Map)
	if v := m.Get(name); v != nil {
		_ = json.Unmarshal([]byte(v.String()), &c)
	}
	return c
}

// leader waits for a keeper that confirms reads.
func (f *spreadFleet) leader(ctx context.Context) (string, error) {
	for {
		for _, k := range f.keepers {
			c, cancel := context.WithTimeout(ctx, spreadCall)
			r, err := k.client.Read(c, &messenger.ReadRequest{Confirmed: true})
			cancel()
			if err == nil {
				f.base = r.Configuration.Version
				return r.LeaderName, nil
			}
		}
		if ctx.Err() != nil {
			return "", ctx.Err()
		}
		time.Sleep(spreadPoll)
	}
}

// accept has a change of one workspace accepted and returns its version.
func (f *spreadFleet) accept(ctx context.Context, at string) (uint64, error) {
	f.ids++
	id := fmt.Sprint("change-", f.ids)
	for ctx.Err() == nil {
		c, cancel := context.WithTimeout(ctx, spreadCall)
		r, err := f.keepers[at].client.Propose(c, &messenger.ProposeRequest{Change: &messenger.Change{ChangeId: id, BaseVersion: f.base, Edits: spreadEdits(f.ids)}})
		cancel()
		switch {
		case err != nil:
		case r.Outcome == messenger.ChangeOutcome_CHANGE_OUTCOME_ACCEPTED:
			f.base = r.Version
			return r.Version, nil
		case r.Outcome == messenger.ChangeOutcome_CHANGE_OUTCOME_CONFLICT:
			f.base = r.Version
		}
		time.Sleep(spreadPoll)
	}
	return 0, ctx.Err()
}

// spreadEdits is a change of ordinary size: one workspace with a key and
// three labels.
func spreadEdits(i int) []*messenger.Edit {
	h := make([]byte, 32)
	copy(h, fmt.Sprint(i))
	return []*messenger.Edit{{Kind: &messenger.Edit_PutWorkspace{PutWorkspace: &messenger.Workspace{
		Name: fmt.Sprintf("workspace-%d", i), KeyHashes: [][]byte{h},
		Labels: map[string]string{"team": "surveys", "region": "accra", "tier": "standard"},
	}}}}
}

func (f *spreadFleet) cut(what, a, b string) {
	for _, d := range [][2]string{{a, b}, {b, a}} {
		r, err := http.PostForm("http://"+f.keepers[d[0]].process.Debug()+"/fault/"+what, url.Values{"address": {f.keepers[d[1]].process.RPC()}})
		if err == nil {
			_ = r.Body.Close()
		}
	}
}

// standIn follows one keeper as a router does.
type standIn struct {
	version atomic.Uint64
	// Compile says whether every version is compiled, as a router must.
	compile bool
}

func (s *standIn) run(ctx context.Context, node, address string, d *messenger.Dialer) {
	c, err := d.Dial(address)
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	k := messenger.NewConfigurationKeeperClient(c)
	w, err := k.Watch(ctx, &messenger.WatchRequest{Node: node})
	if err != nil {
		return
	}
	book := configurer.NewCopy()
	var reportedAt time.Time
	for {
		u, err := w.Recv()
		if err != nil {
			return
		}
		s.take(book, u)
		if u.Changes != nil || time.Since(reportedAt) > 5*time.Second {
			reportedAt = time.Now()
			_, _ = k.ReportInForce(ctx, &messenger.InForceReport{Node: node, Version: u.Version})
		}
	}
}

func (s *standIn) take(book *configurer.Copy, u *messenger.Update) {
	if u.Configuration != nil {
		book.Load(u.Configuration)
	}
	for _, x := range u.Changes {
		book.Apply(x)
	}
	if s.compile && u.Version > s.version.Load() {
		book.Snapshot()
	}
	s.version.Store(u.Version)
}

// meter passes connections on to a keeper and counts their bytes.
type meter struct {
	listener net.Listener
	bytes    atomic.Int64
}

func newMeter(ctx context.Context, to string) (*meter, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	m := &meter{listener: l}
	go func() {
		<-ctx.Done()
		_ = l.Close()
	}()
	go func() {
		for {
			in, err := l.Accept()
			if err != nil {
				return
			}
			go m.pass(ctx, in, to)
		}
	}()
	return m, nil
}

func (m *meter) pass(ctx context.Context, in net.Conn, to string) {
	out, err := net.Dial("tcp", to)
	if err != nil {
		_ = in.Close()
		return
	}
	stop := context.AfterFunc(ctx, func() { _ = in.Close(); _ = out.Close() })
	defer stop()
	go func() { _, _ = io.Copy(countingWriter{out, &m.bytes}, in) }()
	_, _ = io.Copy(countingWriter{in, &m.bytes}, out)
	_ = in.Close()
	_ = out.Close()
}

type countingWriter struct {
	w io.Writer
	n *atomic.Int64
}

// Write counts what passes.
func (c countingWriter) Write(b []byte) (int, error) {
	c.n.Add(int64(len(b)))
	return c.w.Write(b)
}
