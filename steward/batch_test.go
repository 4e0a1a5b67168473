package steward

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"rattanhoist.example/rattanhoist/messenger"
)

// 200 routers submit claims at once while committing an entry takes 20 ms. One entry per
// claim would take 4 s; waiting claims must share entries, and each must get its own
// answer.
func TestClaimsAreBatched(t *testing.T) {
	g := gomega.NewWithT(t)
	var mu sync.Mutex
	entries := 0
	b := newBatcher(func(_ context.Context, data []byte) (any, error) {
		mu.Lock()
		entries++
		mu.Unlock()
		time.Sleep(20 * time.Millisecond)
		c := &messenger.FleetChange{}
		if err := proto.Unmarshal(data, c); err != nil {
			return nil, err
		}
		var out []*messenger.RightsGrants
		for _, r := range c.GetBatch().Changes {
			out = append(out, &messenger.RightsGrants{Recovered: int64(r.Incarnation)})
		}
		return out, nil
	}, zap.NewNop())
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go b.run(ctx)
	var wait sync.WaitGroup
	for i := range 200 {
		wait.Go(func() {
			out, err := b.submit(ctx, &messenger.RightsChange{Incarnation: uint64(i)})
			if err != nil || out.Recovered != int64(i) {
				t.Errorf("claim %d: %v, %v", i, out, err)
			}
		})
	}
	wait.Wait()
	g.Expect(entries).To(gomega.BeNumerically("<", 20))
}
