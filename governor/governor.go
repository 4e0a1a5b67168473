// Package governor is the state that a fleet's log builds up: the operator's
// document, the prepaid rights, the endpoints that have left, the requests that are
// held back, and the evacuated zones.
package governor

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"rattanhoist.example/rattanhoist/allotter"
	"rattanhoist.example/rattanhoist/enroller"
	"rattanhoist.example/rattanhoist/messenger"
	"rattanhoist.example/rattanhoist/quarantiner"
)

// leftMost bounds the endpoints remembered as left. An incarnation leaves
// once; its late heartbeats come within seconds, and this many leave in hours.
const leftMost = 1024

// quarantinesMost bounds the requests held back; past it, the oldest are let go.
const quarantinesMost = 1024

// Quarantine is a request that is held back.
type Quarantine struct {
	Request quarantiner.Fingerprint
	// Number counts all that were ever held back.
	Number uint64
	// UntilMS is when it ends, by the time of day, in milliseconds since 1970.
	UntilMS int64
}

// Document is the document in force; immutable.
type Document struct {
	number  uint64
	content []byte
}

// Number returns the operator's number; 0 before the first document.
func (d *Document) Number() uint64 { return d.number }

// Content returns the document, packed; callers must not change it.
func (d *Document) Content() []byte { return d.content }

// Governor is the pure state machine. Not safe for concurrent use.
type Governor struct {
	document *Document
	ledger   *allotter.Ledger
	// Left holds endpoint incarnations, oldest first; replaced, never changed.
	left []enroller.Incarnation
	// Quarantines holds one for each request, oldest first; replaced, never changed.
	quarantines []Quarantine
	evacuations *Evacuations
}

// New returns the empty state.
func New() *Governor {
	return &Governor{document: &Document{}, ledger: allotter.NewLedger(), evacuations: &Evacuations{}}
}

// Document returns the document in force.
func (g *Governor) Document() *Document { return g.document }

// Left returns the endpoints that have left; callers must not change it.
func (g *Governor) Left() []enroller.Incarnation { return g.left }

// Quarantines returns the requests that are held back, oldest first, those that have
// ended by now included; callers must not change it.
func (g *Governor) Quarantines() []Quarantine { return g.quarantines }

// Evacuations returns the evacuated zones.
func (g *Governor) Evacuations() *Evacuations { return g.evacuations }

// Ledger returns the rights.
func (g *Governor) Ledger() *allotter.Ledger { return g.ledger }

// Apply takes a committed change in. The result is *messenger.RightsGrants
// for rights, a slice of them for a batch, and nil otherwise.
func (g *Governor) Apply(data []byte) any {
	c := &messenger.FleetChange{}
	if err := proto.Unmarshal(data, c); err != nil {
		// Every keeper reads the same bytes, so all skip it alike.
		return nil
	}
	switch b := c.Body.(type) {
	case *messenger.FleetChange_Document:
		g.publish(b.Document)
	case *messenger.FleetChange_Rights:
		return g.ledger.Claim(b.Rights)
	case *messenger.FleetChange_Batch:
		var out []*messenger.RightsGrants
		for _, r := range b.Batch.Changes {
			out = append(out, g.ledger.Claim(r))
		}
		return out
	case *messenger.FleetChange_Leave:
		g.leave(enroller.LeaveOf(b.Leave))
	case *messenger.FleetChange_Quarantine:
		g.holdBack(b.Quarantine)
	case *messenger.FleetChange_Evacuation:
		g.evacuations = g.evacuations.after(b.Evacuation)
	}
	return nil
}

// publish brings a document into force if its number is the highest. Any
// other is acknowledged and changes nothing: an order that was overtaken, or
// that is sent again, must get the same answer as the first time.
func (g *Governor) publish(d *messenger.DocumentChange) {
	if d.Number <= g.document.number {
		return
	}
	g.document = &Document{number: d.Number, content: d.Content}
	g.ledger.SetTotals(d.Totals)
}

func (g *Governor) leave(i enroller.Incarnation) {
	if slices.Contains(g.left, i) {
		return
	}
	from := max(len(g.left)+1-leftMost, 0)
	g.left = append(slices.Clone(g.left[from:]), i)
}

// holdBack holds requests back, or lets them go. One that is held back, or let go,
// already is left as it is: a leader may ask twice before it sees that it was committed.
func (g *Governor) holdBack(c *messenger.QuarantineChange) {
	list := slices.Clone(g.quarantines)
	for _, x := range c.Requests {
		f := quarantiner.FingerprintOf(x)
		same := func(q Quarantine) bool { return q.Request == f }
		i := slices.IndexFunc(list, same)
		if held := i >= 0 && list[i].UntilMS > c.AtMs; held == (c.UntilMs > c.AtMs) {
			continue
		}
		number := uint64(1)
		if n := len(list); n > 0 {
			number = list[n-1].Number + 1
		}
		list = append(slices.DeleteFunc(list, same), Quarantine{Request: f, Number: number, UntilMS: c.UntilMs})
	}
	g.quarantines = list[max(len(list)-quarantinesMost, 0):]
}

// Snapshot returns the whole state.
func (g *Governor) Snapshot() []byte {
	s := &messenger.FleetSnapshot{Number: g.document.number, Content: g.document.content, Evacuations: g.evacuations.Message()}
	for _, i := range g.left {
		s.Left = append(s.Left, i.Leave())
	}
	for _, q := range g.quarantines {
		s.Quarantined = append(s.Quarantined, &messenger.Quarantine{Request: q.Request.Content(), Number: q.Number, UntilMs: q.UntilMS})
	}
	g.ledger.Snapshot(s)
	b, err := proto.Marshal(s)
	if err != nil {
		// Every string came through a codec that refuses what can't be written.
		panic(err)
	}
	return b
}

// Restore replaces the state.
func (g *Governor) Restore(b []byte) error {
	s := &messenger.FleetSnapshot{}
	if err := proto.Unmarshal(b, s); err != nil {
		return err
	}
	g.document = &Document{number: s.Number, content: s.Content}
	g.left = nil
	for _, l := range s.Left {
		g.left = append(g.left, enroller.LeaveOf(l))
	}
	g.quarantines = nil
	for _, q := range s.Quarantined {
		g.quarantines = append(g.quarantines, Quarantine{Request: quarantiner.FingerprintOf(q.Request), Number: q.Number, UntilMS: q.UntilMs})
	}
	g.ledger = allotter.Restore(s)
	g.evacuations = evacuationsOf(s.Evacuations)
	return nil
}
