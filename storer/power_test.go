package storer

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"path/filepath"
	"reflect"
	"syscall"
	"testing"
	"unsafe"

	"github.com/onsi/gomega"
)

const (
	// sectorBytes is the size of the unit that a disk writes atomically.
	sectorBytes = 512
	// metaPages is the number of bbolt meta pages at the start of the file. They
	// are written after the other pages were synced and select the current
	// version of the rows.
	metaPages = 2
	// powerLossSeeds is the number of seeds that each test runs. Of 40 seeds, the
	// first one or two detect a store without syncs.
	powerLossSeeds = 40
)

// powerLossDisk is a store's directory for which a loss of power is simulated.
type powerLossDisk struct {
	t    *testing.T
	dir  string
	file *os.File
	// firstOpened is the path of the first file that was opened.
	firstOpened string
}

// open opens the store and keeps its file for withoutSync.
func (d *powerLossDisk) open() (*Store, func() error) {
	d.t.Helper()
	s, closeStore, err := open(d.dir, fileOps{syncDir: syncDir, syncFile: (*os.File).Sync, openFile: func(name string, flag int, mode os.FileMode) (*os.File, error) {
		f, err := os.OpenFile(name, flag, mode)
		d.file = f
		d.firstOpened = cmp.Or(d.firstOpened, name)
		return f, err
	}})
	if err != nil {
		d.t.Fatal(err)
	}
	return s, closeStore
}

// withoutSync calls f while the store's file descriptor refers to the null
// device, which accepts writes and fails to sync them.
func (d *powerLossDisk) withoutSync(f func()) {
	d.t.Helper()
	fd := int(d.file.Fd())
	kept, err := syscall.Dup(fd)
	if err != nil {
		d.t.Fatal(err)
	}
	null, err := os.OpenFile(os.DevNull, os.O_RDWR, 0)
	if err != nil {
		d.t.Fatal(err)
	}
	swap := func(from int) {
		if err := syscall.Dup3(from, fd, syscall.O_CLOEXEC); err != nil {
			d.t.Fatal(err)
		}
	}
	swap(int(null.Fd()))
	f()
	swap(kept)
	if err := errors.Join(syscall.Close(kept), null.Close()); err != nil {
		d.t.Fatal(err)
	}
}

// image returns the current content of the store's file.
func (d *powerLossDisk) image() []byte {
	d.t.Helper()
	b, err := os.ReadFile(filepath.Join(d.dir, fileName))
	if err != nil {
		d.t.Fatal(err)
	}
	return b
}

// syncs reports whether the store waits for the disk to sync. Such a store can't
// acknowledge a change while syncs fail.
func (d *powerLossDisk) syncs() bool {
	d.t.Helper()
	probe := &powerLossDisk{t: d.t, dir: filepath.Join(d.t.TempDir(), "probe")}
	s, closeStore := probe.open()
	defer func() { _ = closeStore() }()
	if err := s.Apply([]Row{{Bucket: "log", Key: "1", Value: []byte("a")}}); err != nil {
		d.t.Fatal(err)
	}
	var err error
	probe.withoutSync(func() { err = s.Apply([]Row{{Bucket: "log", Key: "1", Value: []byte("b")}}) })
	return err != nil
}

// Guards against an acknowledged change that is lost with the power. This happens
// if the disk accepts the writes but fails to sync them, and the store does not
// sync or ignores the error.
func TestWritesFailWithoutSync(t *testing.T) {
	g := gomega.NewWithT(t)
	d := &powerLossDisk{t: t, dir: t.TempDir()}
	s, closeStore := d.open()
	defer func() { _ = closeStore() }()
	row := func(v string) []Row { return []Row{{Bucket: "log", Key: "1", Value: []byte(v)}} }
	g.Expect(s.Apply(row("first"))).To(gomega.Succeed())
	d.withoutSync(func() {
		g.Expect(s.Apply(row("second"))).To(gomega.MatchError(ErrStore))
		g.Expect(s.Clear("log")).To(gomega.MatchError(ErrStore))
	})
	v, err := s.Get("log", "1")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(string(v)).To(gomega.Equal("first"))
}

// imageAfterPowerLoss returns a random possible content of the disk after a loss
// of power. Each sector that was written but not synced is lost or kept
// independently, so pages can be torn. If the store syncs, it writes the data
// pages before the first sync and the meta pages after it.
func imageAfterPowerLoss(synced, written []byte, syncs bool, r *rand.Rand) []byte {
	out := bytes.Clone(synced)
	if len(written) > len(out) && r.IntN(2) == 0 {
		out = append(out, make([]byte, len(written)-len(out))...)
	}
	metas := metaPages * os.Getpagesize()
	metasReached := r.IntN(2) == 0
	for at := 0; at+sectorBytes <= min(len(out), len(written)); at += sectorBytes {
		keep := r.IntN(2) == 0
		if syncs && at < metas {
			keep = keep && metasReached
		} else if syncs {
			keep = keep || metasReached
		}
		if keep {
			copy(out[at:at+sectorBytes], written[at:])
		}
	}
	if syncs && metasReached {
		// The data pages were synced, and with them the length of the file.
		out = append(out, written[min(len(out), len(written)):]...)
	}
	return out
}

