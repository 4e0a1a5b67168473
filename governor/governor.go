// Package governor implements the state machine of a fleet's replicated log: the
// operator's configuration document, the prepaid rights, the endpoints that have left, the
// quarantined requests and the evacuated zones.
package governor

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"rattanhoist.example/rattanhoist/allotter"
	"rattanhoist.example/rattanhoist/enroller"
	"rattanhoist.example/rattanhoist/messenger"
	"rattanhoist.example/rattanhoist/quarantiner"
)

// maxQuarantines bounds the quarantined requests; above it, the oldest are released.
const maxQuarantines = 1024

// MaxTrials is how many requests may be sent in all, one at a time, with a prompt part that is
// quarantined, to find out whether endpoints survive it now.
const MaxTrials = 2

// Quarantine is a subject that routers refuse until a point in time.
type Quarantine struct {
	quarantiner.HeldSubject
	// Number is higher than that of every earlier quarantine and trial.
	Number uint64
	// AtMS and UntilMS are when the quarantine begins and ends, in Unix milliseconds.
	AtMS, UntilMS int64
	// Trial is the latest trial.
	Trial Trial
}

// Trial permits one router to send one request that is quarantined.
type Trial struct {
	// Number counts the trials of a quarantine; 0 stands for none.
	Number uint32
	// Router and IncarnationHash identify the router.
	Router          string
	IncarnationHash uint64
}

// MoreTrials reports whether another trial may be permitted.
func (q *Quarantine) MoreTrials() bool { return q.Subject.IsPart() && q.Trial.Number < MaxTrials }

func quarantineFromMessage(m *messenger.Quarantine) Quarantine {
	return Quarantine{
		HeldSubject: quarantiner.HeldSubjectFromMessage(m.Request), Number: m.Number, AtMS: m.AtMs, UntilMS: m.UntilMs,
		Trial: Trial{Number: m.Trials, Router: m.TrialRouter, IncarnationHash: m.TrialIncarnationHash},
	}
}

func (q *Quarantine) message() *messenger.Quarantine {
	return &messenger.Quarantine{
		Request: q.Message(), Number: q.Number, AtMs: q.AtMS, UntilMs: q.UntilMS,
		Trials: q.Trial.Number, TrialRouter: q.Trial.Router, TrialIncarnationHash: q.Trial.IncarnationHash,
	}
}

// Document is the current configuration document; immutable.
type Document struct {
	number  uint64
	content []byte
}

// Number returns the operator's number; 0 before the first document.
func (d *Document) Number() uint64 { return d.number }

// Content returns the compressed document; callers must not change it.
func (d *Document) Content() []byte { return d.content }

// StateMachine is the replicated state. It has no side effects, and is not safe for
// concurrent use.
type StateMachine struct {
	document *Document
	ledger   *allotter.Ledger
	leaves   *enroller.LeaveHistory
	// index is that of the last entry that was applied.
	index uint64
	// quarantines holds one entry for each subject, oldest first. The slice is replaced,
	// never changed in place.
	quarantines []Quarantine
	evacuations *Evacuations
}

// New returns the empty state.
func New() *StateMachine {
	return &StateMachine{document: &Document{}, ledger: allotter.NewLedger(), leaves: enroller.NewLeaveHistory(), evacuations: &Evacuations{}}
}

// Document returns the current document.
func (g *StateMachine) Document() *Document { return g.document }

// Leaves returns the endpoints that have left.
func (g *StateMachine) Leaves() enroller.Leaves { return g.leaves.Leaves() }

// Index returns the index of the last log entry that the state includes.
func (g *StateMachine) Index() uint64 { return g.index }

// Quarantines returns the quarantines, oldest first, including those that have ended by
// now; callers must not change it.
func (g *StateMachine) Quarantines() []Quarantine { return g.quarantines }

// Evacuations returns the evacuated zones.
func (g *StateMachine) Evacuations() *Evacuations { return g.evacuations }

// Ledger returns the ledger of prepaid rights.
func (g *StateMachine) Ledger() *allotter.Ledger { return g.ledger }

