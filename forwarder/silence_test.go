package forwarder_test

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rattanhoist.example/rattanhoist/pooler"
)

// Guards against ejecting a sound endpoint that accepts no connections for a second: each attempt
// takes less than that, so that several fail.
func TestSilentSecondEjectsNothing(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newTestRouter(t, newEndpoint(t, responds(answerOK)))
	var mu sync.Mutex
	silentUntil := time.Now().Add(time.Second)
	w.pool.UseDialer(func(ctx context.Context, address string) (net.Conn, error) {
		mu.Lock()
		silent := time.Now().Before(silentUntil)
		mu.Unlock()
		if silent {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		return pooler.DialDirect(ctx, address)
	})
	var wg sync.WaitGroup
	for range 5 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			w.send(t, "GET", "/once/x", "")
		}()
		time.Sleep(10 * time.Millisecond)
	}
	e := w.table.Endpoints("engine")[0]
	g.Consistently(e.Gate().Ejected, time.Second, 10*time.Millisecond).Should(gomega.BeFalse())
	wg.Wait()
	g.Expect(w.send(t, "GET", "/once/x", "").status).To(gomega.Equal(200))
}
