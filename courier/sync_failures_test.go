package courier

import (
	"errors"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// Guards against a keeper whose syncs all fail without a line, because other keepers answer.
func TestFailingSyncsOfOneKeeperAreLogged(t *testing.T) {
	g := gomega.NewWithT(t)
	core, logged := observer.New(zap.InfoLevel)
	f, now := syncFailures{}, time.Now()
	record := func(keeper string, err error) { f.record(now, zap.New(core), keeper, err) }
	record("a", nil)
	g.Expect(logged.Len()).To(gomega.BeZero())
	for range 3 {
		record("a", status.Error(codes.Internal, "not encoded"))
		record("b", nil)
	}
	record("a", errors.New("not connected"))
	now = now.Add(time.Minute)
	record("a", nil)
	var messages []string
	for _, e := range logged.All() {
		messages = append(messages, e.Message)
	}
	g.Expect(messages).To(gomega.Equal([]string{"syncs with keeper fail", "syncs with keeper fail", "syncs with keeper succeed again"}))
	g.Expect(logged.All()[2].ContextMap()["failed_for"]).To(gomega.Equal(time.Minute))
}
