package keeper

import (
	"context"
	"sync"
	"time"

	"rattanhoist.example/rattanhoist/messenger"
)

// reportKept is how long the last report of a silent subscriber is shown.
const reportKept = 15 * time.Minute

// reports holds the version that each subscriber said it serves.
type reports struct {
	mu   sync.Mutex
	last map[string]report
}

type report struct {
	zone    string
	version uint64
	at      time.Time
}

func (r *reports) put(node string, p report) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.last == nil {
		r.last = map[string]report{}
	}
	r.last[node] = p
}

func (r *reports) list(now time.Time) []*messenger.InForceEntry {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []*messenger.InForceEntry
	for node, p := range r.last {
		age := now.Sub(p.at)
		if age > reportKept {
			delete(r.last, node)
			continue
		}
		out = append(out, &messenger.InForceEntry{Node: node, Zone: p.zone, Version: p.version, AgeMs: age.Milliseconds()})
	}
	return out
}

// ReportInForce notes the version that a subscriber serves. Its reply tells a
// subscriber of another keeper whether this one can take it back.
func (s *configurationServer) ReportInForce(_ context.Context, r *messenger.InForceReport) (*messenger.ReportReply, error) {
	s.reports.put(r.Node, report{zone: r.Zone, version: r.Version, at: time.Now()})
	return &messenger.ReportReply{Version: s.version(), AgeMs: s.ageMS()}, nil
}

// InForce returns the versions that the subscribers of every keeper serve. A
// subscriber that has changed its keeper is shown by its newest report.
func (s *configurationServer) InForce(ctx context.Context, r *messenger.InForceRequest) (*messenger.InForceReply, error) {
	out := &messenger.InForceReply{Nodes: s.reports.list(time.Now())}
	if r.Local {
		return out, nil
	}
	others := make(chan []*messenger.InForceEntry, len(s.keeper.peers.list))
	failed := s.keeper.peers.each(ctx, func(ctx context.Context, p peer) error {
		got, err := p.configuration().InForce(ctx, &messenger.InForceRequest{Local: true})
		others <- got.GetNodes()
		return err
	})
	close(others)
	for n := range others {
		out.Nodes = append(out.Nodes, n...)
	}
	out.Nodes = newest(out.Nodes)
	for _, p := range failed {
		out.UnreachableKeepers = append(out.UnreachableKeepers, p.process.Name())
	}
	return out, nil
}

func newest(entries []*messenger.InForceEntry) []*messenger.InForceEntry {
	at := map[string]int{}
	var out []*messenger.InForceEntry
	for _, e := range entries {
		i, ok := at[e.Node]
		switch {
		case !ok:
			at[e.Node] = len(out)
			out = append(out, e)
		case e.AgeMs < out[i].AgeMs:
			out[i] = e
		}
	}
	return out
}
