package replicator

import (
	"fmt"
	"slices"

	"rattanhoist.example/rattanhoist/messenger"
)

// adopt checks that a message belongs to this deployment. An empty disk takes
// the deployment of the first message that names its incarnation: only one
// who has heard from this very disk can name it.
func (c *Core) adopt(m *messenger.LogMessage, to Member) bool {
	if c.deployment == "" && m.Deployment != "" && to.Incarnation == c.self.Incarnation {
		c.deployment = m.Deployment
		c.dirty = true
	}
	return m.Deployment != "" && m.Deployment == c.deployment
}

// sayHello makes a disk that does not vote known to the others, and one that
// finds no leader: it may have lost its vote while it was cut off, and all the
// disks that it knows may be gone.
func (c *Core) sayHello() {
	if c.Voter() && c.role != Trial || c.now.Before(c.helloAt) {
		return
	}
	c.helloAt = c.now.Add(helloEvery * c.options.Timing.Heartbeat)
	for _, p := range c.options.Peers {
		c.send(Member{Name: p}, &messenger.LogMessage{Body: &messenger.LogMessage_Hello{Hello: &messenger.LogHello{}}})
	}
	c.found()
}

func (c *Core) onHello(from Member, deployment string) {
	if deployment == "" || deployment == c.deployment {
		c.send(from, &messenger.LogMessage{Body: &messenger.LogMessage_HelloReply{HelloReply: &messenger.LogHelloReply{
			Founded: c.deployment != "",
		}}})
		c.learn(from)
	}
}

func (c *Core) onHelloReply(from Member, r *messenger.LogHelloReply) {
	if r.Founded {
		delete(c.unfounded, from.Name)
		return
	}
	c.unfounded[from.Name] = from.Incarnation
	c.found()
}

// found begins a new deployment. An emptied disk must not found a second one
// beside the deployment that it has forgotten, so every other keeper of the
// settings must have said, after this disk was emptied, that its own is empty
// too; the first in name order then founds.
func (c *Core) found() {
	if c.options.NeverFounds || c.deployment != "" || len(c.unfounded) < len(c.options.Peers) {
		return
	}
	all := []Member{c.self}
	for _, p := range c.options.Peers {
		all = append(all, Member{Name: p, Incarnation: c.unfounded[p]})
	}
	slices.SortFunc(all, compareMembers)
	if all[0] != c.self {
		return
	}
	c.deployment = fmt.Sprintf("%016x%016x", c.options.Rand.Uint64(), c.options.Rand.Uint64())
	c.term = 1
	c.dirty = true
	e := &messenger.LogEntry{
		Index: 1, Term: 1, Kind: messenger.LogEntryKind_LOG_ENTRY_KIND_MEMBERSHIP,
		Membership: membershipOf(all[:min(max(c.options.Voters, 1), len(all))]),
	}
	c.log.append(e)
	c.writeEntry(e)
	c.electAt = c.now
}

// learn has the leader bring a disk that does not vote up to date.
func (c *Core) learn(m Member) {
	if c.role != Leader || c.lead.progress[m] != nil || m == c.self || m.Incarnation == 0 {
		return
	}
	c.lead.progress[m] = &progress{next: c.log.last() + 1, since: c.now, sinceRound: c.lead.round}
}

// mendMembership takes one step towards a full set of voters on live disks:
// a voter whose disk was emptied, or who was silent for long while a spare is
// ready, or whom the settings no longer name, leaves; then a complete copy
// joins. Two steps, each waiting for the
// commit of the one before, keep every two majorities overlapping.
func (c *Core) mendMembership() {
	if !c.Ready() || c.log.votersIndex > c.commit {
		return
	}
	if c.retire() {
		return
	}
	for _, l := range c.members() {
		if c.complete(l) && c.seat(l) {
			return
		}
	}
}

// retire removes a voter that the settings no longer name, once it is silent,
// and reports whether it did.
func (c *Core) retire() bool {
	for i, v := range c.log.voters {
		if v != c.self && !slices.Contains(c.options.Peers, v.Name) && c.mayRemove(v) {
			c.changeVoters(slices.Delete(c.Voters(), i, i+1))
			return true
		}
	}
	return false
}

// complete reports whether a disk that does not vote has all that is
// committed. Late messages of a disk that is gone must not bring it back.
func (c *Core) complete(l Member) bool {
	p := c.lead.progress[l]
	return !slices.Contains(c.log.voters, l) && c.live(p) && p.round > p.sinceRound && p.match >= c.commit
}

// seat takes the next step to the vote of a complete copy and reports whether
// there was one. Two disks of one name never vote at the same time: the older
// one is lost, and would count against every majority.
func (c *Core) seat(l Member) bool {
	i := slices.IndexFunc(c.log.voters, func(v Member) bool { return v.Name == l.Name })
	if i < 0 && len(c.log.voters) < c.options.Voters {
		c.changeVoters(append(c.Voters(), l))
		return true
	}
	if i < 0 {
		i = slices.IndexFunc(c.log.voters, c.longSilent)
	}
	if i < 0 || !c.mayRemove(c.log.voters[i]) {
		return false
	}
	c.changeVoters(slices.Delete(c.Voters(), i, i+1))
	return true
}

func (c *Core) longSilent(v Member) bool {
	p := c.lead.progress[v]
	return p != nil && c.now.Sub(p.ackedAt) > c.options.Timing.Replace
}

// mayRemove reports whether a voter is silent and the voters that answer are
// a majority without it: otherwise its removal could not be committed.
func (c *Core) mayRemove(v Member) bool {
	live := 0
	for _, o := range c.log.voters {
		if o == c.self || c.lead.progress[o] != nil && c.live(c.lead.progress[o]) {
			live++
		}
	}
	p := c.lead.progress[v]
	return p != nil && !c.live(p) && live > (len(c.log.voters)-1)/2
}

func (c *Core) live(p *progress) bool {
	return !p.ackedAt.IsZero() && c.now.Sub(p.ackedAt) < c.options.Timing.Election
}

func (c *Core) changeVoters(voters []Member) {
	slices.SortFunc(voters, compareMembers)
	c.appendOwn(&messenger.LogEntry{Kind: messenger.LogEntryKind_LOG_ENTRY_KIND_MEMBERSHIP, Membership: membershipOf(voters)})
	c.trackMembers()
}
