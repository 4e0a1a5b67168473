package reporter_test

import (
	"testing"

	"github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"rattanhoist.example/rattanhoist/reporter"
)

// Guards against a log that another process can fill.
func TestSampledLoggerDropsRepeatedLines(t *testing.T) {
	g := gomega.NewWithT(t)
	core, logged := observer.New(zap.InfoLevel)
	log := reporter.Sampled(zap.New(core), 5)
	for range 100 {
		log.Warn("refused")
	}
	log.Warn("other")
	g.Expect(logged.FilterMessage("refused").Len()).To(gomega.BeNumerically("<=", 10), "a second may end meanwhile")
	g.Expect(logged.FilterMessage("other").Len()).To(gomega.Equal(1))
}
