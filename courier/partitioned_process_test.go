package courier_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"testing"

	"go.uber.org/zap"

	"rattanhoist.example/rattanhoist/courier"
	"rattanhoist.example/rattanhoist/loader"
	"rattanhoist.example/rattanhoist/platform"
)

// partitionedRouterVariable names the settings file of a router that this binary runs instead of tests.
const partitionedRouterVariable = "PARTITIONED_ROUTER_SETTINGS"

func TestMain(m *testing.M) {
	if file := os.Getenv(partitionedRouterVariable); file != "" {
		if err := runPartitionedRouter(file, os.Stdin); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// runPartitionedRouter runs a router until a signal. Each line of input is a cut of its paths to
// endpoints.
func runPartitionedRouter(file string, input io.Reader) error {
	node, _, err := loader.LoadNode(file)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	p := newPartition()
	go func() {
		for lines := bufio.NewScanner(input); lines.Scan(); {
			if c, err := strconv.Atoi(lines.Text()); err == nil {
				p.set(cut(c))
			}
		}
	}()
	err = courier.New(courier.Options{
		Node: node, Log: zap.NewNop(), Decode: platform.DecodeDocument, Wire: platform.HeaderCodec{},
		ClassifyResponse: platform.ClassifyResponse, ReadyPath: platform.ReadyPath, DialEndpoint: p.dial,
	}).Run(ctx)
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// partitionedProcess is the process of a router whose paths to endpoints can be cut.
type partitionedProcess struct {
	f      *cluster
	number int
	mu     sync.Mutex
	// current is the cut in force, which restarts keep.
	current    cut
	restarting bool
	process    *exec.Cmd
	input      io.WriteCloser
}

func (f *cluster) partitionedProcess(n int) *partitionedProcess {
	f.node(loader.KindRouter, n, false)
	p := &partitionedProcess{f: f, number: n}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.start()
	f.t.Cleanup(func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		_ = p.process.Process.Kill()
		_ = p.process.Wait()
	})
	return p
}

// start starts the process. The caller holds mu.
func (p *partitionedProcess) start() {
	c := exec.Command(os.Args[0])
	c.Env = append(os.Environ(), partitionedRouterVariable+"="+filepath.Join(p.f.dir, fmt.Sprint("node", p.number, ".ini")))
	c.Stderr = os.Stderr
	// The process must not outlive a test that is aborted.
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	input, err := c.StdinPipe()
	if err == nil {
		err = c.Start()
	}
	if err != nil {
		p.f.t.Error(err)
		return
	}
	p.process, p.input = c, input
	p.send()
}

// set changes how the paths to endpoints fail from now on, also of a process that is shutting down.
func (p *partitionedProcess) set(c cut) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.current = c
	p.send()
}

// send sends the cut in force to the process. The caller holds mu.
func (p *partitionedProcess) send() {
	if _, err := fmt.Fprintln(p.input, int(p.current)); err != nil && !p.restarting {
		p.f.t.Errorf("router %d: %v", p.number, err)
	}
}

// restart ends the process with a signal, waits for its end and starts it again. It has no effect on a
// process that is being restarted.
func (p *partitionedProcess) restart(how syscall.Signal) {
	p.mu.Lock()
	if p.restarting {
		p.mu.Unlock()
		return
	}
	p.restarting = true
	c := p.process
	p.mu.Unlock()
	if err := c.Process.Signal(how); err != nil {
		p.f.t.Errorf("router %d: %v", p.number, err)
	}
	if err := c.Wait(); err != nil && how == syscall.SIGTERM {
		p.f.t.Errorf("router %d: stopped with %v", p.number, err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.start()
	p.restarting = false
}
