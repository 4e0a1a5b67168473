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

// Fence ends the incarnations of a router up to one.
type Fence struct {
	Ticket  Ticket
	Request *messenger.FenceRequest
}

func (Mint) isEvent()    {}
func (Lease) isEvent()   {}
func (Bill) isEvent()    {}
func (Return) isEvent()  {}
func (Ask) isEvent()     {}
func (Receive) isEvent() {}
func (Confirm) isEvent() {}
func (Fence) isEvent()   {}

// Action is something that the shell does for a vault. The shell carries out
// replies only after every row of the same step is synced.
type Action interface{ isAction() }

// Write stores a row; a nil Value deletes it.
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
