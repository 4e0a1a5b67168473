package steward

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"rattanhoist.example/rattanhoist/messenger"
)

const (
	// nonVoterLogInterval is the interval of the log lines of a keeper that does not vote.
	nonVoterLogInterval = 2 * time.Second
	// maxAnnouncementLogLines bounds the log lines a second about announced disks.
	maxAnnouncementLogLines = 5
)

// announcement is what a log line about an announced disk says.
type announcement struct {
	incarnation    uint64
	founded, leads bool
	leader         string
}

// announcements holds the last announcement of each keeper. A spare announces itself as long as it does not
// vote. It is safe for concurrent use.
type announcements struct {
	mu   sync.Mutex
	last map[string]announcement
}

// isNew records an announcement, and reports whether it differs from the last one of the same keeper.
func (a *announcements) isNew(from string, x announcement) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if last, ok := a.last[from]; ok && last == x {
		return false
	}
	a.last[from] = x
	return true
}

// logAnnouncement logs that a disk which does not vote, or that finds no leader, announced itself, and whether
// this keeper leads and so can add it. It logs again only what has changed.
func (s *Keeper) logAnnouncement(m *messenger.LogMessage) {
	state := s.loop.State()
	x := announcement{incarnation: m.From.GetIncarnation(), founded: m.Deployment != "", leads: state.IsLeader(), leader: state.Leader()}
	if !s.announcements.isNew(m.From.GetName(), x) {
		return
	}
	s.announcementLog.Info("disk announced", zap.String("from", m.From.GetName()), zap.Uint64("incarnation", x.incarnation),
		zap.Bool("founded", x.founded), zap.String("leader", x.leader), zap.Bool("leads", x.leads))
}

// logNonVoter periodically logs that this keeper does not vote, with the keepers that it knows.
func (s *Keeper) logNonVoter(now time.Time) {
	state := s.loop.State()
	if state.IsVoter() || now.Sub(s.nonVoterLoggedAt) < nonVoterLogInterval {
		return
	}
	s.nonVoterLoggedAt = now
	s.log.Info("keeper does not vote", zap.Duration("uptime", now.Sub(s.startedAt)), zap.Bool("founded", state.Founded()),
		zap.String("leader", state.Leader()), zap.Strings("known", s.peers.names()))
}
