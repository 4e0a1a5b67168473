package measurer

import (
	"context"
	"fmt"
	"math"
	"os"
	"time"

	"rattanhoist.example/rattanhoist"
	"rattanhoist.example/rattanhoist/budgeter"
	"rattanhoist.example/rattanhoist/storer"
)

var _ = register(Experiment{Name: "vault_prune", Short: "Disk and copy bytes at a steady rate, with and without pruning", Run: vaultPrune})

const (
	steadyRate  = 5 // charges a second
	steadyHours = 6
	// steadyGroup is the number of charges in a commit.
	steadyGroup = 500
	// steadyRetention is short of what settings allow, to reach the plateau.
	steadyRetention = 2 * time.Hour
)

// vaultPrune runs a vault on a disk for hours of virtual time.
func vaultPrune(_ context.Context, r *Report) error {
	for _, prune := range []bool{false, true} {
		if err := vaultSteady(r, prune); err != nil {
			return err
		}
	}
	return nil
}

func vaultSteady(r *Report, prune bool) error {
	dir, err := os.MkdirTemp("", "rattanhoist-prune-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	store, closeStore, err := storer.Open(dir)
	if err != nil {
		return err
	}
	defer func() { _ = closeStore() }()
	d := &steadyDisk{store: store, vault: chargedVault(store), now: time.UnixMilli(1764700000000)}
	const every = steadyGroup / steadyRate * time.Second
	for at := every; at <= steadyHours*time.Hour; at += every {
		if err := d.charge(); err != nil {
			return err
		}
		d.now = d.now.Add(every)
		if prune {
			if err := d.prune(); err != nil {
				return err
			}
		}
		if at%(2*time.Hour) == 0 {
			caseName := fmt.Sprintf("pruning %v, after %s", prune, at)
			r.Figure(caseName, "disk_bytes", float64(store.UsedBytes()), "bytes")
			r.Figure(caseName, "copy_bytes", float64(copyBytes(store)), "bytes")
		}
	}
	return nil
}

type steadyDisk struct {
	store *storer.Store
	vault *budgeter.Vault
	now   time.Time
	n     int
	// Kept holds the keys of the bills that are not yet offered to the vault,
	// with their times.
	kept []keptBill
}

type keptBill struct {
	key string
	at  time.Time
}

func (d *steadyDisk) charge() error {
	var rows []budgeter.Write
	for range steadyGroup {
		c := vaultCharge(fmt.Sprintf("workspace-%06d", d.n%tenWorkspaces), d.n)
		c.ChargedAtMs = d.now.UnixMilli()
		d.n++
		rows = append(rows, bill(d.vault, c)...)
		d.kept = append(d.kept, keptBill{rattanhoist.NewRequestKey(c.Workspace, c.RequestId).String(), d.now})
	}
	for _, commit := range [][]budgeter.Write{rows, claimed(d.vault, rows)} {
		if err := d.commit(commit); err != nil {
			return err
		}
	}
	return nil
}

func (d *steadyDisk) commit(rows []budgeter.Write) error {
	err := applyCopy(d.store, budgeter.MergeWrites(rows))
	d.vault.Synced()
	return err
}

func (d *steadyDisk) prune() error {
	for more := true; more; {
		e := budgeter.Prune{
			Retention: steadyRetention, OldestChargeMs: d.vault.OldestChargeMs(), UnsettledMs: math.MaxInt64,
			Reports: map[string]budgeter.RouterReport{"router-000": {Incarnation: 1, AnsweredBeforeMs: d.now.UnixMilli()}},
		}
		for len(d.kept) > 0 && len(e.Charges) < budgeter.MaxPrunedPerStep && d.kept[0].at.Add(steadyRetention).UnixMilli() < e.OldestChargeMs {
			e.Charges = append(e.Charges, d.kept[0].key)
			d.kept = d.kept[1:]
		}
		more = len(e.Charges) > 0
		var rows []budgeter.Write
		for _, a := range d.vault.Step(d.now, e) {
			if w, ok := a.(budgeter.Write); ok {
				rows = append(rows, w)
			}
		}
		if err := d.commit(rows); err != nil {
			return err
		}
	}
	return nil
}

// copyBytes is what a repair sends: the rows of every bucket.
func copyBytes(s *storer.Store) (total int) {
	for _, bucket := range budgeter.Buckets {
		_ = s.Each(bucket, func(key string, value []byte) error {
			total += len(bucket) + len(key) + len(value)
			return nil
		})
	}
	return total
}
