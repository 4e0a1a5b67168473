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

// Pattern: 200 routers claim at once while an entry takes 20 ms. One entry a
// claim would take 4 s; claims that wait share entries, and each gets its own
// answer.
func TestClaimsShareEntries(t *testing.T) {
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
			out, err := b.claim(ctx, &messenger.RightsChange{Incarnation: uint64(i)})
			if err != nil || out.Recovered != int64(i) {
				t.Errorf("claim %d: %v, %v", i, out, err)
			}
		})
	}
	wait.Wait()
	g.Expect(entries).To(gomega.BeNumerically("<", 20))
}
