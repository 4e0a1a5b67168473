package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rattanhoist.example/rattanhoist/launcher"
	"rattanhoist.example/rattanhoist/messenger"
)

// descriptorsFor returns the limit on descriptors that shows what a kind of crowd takes.
func descriptorsFor(kind string) int64 {
	if launcher.TakesDescriptors(kind) {
		return fewDescriptors
	}
	return manyDescriptors
}

// expectCrowdIsBorne sends a crowd of each kind to a target of a new fleet and checks that the processes live,
// stay within their memory and descriptors, and answer an ordinary request afterwards.
func expectCrowdIsBorne(t *testing.T, targetOf func(*smallFleet) launcher.Target, sets ...map[string]launcher.Misbehavior) {
	launcher.EachKind(t, sets, func(t *testing.T, kind string, m launcher.Misbehavior) {
		f := startSmallFleet(t, descriptorsFor(kind))
		launcher.Visit(t.Context(), targetOf(f), kind, m)
		f.expectServed()
		f.expectWithinBounds(gomega.NewWithT(t))
	})
}

// Guards against a router that clients of a route end: it runs out of memory or descriptors.
func TestRouterBearsCrowdsOnARoute(t *testing.T) {
	expectCrowdIsBorne(t, func(f *smallFleet) launcher.Target { return launcher.At(f.serve(), http.MethodPost, "/a/x") }, launcher.MisbehaviorsAnywhere, launcher.MisbehaviorsWithBodies)
}

// Guards against a router that clients end with many whole bodies at once, which it passes on.
func TestRouterBearsCrowdsWithWholeBodies(t *testing.T) {
	expectCrowdIsBorne(t, func(f *smallFleet) launcher.Target {
		return launcher.At(f.serve(), http.MethodPost, "/a/x")
	}, map[string]launcher.Misbehavior{"whole bodies": launcher.WholeBodies(strings.Repeat("x", launcher.LegalBodyBytes))})
}

// Guards against a router that clients end at a path that leads nowhere, where no limit of a route holds.
func TestRouterBearsCrowdsWithoutARoute(t *testing.T) {
	expectCrowdIsBorne(t, func(f *smallFleet) launcher.Target { return launcher.At(f.serve(), http.MethodPost, "/none") }, launcher.MisbehaviorsAnywhere, launcher.MisbehaviorsWithBodies)
}

// Guards against a router that is ended, or taken for not ready, because of clients at its readiness port.
func TestRouterBearsCrowdsAtItsReadinessPort(t *testing.T) {
	expectCrowdIsBorne(t, func(f *smallFleet) launcher.Target { return launcher.At(f.ready(), http.MethodGet, "/v1/ready") }, launcher.MisbehaviorsAnywhere, launcher.MisbehaviorsWithBodies)
}

// Guards against a keeper that clients end with documents.
func TestKeeperBearsCrowdsWithDocuments(t *testing.T) {
	expectCrowdIsBorne(t, func(f *smallFleet) launcher.Target { return launcher.At(f.control(), http.MethodPut, "/v1/config") }, launcher.MisbehaviorsAnywhere, launcher.MisbehaviorsWithBodies)
}

// Guards against a keeper that clients end with many whole documents at once: one that is parsed takes several times
// its bytes.
func TestKeeperBearsCrowdsWithWholeDocuments(t *testing.T) {
	var routes []string
	for i, size := 0, 0; size < launcher.LegalBodyBytes*9/10; i++ {
		routes = append(routes, fmt.Sprintf(`{"name":"r%d","hostname":"a.example","path_prefix":"/a%d/","route_type":"idempotent","timeout_ms":3000,"service":"desk","attempts":1}`, i, i))
		size += len(routes[i]) + 1
	}
	document := fmt.Sprintf(`{"version":1,"routes":[%s],"services":[{"name":"desk","max_connections":50}],"limits":{},"tenants":[]}`, strings.Join(routes, ","))
	expectCrowdIsBorne(t, func(f *smallFleet) launcher.Target {
		return launcher.At(f.control(), http.MethodPut, "/v1/config")
	}, map[string]launcher.Misbehavior{"whole documents": launcher.WholeBodies(document)})
}

