package launcher

import (
	"os/exec"
	"runtime"
	"sync"
	"syscall"
)

// start has the kernel end the process when this one ends. Without that, a
// test that runs out of its time leaves a deployment behind that holds its
// addresses, and every later run of the test fails with "address already in
// use".
//
// The kernel watches the thread that started the process. All starts are made
// on one thread that lives as long as the tests: a thread that Go's runtime
// ends earlier would take a running deployment with it.
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
