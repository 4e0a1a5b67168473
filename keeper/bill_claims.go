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

// errEnough ends a reading early.
var errEnough = merry.Sentinel("enough rows")

// claimMost bounds the groups of bills of one round.
const claimMost = 1024

// claimRound asks, for bills made here, whether another zone has billed the
// same requests. Each request has one zone that keeps its claim, so that the
// cost of a bill does not grow with the zones.
type claimRound struct {
	server *budgetServer
	zones  []string
	rows   map[string]*messenger.UnclaimedRow
	// Counting maps request keys to the zone whose bill counts.
	counting map[string]string
	// Settled is told to the zones that are asked.
	settled int64
}

// claimBills waits until the bills are on two disks: a claim could otherwise
// outlive its bill, and the other zone would have reversed its own.
func (s *budgetServer) claimBills(ctx context.Context) {
	r := &claimRound{server: s, zones: s.keeper.settings.Zones(), counting: map[string]string{}}
	oldest, unsettled, err := s.settledBefore(ctx)
	if err != nil {
		return
	}
	r.settled = min(oldest, unsettled)
	if err := s.keeper.store.View(r.read); err != nil || len(r.rows) == 0 || !s.loop.copied(ctx) {
		return
	}
	for zone, keys := range r.byOwner() {
		r.claim(ctx, zone, keys)
	}
	r.end(ctx)
}

// read takes the first rows from the disk: a cut may leave more than memory
// should hold.
func (r *claimRound) read(v storer.View) error {
	r.rows = map[string]*messenger.UnclaimedRow{}
	err := v.Each(budgeter.BucketUnclaimed, "", func(key string, value []byte) error {
		if len(r.rows) >= claimMost {
			return errEnough
		}
		row := &messenger.UnclaimedRow{}
		r.rows[key] = row
		return proto.Unmarshal(value, row)
	})
	if errors.Is(err, errEnough) {
		return nil
	}
	return err
}

func (r *claimRound) byOwner() map[string][]string {
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

func (r *claimRound) claim(ctx context.Context, zone string, keys []string) {
	self := r.server.keeper.self.Zone()
	if len(r.zones) == 1 {
		for _, key := range keys {
			r.counting[key] = self
		}
		return
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	m := &messenger.ClaimBillsRequest{Zone: self, SettledBeforeMs: r.settled}
	for _, key := range keys {
		m.RequestHashes = append(m.RequestHashes, budgeter.RequestHash(key))
	}
	var out *messenger.ClaimBillsReply
	var err error
	if p, ok := r.server.keeper.peers.zone(zone); ok {
		out, err = p.budget().ClaimBills(ctx, m)
	} else {
		out, err = r.server.ClaimBills(ctx, m)
	}
	if err != nil || len(out.Zones) != len(keys) {
		return
	}
	for i, key := range keys {
		r.counting[key] = out.Zones[i]
	}
}

// end settles the rows all of whose requests are answered.
func (r *claimRound) end(ctx context.Context) {
	done := budgeter.BillsClaimed{Counting: map[string][]string{}}
	for name, row := range r.rows {
		var zones []string
		for _, key := range row.RequestKeys {
			zone, ok := r.counting[key]
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
