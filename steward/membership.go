package steward

import (
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

// logAnnouncement logs that a disk which does not vote, or that finds no leader, announced itself, and whether
// this keeper leads and so can add it.
func (s *Keeper) logAnnouncement(m *messenger.LogMessage) {
	state := s.loop.State()
	s.announcementLog.Info("disk announced", zap.String("from", m.From.GetName()), zap.Uint64("incarnation", m.From.GetIncarnation()),
		zap.Bool("founded", m.Deployment != ""), zap.String("leader", state.Leader()), zap.Bool("leads", state.IsLeader()))
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
