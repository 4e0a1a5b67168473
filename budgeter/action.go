package budgeter

import (
	"google.golang.org/protobuf/proto"

	"rattanhoist.example/rattanhoist/messenger"
)

// CorrelationID links a Reply to the event that requested it.
type CorrelationID uint64

// Event is an input of a vault; see Vault.Step.
type Event interface{ isEvent() }

// Mint creates rights for a top-up. A top-up with a known ID creates none.
type Mint struct {
	CorrelationID CorrelationID
	Request       *messenger.TopUpRequest
}

// Lease requests rights for a router.
type Lease struct {
	CorrelationID CorrelationID
	Request       *messenger.LeaseRequest
}

// Bill turns leased rights into charges.
type Bill struct {
	CorrelationID CorrelationID
	Request       *messenger.ChargeRequest
}

// ReturnRights returns leased rights of a router to the vault.
type ReturnRights struct {
	CorrelationID CorrelationID
	Request       *messenger.ReturnRequest
}

// RequestTransfer requests a transfer of rights from this zone to another.
type RequestTransfer struct {
	CorrelationID CorrelationID
	Request       *messenger.AskRequest
}

// ReceiveTransfers credits transfers from another zone, each of them once.
type ReceiveTransfers struct {
	CorrelationID CorrelationID
	Request       *messenger.GiveRequest
}

// ConfirmTransfers removes pending transfers that the receiving zone has
// recorded.
type ConfirmTransfers struct{ TransferIDs []string }

// Register announces an incarnation of a router and fences the earlier ones.
type Register struct {
	CorrelationID CorrelationID
	Request       *messenger.RegisterRequest
}

// Fence fences the incarnations of a router up to a given one. Their rights
// stay leased until Release, because the witness may have stored charges of
// theirs.
type Fence struct {
	CorrelationID CorrelationID
	Request       *messenger.FenceRequest
}

// Release returns the unspent rights of fenced incarnations. It must follow the
// fencing of the same incarnations by the witness.
type Release struct {
	CorrelationID CorrelationID
	Router        string
	// Incarnation is the last one that the witness has fenced.
	Incarnation uint64
	Witness     *messenger.FenceWitnessReply
}

// Witness stores charges of a router of another zone.
type Witness struct {
	CorrelationID CorrelationID
	Request       *messenger.ChargeRequest
}

// FenceWitness makes the vault refuse to store further charges of incarnations
// of another zone's router.
type FenceWitness struct {
	CorrelationID CorrelationID
	Request       *messenger.FenceWitnessRequest
}

// HandOver bills charges that a witness has stored.
type HandOver struct {
	CorrelationID CorrelationID
	Request       *messenger.HandOverRequest
}

// DropWitnessed deletes stored charges that their own zone has billed.
type DropWitnessed struct{ Charges []*messenger.Charge }

// RecordSoloMark stores the solo mark of another keeper and replies with the
// stored mark. Without a commit number it only queries the mark. See
// Vault.SoloMark.
type RecordSoloMark struct {
	CorrelationID CorrelationID
	Request       *messenger.MarkRequest
}

// StartIncarnation gives an empty vault its incarnation. If Copy is set, the
// rows were restored from a copy after the loss of a disk, and all unspent
// rights are frozen until VerifyRestore succeeds.
type StartIncarnation struct {
	Incarnation uint64
	Copy        *messenger.CopyState
}

// VerifyRestore passes on what routers and keepers report about the time before
// a restore.
type VerifyRestore struct {
	CorrelationID CorrelationID
	// Routers are the names of the zone's routers in the settings.
	Routers  []string
	Holdings []*messenger.HoldingsReply
	// CopyComplete reports whether no solo mark can be missing; see
	// Vault.CopyComplete.
	CopyComplete bool
}

// ClaimBills records which zone claims the bill of a request. The first claim
// for a request wins.
type ClaimBills struct {
	CorrelationID CorrelationID
	Request       *messenger.ClaimBillsRequest
}

// SettleClaims removes rows of BucketUnclaimed. Counting maps their keys to the
// zones whose bills count, one for each request of the row in order. The other
// bills are reversed.
type SettleClaims struct{ Counting map[string][]string }

func (ClaimBills) isEvent()   {}
func (SettleClaims) isEvent() {}

// MirrorPaired makes a commit of its own, so that a copy that is complete again
// is later than every solo mark.
type MirrorPaired struct {
	// MirrorIncarnation is the incarnation of the mirror's own vault, or 0 if it
	// is unknown.
	MirrorIncarnation uint64
}

func (MirrorPaired) isEvent()     {}
func (Mint) isEvent()             {}
func (Lease) isEvent()            {}
func (Bill) isEvent()             {}
func (ReturnRights) isEvent()     {}
func (RequestTransfer) isEvent()  {}
func (ReceiveTransfers) isEvent() {}
func (ConfirmTransfers) isEvent() {}
func (Register) isEvent()         {}
func (Fence) isEvent()            {}
func (Release) isEvent()          {}
func (Witness) isEvent()          {}
func (FenceWitness) isEvent()     {}
func (HandOver) isEvent()         {}
func (DropWitnessed) isEvent()    {}
func (RecordSoloMark) isEvent()   {}
func (StartIncarnation) isEvent() {}
func (VerifyRestore) isEvent()    {}

// Action is an output of a vault that its caller (the shell) executes. The
// shell sends replies only after every row of the same step is synced.
type Action interface{ isAction() }

// Write stores a row; a nil Value deletes it. A step writes each row at most
// once.
type Write struct {
	Bucket string
	Key    string
	Value  []byte
}

// Reply is the answer to an event; either Message or Err is set.
type Reply struct {
	CorrelationID CorrelationID
	Message       proto.Message
	Err           error
}

func (Write) isAction() {}
func (Reply) isAction() {}
