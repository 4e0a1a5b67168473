package launcher

import (
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"testing"
)

// LockAddresses waits until no other test on this machine uses the addresses that a name stands for.
// Otherwise, two checkouts that run the same test would fail with "address already in use", or connect to
// each other's processes. The lock is released after the clean-up functions that the test registers later.
func LockAddresses(t testing.TB, name string) {
	t.Helper()
	f, err := os.OpenFile(filepath.Join(os.TempDir(), fmt.Sprintf("rattanhoist-%s.lock", name)), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		t.Fatal(err)
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = f.Close() })
}

// lockNet locks the addresses of a net.
func lockNet(t testing.TB, net int) {
	t.Helper()
	LockAddresses(t, fmt.Sprint("net-", net))
}
