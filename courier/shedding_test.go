package courier

import (
	"context"
	"io"
	"net"
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
	s := newShedding(a, loadTestNode(t, ""), zap.NewNop())
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

// Guards against a crowded router that reads requests which it can't serve in time: its callers use up
// their retry for a response instead of a closed connection, which any other router makes good.
func TestCrowdedRouterClosesNewConnectionsUnread(t *testing.T) {
	g := gomega.NewWithT(t)
	const rate = 100_000
	a := shaper.NewAdmission(rate, &shaper.Lag{})
	s := newShedding(a, loadTestNode(t, ""), zap.NewNop())
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	l := s.listener(inner)
	defer l.Close()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				_, _ = io.Copy(c, c)
			}()
		}
	}()
	// answered returns how many of 50 connections are served.
	answered := func() (n int) {
		for range 50 {
			c, err := net.Dial("tcp", inner.Addr().String())
			if err != nil {
				continue
			}
			_, _ = c.Write([]byte("x"))
			if _, err := io.ReadFull(c, make([]byte, 1)); err == nil {
				n++
			}
			_ = c.Close()
		}
		return n
	}
	use := func(permille uint32) {
		s.observe(&messenger.ZoneLoad{MeanPermille: permille, Routers: 14})
		for range 40 {
			a.Received(time.Now(), rate/20)
			s.step(time.Now())
			time.Sleep(gateTestStep)
		}
	}
	g.Expect(answered()).To(gomega.Equal(50))
	use(900)
	g.Expect(answered()).To(gomega.Equal(50), "others are as busy")
	use(150)
	g.Expect(answered()).To(gomega.BeNumerically("<", 40))
	g.Expect(s.load(time.Now()).Permille).To(gomega.BeNumerically(">", 700))
}

const gateTestStep = 50 * time.Millisecond

// Guards against connections that are refused although that is switched off.
func TestConnectionSheddingCanBeSwitchedOff(t *testing.T) {
	g := gomega.NewWithT(t)
	a := shaper.NewAdmission(100_000, &shaper.Lag{})
	s := newShedding(a, loadTestNode(t, "connection_shedding = false"), zap.NewNop())
	s.observe(&messenger.ZoneLoad{MeanPermille: 100, Routers: 14})
	for range 20 {
		a.Received(time.Now(), 10_000)
		s.step(time.Now())
		time.Sleep(gateTestStep)
	}
	for range 100 {
		g.Expect(s.admits()).To(gomega.BeTrue())
	}
}
