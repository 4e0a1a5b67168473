package steward

import (
	"context"
	"fmt"
	"net"
	"os"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
)

// silentConn is a connection that hangs once its peer is gone.
type silentConn struct {
	net.Conn
	once   sync.Once
	closed chan struct{}
}

func (c *silentConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err != nil {
		<-c.closed
	}
	return n, err
}

func (c *silentConn) Write(b []byte) (int, error) {
	_, _ = c.Conn.Write(b)
	return len(b), nil
}

func (c *silentConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// dialSilent opens a connection like TCP to a machine without power: the first packet is sent again after
// 1 s, and then after twice the wait.
func (m *memoryNetwork) dialSilent(ctx context.Context, address string) (net.Conn, error) {
	for wait := time.Second; ; wait *= 2 {
		m.mu.Lock()
		l := m.listeners[address]
		m.mu.Unlock()
		if l != nil {
			c, err := l.Dial()
			if err == nil {
				return &silentConn{Conn: c, closed: make(chan struct{})}, nil
			}
		}
		select {
		case <-ctx.Done():
			return nil, syscall.ETIMEDOUT
		case <-time.After(wait):
		}
	}
}

// newQuorum returns a quorum of which no keeper runs.
func newQuorum(t *testing.T, dir string, silent bool) *quorum {
	return &quorum{
		t: t, g: gomega.NewWithT(t), dir: dir, network: &memoryNetwork{listeners: map[string]*memoryListener{}, silent: silent},
		running: map[int]*Keeper{}, halts: map[int]func(){}, cleanUps: map[int]func(){},
	}
}

// Guards against a keeper with an empty disk that is not added in time because connections to its address hang
// from the time without power.
func TestKeeperWithALostDiskRejoinsThoughConnectionsHang(t *testing.T) {
	for away := 200 * time.Millisecond; away < 6*time.Second; away += 450 * time.Millisecond {
		t.Run(away.String(), func(t *testing.T) {
			dir := t.TempDir()
			synctest.Test(t, func(t *testing.T) {
				q := newQuorum(t, dir, true)
				defer q.stopAll()
				for n := 1; n <= 5; n++ {
					q.start(n, true, 1, 2, 3)
				}
				for n := 1; n <= 5; n++ {
					q.awaitVoter(n, rejoinTimeout)
				}
				leader := q.awaitLeader()
				lost := q.others(leader)[0]
				seeds := q.others(leader, lost)[:2]
				q.wipe(lost)
				time.Sleep(away)
				q.start(lost, false, append(seeds, lost)...)
				q.awaitVoter(lost, rejoinTimeout)
			})
		})
	}
}

// Guards against a keeper with an empty disk that is not added in time because the leader loses its disk meanwhile.
func TestKeeperWithALostDiskRejoinsThoughTheLeaderIsLost(t *testing.T) {
	for step := range 12 {
		t.Run(fmt.Sprint(step), func(t *testing.T) {
			runQuorum(t, func(q *quorum) {
				leader := q.awaitLeader()
				lost := q.others(leader)[0]
				seeds := q.others(leader, lost)[:2]
				q.wipe(lost)
				q.start(lost, false, append(seeds, lost)...)
				started := time.Now()
				time.Sleep(time.Duration(step) * 150 * time.Millisecond)
				q.wipe(leader)
				q.start(leader, false, append(seeds, leader)...)
				q.awaitVoter(lost, time.Until(started.Add(rejoinTimeout)))
				q.awaitVoter(leader, rejoinTimeout)
			})
		})
	}
}

// Guards against a deployment that is not founded, or that some keepers do not find, because a seed is late at
// the first start.
func TestDeploymentIsFoundedWithALateSeed(t *testing.T) {
	for late := 1; late <= 3; late++ {
		t.Run(fmt.Sprint(late), func(t *testing.T) {
			dir := t.TempDir()
			synctest.Test(t, func(t *testing.T) {
				q := newQuorum(t, dir, false)
				defer q.stopAll()
				for n := 1; n <= 5; n++ {
					if n != late {
						q.start(n, true, 1, 2, 3)
					}
				}
				time.Sleep(2 * time.Second)
				q.start(late, true, 1, 2, 3)
				deployment := ""
				for n := 1; n <= 5; n++ {
					q.awaitVoter(n, rejoinTimeout)
					d := q.running[n].loop.State().Deployment()
					q.g.Expect(deployment == "" || d == deployment).To(gomega.BeTrue())
					deployment = d
				}
			})
		})
	}
}

// Guards against the loss of an acknowledged document while a spare replaces a silent voter, whichever two of the
// other disks are lost, the spare's too.
func TestLossOfAnyTwoDisksWhileASpareReplacesAVoter(t *testing.T) {
	for step := range 4 {
		for pair := range 10 {
			t.Run(fmt.Sprint(step, pair), func(t *testing.T) {
				runQuorum(t, func(q *quorum) {
					q.start(6, false, 1, 2, 3)
					time.Sleep(time.Second)
					leader := q.awaitLeader()
					silent := q.others(leader, 6)[0]
					q.stop(silent)
					time.Sleep(silentTimeout - callTimeout - 50*time.Millisecond + time.Duration(step)*100*time.Millisecond)
					q.publish(leader, 1)
					var pairs [][2]int
					others := q.others(silent)
					for i, a := range others {
						for _, b := range others[i+1:] {
							pairs = append(pairs, [2]int{a, b})
						}
					}
					q.stopAll()
					for _, n := range pairs[pair] {
						q.g.Expect(os.RemoveAll(q.dataDir(n))).To(gomega.Succeed())
					}
					for n := 1; n <= 6; n++ {
						q.start(n, false, 1, 2, 3)
					}
					for n := 1; n <= 6; n++ {
						q.awaitDocument(n, 1)
					}
				})
			})
		}
	}
}
