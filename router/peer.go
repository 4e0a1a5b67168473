package router

import (
	"context"

	"rattanhoist.example/rattanhoist/messenger"
)

// peerServer serves keepers and other routers.
type peerServer struct {
	messenger.UnimplementedRouterPeerServer
	router *Router
}

// Recall returns unreserved rights, so that a sibling can spend them.
func (s *peerServer) Recall(ctx context.Context, r *messenger.RecallRequest) (*messenger.RecallReply, error) {
	return s.router.money.Recall(ctx, r)
}

// Holdings reports what this router holds, for a keeper that lost its disk.
func (s *peerServer) Holdings(ctx context.Context, r *messenger.HoldingsRequest) (*messenger.HoldingsReply, error) {
	return s.router.money.Holdings(ctx, r)
}
