package configurer

import (
	"google.golang.org/protobuf/proto"

	"rattanhoist.example/rattanhoist/messenger"
)

// Limits on the history that a Book retains.
const (
	// MaxAnswers is the number of change IDs whose reply is retained, enough for
	// 6 days at 3,200 changes a day. An older change that is sent again gets a
	// conflict because its base version is outdated, so it is never applied
	// twice.
	MaxAnswers = 20000
	// maxRecentChanges and maxRecentBytes limit the changes retained for sending
	// deltas to subscribers.
	maxRecentChanges = 2048
	maxRecentBytes   = 8 << 20
)

// history retains the replies to past changes and the most recent changes.
type history struct {
	// answers maps each change ID to the version at which the change was
	// accepted, or 0 for a conflict.
	answers map[string]uint64
	// order lists the keys of answers, oldest first.
	order []string
	// recent holds the most recently accepted changes, oldest first, and bytes
	// their total encoded size.
	recent []*messenger.Change
	bytes  int
}

func newHistory() history { return history{answers: map[string]uint64{}} }

func (h *history) recordAnswer(id string, version uint64) {
	h.answers[id] = version
	h.order = append(h.order, id)
	if len(h.order) > MaxAnswers {
		delete(h.answers, h.order[0])
		h.order = h.order[1:]
	}
}

func (h *history) appendChange(c *messenger.Change) {
	h.recent = append(h.recent, c)
	h.bytes += proto.Size(c)
	for len(h.recent) > maxRecentChanges || h.bytes > maxRecentBytes && len(h.recent) > 1 {
		h.bytes -= proto.Size(h.recent[0])
		h.recent = h.recent[1:]
	}
}

// Snapshot serializes the configuration and its history, for a new replica.
func (b *Book) Snapshot() ([]byte, error) {
	s := &messenger.BookSnapshot{Configuration: b.Configuration(), Recent: b.history.recent}
	for _, id := range b.history.order {
		s.Answers = append(s.Answers, &messenger.BookAnswer{ChangeId: id, Version: b.history.answers[id]})
	}
	return proto.MarshalOptions{Deterministic: true}.Marshal(s)
}

// Restore replaces the state with a serialized snapshot.
func (b *Book) Restore(snapshot []byte) error {
	s := &messenger.BookSnapshot{}
	if err := proto.Unmarshal(snapshot, s); err != nil {
		return err
	}
	b.Load(s.Configuration)
	for _, a := range s.Answers {
		b.history.recordAnswer(a.ChangeId, a.Version)
	}
	for _, c := range s.Recent {
		b.history.appendChange(c)
	}
	return nil
}
