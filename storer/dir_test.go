package storer

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	"github.com/onsi/gomega"
)

// Guards against a keeper that finds an empty data directory after a loss of
// power and freezes its zone's rights. This happens at the first start if the
// store syncs its file, but not the directories that contain it, before the
// keeper answers requests.
func TestDirsAreSyncedBeforeRows(t *testing.T) {
	g := gomega.NewWithT(t)
	root := t.TempDir()
	dir := filepath.Join(root, "data", "osu-hall-keeper")
	var synced []string
	recordSync := func(folder string) error {
		synced = append(synced, folder)
		return syncDir(folder)
	}
	_, closeStore, err := open(dir, fileOps{syncDir: recordSync, openFile: os.OpenFile, syncFile: (*os.File).Sync})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(closeStore()).To(gomega.Succeed())
	g.Expect(synced).To(gomega.Equal([]string{root, filepath.Join(root, "data"), dir}))

	// After a crash between the creation of a directory and the sync of its
	// parent, the next start syncs the parent.
	synced = nil
	_, closeStore, err = open(dir, fileOps{syncDir: recordSync, openFile: os.OpenFile, syncFile: (*os.File).Sync})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(closeStore()).To(gomega.Succeed())
	g.Expect(synced).To(gomega.Equal([]string{filepath.Join(root, "data"), dir}))
}

// Guards against the same loss with a data_dir that ends in a slash. The parent
// of "data/" was computed as "data", so the real parent was not synced.
func TestDirWithTrailingSlashIsDurable(t *testing.T) {
	g := gomega.NewWithT(t)
	root := t.TempDir()
	var synced []string
	recordSync := func(folder string) error {
		synced = append(synced, filepath.Clean(folder))
		return nil
	}
	for range 2 {
		synced = nil
		_, closeStore, err := open(filepath.Join(root, "data")+"/", fileOps{syncDir: recordSync, openFile: os.OpenFile, syncFile: (*os.File).Sync})
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(closeStore()).To(gomega.Succeed())
		g.Expect(synced).To(gomega.Equal([]string{root, filepath.Join(root, "data")}))
	}
}

// Guards against a stack overflow when the directory name is empty: the creation
// of a directory that can't be created was retried recursively without end.
func TestEmptyDirIsRejected(t *testing.T) {
	_, _, err := Open("")
	gomega.NewWithT(t).Expect(err).To(gomega.MatchError(ErrStore))
}

// Guards against a keeper that answers from a store whose directory entry is not
// durable. This happens if the error of a directory sync at the first start is
// ignored.
func TestFailedDirSyncFailsOpen(t *testing.T) {
	for _, failing := range []string{"", "data", "data/keeper"} {
		g := gomega.NewWithT(t)
		root := t.TempDir()
		_, _, err := open(filepath.Join(root, "data", "keeper"), fileOps{openFile: os.OpenFile, syncFile: (*os.File).Sync, syncDir: func(folder string) error {
			if folder == filepath.Join(root, failing) {
				return errors.New("input/output error")
			}
			return nil
		}})
		g.Expect(err).To(gomega.MatchError(ErrStore), failing)
	}
}

// Guards against a keeper that acknowledges rows of its page cache: a process that was killed between a
// write and its sync leaves rows that are readable and not durable.
func TestFileIsSyncedBeforeItIsRead(t *testing.T) {
	g := gomega.NewWithT(t)
	dir := t.TempDir()
	synced := 0
	f := fileOps{syncDir: syncDir, openFile: os.OpenFile, syncFile: func(x *os.File) error {
		g.Expect(filepath.Base(x.Name())).To(gomega.Equal(fileName))
		synced++
		return x.Sync()
	}}
	for starts := 1; starts <= 2; starts++ {
		_, closeStore, err := open(dir, f)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(closeStore()).To(gomega.Succeed())
		g.Expect(synced).To(gomega.Equal(starts))
	}
	f.syncFile = func(*os.File) error { return errors.New("input/output error") }
	_, _, err := open(dir, f)
	g.Expect(err).To(gomega.MatchError(ErrStore))
}

// Guards against a store that is replaced by what an earlier creation left beside it.
func TestRemainsOfACreationAreIgnored(t *testing.T) {
	g := gomega.NewWithT(t)
	dir := t.TempDir()
	s, closeStore, err := Open(dir)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(s.Apply([]Row{{Bucket: "log", Key: "1", Value: []byte("a")}})).To(gomega.Succeed())
	g.Expect(closeStore()).To(gomega.Succeed())
	g.Expect(os.WriteFile(filepath.Join(dir, fileName+".new"), []byte("torn"), fileMode)).To(gomega.Succeed())
	g.Expect(readRows(dir)).To(gomega.Equal(map[string]string{"1": "a"}))
}