// Guards against a keeper that clients end with heartbeats.
func TestKeeperBearsCrowdsWithHeartbeats(t *testing.T) {
	expectCrowdIsBorne(t, func(f *smallFleet) launcher.Target {
		return launcher.At(f.control(), http.MethodPut, "/v1/instances/i-9")
	}, launcher.MisbehaviorsAnywhere, launcher.MisbehaviorsWithBodies)
}

// Guards against a keeper that clients end who read its document, or do not read it.
func TestKeeperBearsCrowdsThatReadDocuments(t *testing.T) {
	expectCrowdIsBorne(t, func(f *smallFleet) launcher.Target { return launcher.At(f.control(), http.MethodGet, "/v1/config") }, launcher.MisbehaviorsAnywhere)
}

// Guards against a keeper that clients end at a path without a call.
func TestKeeperBearsCrowdsWithoutACall(t *testing.T) {
	expectCrowdIsBorne(t, func(f *smallFleet) launcher.Target { return launcher.At(f.control(), http.MethodPost, "/none") }, launcher.MisbehaviorsAnywhere)
}

// Guards against a router that clients of its metrics end.
func TestRouterBearsCrowdsAtItsMetrics(t *testing.T) {
	expectCrowdIsBorne(t, func(f *smallFleet) launcher.Target {
		return launcher.At(f.routerMetrics(), http.MethodGet, "/metrics")
	}, launcher.MisbehaviorsAnywhere)
}

// Guards against a keeper that clients of its metrics end.
func TestKeeperBearsCrowdsAtItsMetrics(t *testing.T) {
	expectCrowdIsBorne(t, func(f *smallFleet) launcher.Target {
		return launcher.At(f.keeperMetrics(), http.MethodGet, "/metrics")
	}, launcher.MisbehaviorsAnywhere)
}

// Guards against a router that clients end at its port for other processes.
func TestRouterBearsCrowdsAtItsPortForProcesses(t *testing.T) {
	expectCrowdIsBorne(t, func(f *smallFleet) launcher.Target {
		return launcher.At(f.routerPeers(), http.MethodPost, messenger.FleetRouter_Relay_FullMethodName)
	}, launcher.MisbehaviorsOfPeers)
}

// Guards against a keeper that clients end at its port for other processes.
func TestKeeperBearsCrowdsAtItsPortForProcesses(t *testing.T) {
	expectCrowdIsBorne(t, func(f *smallFleet) launcher.Target {
		return launcher.At(f.keeperPeers(), http.MethodPost, messenger.FleetKeeper_Sync_FullMethodName)
	}, launcher.MisbehaviorsOfPeers)
}

// Guards against a process that clients end who hold little each, as many as its descriptors allow at its port for other
// processes.
func TestProcessesBearQuietCrowdsAtTheirPortsForProcesses(t *testing.T) {
	const crowdsEach = 3
	for _, kind := range []string{"silence", "silence after settings", "messages that stop short"} {
		t.Run(kind, func(t *testing.T) {
			f := startSmallFleet(t, manyDescriptors)
			var crowds []*launcher.Crowd
			for range crowdsEach {
				for _, x := range []launcher.Target{
					launcher.At(f.routerPeers(), http.MethodPost, messenger.FleetRouter_Relay_FullMethodName),
					launcher.At(f.keeperPeers(), http.MethodPost, messenger.FleetKeeper_Sync_FullMethodName),
				} {
					crowds = append(crowds, launcher.StartCrowd(t.Context(), x, launcher.MisbehaviorsOfPeers[kind], true))
				}
			}
			time.Sleep(launcher.CrowdDuration)
			for _, w := range crowds {
				w.Leave()
			}
			f.expectServed()
			f.expectWithinBounds(gomega.NewWithT(t))
		})
	}
}

