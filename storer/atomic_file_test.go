package storer

import (
	"os"
	"testing"

	"github.com/onsi/gomega"
)

func TestFileIsReplacedWhole(t *testing.T) {
	g := gomega.NewWithT(t)
	n := NewAtomicFile(t.TempDir(), "note")
	b, err := n.Read()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(b).To(gomega.BeNil())
	for _, text := range []string{"one", "another", ""} {
		g.Expect(n.Write([]byte(text))).To(gomega.Succeed())
		b, err := n.Read()
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(string(b)).To(gomega.Equal(text))
	}
}

// Guards against a keeper that uses a partly written file after a loss of power
// during a write. This happens if the file is read without checking its
// checksum.
func TestTornFileIsRejected(t *testing.T) {
	g := gomega.NewWithT(t)
	n := NewAtomicFile(t.TempDir(), "note")
	g.Expect(n.Write([]byte("some endpoints"))).To(gomega.Succeed())
	whole, err := os.ReadFile(n.path)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	for cut := range whole {
		g.Expect(os.WriteFile(n.path, whole[:cut], fileMode)).To(gomega.Succeed())
		_, err := n.Read()
		g.Expect(err).To(gomega.MatchError(ErrTorn))
	}
}
