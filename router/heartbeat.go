package router

import (
	"context"
	"expvar"
	"time"

	"go.uber.org/zap"
	"google.golang.org/grpc"

	"rattanhoist.example/rattanhoist"
	"rattanhoist.example/rattanhoist/joiner"
	"rattanhoist.example/rattanhoist/messenger"
)

// peerCounters counts events between the routers of a zone, such as lost
// siblings, runs taken over and dropped run records.
var peerCounters = expvar.NewMap("homes")

// maxRecordsPerHeartbeat bounds the run records in one heartbeat.
const maxRecordsPerHeartbeat = 512

// queueRunRecord sends the record of a run to the routers that take over the
// request if this router fails. The records go out with the next heartbeat.
func (r *Router) queueRunRecord(q *request, s joiner.Stream) {
	for _, x := range r.peers.successors(q.key) {
		select {
		case x.records <- &messenger.RunRecord{
			Workspace: q.key.Workspace(), RequestId: q.key.RequestID(), Digest: q.digest[:],
			StreamId: s.ID, Endpoint: s.Endpoint, TimeoutMs: time.Until(q.deadline).Milliseconds(),
		}:
		default:
			peerCounters.Add("records_dropped", 1)
		}
	}
}

// heartbeatLoop sends heartbeats with queued run records to a sibling until ctx
// ends, and marks the sibling as lost when it stays silent.
func (r *Router) heartbeatLoop(ctx context.Context, x *peer) {
	t := time.NewTicker(heartbeatInterval)
	defer t.Stop()
	var batch []*messenger.RunRecord
	for {
		if r.sendHeartbeat(ctx, x, batch) || len(batch) >= maxRecordsPerHeartbeat {
			batch = batch[:0]
		}
		r.endSilentSession(x)
		r.becomeReady()
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		case <-x.wake:
		case m := <-x.records:
			batch = append(batch, m)
		}
		batch = appendQueuedRecords(x, batch)
	}
}

// appendQueuedRecords appends queued records to the batch without blocking.
func appendQueuedRecords(x *peer, batch []*messenger.RunRecord) []*messenger.RunRecord {
	for len(batch) < maxRecordsPerHeartbeat {
		select {
		case m := <-x.records:
			batch = append(batch, m)
		default:
			return batch
		}
	}
	return batch
}

// sendHeartbeat sends one heartbeat and reports whether it was answered.
// lastAttempt is updated only if the call ended in time: a late return means
// that this process itself may not have been running.
func (r *Router) sendHeartbeat(ctx context.Context, x *peer, batch []*messenger.RunRecord) bool {
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, heartbeatInterval)
	defer cancel()
	reply, err := x.client.Beat(ctx, &messenger.BeatRequest{
		Router: r.self.Name(), Incarnation: uint64(r.incarnation), Draining: r.gate.closed.Load(), Records: batch,
	}, grpc.WaitForReady(true))
	if time.Since(began) < 2*heartbeatInterval {
		x.lastAttempt.Store(r.peers.sinceStart())
	}
	if err != nil {
		return false
	}
	r.peers.recordReply(x, reply)
	return true
}

// endSilentSession ends the session of a sibling that does not answer, which
// cancels all calls that wait for it. A stopped process keeps its connections
// open, so nothing else would end these calls.
func (r *Router) endSilentSession(x *peer) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if l := x.session.Load(); l.Err() == nil && !r.peers.isAlive(x) && !r.peers.isViewStale(x) {
		l.cancel()
		peerCounters.Add("siblings_lost", 1)
		r.log.Info("sibling is silent", zap.String("router", x.process.Name()))
	}
}

// Beat handles a heartbeat: it stores the sibling's run records and its
// draining state. It does not count as a sign of life, because a sibling that
// reaches this router may still be unreachable from here.
func (s *homeServer) Beat(_ context.Context, b *messenger.BeatRequest) (*messenger.BeatReply, error) {
	r := s.router
	now := time.Now()
	reply := &messenger.BeatReply{Incarnation: uint64(r.incarnation), Draining: r.gate.closed.Load()}
	if x := r.peers.byName[b.Router]; x != nil {
		x.draining.Store(b.Draining)
		reply.ReachedForMs = r.peers.reachedForMS(x, b.Incarnation)
		x.reconnectUnlessKnown(reply.ReachedForMs > 0)
	}
	for _, m := range b.Records {
		if len(m.Digest) != len(joiner.Digest{}) {
			continue
		}
		r.runRecords.put(rattanhoist.NewRequestKey(m.Workspace, m.RequestId), runRecord{
			owner: b.Router, digest: joiner.Digest(m.Digest),
			stream:  joiner.Stream{ID: m.StreamId, Endpoint: m.Endpoint},
			expires: now.Add(time.Duration(m.TimeoutMs)*time.Millisecond + r.settings.Policy().KeepAnswer()),
		})
	}
	return reply, nil
}

// reconnectUnlessKnown makes the next heartbeat go out at once if the sender of
// a heartbeat is still considered dead here. The sibling waits to be
// recognized, and the connection's backoff may last a second.
func (x *peer) reconnectUnlessKnown(known bool) {
	if known {
		return
	}
	x.conn.ResetConnectBackoff()
	select {
	case x.wake <- struct{}{}:
	default:
	}
}