// Guards against crowds that are borne at each port, and not at all of them together.
func TestProcessesBearCrowdsAtAllPortsTogether(t *testing.T) {
	for kind, m := range map[string]launcher.Misbehavior{
		"bodies that stop short":     launcher.MisbehaviorsWithBodies["bodies that stop short"],
		"bodies without end":         launcher.MisbehaviorsAnywhere["bodies without end"],
		"heads of many short fields": launcher.MisbehaviorsAnywhere["heads of many short fields"],
		"silence":                    launcher.MisbehaviorsAnywhere["silence"],
	} {
		t.Run(kind, func(t *testing.T) {
			f := startSmallFleet(t, descriptorsFor(kind))
			var crowds []*launcher.Crowd
			for _, x := range []launcher.Target{
				launcher.At(f.serve(), http.MethodPost, "/a/x"), launcher.At(f.ready(), http.MethodGet, "/v1/ready"),
				launcher.At(f.routerMetrics(), http.MethodGet, "/metrics"), launcher.At(f.routerPeers(), http.MethodPost, messenger.FleetRouter_Relay_FullMethodName),
				launcher.At(f.control(), http.MethodPut, "/v1/config"), launcher.At(f.keeperMetrics(), http.MethodGet, "/metrics"),
				launcher.At(f.keeperPeers(), http.MethodPost, messenger.FleetKeeper_Sync_FullMethodName),
			} {
				crowds = append(crowds, launcher.StartCrowd(t.Context(), x, m, true))
			}
			time.Sleep(launcher.CrowdDuration)
			for _, w := range crowds {
				w.Leave()
			}
			f.expectServed()
			f.expectWithinBounds(gomega.NewWithT(t))
		})
	}
}

// Guards against clients that stop half-way and stay, and keep everybody else out of their port.
func TestOrdinaryClientsAreServedBesideStalledOnes(t *testing.T) {
	for name, targetOf := range map[string]func(*smallFleet) launcher.Target{
		"route":     func(f *smallFleet) launcher.Target { return launcher.At(f.serve(), http.MethodPost, "/a/x") },
		"readiness": func(f *smallFleet) launcher.Target { return launcher.At(f.ready(), http.MethodGet, "/v1/ready") },
		"document":  func(f *smallFleet) launcher.Target { return launcher.At(f.control(), http.MethodPut, "/v1/config") },
		"metrics": func(f *smallFleet) launcher.Target {
			return launcher.At(f.routerMetrics(), http.MethodGet, "/metrics")
		},
	} {
		for kind, m := range map[string]launcher.Misbehavior{
			"bodies that stop short": launcher.MisbehaviorsWithBodies["bodies that stop short"], "heads that stop": launcher.MisbehaviorsAnywhere["heads that stop"],
			"silence": launcher.MisbehaviorsAnywhere["silence"], "heads of many short fields": launcher.MisbehaviorsAnywhere["heads of many short fields"],
		} {
			t.Run(name+" "+kind, func(t *testing.T) {
				f := startSmallFleet(t, descriptorsFor(kind))
				w := launcher.StartCrowd(t.Context(), targetOf(f), m, true)
				time.Sleep(launcher.CrowdDuration)
				f.expectServed()
				w.Leave()
				f.expectWithinBounds(gomega.NewWithT(t))
			})
		}
	}
}

