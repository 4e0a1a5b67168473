package courier

import (
	"time"

	"rattanhoist.example/rattanhoist/enroller"
	"rattanhoist.example/rattanhoist/messenger"
)

// source is what a router knows of endpoints from one keeper.
type source struct {
	// Epoch is 0 for a keeper that does not tell changes.
	epoch, revision uint64
	// Alive holds the endpoints that the keeper takes for alive.
	alive map[enroller.Incarnation]bool
}

// hearEndpoints takes in what a keeper tells of endpoints, asked at sent.
func (f *fleet) hearEndpoints(keeper string, r *messenger.SyncReply, sent, now time.Time) {
	s := f.sources[keeper]
	if s == nil || !r.Partial || s.epoch != r.Epoch {
		s = &source{alive: map[enroller.Incarnation]bool{}}
		f.sources[keeper] = s
	}
	s.epoch, s.revision = r.Epoch, r.Revision
	for _, g := range r.Gone {
		i := enroller.LeaveOf(g)
		delete(s.alive, i)
		f.roll.Forget(i)
	}
	for i := range s.alive {
		f.roll.Alive(sent, i)
	}
	for _, x := range r.Endpoints {
		b, age := enroller.BeatOf(x)
		if b.Cold > 0 {
			// The age counts from the answer, not from the question.
			b.Cold += now.Sub(sent)
		}
		f.roll.Hear(sent, b, age)
		if r.Epoch != 0 {
			s.alive[b.Incarnation] = true
		}
	}
}
