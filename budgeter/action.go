package budgeter

import (
	"google.golang.org/protobuf/proto"

	"rattanhoist.example/rattanhoist/messenger"
)

// Ticket ties a reply to the event that asked for it.
type Ticket uint64

// Event is something that happens to a vault.
type Event interface{ isEvent() }

// Mint asks for a top-up; the identity counts once.
type Mint struct {
	Ticket  Ticket
	Request *messenger.TopUpRequest
}

// Lease asks for rights for a router.
type Lease struct {
	Ticket  Ticket
	Request *messenger.LeaseRequest
}

// Bill turns leased rights into charges.
type Bill struct {
	Ticket  Ticket
	Request *messenger.ChargeRequest
}

// Return gives leased rights back.
type Return struct {
	Ticket  Ticket
	Request *messenger.ReturnRequest
}

// Ask asks this zone to transfer rights to another.
type Ask struct {
	Ticket  Ticket
	Request *messenger.AskRequest
}

// Receive takes transfers from another zone, each once.
type Receive struct {
	Ticket  Ticket
	Request *messenger.GiveRequest
}

// Confirm ends transfers that the other zone has recorded.
type Confirm struct{ TransferIDs []string }

// Register announces an incarnation of a router and fences the earlier ones.
type Register struct {
	Ticket  Ticket
	Request *messenger.RegisterRequest
}

// Fence ends the incarnations of a router up to one. What they hold stays
// leased until Release: the witness may have charges of theirs.
type Fence struct {
	Ticket  Ticket
	Request *messenger.FenceRequest
}

// Release returns the remainder of fenced incarnations, once the witness has
// fenced them too.
type Release struct {
	Ticket Ticket
	Router string
	// Incarnation is the one up to which the witness has fenced.
	Incarnation uint64
	Witness     *messenger.FenceWitnessReply
}

// Witness stores charges of another zone's router.
type Witness struct {
	Ticket  Ticket
	Request *messenger.ChargeRequest
}

// FenceWitness has the vault witness no more for incarnations of another
// zone's router.
type FenceWitness struct {
	Ticket  Ticket
	Request *messenger.FenceWitnessRequest
}

// HandOver bills charges that a witness has stored.
type HandOver struct {
	Ticket  Ticket
	Request *messenger.HandOverRequest
}

// HandedOver drops witnessed charges that their own zone has billed.
type HandedOver struct{ Charges []*messenger.Charge }

// Mark stores another keeper's solo mark, or asks for it.
type Mark struct {
	Ticket  Ticket
	Request *messenger.MarkRequest
}

// Begin gives an empty vault its incarnation. With a copy, the rows of a lost
// disk have been restored, and everything unspent is frozen until Prove.
type Begin struct {
	Incarnation uint64
	Copy        *messenger.CopyState
}

// Prove brings what routers and keepers say about the time before a restore.
type Prove struct {
	Ticket Ticket
	// Routers are the names of the zone's routers in the settings.
	Routers  []string
	Holdings []*messenger.HoldingsReply
	// CopyComplete reports whether no solo mark can be missing; see
	// Vault.CopyComplete.
	CopyComplete bool
}

// ClaimBills records claims of bills, the first for each request.
type ClaimBills struct {
	Ticket  Ticket
	Request *messenger.ClaimBillsRequest
}

// BillsClaimed ends rows of Unclaimed. Counting maps their keys to the zones
// whose bills count, for each of their requests in order; others are reversed.
type BillsClaimed struct{ Counting map[string][]string }

func (ClaimBills) isEvent()   {}
func (BillsClaimed) isEvent() {}

// Paired makes a commit of its own, so that a copy which is whole again is
// later than every solo mark.
type Paired struct {
	// MirrorIncarnation is that of the mirror's own vault, 0 where unknown.
	MirrorIncarnation uint64
}

func (Paired) isEvent()       {}
func (Mint) isEvent()         {}
func (Lease) isEvent()        {}
func (Bill) isEvent()         {}
func (Return) isEvent()       {}
func (Ask) isEvent()          {}
func (Receive) isEvent()      {}
func (Confirm) isEvent()      {}
func (Register) isEvent()     {}
func (Fence) isEvent()        {}
func (Release) isEvent()      {}
func (Witness) isEvent()      {}
func (FenceWitness) isEvent() {}
func (HandOver) isEvent()     {}
func (HandedOver) isEvent()   {}
func (Mark) isEvent()         {}
func (Begin) isEvent()        {}
func (Prove) isEvent()        {}

// Action is something that the shell does for a vault. The shell carries out
// replies only after every row of the same step is synced.
type Action interface{ isAction() }

// Write stores a row; a nil Value deletes it. A step writes a row once.
type Write struct {
	Bucket string
	Key    string
	Value  []byte
}

// Reply answers an event; either Message or Err is set.
type Reply struct {
	Ticket  Ticket
	Message proto.Message
	Err     error
}

func (Write) isAction() {}
func (Reply) isAction() {}
