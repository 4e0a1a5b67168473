package configurer

import (
	"iter"
	"slices"
)

// shardMost is the mean number of entries in a shard above which an index
// doubles its shards: a change copies one shard, a search reads one.
const shardMost = 8

// shards is a hash table of workspaces; immutable once a snapshot has it. Its
// length is a power of two.
type shards [][]*Workspace

func (s shards) at(hash uint64) *[]*Workspace { return &s[hash&uint64(len(s)-1)] }

// find returns the workspace of a hash's shard that is the one wanted, or nil.
func (s shards) find(hash uint64, wanted func(*Workspace) bool) *Workspace {
	for _, w := range *s.at(hash) {
		if wanted(w) {
			return w
		}
	}
	return nil
}

// index finds workspaces by the hashes of a name or of keys. It is not safe
// for concurrent use; what share returns is.
type index struct {
	hashes func(*Workspace) iter.Seq[uint64]
	shards shards
	count  int
	// Lent says that a snapshot has the shards: the list of them is copied
	// before the next change. A shard itself is replaced, never changed.
	lent bool
}

func newIndex(hashes func(*Workspace) iter.Seq[uint64], entries int) index {
	n := 1
	for n*shardMost < entries {
		n *= 2
	}
	return index{hashes: hashes, shards: make(shards, n)}
}

// share returns the shards for a snapshot.
func (x *index) share() shards {
	x.lent = true
	return x.shards
}

func (x *index) own() {
	if x.lent {
		x.shards, x.lent = slices.Clone(x.shards), false
	}
}

func (x *index) add(w *Workspace) {
	x.own()
	for h := range x.hashes(w) {
		x.shards.add(h, w)
		x.count++
	}
	if x.count > shardMost*len(x.shards) {
		x.grow()
	}
}

// add leaves no room to spare, which over all shards would be a third.
func (s shards) add(hash uint64, w *Workspace) {
	at := s.at(hash)
	bigger := make([]*Workspace, len(*at)+1)
	copy(bigger, *at)
	bigger[len(*at)] = w
	*at = bigger
}

func (x *index) remove(w *Workspace) {
	x.own()
	for h := range x.hashes(w) {
		at := x.shards.at(h)
		if i := slices.Index(*at, w); i >= 0 {
			*at = slices.Concat((*at)[:i], (*at)[i+1:])
			x.count--
		}
	}
}

// grow doubles the shards. A workspace stands in a shard once for each of its
// hashes that fall there; the first entry brings all of these along.
func (x *index) grow() {
	old := x.shards
	x.shards, x.lent = make(shards, 2*len(old)), false
	for i, shard := range old {
		for j, w := range shard {
			if slices.Index(shard, w) < j {
				continue
			}
			for h := range x.hashes(w) {
				if old.at(h) == &old[i] {
					x.shards.add(h, w)
				}
			}
		}
	}
}
