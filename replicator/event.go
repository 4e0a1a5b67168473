package replicator

import (
	"rattanhoist.example/rattanhoist/messenger"
)

// Ticket ties an answer to the event that asked for it.
type Ticket uint64

// Event is something that happens to a core.
type Event interface{ isEvent() }

// Tick says that time has passed.
type Tick struct{}

// Receive brings a message of another keeper.
type Receive struct{ Message *messenger.LogMessage }

// Propose asks to commit a change; the answer is Answered, Lost or Rejected.
type Propose struct {
	Ticket Ticket
	Data   []byte
}

// Read asks for an index that covers all that was committed before; the
// answer is Confirmed, Lost or Rejected.
type Read struct{ Ticket Ticket }

func (Tick) isEvent()    {}
func (Receive) isEvent() {}
func (Propose) isEvent() {}
func (Read) isEvent()    {}

// Action is something that the shell must do.
type Action interface{ isAction() }

// Write changes a durable row; a nil value deletes it.
type Write struct {
	Bucket string
	Key    string
	Value  []byte
}

// Send passes a message to another keeper; it may be lost.
type Send struct{ Message *messenger.LogMessage }

// Answered says that the proposed change is committed and gives its result.
type Answered struct {
	Ticket Ticket
	Result any
}

// Confirmed says that a majority confirmed the leader after the read came in.
type Confirmed struct {
	Ticket Ticket
	Index  uint64
}

// Lost says that the outcome is not known here.
type Lost struct{ Ticket Ticket }

// Rejected says that nothing was done, for want of the leader's role.
type Rejected struct{ Ticket Ticket }

// Halt says that the keeper must stop: going on would break what it promised.
type Halt struct{ Err error }

func (Write) isAction()     {}
func (Send) isAction()      {}
func (Answered) isAction()  {}
func (Confirmed) isAction() {}
func (Lost) isAction()      {}
func (Rejected) isAction()  {}
func (Halt) isAction()      {}

func (m Member) proto() *messenger.LogMember {
	return &messenger.LogMember{Name: m.Name, Incarnation: m.Incarnation}
}

func memberOf(m *messenger.LogMember) Member {
	return Member{Name: m.GetName(), Incarnation: m.GetIncarnation()}
}

func membershipOf(voters []Member) *messenger.LogMembership {
	out := &messenger.LogMembership{}
	for _, v := range voters {
		out.Voters = append(out.Voters, v.proto())
	}
	return out
}

func votersOf(m *messenger.LogMembership) []Member {
	var out []Member
	for _, v := range m.GetVoters() {
		out = append(out, memberOf(v))
	}
	return out
}

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