// readRows returns all rows of the store in dir, or an error if its file is
// damaged.
func readRows(dir string) (out map[string]string, err error) {
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("damaged: %v", p)
		}
	}()
	s, closeStore, err := Open(dir)
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, closeStore()) }()
	out = map[string]string{}
	err = s.Each("log", func(key string, value []byte) error {
		out[key] = string(value)
		return nil
	})
	return out, err
}

// Guards against a keeper that, after a loss of power, lacks acknowledged rows,
// has half of a change, or can't open its file. Power is lost during or right
// after a change of several rows. The fault occurs if writes are acknowledged
// before they are synced, or if a page is overwritten while the previous version
// of the rows still needs it.
func TestAcknowledgedRowsSurvivePowerLoss(t *testing.T) {
	for seed := range uint64(powerLossSeeds) {
		r := rand.New(rand.NewPCG(seed, 7))
		d := &powerLossDisk{t: t, dir: t.TempDir()}
		syncs := d.syncs()
		s, closeStore := d.open()
		// This row is durable before the first loss of power, so it must survive
		// every one.
		if err := s.Apply([]Row{{Bucket: "log", Key: "founded", Value: []byte("yes")}}); err != nil {
			t.Fatal(err)
		}
		synced := d.image()
		acknowledged := map[string]string{"founded": "yes"}
		for range 1 + r.IntN(12) {
			before, change := maps.Clone(acknowledged), randomRows(r, acknowledged)
			if err := s.Apply(change); err != nil {
				t.Fatal(err)
			}
			written := d.image()
			during := imageAfterPowerLoss(synced, written, syncs, r)
			checkAfterLoss(t, seed, during, before, acknowledged)
			if syncs {
				synced = written
			}
			checkAfterLoss(t, seed, imageAfterPowerLoss(synced, written, syncs, r), acknowledged)
		}
		if err := closeStore(); err != nil {
			t.Fatal(err)
		}
	}
}

// randomRows returns a change of up to eight rows, some of them larger than a
// page, and applies it to rows.
func randomRows(r *rand.Rand, rows map[string]string) []Row {
	var out []Row
	for range 1 + r.IntN(8) {
		key := fmt.Sprint("row-", r.IntN(24))
		if _, there := rows[key]; there && r.IntN(4) == 0 {
			delete(rows, key)
			out = append(out, Row{Bucket: "log", Key: key})
			continue
		}
		value := bytes.Repeat([]byte{byte('a' + r.IntN(26))}, 1+r.IntN(9000))
		rows[key] = string(value)
		out = append(out, Row{Bucket: "log", Key: key, Value: value})
	}
	return out
}

// checkAfterLoss opens a store from a file image and fails the test unless its
// rows equal one of the allowed versions.
func checkAfterLoss(t *testing.T, seed uint64, image []byte, allowed ...map[string]string) {
	t.Helper()
	dir := t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, fileName), image, fileMode); err != nil {
		t.Fatal(err)
	}
	got, err := readRows(dir)
	if err != nil {
		t.Fatalf("seed %d: the store doesn't open after a loss of power: %v", seed, err)
	}
	for _, a := range allowed {
		if maps.Equal(got, a) {
			return
		}
	}
	t.Fatalf("seed %d: %d rows after a loss of power, acknowledged were %d", seed, len(got), len(allowed[len(allowed)-1]))
}

// Guards against a keeper that never starts again because the power was lost while its first file was
// written. Such a file holds nothing that was acknowledged.
func TestPowerLossDuringCreationLeavesAnEmptyStore(t *testing.T) {
	for seed := range uint64(powerLossSeeds) {
		r := rand.New(rand.NewPCG(seed, 13))
		d := &powerLossDisk{t: t, dir: t.TempDir()}
		_, closeStore := d.open()
		created := d.image()
		if err := closeStore(); err != nil {
			t.Fatal(err)
		}
		dir := t.TempDir()
		remains := imageAfterPowerLoss(nil, created, false, r)
		if err := os.WriteFile(filepath.Join(dir, filepath.Base(d.firstOpened)), remains, fileMode); err != nil {
			t.Fatal(err)
		}
		s, closeStore, err := Open(dir)
		if err != nil {
			t.Fatalf("seed %d: the store doesn't open after a loss of power: %v", seed, err)
		}
		if err := s.Apply([]Row{{Bucket: "log", Key: "1", Value: []byte("a")}}); err != nil {
			t.Fatal(err)
		}
		if err := closeStore(); err != nil {
			t.Fatal(err)
		}
	}
}

