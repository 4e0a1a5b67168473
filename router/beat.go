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

var homeCounters = expvar.NewMap("homes")

// recordBatch bounds the records of one beat.
const recordBatch = 512

// tell records a run at the routers that would be home next.
func (r *Router) tell(q *request, s joiner.Stream) {
	for _, x := range r.homes.next(q.key) {
		select {
		case x.records <- &messenger.RunRecord{
			Workspace: q.key.Workspace(), RequestId: q.key.RequestID(), Digest: q.digest[:],
			StreamId: s.ID, Endpoint: s.Endpoint, TimeoutMs: time.Until(q.deadline).Milliseconds(),
		}:
		default:
			homeCounters.Add("records_dropped", 1)
		}
	}
}

// beat keeps one sibling informed until ctx ends, and notes whether it lives.
func (r *Router) beat(ctx context.Context, x *sibling) {
	t := time.NewTicker(beatEvery)
	defer t.Stop()
	var batch []*messenger.RunRecord
	for {
		if r.beatOnce(ctx, x, batch) || len(batch) >= recordBatch {
			batch = batch[:0]
		}
		r.endSilent(x)
		r.becomeReady()
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		case <-x.kick:
		case m := <-x.records:
			batch = append(batch, m)
		}
		batch = gatherRecords(x, batch)
	}
}

func gatherRecords(x *sibling, batch []*messenger.RunRecord) []*messenger.RunRecord {
	for len(batch) < recordBatch {
		select {
		case m := <-x.records:
			batch = append(batch, m)
		default:
			return batch
		}
	}
	return batch
}

func (r *Router) beatOnce(ctx context.Context, x *sibling, batch []*messenger.RunRecord) bool {
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, beatEvery)
	defer cancel()
	reply, err := x.client.Beat(ctx, &messenger.BeatRequest{
		Router: r.self.Name(), Incarnation: uint64(r.incarnation), Draining: r.gate.closed.Load(), Records: batch,
	}, grpc.WaitForReady(true))
	if time.Since(began) < 2*beatEvery {
		x.tried.Store(r.homes.now())
	}
	if err != nil {
		return false
	}
	r.homes.hear(x, reply)
	return true
}

// endSilent ends what waits for a sibling that is silent: a stopped process
// keeps its connections open, so that nothing else would end the wait.
func (r *Router) endSilent(x *sibling) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if l := x.life.Load(); l.Err() == nil && !r.homes.alive(x) && !r.homes.unclear(x) {
		l.end()
		homeCounters.Add("siblings_lost", 1)
		r.log.Info("sibling is silent", zap.String("router", x.process.Name()))
	}
}

// Beat takes a sibling's records and whether it drains. It is no sign of life:
// that the sibling reaches this router does not mean that this one reaches it.
func (s *homeServer) Beat(_ context.Context, b *messenger.BeatRequest) (*messenger.BeatReply, error) {
	r := s.router
	now := time.Now()
	reply := &messenger.BeatReply{Incarnation: uint64(r.incarnation), Draining: r.gate.closed.Load()}
	if x := r.homes.all[b.Router]; x != nil {
		x.draining.Store(b.Draining)
		reply.ReachedForMs = r.homes.reachedForMS(x, b.Incarnation)
		x.seek(reply.ReachedForMs > 0)
	}
	for _, m := range b.Records {
		if len(m.Digest) != len(joiner.Digest{}) {
			continue
		}
		r.records.put(rattanhoist.NewRequestKey(m.Workspace, m.RequestId), record{
			owner: b.Router, digest: joiner.Digest(m.Digest),
			stream:  joiner.Stream{ID: m.StreamId, Endpoint: m.Endpoint},
			expires: now.Add(time.Duration(m.TimeoutMs)*time.Millisecond + r.settings.Policy().KeepAnswer()),
		})
	}
	return reply, nil
}

// seek has a sibling that speaks and is taken for dead be tried at once: it
// waits to be known, and connecting may be paused for a second.
func (x *sibling) seek(known bool) {
	if known {
		return
	}
	x.conn.ResetConnectBackoff()
	select {
	case x.kick <- struct{}{}:
	default:
	}
}
