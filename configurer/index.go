package configurer

import (
	"iter"
	"slices"
)

// maxMeanShardLength is the mean number of entries per shard above which an
// index doubles its number of shards. It limits the cost of a change, which
// copies one shard, and of a lookup, which scans one.
const maxMeanShardLength = 8

// shards is a hash table of workspaces whose length is a power of two. It is
// immutable once a snapshot uses it.
type shards [][]*Workspace

func (s shards) shardFor(hash uint64) *[]*Workspace { return &s[hash&uint64(len(s)-1)] }

// find returns the first workspace in the hash's shard for which wanted returns
// true, or nil.
func (s shards) find(hash uint64, wanted func(*Workspace) bool) *Workspace {
	for _, w := range *s.shardFor(hash) {
		if wanted(w) {
			return w
		}
	}
	return nil
}

// index looks up workspaces by the hash of their name or of their keys. It is
// not safe for concurrent use, but the table that share returns is.
type index struct {
	hashes func(*Workspace) iter.Seq[uint64]
	shards shards
	count  int
	// isShared reports whether a snapshot uses the shards. If so, the outer slice
	// is copied before the next change. A single shard is never modified, only
	// replaced.
	isShared bool
}

func newIndex(hashes func(*Workspace) iter.Seq[uint64], entries int) index {
	n := 1
	for n*maxMeanShardLength < entries {
		n *= 2
	}
	return index{hashes: hashes, shards: make(shards, n)}
}

// share returns the shards for a snapshot and marks them copy-on-write.
func (x *index) share() shards {
	x.isShared = true
	return x.shards
}

func (x *index) copyIfShared() {
	if x.isShared {
		x.shards, x.isShared = slices.Clone(x.shards), false
	}
}

func (x *index) add(w *Workspace) {
	x.copyIfShared()
	for h := range x.hashes(w) {
		x.shards.add(h, w)
		x.count++
	}
	if x.count > maxMeanShardLength*len(x.shards) {
		x.grow()
	}
}

// add replaces the hash's shard with one that also contains w. The new shard
// has no spare capacity, which would take up a third of all shards' memory.
func (s shards) add(hash uint64, w *Workspace) {
	at := s.shardFor(hash)
	bigger := make([]*Workspace, len(*at)+1)
	copy(bigger, *at)
	bigger[len(*at)] = w
	*at = bigger
}

func (x *index) remove(w *Workspace) {
	x.copyIfShared()
	for h := range x.hashes(w) {
		at := x.shards.shardFor(h)
		if i := slices.Index(*at, w); i >= 0 {
			*at = slices.Concat((*at)[:i], (*at)[i+1:])
			x.count--
		}
	}
}

// grow doubles the number of shards. A workspace has one entry in a shard for
// each of its hashes that map to the shard. All of these are moved with the
// first entry, and the others are skipped.
func (x *index) grow() {
	old := x.shards
	x.shards, x.isShared = make(shards, 2*len(old)), false
	for i, shard := range old {
		for j, w := range shard {
			if slices.Index(shard, w) < j {
				continue
			}
			for h := range x.hashes(w) {
				if old.shardFor(h) == &old[i] {
					x.shards.add(h, w)
				}
			}
		}
	}
}
