package acceptor_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
	"go.uber.org/zap"

	"rattanhoist.example/rattanhoist/acceptor"
	"rattanhoist.example/rattanhoist/enforcer"
	"rattanhoist.example/rattanhoist/messenger"
)

// linkDelay is the time that bytes take in each direction beside a full link: the first call arrives more than a second
// after its connection.
const linkDelay = 600 * time.Millisecond

// platformDescriptors are reserved by the platform.
const platformDescriptors = 150

// callTimeout is far longer than a call over a full link takes.
const callTimeout = 4 * time.Second

// delayedConn is an end of a connection in memory whose bytes arrive after a delay.
type delayedConn struct {
	net.Conn
	remote net.Addr
}

// RemoteAddr returns the address of the other end.
func (c delayedConn) RemoteAddr() net.Addr { return c.remote }

// connect returns the two ends of a connection from a machine.
func connect(machine string, delay time.Duration) (client, server net.Conn) {
	client, a := net.Pipe()
	server, b := net.Pipe()
	go carry(a, b, delay)
	go carry(b, a, delay)
	return client, delayedConn{server, &net.TCPAddr{IP: net.ParseIP(machine), Port: 40000}}
}

// carry passes bytes on after a delay until either end is closed.
func carry(from, to net.Conn, delay time.Duration) {
	type piece struct {
		due   time.Time
		bytes []byte
	}
	pieces := make(chan piece, 1024)
	go func() {
		defer to.Close()
		for p := range pieces {
			time.Sleep(time.Until(p.due))
			if _, err := to.Write(p.bytes); err != nil {
				break
			}
		}
		_ = from.Close()
		for range pieces {
			continue
		}
	}()
	defer close(pieces)
	for {
		b := make([]byte, 4<<10)
		n, err := from.Read(b)
		if err != nil {
			return
		}
		pieces <- piece{time.Now().Add(delay), b[:n]}
	}
}

// memoryListener accepts connections in memory. It counts those that the process closes by itself.
type memoryListener struct {
	incoming chan net.Conn
	done     chan struct{}
	once     sync.Once
	stopped  atomic.Bool
	// closed counts the connections of machines outside the crowd that were closed before the server stopped.
	closed atomic.Int64
}

// closingConn counts its close.
type closingConn struct {
	net.Conn
	closed *atomic.Int64
	once   sync.Once
	quiet  *atomic.Bool
}

// Close closes the connection.
func (c *closingConn) Close() error {
	c.once.Do(func() {
		if !c.quiet.Load() {
			c.closed.Add(1)
		}
	})
	return c.Conn.Close()
}

