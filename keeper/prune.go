package keeper

import (
	"context"
	"errors"
	"math"
	"time"

	"google.golang.org/protobuf/proto"

	"rattanhoist.example/rattanhoist/budgeter"
	"rattanhoist.example/rattanhoist/messenger"
	"rattanhoist.example/rattanhoist/storer"
)

const (
	// pruneInterval is the longest pause between rounds while no sweep is
	// active.
	pruneInterval = 15 * time.Second
	// sweepsPerRetention is how often the rows are scanned within one
	// retention period. More scans cost more reads, fewer keep bills longer.
	sweepsPerRetention = 48
	// maxSweepRows bounds the rows that one round reads from a bucket.
	maxSweepRows = 512
)

// pruner deletes old bills and claims, a few per round. It is used only by
// the goroutine of runMaintenance.
type pruner struct {
	server    *budgetServer
	retention time.Duration
	interval  time.Duration
	lastRun   time.Time
	charges   sweep
	claims    sweep
}

func newPruner(s *budgetServer, retention time.Duration) *pruner {
	return &pruner{
		server: s, retention: retention, interval: min(pruneInterval, retention/sweepsPerRetention), lastRun: time.Now(),
		charges: sweep{bucket: budgeter.BucketCharges, time: chargeTime},
		claims:  sweep{bucket: budgeter.BucketClaimed, time: claimTime},
	}
}

// round announces to all zones which bills are settled here and has the vault
// prune old rows. What it reads is on two disks before it acts on it.
func (p *pruner) round(ctx context.Context) {
	now := time.Now()
	due := now.Sub(p.lastRun) >= p.interval
	if !due && !p.charges.active && !p.claims.active {
		return
	}
	oldest, unsettled, err := p.server.settledBefore(ctx)
	if err != nil || !p.server.loop.mirrorUpToDate(ctx) {
		return
	}
	settled := min(oldest, unsettled)
	if due {
		p.lastRun = now
		p.server.announceSettled(ctx, settled)
		minAdvance := p.retention.Milliseconds() / sweepsPerRetention
		p.charges.begin(settled-p.retention.Milliseconds(), minAdvance)
		p.claims.begin(now.Add(-p.retention).UnixMilli(), minAdvance)
	}
	e := budgeter.Prune{
		Retention: p.retention, Reports: p.server.monitor.reports, OldestChargeMs: oldest, UnsettledMs: unsettled,
		Zones: p.server.keeper.settings.Zones(),
	}
	err = p.server.keeper.store.View(func(v storer.View) error {
		e.Charges, e.Claims = p.charges.read(v), p.claims.read(v)
		return nil
	})
	if err == nil && (due || len(e.Charges)+len(e.Claims) > 0) {
		_, _ = p.server.loop.handle(ctx, e)
	}
}

// settledBefore returns the time before which the vault accepts no charge,
// and the time of the oldest bill whose claim is not settled. The first is
// read first, so that bills made between the two reads are not older than it.
func (s *budgetServer) settledBefore(ctx context.Context) (oldest, unsettled int64, err error) {
	oldest, err = readVault(ctx, s.loop, (*budgeter.Vault).OldestChargeMs)
	if err != nil {
		return 0, 0, err
	}
	unsettled = math.MaxInt64
	err = s.keeper.store.View(func(v storer.View) error {
		return v.EachFrom(budgeter.BucketUnclaimed, "", func(key string, _ []byte) error {
			unsettled = budgeter.UnsettledMs(key)
			return errStopIteration
		})
	})
	if errors.Is(err, errStopIteration) {
		err = nil
	}
	return oldest, unsettled, err
}

// announceSettled lets all zones drop claims that no bill of this zone can
// refer to any more.
func (s *budgetServer) announceSettled(ctx context.Context, settled int64) {
	r := &messenger.ClaimBillsRequest{Zone: s.keeper.self.Zone(), SettledBeforeMs: settled}
	_, _ = s.ClaimBills(ctx, r)
	s.keeper.peers.callKeepers(ctx, func(ctx context.Context, p peer) error {
		_, err := p.budget().ClaimBills(ctx, r)
		return err
	})
}

// sweep scans a bucket in key order for rows that are older than a limit.
type sweep struct {
	bucket string
	// time returns the time of a row in Unix milliseconds.
	time   func([]byte) (int64, error)
	active bool
	next   string
	// limit is the time in Unix milliseconds before which rows are returned.
	limit int64
}

// begin starts a new scan, unless one is active or the limit has advanced by
// less than minAdvance, in milliseconds, since the last.
func (s *sweep) begin(limit, minAdvance int64) {
	if !s.active && limit >= s.limit+minAdvance {
		s.active, s.next, s.limit = true, "", limit
	}
}

// read returns the keys of the old rows among the next ones. A row that can't
// be decoded is skipped: the vault reports it where it is used.
func (s *sweep) read(v storer.View) (old []string) {
	if !s.active {
		return nil
	}
	n := 0
	err := v.EachFrom(s.bucket, s.next, func(key string, value []byte) error {
		if n == maxSweepRows || len(old) == budgeter.MaxPrunedPerStep {
			s.next = key
			return errStopIteration
		}
		n++
		if ms, err := s.time(value); err == nil && ms < s.limit {
			old = append(old, key)
		}
		return nil
	})
	s.active = errors.Is(err, errStopIteration)
	return old
}

func chargeTime(value []byte) (int64, error) {
	c := &messenger.Charge{}
	err := proto.Unmarshal(value, c)
	return c.ChargedAtMs, err
}

func claimTime(value []byte) (int64, error) {
	c := &messenger.ClaimedRow{}
	err := proto.Unmarshal(value, c)
	return c.ClaimedAtMs, err
}
