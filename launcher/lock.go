package launcher

import (
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"testing"
)

// lockNet waits until no other test process on this machine uses the addresses of a net. Otherwise, two
// checkouts that run the same test would fail with "address already in use", or connect to each other's
// processes. The lock is released when the process ends.
func lockNet(t testing.TB, net int) {
	t.Helper()
	f, err := os.OpenFile(filepath.Join(os.TempDir(), fmt.Sprintf("rattanhoist-net-%d.lock", net)), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		t.Fatal(err)
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = f.Close() })
}