// Accept waits for a connection.
func (l *memoryListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.incoming:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close ends Accept.
func (l *memoryListener) Close() error {
	l.stopped.Store(true)
	l.once.Do(func() { close(l.done) })
	return nil
}

// Addr returns an address without a meaning.
func (l *memoryListener) Addr() net.Addr { return &net.TCPAddr{} }

// dial opens a connection of a process of the fleet.
func (l *memoryListener) dial(ctx context.Context, machine string) (net.Conn, error) {
	client, server := connect(machine, linkDelay)
	select {
	case l.incoming <- &closingConn{Conn: server, closed: &l.closed, quiet: &l.stopped}:
		return client, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// answeringKeeper answers Sync at once, and Fetch after fetchDuration.
type answeringKeeper struct {
	messenger.UnimplementedFleetKeeperServer
}

// fetchDuration is far longer than idle connections are spared.
const fetchDuration = time.Minute

func (*answeringKeeper) Sync(context.Context, *messenger.SyncRequest) (*messenger.SyncReply, error) {
	return &messenger.SyncReply{}, nil
}

func (*answeringKeeper) Fetch(ctx context.Context, _ *messenger.FleetDocumentRequest) (*messenger.FleetDocumentReply, error) {
	select {
	case <-time.After(fetchDuration):
		return &messenger.FleetDocumentReply{}, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// processesPort is the port for processes of a process with some resources. It runs in virtual time.
type processesPort struct {
	*acceptor.Port
	listener *memoryListener
	limits   acceptor.Limits
	stop     func()
}

func startProcessesPort(t *testing.T, memory *enforcer.Memory, limits acceptor.Limits) *processesPort {
	t.Helper()
	p, err := acceptor.New(memory, zap.NewNop()).Listen("processes", "127.0.0.1:0", limits)
	if err != nil {
		t.Fatal(err)
	}
	_ = p.Listener.Close()
	l := &memoryListener{incoming: make(chan net.Conn), done: make(chan struct{})}
	p.Listener = l
	s := messenger.NewFleetServer(zap.NewNop())
	messenger.RegisterFleetKeeperServer(s, &answeringKeeper{})
	var ended sync.WaitGroup
	ended.Go(func() { _ = s.Serve(p) })
	return &processesPort{Port: p, listener: l, limits: limits, stop: func() {
		_ = l.Close()
		s.Stop()
		ended.Wait()
		// The last bytes are under way.
		time.Sleep(3 * linkDelay)
	}}
}

// machine returns the address of a machine of the fleet.
func machine(n int) string { return fmt.Sprintf("10.1.%d.%d", n/250, 1+n%250) }

// newLink returns a link from a machine.
func (p *processesPort) newLink(n int) *messenger.Link {
	return messenger.NewLinkWithDialer("keeper", func(ctx context.Context, _ string) (net.Conn, error) { return p.listener.dial(ctx, machine(n)) })
}

func callSync(ctx context.Context, c messenger.FleetKeeperClient) error {
	_, err := c.Sync(ctx, &messenger.SyncRequest{})
	return err
}

func callFetch(ctx context.Context, c messenger.FleetKeeperClient) error {
	_, err := c.Fetch(ctx, &messenger.FleetDocumentRequest{})
	return err
}

// outcome is what became of the links of a fleet.
type outcome struct{ CallsAnswered, ConnectionsClosed int64 }

// connectFleet opens a link from each of n machines at once, each with a call, and closes the links.
func (p *processesPort) connectFleet(n int) outcome {
	var answered atomic.Int64
	var done sync.WaitGroup
	checked := make(chan struct{})
	for i := range n {
		done.Go(func() {
			link := p.newLink(i)
			if link.Call(context.Background(), callTimeout, callSync) == nil {
				answered.Add(1)
			}
			<-checked
			link.Close()
		})
	}
	// All connections are open at the same time.
	time.Sleep(callTimeout)
	out := outcome{CallsAnswered: answered.Load(), ConnectionsClosed: p.listener.closed.Load()}
	p.listener.stopped.Store(true)
	close(checked)
	done.Wait()
	return out
}

// resourcesOfSites are those of routers and keepers of large fleets.
var resourcesOfSites = map[string]acceptor.Resources{
	"router":       {MemoryBytes: 112 << 20, Descriptors: 4100, Shares: acceptor.RouterShares},
	"large router": {MemoryBytes: 144 << 20, Descriptors: 4100, Shares: acceptor.RouterShares},
	"keeper":       {MemoryBytes: 280 << 20, Descriptors: 4096, Shares: acceptor.KeeperShares},
	"large keeper": {MemoryBytes: 536 << 20, Descriptors: 16384, Shares: acceptor.KeeperShares},
}

// All processes start at once beside full links. Guards against a limit on strangers that closes connections of the fleet
// whose first call has not arrived yet.
func TestFleetThatConnectsAtOnceIsNotTakenForStrangers(t *testing.T) {
	for name, r := range resourcesOfSites {
		for _, n := range []int{6, 58, 295, 985} {
			t.Run(fmt.Sprint(n, " at a ", name), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					g := gomega.NewWithT(t)
					p := startProcessesPort(t, enforcer.NewMemory(r.RequestMemory()), r.ForPeers())
					defer p.stop()
					g.Expect(p.connectFleet(n)).To(gomega.Equal(outcome{CallsAnswered: int64(n)}))
				})
			})
		}
	}
}

// All machines lose their power, and their processes start again. Guards against closing their new connections for old ones,
// of which nobody has heard that they ended.
func TestFleetThatStartsAgainIsNotTakenForStrangers(t *testing.T) {
	const n = 295
	for name, r := range resourcesOfSites {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := gomega.NewWithT(t)
				p := startProcessesPort(t, enforcer.NewMemory(r.RequestMemory()), r.ForPeers())
				defer p.stop()
				for i := range n {
					lost := p.newLink(i)
					defer lost.Close()
					g.Expect(lost.Call(context.Background(), callTimeout, callSync)).To(gomega.Succeed())
				}
				g.Expect(p.connectFleet(n)).To(gomega.Equal(outcome{CallsAnswered: n}))
			})
		})
	}
}

