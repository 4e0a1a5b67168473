package keeper

import (
	"context"
	"encoding/binary"
	"errors"

	"github.com/ansel1/merry/v2"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"rattanhoist.example/rattanhoist/budgeter"
	"rattanhoist.example/rattanhoist/messenger"
	"rattanhoist.example/rattanhoist/storer"
)

// errStopIteration ends an iteration over stored rows early.
var errStopIteration = merry.Sentinel("enough rows")

// maxClaimRows bounds the unclaimed rows that one round handles.
const maxClaimRows = 1024

// claimRound finds duplicate bills: for requests billed in this zone, it asks
// whether another zone has billed the same request. A hash of the request key
// selects the one zone that stores the claim, so the cost of a bill does not
// grow with the number of zones.
type claimRound struct {
	server *budgetServer
	zones  []string
	rows   map[string]*messenger.UnclaimedRow
	// effectiveZones maps request keys to the zone whose bill counts.
	effectiveZones map[string]string
	// settledBeforeMs is sent along with each claim: all bills of this zone
	// from before that time are settled.
	settledBeforeMs int64
}

// claimBills runs one round of claims. It first waits until the bills are on
// two disks: otherwise a claim could outlive its bill, and the other zone
// would already have reversed its own.
func (s *budgetServer) claimBills(ctx context.Context) {
	r := &claimRound{server: s, zones: s.keeper.settings.Zones(), effectiveZones: map[string]string{}}
	oldest, unsettled, err := s.settledBefore(ctx)
	if err != nil {
		return
	}
	r.settledBeforeMs = min(oldest, unsettled)
	if err := s.keeper.store.View(r.readRows); err != nil || len(r.rows) == 0 || !s.loop.mirrorUpToDate(ctx) {
		return
	}
	for zone, keys := range r.keysByOwner() {
		r.claimAt(ctx, zone, keys)
	}
	r.markClaimed(ctx)
}

// readRows reads the first maxClaimRows unclaimed rows from the disk: after a
// network partition there may be more than fit in memory.
func (r *claimRound) readRows(v storer.View) error {
	r.rows = map[string]*messenger.UnclaimedRow{}
	err := v.Each(budgeter.BucketUnclaimed, "", func(key string, value []byte) error {
		if len(r.rows) >= maxClaimRows {
			return errStopIteration
		}
		row := &messenger.UnclaimedRow{}
		r.rows[key] = row
		return proto.Unmarshal(value, row)
	})
	if errors.Is(err, errStopIteration) {
		return nil
	}
	return err
}

// keysByOwner groups the request keys by the zone that stores their claims.
func (r *claimRound) keysByOwner() map[string][]string {
	out := map[string][]string{}
	for _, row := range r.rows {
		for _, key := range row.RequestKeys {
			h := binary.BigEndian.Uint64(budgeter.RequestHash(key))
			zone := r.zones[h%uint64(len(r.zones))]
			out[zone] = append(out[zone], key)
		}
	}
	return out
}

// claimAt claims the keys at one zone and records whose bill counts. Keys of
// a failed call are left for the next round.
func (r *claimRound) claimAt(ctx context.Context, zone string, keys []string) {
	self := r.server.keeper.self.Zone()
	if len(r.zones) == 1 {
		for _, key := range keys {
			r.effectiveZones[key] = self
		}
		return
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	m := &messenger.ClaimBillsRequest{Zone: self, SettledBeforeMs: r.settledBeforeMs}
	for _, key := range keys {
		m.RequestHashes = append(m.RequestHashes, budgeter.RequestHash(key))
	}
	var out *messenger.ClaimBillsReply
	var err error
	if p, ok := r.server.keeper.peers.keeperOfZone(zone); ok {
		out, err = p.budget().ClaimBills(ctx, m)
	} else {
		out, err = r.server.ClaimBills(ctx, m)
	}
	if err != nil || len(out.Zones) != len(keys) {
		return
	}
	for i, key := range keys {
		r.effectiveZones[key] = out.Zones[i]
	}
}

// markClaimed settles the rows of which every request has been answered.
func (r *claimRound) markClaimed(ctx context.Context) {
	done := budgeter.SettleClaims{Counting: map[string][]string{}}
	for name, row := range r.rows {
		var zones []string
		for _, key := range row.RequestKeys {
			zone, ok := r.effectiveZones[key]
			if !ok {
				break
			}
			zones = append(zones, zone)
			if zone != r.server.keeper.self.Zone() {
				countDuplicates.Add(1)
				r.server.log().Info("bill of another zone counts; this one is reversed",
					zap.String("request", key), zap.String("counting_zone", zone))
			}
		}
		if len(zones) == len(row.RequestKeys) {
			done.Counting[name] = zones
		}
	}
	if len(done.Counting) > 0 {
		_, _ = r.server.loop.handle(ctx, done)
	}
}
