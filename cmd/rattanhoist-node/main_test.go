package main

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// runAsNodeVariable makes this binary run main instead of tests.
const runAsNodeVariable = "RUN_AS_NODE"

func TestMain(m *testing.M) {
	if os.Getenv(runAsNodeVariable) != "" {
		main()
		os.Exit(0)
	}
	os.Exit(runTests(m))
}

func runTests(m *testing.M) int {
	var err error
	if buildDir, err = os.MkdirTemp("", "rattanhoist-node-test"); err != nil {
		panic(err)
	}
	defer func() { _ = os.RemoveAll(buildDir) }()
	return m.Run()
}

// Guards against a process that changed settings end, because it does not expect their signal yet: it
// still reads the settings with which it starts.
func TestHangupDuringTheStartDoesNotEndTheProcess(t *testing.T) {
	g := gomega.NewWithT(t)
	file := filepath.Join(t.TempDir(), "node.ini")
	g.Expect(syscall.Mkfifo(file, 0o600)).To(gomega.Succeed())
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	c := exec.CommandContext(ctx, os.Args[0])
	c.Env = append(os.Environ(), runAsNodeVariable+"=1", settingsVariable+"="+file)
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	g.Expect(c.Start()).To(gomega.Succeed())
	// It is opened once the process opens it too.
	settings, err := os.OpenFile(file, os.O_WRONLY, 0)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(c.Process.Signal(syscall.SIGHUP)).To(gomega.Succeed())
	time.Sleep(100 * time.Millisecond)
	// What it opens from now on is a file.
	const faulty = "[node]\n"
	g.Expect(os.Remove(file)).To(gomega.Succeed())
	g.Expect(os.WriteFile(file, []byte(faulty), 0o600)).To(gomega.Succeed())
	_, _ = settings.WriteString(faulty)
	_ = settings.Close()
	_ = c.Wait()
	g.Expect(c.ProcessState.ExitCode()).To(gomega.Equal(1), "it ends because of its faulty settings: %s", c.ProcessState)
}
