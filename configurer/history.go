package configurer

import (
	"google.golang.org/protobuf/proto"

	"rattanhoist.example/rattanhoist/messenger"
)

// Horizons of what a book remembers beside the configuration.
const (
	// AnswerHorizon is the number of change ids whose answer is kept, 6 days
	// at 3,200 changes a day. A resend of an older one meets a conflict, since
	// its base version is past: it never counts twice.
	AnswerHorizon = 20000
	// recentMost and recentBytes bound the changes kept for deltas.
	recentMost  = 2048
	recentBytes = 8 << 20
)

// history remembers answers and the last changes.
type history struct {
	// Answers maps change ids to the version accepted as, 0 for a conflict.
	answers map[string]uint64
	// Order lists the ids of answers, oldest first.
	order []string
	// Recent holds the last accepted changes, oldest first.
	recent []*messenger.Change
	bytes  int
}

func newHistory() history { return history{answers: map[string]uint64{}} }

func (h *history) note(id string, version uint64) {
	h.answers[id] = version
	h.order = append(h.order, id)
	if len(h.order) > AnswerHorizon {
		delete(h.answers, h.order[0])
		h.order = h.order[1:]
	}
}

func (h *history) add(c *messenger.Change) {
	h.recent = append(h.recent, c)
	h.bytes += proto.Size(c)
	for len(h.recent) > recentMost || h.bytes > recentBytes && len(h.recent) > 1 {
		h.bytes -= proto.Size(h.recent[0])
		h.recent = h.recent[1:]
	}
}

// Snapshot returns the whole book, for a new copy.
func (b *Book) Snapshot() ([]byte, error) {
	s := &messenger.BookSnapshot{Configuration: b.Configuration(), Recent: b.history.recent}
	for _, id := range b.history.order {
		s.Answers = append(s.Answers, &messenger.BookAnswer{ChangeId: id, Version: b.history.answers[id]})
	}
	return proto.MarshalOptions{Deterministic: true}.Marshal(s)
}

// Restore replaces the book by a snapshot.
func (b *Book) Restore(snapshot []byte) error {
	s := &messenger.BookSnapshot{}
	if err := proto.Unmarshal(snapshot, s); err != nil {
		return err
	}
	b.Load(s.Configuration)
	for _, a := range s.Answers {
		b.history.note(a.ChangeId, a.Version)
	}
	for _, c := range s.Recent {
		b.history.add(c)
	}
	return nil
}
