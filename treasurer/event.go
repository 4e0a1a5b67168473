package treasurer

import (
	"time"

	"rattanhoist.example/rattanhoist"
	"rattanhoist.example/rattanhoist/messenger"
)

// Event is something that happens to an account.
type Event interface{ isEvent() }

// Need says that a request found too few rights in the slice.
type Need struct {
	Tokens rattanhoist.Tokens
	// Waiting is the sum of all requests that wait, this one included.
	Waiting rattanhoist.Tokens
	// GiveUp ends the wait for settlements.
	GiveUp time.Time
}

// Leased is the keeper's answer to a lease.
type Leased struct {
	Sequence uint64
	Reply    *messenger.LeaseReply
}

// Returned is the keeper's answer to a return.
type Returned struct{ Sequence uint64 }

// Failed says that a call brought no answer.
type Failed struct{ Sequence uint64 }

// Recall asks for unreserved rights back.
type Recall struct{ Tokens rattanhoist.Tokens }

// Tick lets time pass.
type Tick struct{}

func (Need) isEvent()     {}
func (Leased) isEvent()   {}
func (Returned) isEvent() {}
func (Failed) isEvent()   {}
func (Recall) isEvent()   {}
func (Tick) isEvent()     {}

// Action is something that the shell does for an account.
type Action interface{ isAction() }

// SendLease asks the keeper for rights. A resend has the same sequence.
type SendLease struct {
	Sequence uint64
	Want     rattanhoist.Tokens
	// Demand is in tokens a second.
	Demand int64
}

// SendReturn gives rights back that have left the slice.
type SendReturn struct {
	Sequence uint64
	Tokens   rattanhoist.Tokens
}

// Refuse answers a Need for good.
type Refuse struct{ Err *Shortage }

// Wait answers a Need: try again at Until, or as soon as anything changes.
type Wait struct{ Until time.Time }

// Retire says that the account holds nothing and has no traffic.
type Retire struct{}

func (SendLease) isAction()  {}
func (SendReturn) isAction() {}
func (Refuse) isAction()     {}
func (Wait) isAction()       {}
func (Retire) isAction()     {}
