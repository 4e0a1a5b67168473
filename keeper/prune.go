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
	// pruneEvery is the pause between rounds that find nothing.
	pruneEvery = 15 * time.Second
	// sweepsInRetention is how often the rows are looked through while they
	// are kept: more often reads more, less often keeps bills for longer.
	sweepsInRetention = 48
	// sweepMost bounds the rows that one round reads of a bucket.
	sweepMost = 512
)

// pruning deletes old bills and claims, a few in each round. It belongs to the
// goroutine of rounds.
type pruning struct {
	server    *budgetServer
	retention time.Duration
	every     time.Duration
	at        time.Time
	charges   sweep
	claims    sweep
}

func newPruning(s *budgetServer, retention time.Duration) *pruning {
	return &pruning{
		server: s, retention: retention, every: min(pruneEvery, retention/sweepsInRetention), at: time.Now(),
		charges: sweep{bucket: budgeter.BucketCharges, time: chargeTime},
		claims:  sweep{bucket: budgeter.BucketClaimed, time: claimTime},
	}
}

// round tells the zones what is settled here and has the vault prune. What was
// read is on two disks before anything follows from it.
func (p *pruning) round(ctx context.Context) {
	now := time.Now()
	due := now.Sub(p.at) >= p.every
	if !due && !p.charges.active && !p.claims.active {
		return
	}
	oldest, unsettled, err := p.server.settledBefore(ctx)
	if err != nil || !p.server.loop.copied(ctx) {
		return
	}
	settled := min(oldest, unsettled)
	if due {
		p.at = now
		p.server.tellSettled(ctx, settled)
		pause := p.retention.Milliseconds() / sweepsInRetention
		p.charges.begin(settled-p.retention.Milliseconds(), pause)
		p.claims.begin(now.Add(-p.retention).UnixMilli(), pause)
	}
	e := budgeter.Prune{
		Retention: p.retention, Heard: p.server.watch.said, OldestChargeMs: oldest, UnsettledMs: unsettled,
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

// settledBefore returns the time before which the vault takes no charge, and
// that of the oldest bill whose claim is not settled. The order matters: bills
// made in between are not older than the first.
func (s *budgetServer) settledBefore(ctx context.Context) (oldest, unsettled int64, err error) {
	oldest, err = readVault(ctx, s.loop, (*budgeter.Vault).OldestChargeMs)
	if err != nil {
		return 0, 0, err
	}
	unsettled = math.MaxInt64
	err = s.keeper.store.View(func(v storer.View) error {
		return v.From(budgeter.BucketUnclaimed, "", func(key string, _ []byte) error {
			unsettled = budgeter.UnsettledMs(key)
			return errEnough
		})
	})
	if errors.Is(err, errEnough) {
		err = nil
	}
	return oldest, unsettled, err
}

// tellSettled lets the zones forget claims that no bill here can ask for.
func (s *budgetServer) tellSettled(ctx context.Context, settled int64) {
	r := &messenger.ClaimBillsRequest{Zone: s.keeper.self.Zone(), SettledBeforeMs: settled}
	_, _ = s.ClaimBills(ctx, r)
	s.keeper.peers.each(ctx, func(ctx context.Context, p peer) error {
		_, err := p.budget().ClaimBills(ctx, r)
		return err
	})
}

// sweep goes through a bucket in the order of its keys, for rows from before a
// time.
type sweep struct {
	bucket string
	// Time returns that of a row in Unix milliseconds.
	time   func([]byte) (int64, error)
	active bool
	next   string
	// Limit is the time in Unix milliseconds before which rows are wanted.
	limit int64
}

// begin starts anew where a pause would find more than the last sweep.
func (s *sweep) begin(limit, pause int64) {
	if !s.active && limit >= s.limit+pause {
		s.active, s.next, s.limit = true, "", limit
	}
}

// read returns the keys of old rows among the next ones. A row that can't be
// read is left to the vault, which reports it where it matters.
func (s *sweep) read(v storer.View) (old []string) {
	if !s.active {
		return nil
	}
	n := 0
	err := v.From(s.bucket, s.next, func(key string, value []byte) error {
		if n == sweepMost || len(old) == budgeter.PruneMost {
			s.next = key
			return errEnough
		}
		n++
		if ms, err := s.time(value); err == nil && ms < s.limit {
			old = append(old, key)
		}
		return nil
	})
	s.active = errors.Is(err, errEnough)
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
