package configurer

import (
	"encoding/binary"

	"rattanhoist.example/rattanhoist/messenger"
)

// labelSet is the labels of one or more workspaces.
type labelSet struct {
	// Packed is what packLabels made; immutable.
	packed string
	// Users counts the workspaces of the copy; snapshots don't read it.
	users int
}

// labelSets finds label sets by their packed form. It is not safe for
// concurrent use. The package unique would do the same for 130 bytes more
// where every workspace has labels of its own.
type labelSets map[string]*labelSet

func (l labelSets) take(m *messenger.Workspace) *labelSet {
	packed := packLabels(m.Labels)
	s := l[packed]
	if s == nil {
		s = &labelSet{packed: packed}
		l[packed] = s
	}
	s.users++
	return s
}

// drop forgets a set that no workspace uses any more.
func (l labelSets) drop(s *labelSet) {
	s.users--
	if s.users == 0 {
		delete(l, s.packed)
	}
}

// packLabels gives equal labels equal strings.
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
