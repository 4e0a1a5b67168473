package launcher_test

import (
	"context"
	"encoding/json"
	"testing"

	"github.com/onsi/gomega"

	"rattanhoist.example/rattanhoist/imitator"
	"rattanhoist.example/rattanhoist/launcher"
)

func TestMain(m *testing.M) { launcher.Main(m) }

// TestFleetServes is the pattern for tests with real processes.
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
