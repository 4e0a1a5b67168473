package acceptor

import (
	"sync"
	"time"

	"go.uber.org/zap"
)

// crowdInterval is the time without a closed connection after which a crowd has ended. It bounds the log lines.
const crowdInterval = 10 * time.Second

// crowd counts the connections of a port that were closed or refused for lack of room, from the first one until
// there was none for crowdInterval.
type crowd struct {
	mu sync.Mutex
	// total counts since the crowd began, and recent since it was last checked.
	total, recent int
	since         time.Time
}

// reportCrowd records a connection that was closed or refused, and logs when that begins and ends.
func (p *Port) reportCrowd(scarce string) {
	p.crowd.mu.Lock()
	defer p.crowd.mu.Unlock()
	p.crowd.total++
	p.crowd.recent++
	if p.crowd.total > 1 {
		return
	}
	p.crowd.since = time.Now()
	p.acceptor.log.Warn("port closes connections for others", zap.String("port", p.counters.port), zap.String("scarce", scarce),
		zap.Int("connections", p.Open()), zap.Int("connections_limit", p.limits.Connections),
		zap.Int("unproven", p.unproven()), zap.Int("unproven_limit", p.limits.Unproven),
		zap.Int("connection_bytes", p.bytes()), zap.Int("connection_bytes_limit", p.limits.ConnectionBytes), zap.Int64("memory_held", p.acceptor.memory.Held()), zap.Int64("memory_limit", p.acceptor.memory.Limit()))
	time.AfterFunc(crowdInterval, p.checkCrowd)
}

// checkCrowd logs the end of a crowd.
func (p *Port) checkCrowd() {
	p.crowd.mu.Lock()
	defer p.crowd.mu.Unlock()
	if p.crowd.recent > 0 {
		p.crowd.recent = 0
		time.AfterFunc(crowdInterval, p.checkCrowd)
		return
	}
	p.acceptor.log.Info("port closes no more connections", zap.String("port", p.counters.port), zap.Int("closed", p.crowd.total),
		zap.Duration("took", time.Since(p.crowd.since)))
	p.crowd.total = 0
}