// Apply applies a committed change. The result is *messenger.RightsGrants for a rights
// change, a slice of them for a batch, and nil otherwise.
func (g *StateMachine) Apply(index uint64, data []byte) any {
	g.index = index
	c := &messenger.FleetChange{}
	if err := proto.Unmarshal(data, c); err != nil {
		// Every keeper reads the same bytes, so all of them skip the change.
		return nil
	}
	switch b := c.Body.(type) {
	case *messenger.FleetChange_Document:
		g.applyDocument(b.Document)
	case *messenger.FleetChange_Rights:
		return g.ledger.ApplyClaims(b.Rights)
	case *messenger.FleetChange_Batch:
		var out []*messenger.RightsGrants
		for _, r := range b.Batch.Changes {
			out = append(out, g.ledger.ApplyClaims(r))
		}
		return out
	case *messenger.FleetChange_Leave:
		g.leaves.Record(enroller.Leave{Incarnation: enroller.IncarnationFromLeave(b.Leave), Index: index})
	case *messenger.FleetChange_Quarantine:
		g.applyQuarantine(b.Quarantine)
	case *messenger.FleetChange_Evacuation:
		g.evacuations = g.evacuations.apply(b.Evacuation)
	case *messenger.FleetChange_Trial:
		g.applyTrial(b.Trial)
	}
	return nil
}

// applyDocument replaces the document if the new number is higher. Any other document is
// acknowledged and changes nothing: one that was overtaken, or is sent again, must get the
// same answer as the first time.
func (g *StateMachine) applyDocument(d *messenger.DocumentChange) {
	if d.Number <= g.document.number {
		return
	}
	g.document = &Document{number: d.Number, content: d.Content}
	g.ledger.SetTotals(d.Totals)
}

// applyQuarantine quarantines or releases subjects. One that is already in the
// wanted state is left as it is: a leader may ask twice before it sees that the first
// change was committed. A part that is held back with fewer other parts than before is held back
// for more requests, until the same time.
func (g *StateMachine) applyQuarantine(c *messenger.QuarantineChange) {
	list := slices.Clone(g.quarantines)
	for _, x := range c.Requests {
		h := quarantiner.HeldSubjectFromMessage(x)
		i := indexOf(list, h.Subject)
		held, wanted := i >= 0 && list[i].UntilMS > c.AtMs, c.UntilMs > c.AtMs
		switch {
		case held && wanted && len(h.With) < len(list[i].With):
			wider := list[i]
			wider.With = h.With
			list = moveToEnd(list, i, wider)
		case held != wanted:
			list = moveToEnd(list, i, Quarantine{HeldSubject: h, AtMS: c.AtMs, UntilMS: c.UntilMs})
		}
	}
	g.quarantines = list[max(len(list)-maxQuarantines, 0):]
}

// applyTrial permits a router one request of a quarantined subject. Several keepers may ask for the
// same trial; the first one is permitted.
func (g *StateMachine) applyTrial(c *messenger.TrialChange) {
	list := slices.Clone(g.quarantines)
	i := indexOf(list, quarantiner.SubjectFromMessage(c.Subject))
	if i < 0 || !list[i].MoreTrials() || list[i].Trial.Number+1 != c.Trial {
		return
	}
	q := list[i]
	q.Trial = Trial{Number: c.Trial, Router: c.Router, IncarnationHash: c.IncarnationHash}
	g.quarantines = moveToEnd(list, i, q)
}

// indexOf returns the index of the quarantine of a subject, or -1.
func indexOf(list []Quarantine, s quarantiner.Subject) int {
	return slices.IndexFunc(list, func(q Quarantine) bool { return q.Subject == s })
}

// moveToEnd replaces entry i, if it is not negative, by a new last entry with the next number.
func moveToEnd(list []Quarantine, i int, q Quarantine) []Quarantine {
	q.Number = 1
	if n := len(list); n > 0 {
		q.Number = list[n-1].Number + 1
	}
	if i >= 0 {
		list = slices.Delete(list, i, i+1)
	}
	return append(list, q)
}

// Snapshot returns the whole state, encoded.
func (g *StateMachine) Snapshot() []byte {
	s := &messenger.FleetSnapshot{Number: g.document.number, Content: g.document.content, Evacuations: g.evacuations.Message()}
	g.Leaves().Fill(s)
	for _, q := range g.quarantines {
		s.Quarantined = append(s.Quarantined, q.message())
	}
	g.ledger.Snapshot(s)
	b, err := proto.Marshal(s)
	if err != nil {
		// Every string was decoded from a message, and the codec refuses strings that it
		// could not encode.
		panic(err)
	}
	return b
}

// Restore replaces the state by a snapshot that was taken after the log entry with an index.
func (g *StateMachine) Restore(index uint64, b []byte) error {
	s := &messenger.FleetSnapshot{}
	if err := proto.Unmarshal(b, s); err != nil {
		return err
	}
	g.document = &Document{number: s.Number, content: s.Content}
	g.index, g.leaves = index, enroller.RestoreLeaves(s, index)
	g.quarantines = nil
	for _, q := range s.Quarantined {
		g.quarantines = append(g.quarantines, quarantineFromMessage(q))
	}
	g.ledger = allotter.Restore(s)
	g.evacuations = evacuationsFromMessage(s.Evacuations)
	return nil
}
