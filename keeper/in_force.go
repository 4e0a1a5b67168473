package keeper

import (
	"context"
	"sync"
	"time"

	"rattanhoist.example/rattanhoist/messenger"
)

// reportTTL is how long the last report of a silent subscriber is shown.
const reportTTL = 15 * time.Minute

// reports holds the version that each subscriber last reported as being
// served.
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
		if age > reportTTL {
			delete(r.last, node)
			continue
		}
		out = append(out, &messenger.InForceEntry{Node: node, Zone: p.zone, Version: p.version, AgeMs: age.Milliseconds()})
	}
	return out
}

// ReportInForce records the version that a subscriber serves. The reply tells
// a subscriber that has moved to another keeper whether this one can serve it
// again.
func (s *configurationServer) ReportInForce(_ context.Context, r *messenger.InForceReport) (*messenger.ReportReply, error) {
	s.reports.put(r.Node, report{zone: r.Zone, version: r.Version, at: time.Now()})
	return &messenger.ReportReply{Version: s.version(), AgeMs: s.ageMS()}, nil
}

// InForce returns the versions served by the subscribers of all keepers. A
// subscriber that has changed keepers appears once, with its newest report.
func (s *configurationServer) InForce(ctx context.Context, r *messenger.InForceRequest) (*messenger.InForceReply, error) {
	out := &messenger.InForceReply{Nodes: s.reports.list(time.Now())}
	if r.Local {
		return out, nil
	}
	others := make(chan []*messenger.InForceEntry, len(s.keeper.peers.keepers))
	failed := s.keeper.peers.callKeepers(ctx, func(ctx context.Context, p peer) error {
		got, err := p.configuration().InForce(ctx, &messenger.InForceRequest{Local: true})
		others <- got.GetNodes()
		return err
	})
	close(others)
	for n := range others {
		out.Nodes = append(out.Nodes, n...)
	}
	out.Nodes = newestPerNode(out.Nodes)
	for _, p := range failed {
		out.UnreachableKeepers = append(out.UnreachableKeepers, p.process.Name())
	}
	return out, nil
}

// newestPerNode keeps the most recent entry of each node.
func newestPerNode(entries []*messenger.InForceEntry) []*messenger.InForceEntry {
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
