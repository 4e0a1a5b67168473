package steward

import (
	"context"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"rattanhoist.example/rattanhoist/messenger"
)

const (
	// endpointsFileName is the file that stores the known endpoints.
	endpointsFileName = "endpoints"
	// persistInterval is how often changed endpoints are written, which bounds the syncs
	// of the disk to one a second.
	persistInterval = time.Second
)

// persistEndpoints writes the known endpoints to disk whenever they change. Without the
// file, no keeper would know any endpoint after a restart of all keepers until the next
// heartbeats, and the first few endpoints heard of would get all requests of the callers
// that reconnect at once.
func (s *Keeper) persistEndpoints(ctx context.Context) {
	t := time.NewTicker(persistInterval)
	defer t.Stop()
	var written uint64
	failing := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		known, revision := s.registry.snapshot(time.Now())
		if revision == written {
			continue
		}
		if err := s.writeEndpoints(known); err != nil {
			if !failing {
				s.log.Warn("cannot write the endpoints file; retrying", zap.Error(err))
			}
			failing = true
			continue
		}
		written, failing = revision, false
	}
}

// writeEndpoints replaces the content of the endpoints file.
func (s *Keeper) writeEndpoints(known *messenger.Sightings) error {
	b, err := proto.Marshal(known)
	if err != nil {
		return err
	}
	return s.endpointsFile.Write(b)
}

// restoreEndpoints loads the endpoints from disk as if their heartbeats had just arrived.
// One that is gone is detected by a request, which names the incarnation that it is meant
// for, or expires for lack of heartbeats.
func (s *Keeper) restoreEndpoints() {
	b, err := s.endpointsFile.Read()
	if err != nil {
		s.log.Warn("cannot read the endpoints file", zap.Error(err))
		return
	}
	known := &messenger.Sightings{}
	if err := proto.Unmarshal(b, known); err != nil {
		s.log.Warn("cannot read the endpoints file", zap.Error(err))
		return
	}
	for _, x := range known.Sightings {
		// Without a sequence, an endpoint gives way to any other one that reports from its address.
		x.AgeMs, x.Sequence = 0, 0
	}
	for _, v := range known.GetVersions().GetGone() {
		// How long this process was down is not known.
		v.AgeMs = 0
	}
	s.registry.merge(time.Now(), known)
	s.log.Info("endpoints restored", zap.Int("endpoints", len(known.Sightings)))
}
