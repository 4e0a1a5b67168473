package configurer

import (
	"crypto/sha256"
	"iter"

	"github.com/cespare/xxhash/v2"

	"rattanhoist.example/rattanhoist/messenger"
)

// Workspace is the compact, immutable form of a workspace that routers hold in
// memory. The protobuf message takes several times as much memory, half of it
// for the map of labels.
type Workspace struct {
	name string
	// keys is the concatenation of the SHA-256 sums of its bearer keys.
	keys string
	// labels is shared by all workspaces with equal labels.
	labels *labelSet
	// digest is the workspace's contribution to the configuration digest.
	digest uint64
}

// newWorkspace converts a workspace message. It omits key hashes that don't have
// the length of a SHA-256 sum: validation rejects these, and no bearer key could
// match them.
func newWorkspace(m *messenger.Workspace, labels *labelSet) *Workspace {
	w := &Workspace{name: m.Name, labels: labels, digest: objectDigest(kindWorkspace, m)}
	keys := make([]byte, 0, len(m.KeyHashes)*sha256.Size)
	for _, h := range m.KeyHashes {
		if len(h) == sha256.Size {
			keys = append(keys, h...)
		}
	}
	w.keys = string(keys)
	return w
}

// Name returns the workspace's name.
func (w *Workspace) Name() string { return w.name }

// Labels returns a new map of the workspace's labels.
func (w *Workspace) Labels() map[string]string { return unpackLabels(w.labels.packed) }

func (w *Workspace) eachKey() iter.Seq[string] {
	return func(yield func(string) bool) {
		for at := 0; at < len(w.keys); at += sha256.Size {
			if !yield(w.keys[at : at+sha256.Size]) {
				return
			}
		}
	}
}

func (w *Workspace) hasKey(sum [sha256.Size]byte) bool {
	for k := range w.eachKey() {
		if k == string(sum[:]) {
			return true
		}
	}
	return false
}

func nameHashes(w *Workspace) iter.Seq[uint64] {
	return func(yield func(uint64) bool) { yield(xxhash.Sum64String(w.name)) }
}

func keyHashes(w *Workspace) iter.Seq[uint64] {
	return func(yield func(uint64) bool) {
		for k := range w.eachKey() {
			if !yield(xxhash.Sum64String(k)) {
				return
			}
		}
	}
}
