package replicator

import (
	"rattanhoist.example/rattanhoist/messenger"
)

// Ticket correlates a Propose or Read event with the action that completes it.
type Ticket uint64

// Event is an input to Core.Step.
type Event interface{ isEvent() }

// Tick reports that time has passed.
type Tick struct{}

// Receive delivers a message from another keeper.
type Receive struct{ Message *messenger.LogMessage }

// Propose requests to commit a change. It completes with ProposalCommitted,
// OutcomeUnknown or Rejected.
type Propose struct {
	Ticket Ticket
	Data   []byte
}

// Read requests an index that covers everything committed before the request.
// It completes with ReadConfirmed, OutcomeUnknown or Rejected.
type Read struct{ Ticket Ticket }

func (Tick) isEvent()    {}
func (Receive) isEvent() {}
func (Propose) isEvent() {}
func (Read) isEvent()    {}

// Action is an output of Core.Step that the caller must carry out.
type Action interface{ isAction() }

// Write sets a durable row, or deletes it if Value is nil.
type Write struct {
	Bucket string
	Key    string
	Value  []byte
}

// Send sends a message to another keeper. Delivery is not guaranteed.
type Send struct{ Message *messenger.LogMessage }

// ProposalCommitted reports that a proposed change was committed and applied.
type ProposalCommitted struct {
	Ticket Ticket
	Result any
}

// ReadConfirmed reports that a majority confirmed the leader after the read
// was requested.
type ReadConfirmed struct {
	Ticket Ticket
	Index  uint64
}

// OutcomeUnknown reports that the outcome of a request is not known here.
type OutcomeUnknown struct{ Ticket Ticket }

// Rejected reports that a request had no effect because this core is not a
// leader that can serve it.
type Rejected struct{ Ticket Ticket }

// Halt reports that the keeper must stop, because continuing would violate the
// guarantees of the log.
type Halt struct{ Err error }

func (Write) isAction()             {}
func (Send) isAction()              {}
func (ProposalCommitted) isAction() {}
func (ReadConfirmed) isAction()     {}
func (OutcomeUnknown) isAction()    {}
func (Rejected) isAction()          {}
func (Halt) isAction()              {}

func (m Member) proto() *messenger.LogMember {
	return &messenger.LogMember{Name: m.Name, Incarnation: m.Incarnation}
}

func memberFromProto(m *messenger.LogMember) Member {
	return Member{Name: m.GetName(), Incarnation: m.GetIncarnation()}
}

func membersToProto(members []Member) []*messenger.LogMember {
	var out []*messenger.LogMember
	for _, m := range members {
		out = append(out, m.proto())
	}
	return out
}

func membersFromProto(members []*messenger.LogMember) []Member {
	var out []Member
	for _, m := range members {
		out = append(out, memberFromProto(m))
	}
	return out
}

func membershipToProto(voters []Member) *messenger.LogMembership {
	return &messenger.LogMembership{Voters: membersToProto(voters)}
}

func votersFromProto(m *messenger.LogMembership) []Member { return membersFromProto(m.GetVoters()) }

func appendReply(accepted bool, match, round uint64) *messenger.LogMessage {
	return &messenger.LogMessage{Body: &messenger.LogMessage_AppendReply{AppendReply: &messenger.LogAppendReply{
		Accepted: accepted, MatchIndex: match, Round: round,
	}}}
}

func voteReply(trial, granted bool) *messenger.LogMessage {
	return &messenger.LogMessage{Body: &messenger.LogMessage_VoteReply{VoteReply: &messenger.LogVoteReply{
		Trial: trial, Granted: granted,
	}}}
}
