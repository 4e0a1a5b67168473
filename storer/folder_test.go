package storer

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	"github.com/onsi/gomega"
)

// Symptom: a keeper comes back from a power cut with an empty data folder and
// freezes its zone's rights. Sequence: first start, answers given, power cut.
// Cause: the store's file was synced, the folders that name it were not.
func TestNamesAreDurableBeforeRows(t *testing.T) {
	g := gomega.NewWithT(t)
	root := t.TempDir()
	dir := filepath.Join(root, "data", "osu-hall-keeper")
	var synced []string
	note := func(folder string) error {
		synced = append(synced, folder)
		return syncFolder(folder)
	}
	_, closeStore, err := open(dir, files{syncFolder: note, openFile: os.OpenFile})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(closeStore()).To(gomega.Succeed())
	g.Expect(synced).To(gomega.Equal([]string{root, filepath.Join(root, "data"), dir}))

	// A crash between a creation and the sync of its name: the next start syncs
	// it.
	synced = nil
	_, closeStore, err = open(dir, files{syncFolder: note, openFile: os.OpenFile})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(closeStore()).To(gomega.Succeed())
	g.Expect(synced).To(gomega.Equal([]string{filepath.Join(root, "data"), dir}))
}

// Symptom: as above, with data_dir written with a slash at its end. Sequence:
// first start, answers given, power cut. Cause: the folder "above" data/ was
// taken to be data, so the one that names it was not synced.
func TestNameWithASlashIsDurable(t *testing.T) {
	g := gomega.NewWithT(t)
	root := t.TempDir()
	var synced []string
	note := func(folder string) error {
		synced = append(synced, filepath.Clean(folder))
		return nil
	}
	for range 2 {
		synced = nil
		_, closeStore, err := open(filepath.Join(root, "data")+"/", files{syncFolder: note, openFile: os.OpenFile})
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(closeStore()).To(gomega.Succeed())
		g.Expect(synced).To(gomega.Equal([]string{root, filepath.Join(root, "data")}))
	}
}

// Symptom: the process dies of a full stack. Sequence: a store without a
// folder's name. Cause: a folder that can't be made was tried again for ever.
func TestNoNameIsNoFolder(t *testing.T) {
	_, _, err := Open("")
	gomega.NewWithT(t).Expect(err).To(gomega.MatchError(ErrStore))
}

// Symptom: a keeper answers from a store whose name may not last. Sequence: the
// sync of a folder fails at the first start. Cause: the error is dropped.
func TestFailedSyncOfANameIsNoStore(t *testing.T) {
	for _, failing := range []string{"", "data", "data/keeper"} {
		g := gomega.NewWithT(t)
		root := t.TempDir()
		_, _, err := open(filepath.Join(root, "data", "keeper"), files{openFile: os.OpenFile, syncFolder: func(folder string) error {
			if folder == filepath.Join(root, failing) {
				return errors.New("input/output error")
			}
			return nil
		}})
		g.Expect(err).To(gomega.MatchError(ErrStore), failing)
	}
}
