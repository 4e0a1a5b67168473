package launcher

import (
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

const lockWait = 5 * time.Minute

// lockNet keeps a second test run on the machine from the same addresses
// until the test has ended: it would find them in use, and a test of failures
// would take that for one of its own.
func lockNet(t testing.TB, net int) {
	t.Helper()
	file, err := os.OpenFile(filepath.Join(os.TempDir(), fmt.Sprintf("rattanhoist-net-%d.lock", net)), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = file.Close() })
	end := time.Now().Add(lockWait)
	for syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB) != nil {
		if time.Now().After(end) {
			t.Fatalf("another test run has held the addresses of net %d for %s", net, lockWait)
		}
		time.Sleep(pollEvery)
	}
}
