package scripts_test

import (
	"bufio"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

const (
	demoNet   = "127.218."
	sampleNet = "127.10."
	keeperRPC = demoNet + "1.1:7071"
)

// Guards against processes that a demo leaves behind when the reader of its output ends, as in
// `make demo | head`: the next demo would connect to them.
func TestDemoStopsItsProcessesWhenItsReaderIsGone(t *testing.T) {
	g := gomega.NewWithT(t)
	r, w, err := os.Pipe()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	c := exec.Command("./demo.sh", sampleAtNet(g, t.TempDir()))
	c.Stdout, c.Stderr = w, w
	g.Expect(c.Start()).To(gomega.Succeed())
	g.Expect(w.Close()).To(gomega.Succeed())
	lines := bufio.NewScanner(r)
	for lines.Scan() && !strings.HasPrefix(lines.Text(), "TOP_UP") {
		t.Log(lines.Text())
	}
	g.Expect(lines.Text()).To(gomega.HavePrefix("TOP_UP"), "the demo ended before its processes ran")
	g.Expect(dialKeeper()).To(gomega.Succeed())
	g.Expect(r.Close()).To(gomega.Succeed())
	g.Expect(c.Wait()).NotTo(gomega.Succeed(), "no line met the closed pipe")
	g.Expect(dialKeeper()).NotTo(gomega.Succeed(), "a keeper of the demo still runs")
}

// sampleAtNet copies the sample deployment to addresses of its own and
// returns its place as demo.sh takes it.
func sampleAtNet(g *gomega.WithT, dir string) string {
	sample, err := filepath.Abs("../deployments/adwenpa")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	for _, name := range []string{"rattanhoist.ini", "demo.env"} {
		b, err := os.ReadFile(filepath.Join(sample, name))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		text := strings.ReplaceAll(string(b), sampleNet, demoNet)
		text = strings.ReplaceAll(text, "net=10\n", "net=218\n")
		g.Expect(os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600)).To(gomega.Succeed())
	}
	place, err := filepath.Rel(filepath.Dir(sample), dir)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	return place
}

func dialKeeper() error {
	c, err := net.DialTimeout("tcp", keeperRPC, time.Second)
	if err == nil {
		_ = c.Close()
	}
	return err
}
