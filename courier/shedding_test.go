package courier

import (
	"context"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"go.uber.org/zap"

	"rattanhoist.example/rattanhoist/messenger"
	"rattanhoist.example/rattanhoist/shaper"
)

// Callers fill the link of one router, and others in its zone have capacity left. Guards
// against a router that stays ready, or that keeps the connections of its callers open.
func TestBusyRouterSendsCallersElsewhere(t *testing.T) {
	g := gomega.NewWithT(t)
	const rate = 100_000
	a := shaper.NewAdmission(rate, &shaper.Lag{})
	s := newShedding(a, zap.NewNop())
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	kept := make(chan bool, 1)
	go s.run(ctx, func(keep bool) { kept <- keep })
	go func() {
		for ctx.Err() == nil {
			a.Received(time.Now(), rate/50)
			time.Sleep(20 * time.Millisecond)
		}
	}()
	g.Consistently(s.active, time.Second).Should(gomega.BeFalse(), "the load of the zone is unknown")
	s.observe(&messenger.ZoneLoad{MeanPermille: 200, Routers: 14})
	g.Eventually(s.active, time.Second).Should(gomega.BeTrue())
	g.Expect(s.load(time.Now()).Shedding).To(gomega.BeTrue())
	g.Expect(kept).NotTo(gomega.Receive(), "the platform still sends new connections here")
	g.Eventually(kept, 4*time.Second).Should(gomega.Receive(gomega.BeFalse()))
}