// metaSyncDisk is a disk that may fail to sync a meta page. As on Linux, the page then stays readable but
// reaches the disk only if it is written again.
type metaSyncDisk struct {
	powerLossDisk
	store *Store
	// durable is what a loss of power leaves.
	durable []byte
	// written holds the writes since the last sync, by offset.
	written map[int64][]byte
	// metaWritten is set while the last write was that of a meta page.
	metaWritten bool
	// failing makes the sync after the write of a meta page fail.
	failing bool
}

// record makes the store's writes known to the disk.
func (d *metaSyncDisk) record() {
	field := reflect.ValueOf(d.store.db).Elem().FieldByName("ops").FieldByName("writeAt")
	writeAt := (*func([]byte, int64) (int, error))(unsafe.Pointer(field.UnsafeAddr()))
	original := *writeAt
	*writeAt = func(b []byte, at int64) (int, error) {
		isMeta := at < int64(metaPages*os.Getpagesize())
		if d.metaWritten && !isMeta {
			// An earlier transaction of this call was synced.
			d.durable, d.written = d.content(true), map[int64][]byte{}
		}
		d.metaWritten = isMeta
		d.written[at] = bytes.Clone(b)
		n, err := original(b, at)
		if d.failing && isMeta {
			d.refuseSync()
		}
		return n, err
	}
}

// refuseSync lets the file descriptor refer to the null device until apply ends.
func (d *metaSyncDisk) refuseSync() {
	null, err := os.OpenFile(os.DevNull, os.O_RDWR, 0)
	if err != nil {
		d.t.Fatal(err)
	}
	if err := syscall.Dup3(int(null.Fd()), int(d.file.Fd()), syscall.O_CLOEXEC); err != nil {
		d.t.Fatal(err)
	}
	if err := null.Close(); err != nil {
		d.t.Fatal(err)
	}
}

// apply applies rows and returns whether they were acknowledged.
func (d *metaSyncDisk) apply(rows []Row, fails bool) bool {
	kept, err := syscall.Dup(int(d.file.Fd()))
	if err != nil {
		d.t.Fatal(err)
	}
	d.written, d.metaWritten, d.failing = map[int64][]byte{}, false, fails
	err = d.store.Apply(rows)
	if err := errors.Join(syscall.Dup3(kept, int(d.file.Fd()), syscall.O_CLOEXEC), syscall.Close(kept)); err != nil {
		d.t.Fatal(err)
	}
	return err == nil
}

// content returns the durable content with the recorded writes.
func (d *metaSyncDisk) content(withMetas bool) []byte {
	out := bytes.Clone(d.durable)
	for at, b := range d.written {
		if at < int64(metaPages*os.Getpagesize()) && !withMetas {
			continue
		}
		if end := int(at) + len(b); end > len(out) {
			out = append(out, make([]byte, end-len(out))...)
		}
		copy(out[at:], b)
	}
	return out
}

// Guards against a store that relies on a page whose sync failed: after a loss of power during a later
// change, acknowledged rows were missing or the file was damaged.
func TestAcknowledgedRowsSurviveAFailedSyncAndPowerLoss(t *testing.T) {
	failed := 0
	for seed := range uint64(powerLossSeeds) {
		r := rand.New(rand.NewPCG(seed, 17))
		d := &metaSyncDisk{powerLossDisk: powerLossDisk{t: t, dir: t.TempDir()}}
		var closeStore func() error
		d.store, closeStore = d.open()
		if err := d.store.Apply([]Row{{Bucket: "log", Key: "founded", Value: []byte("yes")}}); err != nil {
			t.Fatal(err)
		}
		d.durable = d.image()
		d.record()
		acknowledged := map[string]string{"founded": "yes"}
		for range 2 + r.IntN(12) {
			before, after := maps.Clone(acknowledged), maps.Clone(acknowledged)
			change := randomRows(r, after)
			for !d.apply(change, r.IntN(3) == 0) {
				failed++
				checkAfterLoss(t, seed, imageAfterPowerLoss(d.durable, d.content(true), true, r), before, after)
				d.durable = d.content(false)
				if r.IntN(2) == 0 {
					// The process ends instead of trying again.
					if err := closeStore(); err != nil {
						t.Fatal(err)
					}
					d.store, closeStore = d.open()
					d.record()
				}
			}
			acknowledged = after
			checkAfterLoss(t, seed, imageAfterPowerLoss(d.durable, d.content(true), true, r), before, acknowledged)
			d.durable = d.content(true)
			checkAfterLoss(t, seed, d.durable, acknowledged)
		}
		if err := closeStore(); err != nil {
			t.Fatal(err)
		}
	}
	if failed == 0 {
		t.Fatal("no sync failed")
	}
}
