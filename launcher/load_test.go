package launcher_test

import (
	"context"
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rattanhoist.example/rattanhoist/imitator"
	"rattanhoist.example/rattanhoist/launcher"
	"rattanhoist.example/rattanhoist/loader"
)

// Guards against callers whose checks of answers don't fit real engines and plain services.
func TestLoadChecksEveryAnswer(t *testing.T) {
	g := gomega.NewWithT(t)
	f := launcher.Start(t, launcher.Options{Net: 109})
	f.Eventually("keepers answer", func() bool { _, code := f.Command("config", "show"); return code == 0 })
	var made struct{ Key string }
	g.Expect(json.Unmarshal([]byte(f.MustCommand("workspace", "create", "w")), &made)).To(gomega.Succeed())
	f.MustCommand("service", "set", "llm", "--kind", "model", "--model", "m")
	f.MustCommand("service", "set", "desk", "--kind", "plain", "--call-price", "5")
	f.MustCommand("statement", "set", "all")
	f.Eventually("top-up", func() bool {
		_, code := f.Command("budget", "topup", "w", "500000", "--id", "osu-hall/1")
		return code == 0
	})
	f.StartEndpoint("engine", "llm-1", "llm", "osu-hall", 1)
	f.StartEndpoint("plain", "desk-1", "desk", "tema-hall", 2)
	l := imitator.Load{
		Call:  imitator.Call{Key: made.Key, Workspace: "w", Model: "m", MaxTokens: 8, Prompt: "report <b>&"},
		Count: 40, Concurrent: 4, For: 20 * time.Second, Retries: 50, Seed: 1,
	}
	for _, p := range f.Settings().Processes(loader.KindRouter) {
		f.Eventually(p.Name()+" is ready", func() bool { return f.Ready(p.Name()) })
		l.Routers = append(l.Routers, p.HTTP())
		for _, service := range []string{"", "desk"} {
			c := l.Call
			c.Router, c.Service, c.Path, c.RequestID = p.HTTP(), service, "/first", "first-"+service+p.Name()
			f.Eventually(p.Name()+" answers", func() bool { _, err := c.Do(context.Background()); return err == nil })
		}
	}
	f.AwaitInForce()
	s, err := l.Run(context.Background())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(s.Answered).To(gomega.Equal(40), "%+v", s)
	l.Call.Service, l.Call.Path, l.Prefix = "desk", "/status/7", "plain-"
	s, err = l.Run(context.Background())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(s.Answered).To(gomega.Equal(40), "%+v", s)
	begun := map[string]int{}
	for _, r := range append(f.Runs("llm-1"), f.Runs("desk-1")...) {
		if r.Event == "begin" && !strings.HasPrefix(r.RequestID, "w/first-") {
			begun[r.RequestID]++
		}
	}
	g.Expect(begun).To(gomega.HaveLen(80))
}
