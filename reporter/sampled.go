package reporter

import (
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Sampled returns a logger that writes each message at most n times a second, for lines that another
// process can cause at will.
func Sampled(log *zap.Logger, n int) *zap.Logger {
	return log.WithOptions(zap.WrapCore(func(c zapcore.Core) zapcore.Core {
		return zapcore.NewSamplerWithOptions(c, time.Second, n, 0)
	}))
}
