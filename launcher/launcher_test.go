package launcher_test

import (
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"github.com/onsi/gomega"

	"rattanhoist.example/rattanhoist/imitator"
	"rattanhoist.example/rattanhoist/launcher"
)

func TestMain(m *testing.M) { launcher.Main(m) }

// Guards against a fleet of real processes that does not serve.
func TestFleetServes(t *testing.T) {
	g := gomega.NewWithT(t)
	f := launcher.Start(t, launcher.Options{Net: 30})
	f.Eventually("keepers answer", func() bool { _, code := f.Command("config", "show"); return code == 0 })
	var made struct{ Key string }
	g.Expect(json.Unmarshal([]byte(f.MustCommand("workspace", "create", "w")), &made)).To(gomega.Succeed())
	f.MustCommand("service", "set", "llm", "--kind", "model", "--model", "m")
	f.MustCommand("statement", "set", "all")
	f.MustCommand("budget", "topup", "w", "5000", "--id", "osu-hall/1")
	f.StartEndpoint("engine", "llm-1", "llm", "osu-hall", 1)
	f.Eventually("router is ready", func() bool { return f.Ready("osu-hall-1") })
	p, err := f.Settings().Process("router", "osu-hall-1")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	call := imitator.Call{Router: p.HTTP(), Key: made.Key, RequestID: "a", Model: "m", Prompt: "hello", MaxTokens: 8, Stream: true}
	var reply *imitator.Reply
	f.Eventually("request is answered", func() bool { reply, err = call.Do(context.Background()); return err == nil })
	g.Expect(reply.Endpoint).To(gomega.Equal("llm-1"))
	g.Expect(f.Terminate("osu-hall-1")).To(gomega.Succeed())
}

// Guards against "unexpected end of JSON input" in tests that read a run log while its last line is
// being written.
func TestReadWholeWaitsForTheLinesEnd(t *testing.T) {
	g := gomega.NewWithT(t)
	path := filepath.Join(t.TempDir(), "runs")
	file, err := os.Create(path)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = file.Close() }()
	_, err = file.WriteString("one\ntw")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	text := make(chan string, 1)
	go func() {
		s, _ := launcher.ReadWhole(path)
		text <- s
	}()
	g.Consistently(text, "50ms").ShouldNot(gomega.Receive())
	_, err = file.WriteString("o\n")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Eventually(text, "10s").Should(gomega.Receive(gomega.Equal("one\ntwo\n")))
}