// exchange sends bytes on a connection, in pieces with a pause after each, and returns the status of the answer.
func exchange(t *testing.T, c net.Conn, request string, pieces int, pause time.Duration) int {
	t.Helper()
	g := gomega.NewWithT(t)
	g.Expect(c.SetDeadline(time.Now().Add(answerTimeout))).To(gomega.Succeed())
	size := (len(request) + pieces - 1) / pieces
	for piece := range slices.Chunk([]byte(request), size) {
		_, err := c.Write(piece)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		time.Sleep(pause)
	}
	a, err := http.ReadResponse(bufio.NewReader(c), nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer a.Body.Close()
	_, err = io.Copy(io.Discard, a.Body)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	return a.StatusCode
}

// Guards against limits that refuse clients who keep to those of the document: with the longest head and body, a
// slow link, the longest idle time, and many at once.
func TestClientsWithinTheLimitsAreServed(t *testing.T) {
	f := startSmallFleet(t, manyDescriptors)
	x := launcher.At(f.serve(), http.MethodPost, "/a/x")
	const maxHeadBytes, together = 16384, 20
	end := "Rattanhoist-Request-Id: r\r\nContent-Length: 1\r\n\r\n"
	oneField := x.Head() + "X: "
	oneField += strings.Repeat("y", maxHeadBytes-len(oneField)-len("\r\n")-len(end)) + "\r\n" + end
	shortFields := launcher.ManyFields(x, maxHeadBytes-len(end)-8) + end
	longest := x.Head() + fmt.Sprintf("Rattanhoist-Request-Id: r\r\nContent-Length: %d\r\n\r\n", launcher.LegalBodyBytes) + strings.Repeat("x", launcher.LegalBodyBytes)
	chunked := x.Head() + "Rattanhoist-Request-Id: r\r\nTransfer-Encoding: chunked\r\n\r\n100000\r\n" + strings.Repeat("x", launcher.LegalBodyBytes) + "\r\n0\r\n\r\n"
	for name, c := range map[string]struct {
		request string
		pieces  int
		pause   time.Duration
	}{
		"one field": {oneField + "x", 1, 0}, "short fields": {shortFields + "x", 1, 0}, "body": {longest, 1, 0}, "chunks": {chunked, 1, 0},
		"slow head": {shortFields + "x", 20, 50 * time.Millisecond}, "slow body": {longest, 20, 50 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			var done sync.WaitGroup
			for range together {
				done.Go(func() {
					g := gomega.NewWithT(t)
					n, err := net.Dial("tcp", f.serve())
					g.Expect(err).NotTo(gomega.HaveOccurred())
					defer n.Close()
					g.Expect(exchange(t, n, c.request, c.pieces, c.pause)).To(gomega.Equal(http.StatusOK))
					g.Expect(exchange(t, n, c.request, c.pieces, c.pause)).To(gomega.Equal(http.StatusOK), "on the same connection")
				})
			}
			done.Wait()
		})
	}
	t.Run("idle", func(t *testing.T) {
		const idle = 12 * time.Second
		request := x.Head() + end + "x"
		var open []net.Conn
		for range 10 * together {
			n, err := net.Dial("tcp", f.serve())
			f.g.Expect(err).NotTo(gomega.HaveOccurred())
			defer n.Close()
			open = append(open, n)
			f.g.Expect(exchange(t, n, request, 1, 0)).To(gomega.Equal(http.StatusOK))
		}
		time.Sleep(idle)
		for _, n := range open {
			f.g.Expect(exchange(t, n, request, 1, 0)).To(gomega.Equal(http.StatusOK))
		}
	})
	f.expectWithinBounds(f.g)
}

// Guards against a stop that clients hold up who have stalled, until the process is killed.
func TestProcessesStopBesideACrowd(t *testing.T) {
	for kind, m := range map[string]launcher.Misbehavior{
		"bodies that stop short": launcher.MisbehaviorsWithBodies["bodies that stop short"], "silence": launcher.MisbehaviorsAnywhere["silence"],
		"requests ahead": launcher.MisbehaviorsAnywhere["requests ahead"], "heads a byte at a time": launcher.MisbehaviorsWithBodies["heads a byte at a time"],
	} {
		t.Run(kind, func(t *testing.T) {
			f := startSmallFleet(t, manyDescriptors)
			router := launcher.StartCrowd(t.Context(), launcher.At(f.serve(), http.MethodPost, "/a/x"), m, kind != "requests ahead")
			keeper := launcher.StartCrowd(t.Context(), launcher.At(f.control(), http.MethodPut, "/v1/config"), m, kind != "requests ahead")
			time.Sleep(launcher.CrowdDuration)
			for _, p := range []*process{f.router, f.keeper} {
				f.g.Expect(p.command.Process.Signal(syscall.SIGTERM)).To(gomega.Succeed())
				f.g.Eventually(p.ended, answerTimeout).Should(gomega.BeClosed(), p.name)
				f.g.Expect(p.command.ProcessState.Success()).To(gomega.BeTrue(), "%s: %s", p.name, p.command.ProcessState)
			}
			router.Leave()
			keeper.Leave()
		})
	}
}
