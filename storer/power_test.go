package storer

import (
	"bytes"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/onsi/gomega"
)

const (
	// sectorBytes is what a disk writes whole or not at all.
	sectorBytes = 512
	// metaPages are the first pages of the file, written after the rest was
	// synced; they tell which rows are in force.
	metaPages = 2
	// lossSeeds is how often each test loses power; 40 of them find a store
	// without syncs in the first one or two.
	lossSeeds = 40
)

// disk is a store's folder whose power can be lost.
type disk struct {
	t    *testing.T
	dir  string
	file *os.File
}

func (d *disk) open() (*Store, func() error) {
	d.t.Helper()
	s, closeStore, err := open(d.dir, files{syncFolder: syncFolder, openFile: func(name string, flag int, mode os.FileMode) (*os.File, error) {
		f, err := os.OpenFile(name, flag, mode)
		d.file = f
		return f, err
	}})
	if err != nil {
		d.t.Fatal(err)
	}
	return s, closeStore
}

// withoutSync calls f while the store's descriptor takes writes and refuses to
// sync them: that of the null device does both.
func (d *disk) withoutSync(f func()) {
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

func (d *disk) image() []byte {
	d.t.Helper()
	b, err := os.ReadFile(filepath.Join(d.dir, fileName))
	if err != nil {
		d.t.Fatal(err)
	}
	return b
}

// syncs reports whether the store waits for the disk: a store that does can't
// acknowledge while syncs fail.
func (d *disk) syncs() bool {
	d.t.Helper()
	probe := &disk{t: d.t, dir: filepath.Join(d.t.TempDir(), "probe")}
	s, closeStore := probe.open()
	defer func() { _ = closeStore() }()
	if err := s.Apply([]Row{{Bucket: "log", Key: "1", Value: []byte("a")}}); err != nil {
		d.t.Fatal(err)
	}
	var err error
	probe.withoutSync(func() { err = s.Apply([]Row{{Bucket: "log", Key: "1", Value: []byte("b")}}) })
	return err != nil
}

// Symptom: an acknowledged change is gone after a loss of power. Sequence: the
// disk takes the writes and fails the sync. Cause: a store that does not sync,
// or drops the error of it.
func TestNothingIsAcknowledgedWithoutASync(t *testing.T) {
	g := gomega.NewWithT(t)
	d := &disk{t: t, dir: t.TempDir()}
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

// lose returns what a disk may hold after a loss of power, by a seed. Written
// but not synced sectors are gone or kept each by itself, so pages are torn.
// With syncs the pages come before the first sync and the meta pages after it.
func lose(synced, written []byte, syncs bool, r *rand.Rand) []byte {
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
		// The pages were synced, and with them the length of the file.
		out = append(out, written[min(len(out), len(written)):]...)
	}
	return out
}

// contents returns all rows, or an error of a damaged file.
func contents(dir string) (out map[string]string, err error) {
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

// Symptom: a keeper comes back from a loss of power without what it
// acknowledged, with half of a change, or with a file that it can't open.
// Sequence: changes of several rows, power lost while one is being written or
// right after it. Cause: writes that are acknowledged before they are synced,
// or a page that is overwritten while older rows need it.
func TestAcknowledgedRowsOutliveALossOfPower(t *testing.T) {
	for seed := range uint64(lossSeeds) {
		r := rand.New(rand.NewPCG(seed, 7))
		d := &disk{t: t, dir: t.TempDir()}
		syncs := d.syncs()
		s, closeStore := d.open()
		// Founded is the state that every loss can go back to at most.
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
			during := lose(synced, written, syncs, r)
			checkAfterLoss(t, seed, during, before, acknowledged)
			if syncs {
				synced = written
			}
			checkAfterLoss(t, seed, lose(synced, written, syncs, r), acknowledged)
		}
		if err := closeStore(); err != nil {
			t.Fatal(err)
		}
	}
}

// randomRows changes up to eight rows, some of several pages, and rows.
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

// checkAfterLoss starts from an image and wants one of the allowed contents.
func checkAfterLoss(t *testing.T, seed uint64, image []byte, allowed ...map[string]string) {
	t.Helper()
	dir := t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, fileName), image, fileMode); err != nil {
		t.Fatal(err)
	}
	got, err := contents(dir)
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
