package configurer

import (
	"encoding/binary"

	"rattanhoist.example/rattanhoist/messenger"
)

// labelSet holds labels that one or more workspaces share.
type labelSet struct {
	// packed is the encoding by packLabels; immutable.
	packed string
	// users is the number of workspaces in the Copy that use the set. Snapshots
	// don't read it.
	users int
}

// labelSets interns label sets by their packed encoding. It is not safe for
// concurrent use. The standard package unique would need 130 bytes more per
// workspace if every workspace had different labels.
type labelSets map[string]*labelSet

// acquire returns the set for a workspace's labels, which it creates if needed,
// and increments its reference count.
func (l labelSets) acquire(m *messenger.Workspace) *labelSet {
	packed := packLabels(m.Labels)
	s := l[packed]
	if s == nil {
		s = &labelSet{packed: packed}
		l[packed] = s
	}
	s.users++
	return s
}

// release decrements a set's reference count and removes the set at zero.
func (l labelSets) release(s *labelSet) {
	s.users--
	if s.users == 0 {
		delete(l, s.packed)
	}
}

// packLabels encodes labels as length-prefixed strings sorted by key, so that
// equal labels have equal encodings.
func packLabels(labels map[string]string) string {
	var out []byte
	for _, k := range sortedKeys(labels) {
		for _, s := range []string{k, labels[k]} {
			out = binary.AppendUvarint(out, uint64(len(s)))
			out = append(out, s...)
		}
	}
	return string(out)
}

func unpackLabels(packed string) map[string]string {
	out := map[string]string{}
	rest := []byte(packed)
	next := func() string {
		n, size := binary.Uvarint(rest)
		s := string(rest[size : size+int(n)])
		rest = rest[size+int(n):]
		return s
	}
	for len(rest) > 0 {
		k := next()
		out[k] = next()
	}
	return out
}
