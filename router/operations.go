package router

import (
	"context"
	"time"

	"go.uber.org/zap"
	"google.golang.org/grpc/connectivity"

	"rattanhoist.example/rattanhoist"
	"rattanhoist.example/rattanhoist/messenger"
)

// operationsServer implements the RPC service for operators.
type operationsServer struct {
	messenger.UnimplementedOperationsServer
	router *Router
}

// State returns the state of this router.
func (s *operationsServer) State(context.Context, *messenger.StateRequest) (*messenger.StateReply, error) {
	r := s.router
	out := &messenger.StateReply{
		Name: r.self.Name(), Kind: r.self.Kind(), Zone: r.self.Zone(), Life: r.lifecycle.Current(),
		Incarnation: uint64(r.treasurer.Incarnation()), ConfigurationAgeMs: configurationAgeMS(time.Now()),
		KeeperReachable: r.keeperConn.GetState() == connectivity.Ready,
		UsableEndpoints: int64(len(r.usableEndpoints())), ActiveRequests: activeRequests.Value(),
		AtRiskTokens: int64(r.treasurer.Held()),
	}
	if c := r.snapshot.Load(); c != nil {
		out.ConfigurationVersion = c.Version()
	}
	return out, nil
}

// usableEndpoints returns the known endpoints that may get requests now.
func (r *Router) usableEndpoints() []*rattanhoist.Endpoint {
	var out []*rattanhoist.Endpoint
	now := time.Now()
	for _, e := range r.tracker.Table().All() {
		if r.tracker.Usable(e, now) {
			out = append(out, e)
		}
	}
	return out
}

// Endpoints lists the endpoints that the router knows, with the ages of their
// announcements.
func (s *operationsServer) Endpoints(_ context.Context, q *messenger.EndpointsRequest) (*messenger.EndpointsReply, error) {
	out := &messenger.EndpointsReply{
		Router: s.router.self.Name(), MaxAgeMs: s.router.settings.Policy().EndpointMaxAge().Milliseconds(),
	}
	now := time.Now()
	for _, e := range s.router.tracker.Table().All() {
		if q.Service != "" && q.Service != e.Service() {
			continue
		}
		out.Endpoints = append(out.Endpoints, &messenger.EndpointState{
			Name: e.Name(), Service: e.Service(), Zone: e.Zone(), Address: e.Address(),
			Incarnation: uint64(e.Incarnation()), Labels: e.Labels(), Capacity: e.Capacity(),
			Load: e.Load(), Leaving: e.Leaving(), AgeMs: uint32(max(0, now.Sub(e.AnnouncedAt()).Milliseconds())),
			ChecksFencing: e.ChecksFencing(),
		})
	}
	return out, nil
}

// Explain returns the recorded decisions for a request.
func (s *operationsServer) Explain(_ context.Context, q *messenger.ExplainRequest) (*messenger.ExplainReply, error) {
	out := &messenger.ExplainReply{Router: s.router.self.Name()}
	for _, e := range s.router.decisions.Explain(q.Workspace, q.RequestId) {
		d := e.Decision
		out.Decisions = append(out.Decisions, &messenger.Decision{
			AtUs: d.At.UnixMicro(), Router: out.Router, Kind: d.Kind, Workspace: e.Key.Workspace(),
			Endpoint: d.Endpoint, Candidates: int64(d.Candidates), Tokens: int64(d.Tokens),
			Code: d.Code, Reason: d.Reason,
		})
	}
	return out, nil
}

// logKeeperReachability logs each change of the connection to the keeper
// between reachable and unreachable, until ctx ends.
func (r *Router) logKeeperReachability(ctx context.Context) {
	reached := false
	for s := r.keeperConn.GetState(); ; s = r.keeperConn.GetState() {
		if now := s == connectivity.Ready; now != reached {
			reached = now
			r.log.Info("keeper reachable changed", zap.Bool("reachable", now))
		}
		if !r.keeperConn.WaitForStateChange(ctx, s) {
			return
		}
	}
}
