package steward

import (
	"context"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"rattanhoist.example/rattanhoist/messenger"
)

const (
	// endpointsNote is the file that remembers endpoints.
	endpointsNote = "endpoints"
	// rememberEvery is how often the endpoints are written if they have changed: a
	// sync a second at the most.
	rememberEvery = time.Second
)

// remember writes the endpoints down whenever they change. After a restart of all keepers
// nobody would know any of them until their next heartbeats, and the few that are heard
// first would get all the work of callers who come back together.
func (s *Steward) remember(ctx context.Context) {
	t := time.NewTicker(rememberEvery)
	defer t.Stop()
	var written uint64
	failing := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		known, revision := s.roster.known(time.Now())
		if revision == written {
			continue
		}
		if err := s.writeEndpoints(known); err != nil {
			if !failing {
				s.log.Warn("endpoints not written down, tried again", zap.Error(err))
			}
			failing = true
			continue
		}
		written, failing = revision, false
	}
}

func (s *Steward) writeEndpoints(known *messenger.Sightings) error {
	b, err := proto.Marshal(known)
	if err != nil {
		return err
	}
	return s.note.Write(b)
}

// recall takes the endpoints in that were written down. They count as heard now: one
// that is gone is found out on the way of a request, which names the incarnation that
// it is meant for, or forgotten once it has been silent.
func (s *Steward) recall() {
	b, err := s.note.Read()
	if err != nil {
		s.log.Warn("endpoints of before the start unknown", zap.Error(err))
		return
	}
	known := &messenger.Sightings{}
	if err := proto.Unmarshal(b, known); err != nil {
		s.log.Warn("endpoints of before the start unknown", zap.Error(err))
		return
	}
	for _, x := range known.Sightings {
		x.AgeMs = 0
	}
	s.roster.take(time.Now(), known)
	s.log.Info("endpoints recalled", zap.Int("endpoints", len(known.Sightings)))
}
