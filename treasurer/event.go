package treasurer

import (
	"time"

	"rattanhoist.example/rattanhoist"
	"rattanhoist.example/rattanhoist/messenger"
)

// Event is an input to an account's state machine.
type Event interface{ isEvent() }

// Need reports that the slice holds too few rights for a request.
type Need struct {
	Tokens rattanhoist.Tokens
	// Waiting is the total size of all waiting requests, including this one.
	Waiting rattanhoist.Tokens
	// Deadline is when the request stops waiting for rights.
	Deadline time.Time
}

// Leased reports the keeper's answer to a lease.
type Leased struct {
	Sequence uint64
	Reply    *messenger.LeaseReply
}

// Returned reports the keeper's answer to a return.
type Returned struct{ Sequence uint64 }

// CallFailed reports that a call ended without an answer.
type CallFailed struct{ Sequence uint64 }

// Recall asks the account to return unreserved rights.
type Recall struct{ Tokens rattanhoist.Tokens }

// Tick triggers periodic work.
type Tick struct{}

func (Need) isEvent()       {}
func (Leased) isEvent()     {}
func (Returned) isEvent()   {}
func (CallFailed) isEvent() {}
func (Recall) isEvent()     {}
func (Tick) isEvent()       {}

// Action is an output of an account's state machine that the Treasurer
// carries out.
type Action interface{ isAction() }

// SendLease requests rights from the keeper. A resend has the same sequence.
type SendLease struct {
	Sequence uint64
	Want     rattanhoist.Tokens
	// Demand is in tokens per second.
	Demand int64
}

// SendReturn returns rights to the keeper. They have already left the slice.
type SendReturn struct {
	Sequence uint64
	Tokens   rattanhoist.Tokens
}

// Refuse rejects the request that raised a Need.
type Refuse struct{ Err *Shortage }

// Wait makes the request that raised a Need try again at Until, or as soon as
// the account changes.
type Wait struct{ Until time.Time }

// Retire reports that the account holds no rights and has no traffic.
type Retire struct{}

func (SendLease) isAction()  {}
func (SendReturn) isAction() {}
func (Refuse) isAction()     {}
func (Wait) isAction()       {}
func (Retire) isAction()     {}
