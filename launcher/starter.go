package launcher

import (
	"os/exec"
	"runtime"
	"sync"
	"syscall"
)

// start starts a process that the kernel kills when this process ends. Otherwise, a test that exceeds its
// time limit leaves a deployment behind, and later runs fail with "address already in use".
//
// The kernel kills the process when the thread that started it ends. Therefore all processes are started
// by one thread that runs as long as the tests, because Go's runtime may end other threads earlier.
func start(c *exec.Cmd) error {
	startOnce.Do(func() { go starter() })
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	r := startRequest{command: c, done: make(chan error, 1)}
	starts <- r
	return <-r.done
}

type startRequest struct {
	command *exec.Cmd
	done    chan error
}

var (
	startOnce sync.Once
	starts    = make(chan startRequest)
)

func starter() {
	runtime.LockOSThread()
	for r := range starts {
		r.done <- r.command.Start()
	}
}