// strangers are what clients that are no processes of the fleet send.
var strangers = map[string]func(c net.Conn) error{
	"silence":                func(net.Conn) error { return nil },
	"silence after settings": func(c net.Conn) error { return send(c, preface) },
	"a byte at a time": func(c net.Conn) error {
		for i := 0; ; i++ {
			if err := send(c, preface[i%len(preface):][:1]); err != nil {
				return err
			}
			time.Sleep(200 * time.Millisecond)
		}
	},
	"garbage": func(c net.Conn) error { return send(c, "GET / HTTP/1.1\r\n\r\n") },
	"a message that stops": func(c net.Conn) error {
		return send(c, preface+"\x00\x00\x02\x01\x04\x00\x00\x00\x01\x83\x86"+"\x00\x10\x00\x00\x00\x00\x00\x00\x01"+string(make([]byte, 4096)))
	},
}

// preface opens an HTTP/2 connection, with empty settings.
const preface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\x00\x00\x00\x04\x00\x00\x00\x00\x00"

func send(c net.Conn, text string) error {
	_, err := io.WriteString(c, text)
	return err
}

// crowd connects n strangers from a few machines until ctx is done. Each connects again when its connection ends.
func (p *processesPort) crowd(ctx context.Context, n, machines int, behave func(c net.Conn) error) *sync.WaitGroup {
	var done sync.WaitGroup
	for i := range n {
		done.Go(func() {
			for ctx.Err() == nil {
				client, server := connect(fmt.Sprintf("10.9.%d.%d", i%machines/250, 1+i%machines%250), time.Millisecond)
				select {
				case p.listener.incoming <- server:
				case <-ctx.Done():
				}
				end := context.AfterFunc(ctx, func() { _ = client.Close() })
				ended := make(chan struct{})
				go func() {
					defer close(ended)
					_, _ = io.Copy(io.Discard, client)
				}()
				_ = behave(client)
				<-ended
				end()
				_ = client.Close()
				_ = server.Close()
				time.Sleep(200 * time.Millisecond)
			}
		})
	}
	return &done
}

// All processes start at once while strangers crowd the port. Guards against closing connections of the fleet for
// strangers from fewer machines, and against strangers that hold more than the limit.
func TestStrangersGiveWayToTheFleet(t *testing.T) {
	// A quarter of what a site has, since the crowd takes the test's time.
	const size, fleet, scale = 250, 74, 4
	for _, c := range []struct {
		name     string
		machines int
	}{{"router", 4}, {"router", 62}, {"keeper", 4}} {
		r := resourcesOfSites[c.name]
		r.MemoryBytes, r.Descriptors = r.MemoryBytes/scale, r.Descriptors/scale+platformDescriptors
		for kind, behave := range strangers {
			t.Run(fmt.Sprint(kind, " from ", c.machines, " machines at a ", c.name), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					g := gomega.NewWithT(t)
					p := startProcessesPort(t, enforcer.NewMemory(r.RequestMemory()), r.ForPeers())
					defer p.stop()
					ctx, cancel := context.WithCancel(context.Background())
					crowd := p.crowd(ctx, size, c.machines, behave)
					defer crowd.Wait()
					defer cancel()
					time.Sleep(time.Second)
					g.Expect(p.Open()).To(gomega.BeNumerically("<=", p.limits.Connections))
					g.Expect(p.connectFleet(fleet)).To(gomega.Equal(outcome{CallsAnswered: fleet}))
					g.Expect(p.Open()).To(gomega.BeNumerically("<=", p.limits.Connections))
				})
			})
		}
	}
}

// A port is full of connections of processes. Guards against closing one under a call, whose caller would not know what
// became of it, and against keeping new ones out for those that carry none.
func TestConnectionUnderACallIsNotClosedForRoom(t *testing.T) {
	const places, idleDuration = 8, 30 * time.Second
	for name, idle := range map[string]time.Duration{"busy fleet": 0, "idle fleet": idleDuration + time.Second} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := gomega.NewWithT(t)
				p := startProcessesPort(t, nil, acceptor.Limits{Connections: places})
				defer p.stop()
				fetched := make(chan error, 1)
				var links []*messenger.Link
				defer func() {
					for _, l := range links {
						l.Close()
					}
				}()
				open := func() *messenger.Link {
					l := p.newLink(len(links))
					links = append(links, l)
					return l
				}
				first := open()
				go func() { fetched <- first.Call(context.Background(), 2*fetchDuration, callFetch) }()
				time.Sleep(4*linkDelay + idle)
				for range 3 * places {
					g.Expect(open().Call(context.Background(), callTimeout, callSync)).To(gomega.Succeed(), "link %d", len(links))
				}
				g.Expect(p.Open()).To(gomega.BeNumerically("<=", places))
				g.Expect(<-fetched).To(gomega.Succeed())
			})
		})
	}
}
